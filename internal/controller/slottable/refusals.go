package slottable

import "slices"

// refusal records a request for which a search found no place now. Requests that require as much or
// more find none either, as long as rows only lose room.
type refusal struct {
	resources         resources
	runtime           micros
	imageSize         int64
	imageID           int32 // -1: any image and run time
	types             []string
	zone              string
	allowSpot         bool
	opportunistic     bool
	spareCapacityOnly bool
}

// maxRefusals bounds the number of refusals that are kept in a cycle.
const maxRefusals = 64

// isRefused reports whether a recorded refusal shows that there is no place now for a request.
func (t *Table) isRefused(r *Request, zone string) bool {
	t.Work += visitWork
	if len(r.Preferred) > 0 {
		return false
	}
	for i := range t.refusals {
		f := &t.refusals[i]
		if !r.Resources.Covers(f.resources) || r.AllowSpot && !f.allowSpot || f.opportunistic && !r.Opportunistic || f.spareCapacityOnly && !r.SpareCapacityOnly {
			continue
		}
		if f.imageID >= 0 && (f.imageID != r.imageID || r.Runtime < f.runtime || r.ImageSize < f.imageSize) {
			continue
		}
		if f.zone != "" && f.zone != zone && f.zone != r.Zone || !slices.Equal(f.types, r.Types) {
			continue
		}
		return true
	}
	return false
}

// recordRefusal records that a search found no place now for a request. It records nothing if that
// may depend on what a refusal does not contain, or on the marks of a trial.
func (t *Table) recordRefusal(r *Request, s *search) {
	if len(t.refusals) >= maxRefusals || r.ImageLocalOnly || r.Avoid != nil || r.MaxPerZone > 0 || len(r.TasksByZone) > 0 || len(t.trialMarks) > 0 {
		return
	}
	f := refusal{resources: r.Resources, runtime: r.Runtime, imageSize: r.ImageSize, imageID: r.imageID, types: r.Types, zone: s.searchedZone(), allowSpot: r.AllowSpot, opportunistic: r.Opportunistic, spareCapacityOnly: r.SpareCapacityOnly}
	if !s.roomTooShort {
		f.imageID = -1
	}
	t.refusals = append(t.refusals, f)
}

// searchedZone returns the only zone that a search covers, or anyZone.
func (s *search) searchedZone() string {
	if s.request.Zone != "" {
		return s.request.Zone
	}
	return s.onlyZone
}
