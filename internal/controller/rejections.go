package controller

import (
	"errors"
	"maps"
	"net/http"
	"slices"

	"mapleslip/internal/protocol"
)

// rejection is the reason why a submission is refused for good. label is from a fixed set, for
// metrics and logs; text is part of the reply.
type rejection struct {
	status      int
	label, text string
}

// Labels of rejections, beside the texts of the errors of validate.
const (
	rejectedMalformed  = "malformed"
	rejectedDependency = "awaits a job that it can't"
	rejectedTooLong    = "description too long"
	rejectedNotStored  = "the state service does not take the description"
)

var (
	rejectionTooLong   = rejection{http.StatusBadRequest, rejectedTooLong, rejectedTooLong}
	rejectionNotStored = rejection{http.StatusBadRequest, rejectedNotStored, rejectedNotStored}
)

// rejectionFor returns the rejection of a job that validate does not accept.
func rejectionFor(reason error) rejection {
	status := http.StatusUnprocessableEntity
	if errors.Is(reason, protocol.ErrNotUTF8) {
		status = http.StatusBadRequest
	}
	return rejection{status, reason.Error(), reason.Error()}
}

// rejectionOfMalformed returns the rejection of a body from which no job can be read.
func rejectionOfMalformed(err error) rejection {
	return rejection{http.StatusBadRequest, rejectedMalformed, err.Error()}
}

// rejectSubmission answers that a submission is refused for good. ref is "" if it could not be read.
func (env *environment) rejectSubmission(to ReplyAddress, ref string, r rejection) {
	if env.stats.Rejected == nil {
		env.stats.Rejected = make(map[string]uint64)
	}
	env.stats.Rejected[r.label]++
	env.log.Debug("submission rejected", "ref", ref, "status", r.status, "reason", r.text, "forwarded", to.Peer)
	env.replyError(to, r.status, r.text)
}

// countLog is the state of a periodic log of counts by reason.
type countLog struct{ logged map[string]uint64 }

// report logs how often each reason was counted since the last call.
func (l *countLog) report(counts map[string]uint64, log func(reason string, count uint64)) {
	for _, reason := range slices.Sorted(maps.Keys(counts)) {
		count := counts[reason]
		if count == l.logged[reason] {
			continue
		}
		if l.logged == nil {
			l.logged = make(map[string]uint64)
		}
		log(reason, count-l.logged[reason])
		l.logged[reason] = count
	}
}
