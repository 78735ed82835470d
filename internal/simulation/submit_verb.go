package simulation

import (
	"fmt"
	"strings"

	"mapleslip/internal/protocol"
)

var (
	kindWords = map[string]protocol.JobKind{"array": protocol.Array, "gang": protocol.Gang, "service": protocol.Service}
	rankWords = map[string]protocol.Priority{"critical": protocol.PriorityCritical, "high": protocol.PriorityHigh, "standard": protocol.PriorityStandard, "low": protocol.PriorityLow}
)

func (w *World) actSubmit(words []string) error {
	if len(words) < 3 {
		return fmt.Errorf("submit REF KIND")
	}
	o := options(words[3:])
	has := func(k string) bool { _, ok := o[k]; return ok }
	text := func(k, def string) string {
		if has(k) {
			return o[k]
		}
		return def
	}
	kind, ok := kindWords[words[2]]
	rank, ok2 := rankWords[text("rank", "standard")]
	if !ok || !ok2 {
		return fmt.Errorf("unknown kind or rank")
	}
	run := protocol.FromSeconds(number(o, "run", 10))
	s := &protocol.JobSpec{
		Ref: words[1], Class: text("class", "work"), Team: text("team", "red"), Kind: kind, Priority: rank, Tasks: int(number(o, "tasks", 1)),
		TaskResources: protocol.Resources{CPU: thousandths(number(o, "cpus", 1)), GPU: thousandths(number(o, "gpus", 1)), Memory: thousandths(number(o, "mem", 1))},
		Image:         text("image", "img-1"), ImageSize: thousandths(number(o, "size", 2)), Zone: o["zone"], SingleZone: has("one-zone"), SpreadZones: has("spread"), AllowSpot: has("spot"),
		EstimatedRuntime: protocol.FromSeconds(number(o, "estimate", run.Seconds())), CheckpointInterval: protocol.FromSeconds(number(o, "checkpoint", 0)),
		Deadline: protocol.FromSeconds(number(o, "deadline", 0)),
	}
	if has("awaits") {
		s.DependsOn = strings.Split(o["awaits"], ",")
	}
	if has("types") {
		s.MachineTypes = strings.Split(o["types"], ",")
	}
	j := &userJob{spec: s, body: protocol.AppendJob(nil, s), run: run, fails: has("fails"), results: make([]bool, s.Tasks)}
	w.submit(j)
	return nil
}
