package main

import (
	"errors"
	"time"

	"mapleslip/internal/controller"
	"mapleslip/internal/protocol"
	"mapleslip/internal/transport"
)

var targetNames = map[controller.Target]string{
	controller.ToState: "state", controller.ToCloud: "cloud",
	controller.ToPeer: "controller", controller.ToWorker: "worker", controller.ToInstance: "instance",
}

// answered is the result of an outbound call, with what it answers.
type answered struct {
	controller.CallResult
	target controller.Target
	call   string // method and path
}

func answeredBy(c controller.Call, result controller.CallResult) answered {
	return answered{result, c.Target, c.Method + " " + c.Path}
}

// call makes an outbound call. A call to a rate-limited service is queued in the service's meter.
func (d *driver) call(c controller.Call) {
	send := func() { go d.send(c) }
	m := d.meters[c.Target]
	if m == nil {
		send()
		return
	}
	changes := c.Changes
	if c.Target == controller.ToCloud {
		changes = 0
	}
	m.Add(transport.Metered{
		Priority: transport.Priority(c.Priority), Changes: changes, Expires: d.now().Steady + c.Timeout, Send: send,
		Expire: func() {
			go func() { d.events <- answeredBy(c, controller.CallResult{ID: c.ID, NotSent: true}) }()
		},
	})
	m.Run(d.now().Steady)
}

func (d *driver) send(c controller.Call) {
	addr := c.Addr
	if addr == "" {
		addr = d.addrs[c.Target]
	}
	began := time.Now()
	result := d.exchange(c, addr)
	d.recorder.Call(targetNames[c.Target], c.Method, c.Path, result, began)
	d.events <- answeredBy(c, result)
}

// maxCheckResponseBytes is the maximum size of the response to a health check.
const maxCheckResponseBytes = 64 << 10

// exchange sends a call to an address and waits for the response. A health check of an instance
// either opens a TCP connection or sends a GET request. Its timeout covers the whole check, also a
// response that arrives a byte at a time, and its socket is closed when the check ends.
func (d *driver) exchange(c controller.Call, addr string) controller.CallResult {
	result := controller.CallResult{ID: c.ID}
	dialer, timeout := d.dialers[c.Target], time.Duration(c.Timeout)*time.Microsecond
	var err error
	switch {
	case dialer == nil:
		err = transport.ErrSockets // roll-outs are disabled on this controller
	case c.Target == controller.ToInstance && c.Method == "":
		err = dialer.Probe(addr, timeout)
		result.Status = 200
	case c.Target == controller.ToPeer:
		err = dialer.Do(addr, c.Body, timeout, func(buf []byte, _ bool) (int, bool, error) {
			frame, used, err := protocol.SplitPeer(buf)
			if used > 0 {
				result.Status, result.Body = 200, frame
			}
			return used, true, err
		})
	default:
		isCheck := c.Target == controller.ToInstance
		payload := transport.AppendRequest(nil, c.Method, addr, c.Path, c.Body)
		var response transport.ResponseReader
		err = dialer.Do(addr, payload, timeout, func(buf []byte, eof bool) (int, bool, error) {
			if isCheck && len(buf) > maxCheckResponseBytes {
				return 0, false, transport.ErrTooLong
			}
			r, used, err := response.Parse(buf, eof)
			if err != nil || used == 0 {
				return 0, false, err
			}
			result.Status, result.Body = r.Status, r.Body
			return used, !r.Close && !isCheck, nil
		})
	}
	if err != nil {
		result.Status, result.Body = 0, nil
		result.ConnectionRefused = errors.Is(err, transport.ErrRefused)
		result.NotSent = result.ConnectionRefused || errors.Is(err, transport.ErrSockets)
	}
	return result
}
