package protocol

import (
	"errors"
	"fmt"
	"math"
	"slices"
	"strconv"

	"github.com/valyala/fastjson"
)

// JobKind is the kind of a job, which determines how its tasks run.
type JobKind uint8

// Kinds of jobs.
const (
	Array   JobKind = iota // the tasks are independent of each other
	Gang                   // all tasks run at the same time
	Service                // the tasks are replicas that run until the job is cancelled
)

// Priority is the priority of a job. A lower value is scheduled first.
type Priority uint8

// Priorities, highest first.
const (
	PriorityCritical Priority = iota
	PriorityHigh
	PriorityStandard
	PriorityLow
)

var (
	kindNames     = []string{"array", "ensemble", "daemon"}
	priorityNames = []string{"critical", "high", "standard", "low"}
)

// MaxTasks is the largest number of tasks in a job.
const MaxTasks = 100000

// MaxDependencies is the largest number of jobs that a job may depend on. It keeps a job's record
// small enough for a value of the state service, even if the service has low limits.
const MaxDependencies = 64

// JobSpec is the specification of a job that a user submits.
type JobSpec struct {
	Ref, Class, Team                       string
	Kind                                   JobKind
	Priority                               Priority
	Tasks                                  int
	TaskResources                          Resources
	Image                                  string
	ImageSize                              int64    // thousandths of a GB
	MachineTypes                           []string // allowed types, nil for any
	Zone                                   string   // required zone, "" for any
	SingleZone, SpreadZones, AllowSpot     bool
	EstimatedRuntime                       Micros
	CheckpointInterval, CheckpointDuration Micros   // 0 if tasks make no checkpoints
	Deadline                               Micros   // time from submission, 0 if none
	DependsOn                              []string // jobs that must be done before any task starts
	// NotUTF8: the submission was not UTF-8. Such a job is known only if an earlier version
	// accepted it. A record does not have this field.
	NotUTF8 bool
}

// CanCheckpoint reports whether the job's tasks make checkpoints.
func (s *JobSpec) CanCheckpoint() bool { return s.CheckpointInterval > 0 }

// AllowsType reports whether the job may run on machines of a type.
func (s *JobSpec) AllowsType(name string) bool {
	if s.MachineTypes == nil {
		return true
	}
	for _, t := range s.MachineTypes {
		if t == name {
			return true
		}
	}
	return false
}

// ValidRef reports whether s has the documented form of a job's ref: "req-" and 6 to 20 digits.
func ValidRef(s string) bool {
	if len(s) < 10 || len(s) > 24 || s[:4] != "req-" {
		return false
	}
	for _, c := range []byte(s[4:]) {
		if c < '0' || c > '9' {
			return false
		}
	}
	return true
}

// fields reads the members of a JSON object and keeps the first error.
type fields struct {
	obj *fastjson.Value
	err error
}

func (f *fields) fail(name, problem string) {
	if f.err == nil {
		f.err = fmt.Errorf("%s: %s", name, problem)
	}
}

func (f *fields) get(name string, kind fastjson.Type) *fastjson.Value {
	v := f.optional(name)
	if v == nil {
		f.fail(name, "missing")
		return nil
	}
	if v.Type() != kind {
		f.fail(name, "invalid")
		return nil
	}
	return v
}

func (f *fields) text(name string) string {
	v := f.get(name, fastjson.TypeString)
	if v == nil {
		return ""
	}
	s := textOf(v)
	if !validText(s) {
		f.fail(name, "invalid")
	}
	return s
}

func (f *fields) number(name string) float64 {
	v := f.get(name, fastjson.TypeNumber)
	if v == nil {
		return 0
	}
	n, err := v.Float64()
	if err != nil || math.IsNaN(n) || n < 0 || n > 1e12 {
		f.fail(name, "invalid")
		return 0
	}
	return n
}

func (f *fields) flag(name string) bool {
	v := f.obj.Get(name)
	if v == nil || (v.Type() != fastjson.TypeTrue && v.Type() != fastjson.TypeFalse) {
		f.fail(name, "missing or invalid")
		return false
	}
	return v.Type() == fastjson.TypeTrue
}

func (f *fields) choice(name string, allowed []string) int {
	s := f.text(name)
	for i, c := range allowed {
		if c == s {
			return i
		}
	}
	f.fail(name, "invalid")
	return 0
}

// optional returns a member, or nil if it is null or missing.
func (f *fields) optional(name string) *fastjson.Value {
	v := f.obj.Get(name)
	if v == nil || v.Type() == fastjson.TypeNull {
		return nil
	}
	return v
}

func (f *fields) integer(name string) uint64 {
	v := f.get(name, fastjson.TypeNumber)
	if v == nil {
		return 0
	}
	n, err := v.Uint64()
	if err != nil {
		// Uint64 rejects whole numbers that are written like 16.0.
		x, floatErr := v.Float64()
		var whole bool
		if n, whole = integerValue(x); floatErr != nil || !whole {
			f.fail(name, "invalid")
			return 0
		}
	}
	return n
}

func integerValue(x float64) (uint64, bool) {
	if x >= 0 && x == math.Trunc(x) && x < 1<<53 {
		return uint64(x), true
	}
	return 0, false
}

// validText reports whether s is neither empty nor longer than 200 bytes.
func validText(s string) bool { return s != "" && len(s) <= 200 }

var nullValue = fastjson.MustParse("null")

// Member returns a member of an object, or a JSON null if it is missing. Unlike nil, a null makes
// methods such as Array return an error instead of panicking.
func Member(v *fastjson.Value, name string) *fastjson.Value {
	if m := v.Get(name); m != nil {
		return m
	}
	return nullValue
}

// ParseJob parses and validates the submission of a job. The response to any error is status 400.
// If the body is not UTF-8, which earlier versions did not check, the error is ErrNotUTF8 and the
// job is the one that they accepted.
func ParseJob(body []byte) (*JobSpec, error) {
	p := Parsers.Get()
	defer Parsers.Put(p)
	v, err := ParseObject(p, body)
	if errors.Is(err, ErrNotUTF8) {
		return parseEarlierJob(p, body)
	}
	if err != nil {
		return nil, err
	}
	return JobFromJSON(v)
}

// parseEarlierJob returns the job that earlier versions read from a body that is not UTF-8, with
// ErrNotUTF8.
func parseEarlierJob(p *fastjson.Parser, body []byte) (*JobSpec, error) {
	v, err := parseStored(p, body)
	if err != nil {
		return nil, err
	}
	spec, err := JobFromJSON(v)
	if err != nil {
		return nil, err
	}
	spec.NotUTF8 = true
	return spec, ErrNotUTF8
}

// JobFromJSON is ParseJob for JSON that is already parsed.
func JobFromJSON(v *fastjson.Value) (*JobSpec, error) {
	f := &fields{obj: v}
	s := &JobSpec{
		Ref: f.text("ref"), Class: f.text("jobclass"), Team: f.text("owner"),
		Kind: JobKind(f.choice("shape", kindNames)), Priority: Priority(f.choice("rank", priorityNames)),
		TaskResources: Resources{
			CPU: needThousandths(f.number("cores")), GPU: needThousandths(f.number("gpus")),
			Memory: needThousandths(f.number("memoryGb")),
		},
		Image: f.text("bundle"), ImageSize: needThousandths(f.number("sizeGb")),
		SingleZone: f.flag("samePlace"), SpreadZones: f.flag("apart"), AllowSpot: f.flag("reclaimable"),
		EstimatedRuntime:   FromSeconds(f.number("expectS")),
		CheckpointInterval: FromSeconds(f.number("snapshotEveryS")),
		CheckpointDuration: FromSeconds(f.number("snapshotS")),
	}
	if f.err == nil && !ValidRef(s.Ref) {
		f.fail("ref", "invalid")
	}
	n := f.integer("shards")
	if n < 1 || n > MaxTasks {
		f.fail("shards", "invalid")
	}
	s.Tasks = int(n)
	if v := f.optional("flavors"); v != nil {
		list, err := v.Array()
		if err != nil || len(list) > 1000 {
			f.fail("flavors", "invalid")
		}
		s.MachineTypes = []string{}
		for _, t := range list {
			if t.Type() != fastjson.TypeString {
				f.fail("flavors", "invalid")
				break
			}
			s.MachineTypes = append(s.MachineTypes, textOf(t))
		}
	}
	if f.optional("region") != nil {
		s.Zone = f.text("region")
	}
	if f.optional("dueS") != nil {
		if s.Deadline = FromSeconds(f.number("dueS")); s.Deadline == 0 {
			s.Deadline = 1
		}
	}
	s.DependsOn = f.dependencies(s.Ref)
	return s, f.err
}

// dependencies reads the refs of the jobs that the job with the given ref depends on, without
// duplicates.
func (f *fields) dependencies(ref string) []string {
	const name = "awaits"
	v := f.optional(name)
	if v == nil {
		return nil
	}
	list, err := v.Array()
	if err != nil {
		f.fail(name, "invalid")
		return nil
	}
	if len(list) > MaxDependencies {
		f.fail(name, fmt.Sprintf("more than %d jobs", MaxDependencies))
		return nil
	}
	var refs []string
	for _, item := range list {
		dependency := textOf(item)
		switch {
		case !ValidRef(dependency):
			f.fail(name, "invalid")
			return nil
		case dependency == ref:
			f.fail(name, "the job itself")
			return nil
		case !slices.Contains(refs, dependency):
			refs = append(refs, dependency)
		}
	}
	return refs
}

// AppendJob appends a job in the format of the user API, in which it is also stored.
func AppendJob(b []byte, s *JobSpec) []byte {
	text := func(name, v string) { b = append(AppendQuoted(appendName(b, name), v), ',') }
	amount := func(name string, v int64) { b = append(appendThousandths(appendName(b, name), v), ',') }
	span := func(name string, v Micros) { b = append(appendSeconds(appendName(b, name), v), ',') }
	flag := func(name string, v bool) { b = append(strconv.AppendBool(appendName(b, name), v), ',') }
	b = append(b, '{')
	text("ref", s.Ref)
	text("jobclass", s.Class)
	text("owner", s.Team)
	text("shape", kindNames[s.Kind])
	text("rank", priorityNames[s.Priority])
	b = append(b, `"shards":`...)
	b = strconv.AppendInt(b, int64(s.Tasks), 10)
	b = append(b, ',')
	amount("cores", s.TaskResources.CPU)
	amount("gpus", s.TaskResources.GPU)
	amount("memoryGb", s.TaskResources.Memory)
	text("bundle", s.Image)
	amount("sizeGb", s.ImageSize)
	if s.MachineTypes != nil {
		b = append(appendList(appendName(b, "flavors"), s.MachineTypes, AppendQuoted), ',')
	}
	if s.Zone != "" {
		text("region", s.Zone)
	}
	flag("samePlace", s.SingleZone)
	flag("apart", s.SpreadZones)
	flag("reclaimable", s.AllowSpot)
	span("expectS", s.EstimatedRuntime)
	span("snapshotEveryS", s.CheckpointInterval)
	if s.Deadline > 0 {
		span("dueS", s.Deadline)
	}
	if len(s.DependsOn) > 0 {
		b = append(appendList(appendName(b, "awaits"), s.DependsOn, AppendQuoted), ',')
	}
	b = append(b, `"snapshotS":`...)
	b = appendSeconds(b, s.CheckpointDuration)
	return append(b, '}')
}

// appendName appends the name of a member of a JSON object.
func appendName(b []byte, name string) []byte {
	return append(append(append(b, '"'), name...), `":`...)
}

// appendList appends a JSON array, whose items it appends with item.
func appendList[T any](b []byte, list []T, item func([]byte, T) []byte) []byte {
	b = append(b, '[')
	for i, v := range list {
		if i > 0 {
			b = append(b, ',')
		}
		b = item(b, v)
	}
	return append(b, ']')
}

func appendInt(b []byte, n int) []byte { return strconv.AppendInt(b, int64(n), 10) }

// Phase is the phase of a job as reported to users.
type Phase string

// Phases of a job.
const (
	PhaseQueued    Phase = "queued"
	PhaseRunning   Phase = "running"
	PhaseDone      Phase = "done"
	PhaseCancelled Phase = "cancelled"
)

// JobStatusBody returns the body of a response with a job's status: its phase, and how many of its
// tasks are done and running.
func JobStatusBody(ref string, phase Phase, done, running int) []byte {
	b := append([]byte(`{"ref":`), AppendQuoted(nil, ref)...)
	b = append(b, `,"phase":"`...)
	b = append(b, phase...)
	b = append(b, `","done":`...)
	b = strconv.AppendInt(b, int64(done), 10)
	b = append(b, `,"running":`...)
	b = strconv.AppendInt(b, int64(running), 10)
	return append(b, '}')
}

// WaitingJobStatusBody returns the status of a queued job that is waiting for the given
// dependencies to be done.
func WaitingJobStatusBody(ref string, dependencies []string) []byte {
	b := JobStatusBody(ref, PhaseQueued, 0, 0)
	b = appendName(append(b[:len(b)-1], ','), "awaiting")
	return append(appendList(b, dependencies, AppendQuoted), '}')
}

// ErrorBody returns the body of a response that reports an error.
func ErrorBody(text string) []byte {
	return append(AppendQuoted([]byte(`{"error":`), text), '}')
}

// LeaderBody returns the body of a response with status 421, which redirects a worker to the
// leader. leader is "" if the leader is unknown.
func LeaderBody(leader string) []byte {
	if leader == "" {
		return []byte(`{}`)
	}
	return append(AppendQuoted([]byte(`{"leader":`), leader), '}')
}
