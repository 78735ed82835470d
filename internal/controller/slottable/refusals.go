package slottable

import "slices"

// refusal is a request that found no place now. One that asks for as much or
// more finds none either, as long as rows only lose room.
type refusal struct {
	resources         resources
	runtime           micros
	imageSize         int64
	image             int32 // -1: whatever its image and run time
	types             []string
	zone              string
	allowSpot         bool
	opportunistic     bool
	spareCapacityOnly bool
}

// maxRefusals bounds what is remembered of a cycle.
const maxRefusals = 64

// isRefused reports whether a request is certain to find no place now.
func (t *Table) isRefused(r *Request, zone string) bool {
	t.Work += lookWork
	if len(r.Preferred) > 0 {
		return false
	}
	for i := range t.refusals {
		f := &t.refusals[i]
		if !r.Resources.Covers(f.resources) || r.AllowSpot && !f.allowSpot || f.opportunistic && !r.Opportunistic || f.spareCapacityOnly && !r.SpareCapacityOnly {
			continue
		}
		if f.image >= 0 && (f.image != r.image || r.Runtime < f.runtime || r.ImageSize < f.imageSize) {
			continue
		}
		if f.zone != "" && f.zone != zone && f.zone != r.Zone || !slices.Equal(f.types, r.Types) {
			continue
		}
		return true
	}
	return false
}

// refuse remembers that a request found no place now.
func (t *Table) rememberRefusal(r *Request, s *search) {
	if len(t.refusals) >= maxRefusals || r.ImageLocalOnly || r.Avoid != nil || r.MaxPerZone > 0 || len(r.TasksByZone) > 0 || len(t.trialMarks) > 0 {
		return
	}
	f := refusal{resources: r.Resources, runtime: r.Runtime, imageSize: r.ImageSize, image: r.image, types: r.Types, zone: s.zone(), allowSpot: r.AllowSpot, opportunistic: r.Opportunistic, spareCapacityOnly: r.SpareCapacityOnly}
	if !s.roomTooShort {
		f.image = -1
	}
	t.refusals = append(t.refusals, f)
}

// zone is the only zone that a search looked at, if there is one.
func (s *search) zone() string {
	if s.request.Zone != "" {
		return s.request.Zone
	}
	return s.onlyZone
}
