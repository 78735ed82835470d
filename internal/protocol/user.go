package protocol

import (
	"fmt"
	"math"
	"slices"
	"strconv"

	"github.com/valyala/fastjson"
)

// JobKind is a job's shape.
type JobKind uint8

// Kinds of jobs.
const (
	Array   JobKind = iota // independent tasks
	Gang                   // all tasks run at the same time
	Service                // replicas run until cancelled
)

// Priority is a job's priority; a lower value goes first.
type Priority uint8

// Ranks, highest first.
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

// MaxDependencies is how many jobs one job may await. A job's record has to fit into a value of
// the state service, also of one with low limits.
const MaxDependencies = 64

// JobSpec is what a user submits.
type JobSpec struct {
	Ref, Class, Team                       string
	Kind                                   JobKind
	Priority                               Priority
	Tasks                                  int
	TaskResources                          Resources
	Image                                  string
	ImageSize                              int64    // thousandths of a GB
	MachineTypes                           []string // nil: any
	Zone                                   string   // "": any
	SingleZone, SpreadZones, AllowSpot     bool
	EstimatedRuntime                       Micros
	CheckpointInterval, CheckpointDuration Micros   // 0: never saves
	Deadline                               Micros   // from submission; 0: none
	DependsOn                              []string // jobs that have to be done before any task starts, each once
}

// CanCheckpoint reports whether tasks can save progress.
func (s *JobSpec) CanCheckpoint() bool { return s.CheckpointInterval > 0 }

// AllowsType reports whether the job may run on a machine type.
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

// ValidRef reports whether a job id has the published form.
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

// fields reads the members of a JSON object and keeps the first problem.
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
	s := string(v.GetStringBytes())
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

func (f *fields) choice(name string, from []string) int {
	s := f.text(name)
	for i, c := range from {
		if c == s {
			return i
		}
	}
	f.fail(name, "invalid")
	return 0
}

// optional returns a member, or nil where it is null or left out.
func (f *fields) optional(name string) *fastjson.Value {
	v := f.obj.Get(name)
	if v == nil || v.Type() == fastjson.TypeNull {
		return nil
	}
	return v
}

func (f *fields) count(name string) uint64 {
	v := f.get(name, fastjson.TypeNumber)
	if v == nil {
		return 0
	}
	n, err := v.Uint64()
	if err != nil {
		// 16.0 is a whole number too.
		x, ferr := v.Float64()
		var whole bool
		if n, whole = integerValue(x); ferr != nil || !whole {
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

// validText reports whether a text may be a name: neither empty nor too long.
func validText(s string) bool { return s != "" && len(s) <= 200 }

var null = fastjson.MustParse("null")

// Member returns a member of an object, or a null where it is missing: reading
// what is not there is an error then, and no fault of the program.
func Member(v *fastjson.Value, name string) *fastjson.Value {
	if m := v.Get(name); m != nil {
		return m
	}
	return null
}

// ParseJob checks a submission. Any error means 400.
func ParseJob(body []byte) (*JobSpec, error) {
	p := Parsers.Get()
	defer Parsers.Put(p)
	v, err := parseObject(p, body)
	if err != nil {
		return nil, err
	}
	return JobFromJSON(v)
}

// JobFromJSON checks a submission that is parsed already.
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
	n := f.count("shards")
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
			s.MachineTypes = append(s.MachineTypes, string(t.GetStringBytes()))
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

// dependencies reads the jobs that a job awaits. One that is named twice counts once.
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
		awaited := string(item.GetStringBytes())
		switch {
		case !ValidRef(awaited):
			f.fail(name, "invalid")
			return nil
		case awaited == ref:
			f.fail(name, "the job itself")
			return nil
		case !slices.Contains(refs, awaited):
			refs = append(refs, awaited)
		}
	}
	return refs
}

// AppendJob writes a job in the form of the interface, which is also the form
// in which it is kept.
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

// appendName writes the name of a member of a JSON object.
func appendName(b []byte, name string) []byte {
	return append(append(append(b, '"'), name...), `":`...)
}

// appendList writes a JSON array.
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

// AppendQuoted writes a JSON string.
func AppendQuoted(b []byte, s string) []byte {
	var a fastjson.Arena
	return a.NewString(s).MarshalTo(b)
}

// Phase is what users are told of a job.
type Phase string

// Phases of a job.
const (
	PhaseQueued    Phase = "queued"
	PhaseRunning   Phase = "running"
	PhaseDone      Phase = "done"
	PhaseCancelled Phase = "cancelled"
)

// JobStatusBody is the body that says how a job stands.
func JobStatusBody(ref string, p Phase, done, running int) []byte {
	b := append([]byte(`{"ref":`), AppendQuoted(nil, ref)...)
	b = append(b, `,"phase":"`...)
	b = append(b, p...)
	b = append(b, `","done":`...)
	b = strconv.AppendInt(b, int64(done), 10)
	b = append(b, `,"running":`...)
	b = strconv.AppendInt(b, int64(running), 10)
	return append(b, '}')
}

// WaitingJobStatusBody is a JobStatusBody of a queued job that awaits others still, with their names.
func WaitingJobStatusBody(ref string, awaiting []string) []byte {
	b := JobStatusBody(ref, PhaseQueued, 0, 0)
	b = appendName(append(b[:len(b)-1], ','), "awaiting")
	return append(appendList(b, awaiting, AppendQuoted), '}')
}

// ErrorBody is the body of an answer that reports a problem.
func ErrorBody(text string) []byte {
	return append(AppendQuoted([]byte(`{"error":`), text), '}')
}

// LeaderBody is the body of a 421.
func LeaderBody(leader string) []byte {
	if leader == "" {
		return []byte(`{}`)
	}
	return append(AppendQuoted([]byte(`{"leader":`), leader), '}')
}
