package controller

import (
	"slices"

	"mapleslip/internal/protocol"
	"mapleslip/internal/state"
)

// maxUnschedulableShapes bounds the unschedulable shapes that a cycle stores.
const maxUnschedulableShapes = 64

// unschedulableShape describes tasks of a job for which a cycle could make no room, because too
// few resources may be preempted. In the same cycle there is no room either for jobs that need at
// least as much and may preempt no more.
type unschedulableShape struct {
	taskResources protocol.Resources
	tasks         int
	priority      protocol.Priority
	zone          string
	machineTypes  []string
	singleZone    bool
	allowSpot     bool
}

// covers reports whether some tasks of a job need at least as many resources, may be placed on no
// other machines, and may preempt no more.
func (u *unschedulableShape) covers(j *state.Job, tasks int) bool {
	s := j.Spec
	switch {
	case !s.TaskResources.Covers(u.taskResources) || tasks < u.tasks || j.Priority < u.priority:
		return false
	case u.zone != "" && u.zone != s.Zone:
		return false
	case u.singleZone && !s.SingleZone && tasks > 1:
		return false
	}
	return (u.allowSpot || !s.AllowSpot) && slices.Equal(u.machineTypes, s.MachineTypes)
}

// markUnschedulable records that no room can be made for some tasks of a job in this cycle.
func (c *schedulingCycle) markUnschedulable(j *state.Job, tasks int) {
	if len(c.unschedulable) >= maxUnschedulableShapes {
		return
	}
	s := j.Spec
	c.unschedulable = append(c.unschedulable, unschedulableShape{
		taskResources: s.TaskResources, tasks: tasks, priority: j.Priority, zone: s.Zone, machineTypes: s.MachineTypes,
		singleZone: s.SingleZone && tasks > 1, allowSpot: s.AllowSpot,
	})
}

func (c *schedulingCycle) isUnschedulable(j *state.Job, tasks int) bool {
	return slices.ContainsFunc(c.unschedulable, func(u unschedulableShape) bool { return u.covers(j, tasks) })
}
