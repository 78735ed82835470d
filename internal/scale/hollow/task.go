package hollow

import (
	"strconv"

	"mapleslip/internal/protocol"
	"mapleslip/internal/scale/wire"
)

// job is what a process knows of a job.
type job struct {
	spec *protocol.JobSpec
	run  int64 // of a task, microseconds; below 0: it fails after that
}

// task is an attempt on a machine, until it is forgotten.
type task struct {
	w      *worker
	ref    string
	index  int
	try    uint64
	name   string // REF/INDEX#TRY
	state  protocol.TaskState
	reason protocol.ExitReason
	saved  bool

	job     *job // nil: not known yet
	told    bool // the supervisor has said what it is
	kept    bool // its result is there already
	on      bool // it is on the machine, as the rules count it
	image   *image
	began   int64 // when it was launched
	fetched int64 // how long its image took
	left    int64 // of its run, as of since
	safe    int64 // what is left from its last checkpoint on, as the supervisor knows
	since   int64 // when it began to run
	ends    int64 // when it completes
	first   int64 // when it was told to save
	turn    uint64
}

// gang is the name that the tasks of an attempt have in common.
func (t *task) gang() string { return t.ref + "#" + strconv.FormatUint(t.try, 10) }

// becomes is the one place where a task's state changes. What was to happen in the state
// that it leaves doesn't happen any more.
func (t *task) becomes(now int64, state protocol.TaskState) {
	t.state = state
	t.turn++
	t.w.touch(now)
}

// later has fn called at an instant if the task is still in the same state then, and not
// before its machine goes on if that hangs.
func (t *task) later(at int64, fn func(now int64)) {
	turn := t.turn
	t.w.later(at, func(now int64) {
		if t.turn == turn {
			fn(now)
		}
	})
}

// ready has a task start that is known and has its image.
func (t *task) ready(now int64) {
	if t.state != protocol.TaskFetching || !t.told || t.image == nil || !t.image.here {
		return
	}
	spec := t.job.spec
	t.on = true
	t.image.waiters--
	t.image.users++
	t.image.used = now
	t.w.p.tell(&wire.Message{Kind: wire.Enter, Task: t.name, Name: t.w.m.Name, At: now, Run: t.fetched})
	if t.kept {
		t.exit(now, protocol.ExitDone, false)
		return
	}
	if spec.Kind == protocol.Gang && t.job.run >= 0 {
		t.becomes(now, protocol.TaskWaiting)
		t.w.p.joins(t)
		t.w.p.tell(&wire.Message{Kind: wire.Waiting, Task: t.name, Name: t.w.m.Name, At: now})
		t.later(now+int64(t.w.p.platform.GangWaitTimeout), func(now int64) { t.exit(now, protocol.ExitIncomplete, false) })
		return
	}
	t.runs(now, now+t.left)
}

// runs has a task run until an instant.
func (t *task) runs(now, ends int64) {
	t.since, t.ends = now, ends
	t.becomes(now, protocol.TaskRunning)
	switch {
	case t.job.run < 0:
		t.later(now-t.job.run, func(now int64) { t.exit(now, protocol.ExitError, false) })
	case t.job.spec.Kind != protocol.Service:
		t.later(ends, t.complete)
	}
}

// complete keeps a task's result.
func (t *task) complete(now int64) {
	t.w.p.tell(&wire.Message{Kind: wire.Ended, Task: t.name, Name: t.w.m.Name, At: now})
	t.exit(now, protocol.ExitDone, false)
}

// longer has a task that works by itself end later, since its machine stood still.
func (t *task) longer(by int64) {
	if t.state != protocol.TaskRunning || t.job.spec.Kind != protocol.Array || t.job.run < 0 {
		return
	}
	t.since, t.ends = t.since+by, t.ends+by
	t.turn++
	t.later(t.ends, t.complete)
}

// checkpoint is what is left of a task's run if it is killed now: it goes on from the
// last multiple of its interval. Of a gang the supervisor knows it.
func (t *task) checkpoint(now int64) int64 {
	every := int64(t.job.spec.CheckpointInterval)
	if every <= 0 || t.job.spec.Kind != protocol.Array || t.state != protocol.TaskRunning {
		return t.left
	}
	done := t.job.run - max(0, t.left-(now-t.since))
	return min(t.left, t.job.run-done/every*every)
}

// stop carries out a command.
func (t *task) stop(now int64, grace protocol.Micros) {
	switch t.state {
	case protocol.TaskExited:
	case protocol.TaskCheckpointing:
		if grace == 0 {
			t.exit(now, protocol.ExitStopped, false)
		}
	case protocol.TaskRunning:
		spec := t.job.spec
		if !spec.CanCheckpoint() || grace < spec.CheckpointDuration {
			t.exit(now, protocol.ExitStopped, false)
			return
		}
		if spec.Kind == protocol.Gang {
			t.first = now
			t.becomes(now, protocol.TaskCheckpointing)
			t.w.p.tell(&wire.Message{Kind: wire.Waiting, Task: t.name, Name: t.w.m.Name, At: now, Text: "saving"})
			return
		}
		left := max(0, t.left-(now-t.since))
		t.left = t.checkpoint(now) // if it doesn't come to the end of saving
		t.becomes(now, protocol.TaskCheckpointing)
		t.later(now+int64(spec.CheckpointDuration), func(now int64) {
			t.left = left
			t.exit(now, protocol.ExitStopped, true)
		})
	default:
		t.exit(now, protocol.ExitStopped, false)
	}
}

// exit ends a task. It stays in the reports until it is forgotten.
func (t *task) exit(now int64, why protocol.ExitReason, saved bool) {
	if t.state == protocol.TaskExited {
		return
	}
	t.leave(now, string(why), saved)
	t.reason, t.saved = why, saved
	t.becomes(now, protocol.TaskExited)
}

// leave takes a task off its machine.
func (t *task) leave(now int64, why string, saved bool) {
	if t.state == protocol.TaskExited {
		return
	}
	if t.job != nil {
		t.w.used = t.w.used.Add(t.job.spec.TaskResources, -1)
	}
	if t.image != nil {
		if t.on {
			t.image.users--
			t.image.used = now
		} else {
			t.image.waiters--
			t.w.images.unwanted(now, t.image)
			t.w.armFetch()
		}
		t.image = nil
	}
	if !t.on {
		return
	}
	t.on = false
	if t.job.spec.Kind == protocol.Gang {
		t.w.p.leaves(t)
	}
	if why != string(protocol.ExitDone) && t.job.run > 0 && t.job.spec.Kind == protocol.Array {
		if left := t.checkpoint(now); left < t.safe {
			t.w.p.tell(&wire.Message{Kind: wire.Progress, Task: t.name, At: now, Run: left})
		}
	}
	m := &wire.Message{Kind: wire.Leave, Task: t.name, Name: t.w.m.Name, At: now, Text: why}
	if saved {
		m.Phase = "saved"
	}
	t.w.p.tell(m)
}
