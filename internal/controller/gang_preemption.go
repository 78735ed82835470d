package controller

import (
	"cmp"
	"maps"
	"slices"

	"mapleslip/internal/controller/slottable"
	"mapleslip/internal/protocol"
	"mapleslip/internal/state"
)

// preemptForGang makes room for all tasks of a gang, in the zone where the
// least work is lost. What comes free is booked for it until it has started;
// otherwise smaller jobs would take it, one machine at a time.
// It reports whether it could.
func (sc *scheduler) preemptForGang(p *schedulingCycle, w *pendingJob, need preemptionGoal) bool {
	at := sc.now.Steady
	j := w.job
	s := j.Spec
	type room struct {
		h       *state.Host
		tasks   int
		victims []*state.Attempt
		ready   micros
		cost    float64 // for each task
	}
	zones := make(map[string][]room)
	have := make(map[string]int)
	if p.isUnschedulable(j, len(w.tasks)) {
		j.Preemption.RetryAt = at + bookingRetryDelay
		return false
	}
	late := false
	sc.slotTable.Making(w.request, 1, maxVictimHosts+2*len(w.tasks), func(m *slottable.Machine) bool {
		h := sc.cluster.Host(m.Name)
		if h == nil || !sc.couldHost(h, s) {
			return false
		}
		n := h.Type.Capacity.Add(h.Used(), -1).Add(sc.preemptibleResources(p, h), 1).MaxCopies(s.TaskResources)
		if n < 1 {
			return false
		}
		sc.slotTable.Work += 8
		r := room{h: h, tasks: min(int(n), len(w.tasks)), ready: at + protocol.Second}
		if _, ok := h.Images[s.Image]; !ok {
			r.ready += sc.estimates.fetchTime(h.Type, s.ImageSize)
		}
		var loss float64
		r.victims, loss = sc.chooseVictims(h, j, r.tasks)
		saves := micros(0)
		for _, a := range r.victims {
			if a.Job.Spec.CanCheckpoint() && !need.immediate {
				saves = max(saves, a.Job.Spec.CheckpointDuration)
			}
		}
		r.ready += saves
		if r.ready+need.minGain() > need.readyWithout {
			late = true
			return true
		}
		r.cost = (loss + (r.ready - at).Seconds()) / float64(r.tasks)
		zone := h.Zone
		if !s.SingleZone {
			zone = ""
		}
		zones[zone] = append(zones[zone], r)
		have[zone] += r.tasks
		return true
	})
	var best []room
	var bestCost float64
	for _, zone := range slices.Sorted(maps.Keys(zones)) {
		if have[zone] < len(w.tasks) || s.SingleZone && w.request.ZoneUsed != nil && len(w.request.ZoneUsed) > 0 && w.request.ZoneUsed[zone] == 0 {
			continue
		}
		list := zones[zone]
		slices.SortStableFunc(list, func(a, b room) int { return cmp.Compare(a.cost, b.cost) })
		n, cost := 0, 0.0
		for i := range list {
			n += list[i].tasks
			cost += list[i].cost * float64(list[i].tasks)
			if n >= len(w.tasks) {
				list = list[:i+1]
				break
			}
		}
		if best == nil || cost < bestCost {
			best, bestCost = list, cost
		}
	}
	if best == nil {
		if !late && len(w.request.ZoneUsed) == 0 {
			p.markUnschedulable(j, len(w.tasks))
		}
		j.Preemption.RetryAt = at + bookingRetryDelay // nothing to be had, for a while
		return false
	}
	j.Preemption.ReservedUntil = at + reservationTime
	j.Booking.Places = j.Booking.Places[:0]
	for _, r := range best {
		sc.preemptVictims(j, r.victims, need.immediate)
		delete(p.preemptible, r.h)
		for range r.tasks {
			if len(j.Booking.Places) < len(w.tasks) {
				j.Booking.Places = append(j.Booking.Places, state.BookedPlace{Machine: r.h.Name, Begin: at + protocol.Second, Ready: r.ready})
			}
		}
	}
	return true
}
