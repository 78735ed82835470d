package simulation

import (
	"slices"
	"strconv"
	"strings"

	"mapleslip/internal/featuregate"
	"mapleslip/internal/records"
)

// serviceVerbs are what happens to the state service and the cloud.
func serviceVerbs() map[string]verb {
	return map[string]verb{
		"state":           func(w *World, words []string) error { w.store.setDown(words[1] == "down"); return nil },
		"cloud":           func(w *World, words []string) error { w.cloudDown = words[1] == "down"; return nil },
		"cloud-slow":      func(w *World, words []string) error { w.cloudSlow = seconds(words[1]); return nil }, // rental requests are answered so many seconds later
		"state-slow":      func(w *World, words []string) error { w.stateSlow = seconds(words[1]); return nil }, // the state service answers so many seconds later
		"list-lag":        func(w *World, words []string) error { w.listLag = seconds(words[1]); return nil },
		"announce":        func(w *World, words []string) error { return w.sceneNext(words[1:]) }, // to controllers that start from now on: announce value=2048 ops=4 changes=24
		"limits-fall":     func(w *World, words []string) error { return w.actLimitsFall(words[1:]) },
		"spoil-record":    (*World).actSpoilRecord,
		"forget-launches": (*World).actForgetLaunches,
		"lose-answers-of": (*World).loseAnswersOf,
		"late-answers":    (*World).actLateAnswers,
	}
}

// actSpoilRecord: spoil-record KEY VALUE: somebody else writes it; without a value, drops it.
func (w *World) actSpoilRecord(words []string) error {
	if w.changes != nil {
		w.changes.spoilt = true
	}
	w.store.revision++
	if len(words) == 2 {
		w.store.drop(words[1])
		return nil
	}
	w.store.set(words[1], &entry{value: words[2], stamp: w.store.revision})
	return nil
}

// actForgetLaunches: the records become those of format 1: an epoch that is a number, no launches.
func (w *World) actForgetLaunches([]string) error {
	epoch, err := records.DecodeEpoch([]byte(w.store.keys[records.KeyEpoch].value))
	if err != nil {
		return err
	}
	w.store.keys[records.KeyEpoch].value = strconv.FormatUint(epoch.Number, 10)
	w.versions.active = 0
	for _, key := range slices.Clone(w.store.order) {
		if strings.HasPrefix(key, records.LaunchShardPrefix) || key == featuregate.KeyLevel {
			w.store.drop(key)
		}
	}
	return nil
}

// networkVerbs are what happens to messages on their way.
func networkVerbs() map[string]verb {
	return map[string]verb{
		"late-writes":   (*World).actLate,
		"late-reports":  (*World).actLate,
		"late-commands": (*World).actLate,
		"in-zone":       (*World).actTrouble,
		"link":          (*World).actLink,
		"unlink":        (*World).actLink,
		"copies":        func(w *World, words []string) error { w.copies = seconds(words[1]); return nil }, // copies SECONDS: so long after a request was carried out a copy of it comes; 0: no more
		"cut-zone":      func(w *World, words []string) error { w.cutZones = words[1:]; return nil },       // cut-zone a b: zones, together, from everything outside; messages are held
		"heal-zone":     func(w *World, _ []string) error { w.heal(); return nil },
	}
}

// operatorVerbs are what operators do.
func operatorVerbs() map[string]verb {
	return map[string]verb{
		"config":         (*World).actConfig, // config KEY=VALUE ... [via=NODE] [expect=N], config-back REVISION
		"config-back":    (*World).actConfig,
		"rollout":        (*World).actRollout,
		"rollout-pause":  (*World).actRollout,
		"rollout-resume": (*World).actRollout,
		"rollout-revert": (*World).actRollout,
	}
}
