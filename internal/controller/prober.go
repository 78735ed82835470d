package controller

import (
	"mapleslip/internal/protocol"
	"mapleslip/internal/state"
)

// prober asks hosts what is on them, a bounded number at a time: after a failover or behind
// a partition there are hundreds, and those that don't answer must not keep the others waiting.
type prober struct {
	*termContext
	commands   *commandSender
	membership *membership
	peers      *peerMonitor

	queue          []*state.Host
	inFlight       int
	inFlightByZone map[string]int
	nextPeer       int // which of the other controllers is asked next to probe a host
}

// Most probes on their way, in all and to one zone.
const (
	maxProbesInFlight = 48
	maxProbesPerZone  = 20
)

// MaxWorkerCalls is how many calls to workers are on their way at a time: commands,
// questions, and those made for another controller, which leads while this one does not.
const MaxWorkerCalls = maxCommandsInFlight + maxProbesInFlight

// queueProbe asks a host what is on it, rather than waiting until its worker finds
// this leader.
func (p *prober) queueProbe(h *state.Host) {
	if h.Addr != "" && !h.Probe.InFlight {
		h.Probe.InFlight = true
		p.queue = append(p.queue, h)
	}
}

// runProbes sends the probes that have their turn.
func (p *prober) runProbes() {
	at := p.now.Steady
	rest := p.queue[:0]
	for i, h := range p.queue {
		if p.inFlight >= maxProbesInFlight {
			rest = append(rest, p.queue[i:]...)
			break
		}
		if p.inFlightByZone[h.Zone] >= maxProbesPerZone {
			rest = append(rest, h)
			continue
		}
		if p.cluster.Host(h.Name) != h || h.Reconciled && at-h.Agent.LastContact < p.platform.HeartbeatInterval && !ignoresCommands(h) {
			h.Probe.InFlight = false // it has reported meanwhile
			continue
		}
		p.sendProbe(h, max(1, h.Agent.Epoch), 2)
	}
	p.queue = rest
}

// sendProbe asks with an empty command. If that names the host's session it
// also shows the new epoch: from there on commands of earlier epochs have no
// effect, and the report in the answer is proof. Otherwise the answer says
// which session it is.
func (p *prober) sendProbe(h *state.Host, session uint64, tries int) {
	p.inFlight++
	p.inFlightByZone[h.Zone]++
	body := protocol.AppendCommands(nil, p.epoch, session, nil)
	asked := p.now.Steady
	waiting, failed := 1, false
	over := func(r CallResult) {
		if p.ended() {
			return
		}
		if waiting--; waiting == 0 {
			h.Probe.InFlight = false
		}
		if p.cluster.Host(h.Name) != h {
			return
		}
		if waiting == 0 && failed && h.Agent.LastContact < asked && !p.isLagging(p.now.Steady-asked+protocol.Second) {
			h.Probe.Failed = true
		}
		report := p.commands.parseCommandResponse(h, r)
		if report == nil || !p.commands.applyCommandResponse(h, report) {
			return
		}
		if tries > 1 && !h.Reconciled && report.AgentEpoch != session {
			h.Probe.InFlight = true
			p.sendProbe(h, report.AgentEpoch, tries-1)
		}
	}
	p.callAddress(ToWorker, "POST", h.Addr, "/commands", body, commandTimeout, func(r CallResult) {
		if !p.ended() {
			p.inFlight--
			p.inFlightByZone[h.Zone]--
		}
		// Only a call that was made and got no answer says something, and only
		// if this node was awake to hear it.
		failed = r.Status == 0 && !r.notAttempted()
		over(r)
	})
	if h.Reconciled && p.probeViaPeer(h, body, over) {
		waiting++
	}
}

// probeViaPeer asks a silent worker by way of another node: the link from here
// may be what is lost, and to release the machine would end all that runs on it.
// It reports whether there is a node to ask.
func (p *prober) probeViaPeer(h *state.Host, body []byte, done func(CallResult)) bool {
	for i := range p.platform.Peers {
		s := p.platform.Peers[(p.nextPeer+i)%len(p.platform.Peers)]
		if o := p.peers.statuses[s.Name]; o.statusAt == 0 || p.now.Steady-o.statusAt > peerStatusLifetime {
			continue // it can hardly be reached itself
		}
		p.nextPeer += i + 1
		frame := protocol.AppendPeer(nil, &protocol.PeerMessage{Kind: protocol.PeerWorkerProbe, Addr: h.Addr, Body: body})
		p.callAddress(ToPeer, "", s.Address, "", frame, commandTimeout, func(d CallResult) {
			if m := p.membership.parsePeerResponse(d); m != nil {
				done(CallResult{Status: int(m.Status), Body: m.Body})
				return
			}
			done(CallResult{})
		})
		return true
	}
	return false
}
