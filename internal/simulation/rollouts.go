package simulation

import (
	"fmt"
	"strconv"
	"strings"

	"mapleslip/internal/controller"
	"mapleslip/internal/protocol"
	"mapleslip/internal/records"
	"mapleslip/internal/rollout"
)

// behaviour is what the instances of an image do: how they answer health checks, or that they
// crash.
type behaviour struct {
	what  string // passes, fails, hangs, flaps, crashes; "" is passes
	after micros // time that an instance runs before it does this; until then it passes
}

// behaviourOf returns what the instances of an image do. With real connections there is no trace
// that sets it, so it may be part of the image's name: picker-7-fails, or picker-7-crashes-30
// (after 30 s).
func (w *World) behaviourOf(image string) behaviour {
	if b, ok := w.behaviours[image]; ok || w.live == nil {
		return b
	}
	words := strings.Split(image, "-")
	var b behaviour
	if n, err := strconv.Atoi(words[len(words)-1]); err == nil && len(words) > 1 {
		b.after = micros(n) * protocol.Second
		words = words[:len(words)-1]
	}
	switch last := words[len(words)-1]; last {
	case "fails", "hangs", "flaps", "crashes":
		b.what = last
		return b
	}
	return behaviour{}
}

// rolloutOps are the operations of the verbs that name only a service.
var rolloutOps = map[string]protocol.UserOp{
	"rollout-show": protocol.OpRolloutShow, "rollout-pause": protocol.OpRolloutPause,
	"rollout-resume": protocol.OpRolloutResume, "rollout-revert": protocol.OpRolloutRevert,
}

// InstanceAt is the template of the addresses at which the fake instances of services answer. It
// makes a different address for each instance, from the instance's own values only.
const InstanceAt = "{{.IP}}:{{add 10000 (mod (add .Number .Index) 50000)}}"

// instancePort returns the port that InstanceAt makes for an instance.
func instancePort(ref string, index int) int {
	return 10000 + int((rollout.Number(ref)+uint64(index))%50000)
}

// findJob returns a job that a user of the trace submitted. Other jobs, which a roll-out
// submitted, are read from their record in the state service. It returns nil if there is none.
func (w *World) findJob(ref string) *userJob {
	if j := w.jobs[ref]; j != nil {
		return j
	}
	if j := w.described[ref]; j != nil {
		return j
	}
	e := w.store.keys[records.JobPrefix+ref]
	if e == nil {
		return nil
	}
	record, err := records.DecodeJob([]byte(e.value))
	if err != nil {
		w.reportViolation("damaged record of %s: %v", ref, err)
		return nil
	}
	j := &userJob{spec: record.Spec, run: record.Spec.EstimatedRuntime, results: make([]bool, record.Spec.Tasks), accepted: true}
	w.described[ref] = j
	return j
}

// healthStatus returns the status with which an instance answers a health check now, or 0 if it
// doesn't answer.
func (w *World) healthStatus(t *runningTask) int {
	b := w.behaviourOf(t.job.spec.Image)
	if w.now-t.started < b.after {
		return 200
	}
	switch b.what {
	case "fails":
		return 500
	case "hangs":
		return 0
	case "flaps":
		if w.seq%2 == 0 {
			return 503
		}
	}
	return 200
}

// checkInstance carries a controller's health check to an instance, and the answer back. There is
// no answer if the machine can't be reached or the instance doesn't run.
func (w *World) checkInstance(n *node, c controller.Call, backFrom func(zone string) func(int, string)) {
	host, port, _ := strings.Cut(c.Addr, ":")
	m := w.machines[host]
	if m == nil || n.workersUnreachable || m.unreachableNodes[n.name] || m.hung || m.phase != "running" {
		return
	}
	w.deliverAcrossZones(n.zone, m.zone, func() {
		for _, t := range m.sorted() {
			if t.onMachine && t.state == "running" && port == strconv.Itoa(instancePort(t.job.spec.Ref, t.index)) {
				if status := w.healthStatus(t); status > 0 {
					backFrom(m.zone)(status, "")
				}
				return
			}
		}
	})
}

// actRollout has an operator start a roll-out, or pause, resume or revert one:
//
//	rollout ID SERVICE image=img-2 count=4 floor=3 surge=1 stages=1,4 soak=5 adopt=req-000001
//	rollout-pause SERVICE, rollout-resume SERVICE, rollout-revert SERVICE
func (w *World) actRollout(words []string) error {
	what, service, body := words[0], words[1], words[1]
	if what == "rollout" {
		o := options(words[3:])
		service = words[2]
		s := &protocol.RolloutSpec{
			ID: words[1], Service: service, Count: int(number(o, "count", 4)), MinHealthy: int(number(o, "floor", 3)), MaxSurge: int(number(o, "surge", 1)),
			MaxFaulty: int(number(o, "faulty", 0)), SoakTime: protocol.FromSeconds(number(o, "soak", 5)), StartTimeout: protocol.FromSeconds(number(o, "start", 60)),
			HealthTimeout: protocol.FromSeconds(number(o, "healthy", 20)),
			Job: &protocol.JobSpec{
				Class: "live", Team: "red", Kind: protocol.Service, Priority: protocol.PriorityHigh, Image: o["image"], ImageSize: thousandths(number(o, "size", 2)),
				TaskResources: protocol.Resources{CPU: 1000, GPU: thousandths(number(o, "gpus", 1)), Memory: 1000},
			},
			Check: protocol.HealthCheck{AddressTemplate: InstanceAt, Path: "/healthz", Interval: 2 * protocol.Second, Timeout: protocol.Second / 2, SuccessThreshold: 2, FailureThreshold: 2},
		}
		for _, n := range strings.Split(o["stages"], ",") {
			if k, err := strconv.Atoi(n); err == nil {
				s.Stages = append(s.Stages, k)
			}
		}
		if len(s.Stages) == 0 {
			s.Stages = []int{s.Count}
		}
		if o["adopt"] != "" {
			s.AdoptJobs = strings.Split(o["adopt"], ",")
			for _, ref := range s.AdoptJobs {
				if j := w.jobs[ref]; j != nil {
					j.cancelRequested = true // the roll-out cancels it
				}
			}
		}
		body = string(protocol.AppendRollout(nil, s))
	}
	w.requestUntilFinal(what, func() string { return body }, func(status int, answer []byte) bool {
		if status == 503 || status == 0 {
			return false
		}
		w.note("%s %s: %d %s", what, service, status, answer)
		w.rolloutBy[service] = append(strconv.AppendInt(nil, int64(status), 10), answer...)
		return true
	})
	return nil
}

// expectRollout checks rollout SERVICE STATE [status=N] [reason=TEXT] [new=N] [old=N]
// [healthy=N]: the state of a roll-out as the leader reports it, with "_" for spaces in TEXT.
func (w *World) expectRollout(words []string) error {
	o := options(words[2:])
	if want, ok := o["status"]; ok { // of the answer to the last request
		if got := string(w.rolloutBy[words[0]][:3]); got != want {
			return fmt.Errorf("got %s", w.rolloutBy[words[0]])
		}
	}
	n := w.leader()
	if n == nil {
		return fmt.Errorf("there is no leader")
	}
	var s *protocol.RolloutStatus
	var err error
	w.request(n, "rollout-show", words[0], func(status int, body []byte) {
		if s, err = protocol.ParseRolloutStatus(body); status != 200 {
			err = fmt.Errorf("%d %s", status, body)
		}
	})
	if err != nil || s == nil {
		return fmt.Errorf("no answer: %w", err)
	}
	if s.State != words[1] || !strings.Contains(s.Reason, strings.ReplaceAll(o["reason"], "_", " ")) {
		return fmt.Errorf("it is %s: %s", s.State, s.Reason)
	}
	for name, got := range map[string]int{"new": s.New.Instances, "old": s.Old.Instances, "healthy": s.New.Healthy + s.Old.Healthy} {
		if want, ok := o[name]; ok && want != strconv.Itoa(got) {
			return fmt.Errorf("%s is %d", name, got)
		}
	}
	return nil
}
