package simulation

import (
	"slices"
	"strconv"
	"strings"

	"mapleslip/internal/featuregate"
	"mapleslip/internal/records"
)

// serviceVerbs returns the verbs for faults and changes of the state service and the cloud.
func serviceVerbs() map[string]verb {
	return map[string]verb{
		"state": func(w *World, words []string) error { w.store.setDown(words[1] == "down"); return nil },
		"cloud": func(w *World, words []string) error { w.cloudDown = words[1] == "down"; return nil },
		// cloud-slow SECONDS: delays the answers to rental requests.
		"cloud-slow": func(w *World, words []string) error { w.cloudDelay = seconds(words[1]); return nil },
		// state-slow SECONDS: delays the answers of the state service.
		"state-slow": func(w *World, words []string) error { w.stateDelay = seconds(words[1]); return nil },
		"list-lag":   func(w *World, words []string) error { w.listLag = seconds(words[1]); return nil },
		// announce value=2048 ops=4 changes=24: sets the announced next limits for controllers that
		// start from now on.
		"announce":         func(w *World, words []string) error { return w.setupAnnouncedLimits(words[1:]) },
		"lower-limits":     func(w *World, words []string) error { return w.actLimitsFall(words[1:]) },
		"overwrite-record": (*World).actSpoilRecord,
		"forget-launches":  (*World).actForgetLaunches,
		"lose-answers-of":  (*World).loseAnswersOf,
		"late-answers":     (*World).actLateAnswers,
	}
}

// actSpoilRecord: overwrite-record KEY [VALUE]: a client that is no controller writes a key, or
// deletes it if there is no value.
func (w *World) actSpoilRecord(words []string) error {
	if w.changes != nil {
		w.changes.recordOverwritten = true
	}
	w.store.revision++
	if len(words) == 2 {
		w.store.remove(words[1])
		return nil
	}
	w.store.set(words[1], &entry{value: words[2], revision: w.store.revision})
	return nil
}

// actForgetLaunches: forget-launches: changes the records to those of format 1, with an epoch that
// is a plain number and without launches and the feature level.
func (w *World) actForgetLaunches([]string) error {
	epoch, err := records.DecodeEpoch([]byte(w.store.keys[records.KeyEpoch].value))
	if err != nil {
		return err
	}
	w.store.keys[records.KeyEpoch].value = strconv.FormatUint(epoch.Number, 10)
	w.versions.active = 0
	for _, key := range slices.Clone(w.store.sortedKeys) {
		if strings.HasPrefix(key, records.LaunchShardPrefix) || key == featuregate.KeyLevel {
			w.store.remove(key)
		}
	}
	return nil
}

// networkVerbs returns the verbs for faults of the network: messages that are delayed, copied, held
// or lost.
func networkVerbs() map[string]verb {
	return map[string]verb{
		"late-writes":        (*World).actLate,
		"late-reports":       (*World).actLate,
		"late-commands":      (*World).actLate,
		"copy-commands":      (*World).actLate,
		"late-cloud":         (*World).actLate,
		"in-zone":            (*World).actFault,
		"link":               (*World).actLink,
		"unlink":             (*World).actLink,
		"duplicate-requests": (*World).actDuplicateRequests,
		// cut-zone a b: cuts zones off from all others, but not from each other; messages are held.
		"cut-zone":  func(w *World, words []string) error { w.cutZones = words[1:]; return nil },
		"heal-zone": func(w *World, _ []string) error { w.heal(); return nil },
	}
}

// operatorVerbs returns the verbs for the requests of operators.
func operatorVerbs() map[string]verb {
	return map[string]verb{
		// config KEY=VALUE ... [via=NODE] [expect=N], config-back REVISION
		"config":         (*World).actConfig,
		"config-back":    (*World).actConfig,
		"rollout":        (*World).actRollout,
		"rollout-pause":  (*World).actRollout,
		"rollout-resume": (*World).actRollout,
		"rollout-revert": (*World).actRollout,
	}
}
