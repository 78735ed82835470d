package hollow

import (
	"strconv"

	"mapleslip/internal/protocol"
	"mapleslip/internal/scale/wire"
)

// job is a job as described by the supervisor.
type job struct {
	spec    *protocol.JobSpec
	runTime int64 // of a task, microseconds; if negative, the task fails after -runTime
}

// task is an attempt on a machine. It exists until a controller sends the command `forget`.
type task struct {
	worker  *worker
	ref     string
	index   int
	attempt uint64
	name    string // REF/INDEX#TRY
	state   protocol.TaskState
	reason  protocol.ExitReason
	saved   bool

	job               *job // nil until the task is admitted
	described         bool // the supervisor has described the task
	resultStored      bool // the task's result is stored already
	entered           bool // the task counts as on the machine: wire.Enter was sent, wire.Leave was not
	image             *image
	launchedAt        int64  // time of the launch command
	fetchTime         int64  // time from the launch until the image was present, 0 if it already was
	remaining         int64  // run time that is left, as of startedAt
	reportedRemaining int64  // run time left at the last checkpoint that the supervisor has recorded
	startedAt         int64  // time at which it began to run, moved by the time that its machine hung
	endsAt            int64  // time at which it completes
	checkpointStart   int64  // time of the command to checkpoint a gang task
	generation        uint64 // increased to invalidate the timers of the task
}

// gangKey returns the key that all tasks of a gang attempt share: REF#TRY.
func (t *task) gangKey() string { return t.ref + "#" + strconv.FormatUint(t.attempt, 10) }

// setState changes the state of a task and invalidates the timers of the previous state. Only
// killTasks changes the state without it, for tasks that the worker drops.
func (t *task) setState(now int64, state protocol.TaskState) {
	t.state = state
	t.generation++
	t.worker.markChanged(now)
}

// schedule calls fn at a time unless the task's timers have been invalidated by then. If the
// machine hangs at that time, the call is deferred until the hang ends.
func (t *task) schedule(at int64, fn func(now int64)) {
	generation := t.generation
	t.worker.schedule(at, func(now int64) {
		if t.generation == generation {
			fn(now)
		}
	})
}

// startIfReady starts a task that the supervisor has described and whose image is present. A
// gang task waits for the rest of its gang, unless it is going to fail anyway.
func (t *task) startIfReady(now int64) {
	if t.state != protocol.TaskFetching || !t.described || t.image == nil || !t.image.present {
		return
	}
	spec := t.job.spec
	t.entered = true
	t.image.waiters--
	t.image.users++
	t.image.lastUsed = now
	t.worker.process.send(&wire.Message{Kind: wire.Enter, Task: t.name, Name: t.worker.machine.Name, At: now, Run: t.fetchTime})
	if t.resultStored {
		t.exit(now, protocol.ExitDone, false)
		return
	}
	if spec.Kind == protocol.Gang && t.job.runTime >= 0 {
		t.setState(now, protocol.TaskWaiting)
		t.worker.process.addGangTask(t)
		t.worker.process.send(&wire.Message{Kind: wire.Waiting, Task: t.name, Name: t.worker.machine.Name, At: now})
		t.schedule(now+int64(t.worker.process.platform.GangWaitTimeout), func(now int64) { t.exit(now, protocol.ExitIncomplete, false) })
		return
	}
	t.startRunning(now, now+t.remaining)
}

// startRunning starts a task that completes at endsAt. A service runs until it is stopped, and a
// task with a negative run time fails.
func (t *task) startRunning(now, endsAt int64) {
	t.startedAt, t.endsAt = now, endsAt
	t.setState(now, protocol.TaskRunning)
	switch {
	case t.job.runTime < 0:
		t.schedule(now-t.job.runTime, func(now int64) { t.exit(now, protocol.ExitError, false) })
	case t.job.spec.Kind != protocol.Service:
		t.schedule(endsAt, t.complete)
	}
}

// complete ends a task and reports to the supervisor that its result is stored.
func (t *task) complete(now int64) {
	t.worker.process.send(&wire.Message{Kind: wire.Ended, Task: t.name, Name: t.worker.machine.Name, At: now})
	t.exit(now, protocol.ExitDone, false)
}

// extendRun postpones the end of a running array task, which depends on no other task, by the
// time that its machine hung.
func (t *task) extendRun(by int64) {
	if t.state != protocol.TaskRunning || t.job.spec.Kind != protocol.Array || t.job.runTime < 0 {
		return
	}
	t.startedAt, t.endsAt = t.startedAt+by, t.endsAt+by
	t.generation++
	t.schedule(t.endsAt, t.complete)
}

// remainingAfterKill returns the run time that is left if a task is killed now: the next
// attempt resumes from the last multiple of the checkpoint interval. For gangs the supervisor
// computes it.
func (t *task) remainingAfterKill(now int64) int64 {
	interval := int64(t.job.spec.CheckpointInterval)
	if interval <= 0 || t.job.spec.Kind != protocol.Array || t.state != protocol.TaskRunning {
		return t.remaining
	}
	done := t.job.runTime - max(0, t.remaining-(now-t.startedAt))
	return min(t.remaining, t.job.runTime-done/interval*interval)
}

// stop executes a stop command.
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
			t.checkpointStart = now
			t.setState(now, protocol.TaskCheckpointing)
			t.worker.process.send(&wire.Message{Kind: wire.Waiting, Task: t.name, Name: t.worker.machine.Name, At: now, Text: "saving"})
			return
		}
		remaining := max(0, t.remaining-(now-t.startedAt))
		t.remaining = t.remainingAfterKill(now) // applies if the checkpoint does not complete
		t.setState(now, protocol.TaskCheckpointing)
		t.schedule(now+int64(spec.CheckpointDuration), func(now int64) {
			t.remaining = remaining
			t.exit(now, protocol.ExitStopped, true)
		})
	default:
		t.exit(now, protocol.ExitStopped, false)
	}
}

// exit ends a task. Reports contain it until a controller sends the command `forget`.
func (t *task) exit(now int64, why protocol.ExitReason, saved bool) {
	if t.state == protocol.TaskExited {
		return
	}
	t.leave(now, string(why), saved)
	t.reason, t.saved = why, saved
	t.setState(now, protocol.TaskExited)
}

// leave removes a task from its machine: it frees the resources and the image, and reports the
// reason and the progress to the supervisor.
func (t *task) leave(now int64, why string, saved bool) {
	if t.state == protocol.TaskExited {
		return
	}
	if t.job != nil {
		t.worker.usedResources = t.worker.usedResources.Add(t.job.spec.TaskResources, -1)
	}
	if t.image != nil {
		if t.entered {
			t.image.users--
			t.image.lastUsed = now
		} else {
			t.image.waiters--
			t.worker.images.cancelUnneededFetch(now, t.image)
			t.worker.scheduleFetchCheck()
		}
		t.image = nil
	}
	if !t.entered {
		return
	}
	t.entered = false
	if t.job.spec.Kind == protocol.Gang {
		t.worker.process.removeGangTask(t)
	}
	if why != string(protocol.ExitDone) && t.job.runTime > 0 && t.job.spec.Kind == protocol.Array {
		if remaining := t.remainingAfterKill(now); remaining < t.reportedRemaining {
			t.worker.process.send(&wire.Message{Kind: wire.Progress, Task: t.name, At: now, Run: remaining})
		}
	}
	m := &wire.Message{Kind: wire.Leave, Task: t.name, Name: t.worker.machine.Name, At: now, Text: why}
	if saved {
		m.Phase = "saved"
	}
	t.worker.process.send(m)
}
