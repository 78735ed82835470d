package simulation

import (
	"fmt"
	"strings"

	"mapleslip/internal/protocol"
)

var (
	kindWords     = map[string]protocol.JobKind{"array": protocol.Array, "gang": protocol.Gang, "service": protocol.Service}
	priorityWords = map[string]protocol.Priority{"critical": protocol.PriorityCritical, "high": protocol.PriorityHigh, "standard": protocol.PriorityStandard, "low": protocol.PriorityLow}
)

// actSubmit: submit REF KIND [OPTION[=VALUE] ...]: a user submits a job. The options are those that
// the function reads, such as tasks=2 or spot.
func (w *World) actSubmit(words []string) error {
	if len(words) < 3 {
		return fmt.Errorf("submit REF KIND")
	}
	opts := options(words[3:])
	has := func(k string) bool { _, ok := opts[k]; return ok }
	text := func(k, def string) string {
		if has(k) {
			return opts[k]
		}
		return def
	}
	kind, ok := kindWords[words[2]]
	rank, ok2 := priorityWords[text("rank", "standard")]
	if !ok || !ok2 {
		return fmt.Errorf("unknown kind or rank")
	}
	run := protocol.FromSeconds(number(opts, "run", 10))
	spec := &protocol.JobSpec{
		Ref: words[1], Class: text("class", "work"), Team: text("team", "red"), Kind: kind, Priority: rank, Tasks: int(number(opts, "tasks", 1)),
		TaskResources: protocol.Resources{CPU: thousandths(number(opts, "cpus", 1)), GPU: thousandths(number(opts, "gpus", 1)), Memory: thousandths(number(opts, "mem", 1))},
		Image:         text("image", "img-1"), ImageSize: thousandths(number(opts, "size", 2)), Zone: opts["zone"], SingleZone: has("one-zone"), SpreadZones: has("spread"), AllowSpot: has("spot"),
		EstimatedRuntime: protocol.FromSeconds(number(opts, "estimate", run.Seconds())), CheckpointInterval: protocol.FromSeconds(number(opts, "checkpoint", 0)),
		Deadline: protocol.FromSeconds(number(opts, "deadline", 0)),
	}
	if has("awaits") {
		spec.DependsOn = strings.Split(opts["awaits"], ",")
	}
	if has("types") {
		spec.MachineTypes = strings.Split(opts["types"], ",")
	}
	j := &userJob{spec: spec, body: protocol.AppendJob(nil, spec), run: run, fails: has("fails"), results: make([]bool, spec.Tasks)}
	w.submit(j)
	return nil
}
