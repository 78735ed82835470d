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

// Controllers of two versions side by side. That in production is played by a controller
// of this one that knows of no feature levels: it writes no entry in the roster, asks for
// no level, and refuses records of the later form. All that it writes is byte for byte what
// production writes (internal/featuregate/golden_test.go), and whatever else this version does
// anew hangs on a level; so it is a fair stand-in for as long as that stays true.

// versions judges what is done about feature levels.
type versions struct {
	active featuregate.Level // as the state service has it
}

// generation is which version a controller runs.
type generation struct {
	next version // of its next process
	runs version // of the one that it has, or had last
}

// version is what a controller's process knows of levels. The zero value is this version.
type version struct {
	production bool
	less       featuregate.Level // it serves so many levels less than this one
}

// serves is the highest level that a version serves.
func (v version) serves() featuregate.Level {
	if v.production {
		return 0
	}
	return featuregate.Build.High - v.less
}

// configure prepares a controller's process for its version.
func (w *World) configure(n *node) {
	if n.runs = n.next; n.runs.production {
		n.ctl.DisableFeatureLevels()
		return
	}
	n.ctl.SetFeatureRange(featuregate.Range{High: n.runs.serves()}, "rehearsal")
}

// sceneProduction has the first so many controllers run the version in production.
func (w *World) sceneProduction(words []string) error {
	count, err := strconv.Atoi(words[1])
	if err != nil || count > len(w.nodes) {
		return fmt.Errorf("production COUNT, after nodes")
	}
	for i, n := range w.nodes {
		n.next.production = i < count
	}
	return nil
}

// actUpgrade gives a controller this version, or that in production: upgrade NODE [after=3],
// downgrade NODE [after=3]; upgrade NODE less=1: a version that knows of levels and serves so
// many fewer. Its process is killed, if there is one, and another one comes
// after a while; one that is down comes back as the other.
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
		n.next = version{production: words[0] == "downgrade", less: featuregate.Level(number(o, "less", 0))}
		if n.alive {
			w.end(n, protocol.FromSeconds(number(o, "after", 3)))
		}
	}
	return nil
}

// committedLevels looks at what a transaction wrote about the levels.
func (w *World) committedLevels(then []*fastjson.Value) {
	v := &w.versions
	for _, c := range then {
		key := string(c.GetStringBytes("set"))
		if key != featuregate.KeyLevel {
			continue
		}
		level, err := featuregate.DecodeLevel(c.Get("data").MarshalTo(nil))
		if err != nil || level <= v.active {
			w.broken("feature level: %s after %d, %v", c.Get("data"), v.active, err)
		}
		v.active = level
		w.note("feature level %d is active", level)
		for _, n := range w.nodes {
			if n.runs.serves() < level {
				w.broken("feature level %d is active, and %s serves up to %d", level, n.name, n.runs.serves())
			}
		}
	}
	for _, c := range then {
		value := c.Get("data")
		key := string(c.GetStringBytes("set"))
		if strings.HasPrefix(key, records.JobPrefix) && len(value.GetArray("job", "awaits")) > 0 && v.active < featuregate.ChainedJobs.From {
			w.broken("%s awaits others at feature level %d", key, v.active)
		}
		switch key {
		case records.KeyEpoch:
			if e, err := records.DecodeEpoch(value.MarshalTo(nil)); err != nil || e.Level != v.active {
				w.broken("the epoch's record is %s at feature level %d", value, v.active)
			}
		case records.KeyMachineTypes:
			if _, later, err := records.DecodeMachineTypes(value.MarshalTo(nil)); err != nil || later != (v.active > 0) {
				w.broken("the machine types are %s at feature level %d", value, v.active)
			}
		}
	}
}

// checkVersion holds that a version that does not serve the active level, as that in
// production, does not lead.
func (w *World) checkVersion(n *node) {
	if n.runs.serves() >= w.versions.active {
		return
	}
	switch n.ctl.Role() {
	case controller.RoleRecovering, controller.RoleLeader, controller.RoleLeaseUncertain:
		w.broken("%s serves up to %d and leads at feature level %d", n.name, n.runs.serves(), w.versions.active)
	case controller.RoleFollower, controller.RoleAcquiringLease, controller.RoleClaiming:
	}
}

// checkSends holds that it neither goes to lead nor to accept by itself, and that nobody
// sends a transaction that was refused for its size.
func (w *World) checkSends(n *node, c controller.Call) {
	if fallen := w.store.fallen; fallen != nil && c.Target == controller.ToState && fallen.refused[string(c.Body)] {
		w.broken("%s sends a transaction that was refused", n.name)
	}
	if n.runs.serves() < w.versions.active && c.Target == controller.ToState && c.Path == "/commit" &&
		(strings.Contains(string(c.Body), `"set":"`+records.JobPrefix) || strings.Contains(string(c.Body), `"set":"`+records.KeyLeader)) {
		w.broken("%s serves up to %d and writes at feature level %d: %s", n.name, n.runs.serves(), w.versions.active, c.Body)
	}
}

// expectLevel: level N, as the state service has it; level NODE N, as a controller knows it;
// level-waits NODE,NODE|nobody, as the leader says.
func (w *World) expectLevel(words []string) error {
	got := strconv.FormatUint(uint64(w.versions.active), 10)
	switch {
	case words[0] == "level-waits":
		var names []string
		waits := w.leader().ctl.Snapshot().Features.Blockers
		for _, n := range w.nodes {
			if waits[n.name] != "" {
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
