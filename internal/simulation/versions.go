package simulation

import (
	"fmt"
	"strconv"
	"strings"

	"github.com/valyala/fastjson"

	"mapleslip/internal/controller"
	"mapleslip/internal/featuregate"
	"mapleslip/internal/protocol"
	"mapleslip/internal/records"
)

// Controllers of two versions side by side. A controller of the version in production is simulated
// by one of this version with feature levels disabled: it writes no entry in the roster, requests
// no level, and refuses records of the later format. This is valid as long as two conditions hold:
// all that it writes is byte for byte what production writes (checked by
// internal/featuregate/golden_test.go), and everything else that is new in this version depends on
// a feature level.
//
// Epochs and tokens depend on no level. A simulated production leader has one token for each epoch, as
// production has. It has nothing forgotten that it launched directly, since it can't raise the token;
// production has it forgotten under the same token, so that a copy of the launch starts it again.

// versions checks how the controllers handle feature levels.
type versions struct {
	active featuregate.Level // the active level in the state service
}

// nodeVersions has the versions that a controller runs.
type nodeVersions struct {
	nextVersion version // of its next process
	running     version // of its current process, or of the last one
}

// version describes which feature levels a controller's process supports. The zero value is this
// version of the program.
type version struct {
	production  bool              // the version in production, without feature levels
	fewerLevels featuregate.Level // how many levels less than this version it serves
}

// serves returns the highest feature level that a version serves.
func (v version) serves() featuregate.Level {
	if v.production {
		return 0
	}
	return featuregate.Build.High - v.fewerLevels
}

// configure sets up a new process of a controller for its version.
func (w *World) configure(n *node) {
	if n.running = n.nextVersion; n.running.production {
		n.ctl.DisableFeatureLevels()
		return
	}
	n.ctl.SetFeatureRange(featuregate.Range{High: n.running.serves()}, "rehearsal")
}

// setupProduction carries out production COUNT: the first COUNT controllers run the version in
// production.
func (w *World) setupProduction(words []string) error {
	count, err := strconv.Atoi(words[1])
	if err != nil || count > len(w.nodes) {
		return fmt.Errorf("production COUNT, after nodes")
	}
	for i, n := range w.nodes {
		n.nextVersion.production = i < count
	}
	return nil
}

// actUpgrade changes the version of a controller, or of all:
//
//	upgrade NODE|all [after=3] [less=1]: to this version; with less=1, to one that serves one
//	    feature level less
//	downgrade NODE|all [after=3]: to the version in production
//
// A running process is killed, and the new one starts after that many seconds. A controller that
// is down runs the new version when it is started.
func (w *World) actUpgrade(words []string) error {
	names := []string{words[1]}
	if words[1] == "all" {
		names = nil
		for _, n := range w.nodes {
			names = append(names, n.name)
		}
	}
	for _, name := range names {
		n := w.nodeNamed(name)
		if n == nil {
			return fmt.Errorf("no such node")
		}
		o := options(words[2:])
		n.nextVersion = version{production: words[0] == "downgrade", fewerLevels: featuregate.Level(number(o, "less", 0))}
		if n.alive {
			w.stopNode(n, protocol.FromSeconds(number(o, "after", 3)))
		}
	}
	return nil
}

// committedLevels checks the changes of a committed transaction: the active level only rises,
// each controller serves it, and the format of the records is that of the active level.
func (w *World) committedLevels(writes []*fastjson.Value) {
	v := &w.versions
	for _, c := range writes {
		key := string(c.GetStringBytes("set"))
		if key != featuregate.KeyLevel {
			continue
		}
		level, err := featuregate.DecodeLevel(c.Get("data").MarshalTo(nil))
		if err != nil || level <= v.active {
			w.reportViolation("feature level: %s after %d, %v", c.Get("data"), v.active, err)
		}
		v.active = level
		w.note("feature level %d is active", level)
		for _, n := range w.nodes {
			if n.running.serves() < level {
				w.reportViolation("feature level %d is active, and %s serves up to %d", level, n.name, n.running.serves())
			}
		}
	}
	for _, c := range writes {
		value := c.Get("data")
		key := string(c.GetStringBytes("set"))
		if strings.HasPrefix(key, records.JobPrefix) && len(value.GetArray("job", "awaits")) > 0 && v.active < featuregate.ChainedJobs.From {
			w.reportViolation("%s awaits others at feature level %d", key, v.active)
		}
		switch key {
		case records.KeyEpoch:
			if e, err := records.DecodeEpoch(value.MarshalTo(nil)); err != nil || e.Level != v.active {
				w.reportViolation("the epoch's record is %s at feature level %d", value, v.active)
			}
		case records.KeyMachineTypes:
			if _, versioned, err := records.DecodeMachineTypes(value.MarshalTo(nil)); err != nil || versioned != (v.active > 0) {
				w.reportViolation("the machine types are %s at feature level %d", value, v.active)
			}
		}
	}
}

// checkVersion checks that a controller whose version does not serve the active level, such as
// the one in production, does not lead.
func (w *World) checkVersion(n *node) {
	if n.running.serves() >= w.versions.active {
		return
	}
	switch n.ctl.Role() {
	case controller.RoleRecovering, controller.RoleLeader, controller.RoleLeaseUncertain:
		w.reportViolation("%s serves up to %d and leads at feature level %d", n.name, n.running.serves(), w.versions.active)
	case controller.RoleFollower, controller.RoleAcquiringLease, controller.RoleClaiming:
	}
}

// checkSends checks a call that a controller makes. A controller whose version does not serve the
// active level must neither claim leadership nor accept jobs, and no controller may send a
// transaction that was refused for its size.
func (w *World) checkSends(n *node, c controller.Call) {
	if lowered := w.store.loweredLimits; lowered != nil && c.Target == controller.ToState && lowered.refused[string(c.Body)] {
		w.reportViolation("%s sends a transaction that was refused", n.name)
	}
	if n.running.serves() < w.versions.active && c.Target == controller.ToState && c.Path == "/commit" &&
		(strings.Contains(string(c.Body), `"set":"`+records.JobPrefix) || strings.Contains(string(c.Body), `"set":"`+records.KeyLeader)) {
		w.reportViolation("%s serves up to %d and writes at feature level %d: %s", n.name, n.running.serves(), w.versions.active, c.Body)
	}
}

// expectLevel checks the expectations about feature levels:
//
//	level N: the active level in the state service
//	level NODE N|none: the active level in the status of a controller
//	level-waits NODE,NODE|nobody: the controllers that the leader reports as blocking a level
func (w *World) expectLevel(words []string) error {
	got := strconv.FormatUint(uint64(w.versions.active), 10)
	switch {
	case words[0] == "level-waits":
		var names []string
		blockers := w.leader().ctl.Snapshot().Features.Blockers
		for _, n := range w.nodes {
			if blockers[n.name] != "" {
				names = append(names, n.name)
			}
		}
		if got = strings.Join(names, ","); got == "" {
			got = "nobody"
		}
	case len(words) == 3:
		got = "none"
		if s := w.nodeNamed(words[1]).ctl.Snapshot().Features; s != nil {
			got = strconv.FormatUint(s.Active, 10)
		}
	}
	if want := words[len(words)-1]; got != want {
		return fmt.Errorf("got %s", got)
	}
	return nil
}
