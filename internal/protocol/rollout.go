package protocol

import (
	"fmt"
	"math"
	"strconv"
	"strings"

	"github.com/valyala/fastjson"
)

// CheckKind is the kind of a health check.
type CheckKind uint8

// Kinds of health checks.
const (
	CheckHTTP CheckKind = iota // sends a GET request; passes if the status is from 200 to 299
	CheckTCP                   // opens a connection; passes if it is accepted
)

var checkKindNames = []string{"http", "tcp"}

func (k CheckKind) String() string { return checkKindNames[k] }

// HealthCheck specifies how the instances of a service are checked.
type HealthCheck struct {
	Kind                               CheckKind
	AddressTemplate                    string // template of the address, IP:port
	Path                               string // template of the path of an HTTP check
	Interval                           Micros // time between two checks of an instance
	Timeout                            Micros // of one check, including the connection
	SuccessThreshold, FailureThreshold int    // consecutive passes or failures
}

// RolloutSpec is a user's request for a roll-out. Job has no ref and no number of tasks, since a
// roll-out sets them for each job that it submits. AdoptJobs names jobs submitted by users that
// make up the old version, if that was not created by a roll-out.
type RolloutSpec struct {
	ID, Service                 string
	Job                         *JobSpec
	Count, MinHealthy, MaxSurge int
	Stages                      []int // new instances at the end of each stage, rising to Count
	Check                       HealthCheck
	SoakTime                    Micros // how long a stage's new instances must stay healthy
	StartTimeout                Micros // an instance not running by then pauses the roll-out
	HealthTimeout               Micros // a running instance not healthy by then is faulty
	MaxFaulty                   int    // more faulty new instances revert the roll-out
	AdoptJobs                   []string
}

// Limits of a roll-out. maxAdopted limits RolloutSpec.AdoptJobs.
const (
	MaxInstances = 10_000
	MaxStages    = 32
	maxAdopted   = 32
)

// ValidService reports whether s is a valid name of a service or a roll-out: 1 to 40 lower-case
// letters, digits and hyphens, with no hyphen at either end.
func ValidService(s string) bool {
	if s == "" || len(s) > 40 || s[0] == '-' || s[len(s)-1] == '-' {
		return false
	}
	for _, c := range []byte(s) {
		if (c < 'a' || c > 'z') && (c < '0' || c > '9') && c != '-' {
			return false
		}
	}
	return true
}

// ParseRollout parses and validates a roll-out request. The response to any error is status 400.
func ParseRollout(body []byte) (*RolloutSpec, error) {
	p := Parsers.Get()
	defer Parsers.Put(p)
	v, err := ParseObject(p, body)
	if err != nil {
		return nil, err
	}
	return RolloutFromJSON(v)
}

// RolloutFromJSON is ParseRollout for JSON that is already parsed.
func RolloutFromJSON(v *fastjson.Value) (*RolloutSpec, error) {
	f := &fields{obj: v}
	s := &RolloutSpec{ID: f.text("id"), Service: f.text("service")}
	for _, n := range []struct{ key, value string }{{"id", s.ID}, {"service", s.Service}} {
		if f.err == nil && !ValidService(n.value) {
			f.fail(n.key, "must be up to 40 of a-z, 0-9 and inner hyphens")
		}
	}
	if job := f.get("job", fastjson.TypeObject); job != nil {
		s.Job = f.rolloutJob(job)
	}
	s.Count = f.instances("count", 1)
	s.MinHealthy = f.instances("floor", 0)
	s.MaxSurge = f.instances("surge", 0)
	s.MaxFaulty = f.instances("faulty", 0)
	if list := f.get("stages", fastjson.TypeArray); list != nil {
		s.Stages = f.stages(list.GetArray(), s.Count)
	}
	s.SoakTime = f.secondsWithin("soakS", 0, 86400)
	s.StartTimeout = f.secondsWithin("startS", 1, 86400)
	s.HealthTimeout = f.secondsWithin("healthyS", 1, 86400)
	if list := f.optional("adopt"); list != nil {
		s.AdoptJobs = f.adoptedJobs(list)
	}
	if check := f.get("check", fastjson.TypeObject); check != nil {
		checkFields := &fields{obj: check}
		s.Check = checkFields.healthCheck()
		if checkFields.err != nil {
			f.fail("check", checkFields.err.Error())
		}
	}
	return s, f.err
}

// rolloutJob reads the job of a roll-out. It overwrites the fields that the job of a roll-out does
// not have (ref and number of tasks, and the estimate, checkpoints and deadline, which services
// lack) with values that JobFromJSON accepts.
func (f *fields) rolloutJob(job *fastjson.Value) *JobSpec {
	var a fastjson.Arena
	job.Set("ref", a.NewString("req-000000"))
	job.Set("shape", a.NewString(kindNames[Service]))
	job.Set("shards", a.NewNumberInt(1))
	for _, name := range []string{"expectS", "snapshotEveryS", "snapshotS"} {
		job.Set(name, a.NewNumberInt(0))
	}
	job.Del("dueS")
	spec, err := JobFromJSON(job)
	if err != nil {
		f.fail("job", err.Error())
		return nil
	}
	spec.Ref, spec.Tasks = "", 0
	return spec
}

// instances reads a number of instances, from low to MaxInstances.
func (f *fields) instances(name string, low int) int {
	n := f.integer(name)
	if f.err == nil && (n < uint64(low) || n > MaxInstances) {
		f.fail(name, fmt.Sprintf("must be from %d to %d", low, MaxInstances))
	}
	return int(min(n, uint64(math.MaxInt32)))
}

// secondsWithin reads a duration, from low to high seconds.
func (f *fields) secondsWithin(name string, low, high float64) Micros {
	n := f.number(name)
	if f.err == nil && (n < low || n > high) {
		f.fail(name, fmt.Sprintf("must be from %g to %g", low, high))
	}
	return FromSeconds(n)
}

// adoptedJobs reads the refs of the jobs that a roll-out adopts as the old version.
func (f *fields) adoptedJobs(list *fastjson.Value) (adopted []string) {
	refs, err := list.Array()
	if err != nil || len(refs) > maxAdopted {
		f.fail("adopt", fmt.Sprintf("must be a list of at most %d jobs", maxAdopted))
	}
	for _, r := range refs {
		ref := textOf(r)
		if !ValidRef(ref) {
			f.fail("adopt", fmt.Sprintf("%q is no job", ref))
			break
		}
		adopted = append(adopted, ref)
	}
	return adopted
}

// healthCheck reads the specification of a health check.
func (f *fields) healthCheck() HealthCheck {
	check := HealthCheck{
		Kind: CheckKind(f.choice("how", checkKindNames)), AddressTemplate: f.text("at"),
		Interval: f.secondsWithin("everyS", 0.2, 3600), Timeout: f.secondsWithin("timeoutS", 0.05, 60),
	}
	if check.Kind == CheckHTTP {
		check.Path = f.text("path")
	}
	check.SuccessThreshold, check.FailureThreshold = int(f.integer("passes")), int(f.integer("fails"))
	for _, n := range []struct {
		key   string
		value int
	}{{"passes", check.SuccessThreshold}, {"fails", check.FailureThreshold}} {
		if f.err == nil && (n.value < 1 || n.value > maxThreshold) {
			f.fail(n.key, fmt.Sprintf("must be from 1 to %d", maxThreshold))
		}
	}
	return check
}

// maxThreshold is the largest number of consecutive checks that a threshold may require.
const maxThreshold = 100

// stages reads the number of instances that the new version has at the end of each stage. Each is
// a number, or a text with a percentage of count, rounded up.
func (f *fields) stages(list []*fastjson.Value, count int) (stages []int) {
	if len(list) < 1 || len(list) > MaxStages {
		f.fail("stages", fmt.Sprintf("must be from 1 to %d", MaxStages))
		return nil
	}
	last := 0
	for _, v := range list {
		n, err := v.Int()
		valid := err == nil
		if v.Type() == fastjson.TypeString {
			text, percent := strings.CutSuffix(string(v.GetStringBytes()), "%")
			p, err := strconv.ParseFloat(text, 64)
			valid = percent && err == nil && p > 0 && p <= 100
			n = int(math.Ceil(p*float64(count)/100 - 1e-9))
		}
		switch {
		case !valid:
			f.fail("stages", "must be numbers of instances, or texts like \"25%\"")
		case n < 1 || n > count || n < last:
			f.fail("stages", "must rise, from 1 up to count")
		}
		if f.err != nil {
			return nil
		}
		if n > last { // two percentages of a small count may be the same number
			stages = append(stages, n)
			last = n
		}
	}
	if last != count {
		f.fail("stages", "the last must be all instances")
	}
	return stages
}

// AppendRollout appends a roll-out request in the format of the user API, in which it is also
// stored.
func AppendRollout(b []byte, s *RolloutSpec) []byte {
	job := *s.Job
	job.Ref, job.Tasks, job.Kind = "req-000000", 1, Service
	b = append(b, '{')
	b = append(AppendQuoted(appendName(b, "id"), s.ID), ',')
	b = append(AppendQuoted(appendName(b, "service"), s.Service), ',')
	b = AppendJob(appendName(b, "job"), &job)
	number := func(name string, n int) { b = appendInt(appendName(append(b, ','), name), n) }
	span := func(name string, v Micros) { b = appendSeconds(appendName(append(b, ','), name), v) }
	number("count", s.Count)
	number("floor", s.MinHealthy)
	number("surge", s.MaxSurge)
	number("faulty", s.MaxFaulty)
	b = appendList(appendName(append(b, ','), "stages"), s.Stages, appendInt)
	span("soakS", s.SoakTime)
	span("startS", s.StartTimeout)
	span("healthyS", s.HealthTimeout)
	if len(s.AdoptJobs) > 0 {
		b = appendList(appendName(append(b, ','), "adopt"), s.AdoptJobs, AppendQuoted)
	}
	b = append(appendName(append(b, ','), "check"), '{')
	b = append(AppendQuoted(appendName(b, "how"), s.Check.Kind.String()), ',')
	b = AppendQuoted(appendName(b, "at"), s.Check.AddressTemplate)
	if s.Check.Kind == CheckHTTP {
		b = AppendQuoted(appendName(append(b, ','), "path"), s.Check.Path)
	}
	span("everyS", s.Check.Interval)
	span("timeoutS", s.Check.Timeout)
	number("passes", s.Check.SuccessThreshold)
	number("fails", s.Check.FailureThreshold)
	return append(b, "}}"...)
}

// VersionStatus is the status of the instances of one version.
type VersionStatus struct {
	Version                           string
	Instances                         int // number requested
	Running, Healthy, Failing, Faulty int
	Jobs                              []string
}

// RolloutStatus is the status of a roll-out, as reported to users.
type RolloutStatus struct {
	Service, ID, State, Reason  string
	Stage                       int
	Stages                      []int
	Count, MinHealthy, MaxSurge int
	Changes                     int // number of changes to the roll-out's record so far
	New, Old                    VersionStatus
}

// AppendRolloutStatus appends a roll-out's status. jobs selects whether the refs of its jobs are
// included.
func AppendRolloutStatus(b []byte, s *RolloutStatus, jobs bool) []byte {
	text := func(name, v string) { b = AppendQuoted(appendName(b, name), v) }
	number := func(name string, n int) { b = appendInt(appendName(append(b, ','), name), n) }
	b = append(b, '{')
	text("service", s.Service)
	b = append(b, ',')
	text("id", s.ID)
	b = append(b, ',')
	text("state", s.State)
	b = append(b, ',')
	text("reason", s.Reason)
	number("stage", s.Stage)
	b = appendList(appendName(append(b, ','), "stages"), s.Stages, appendInt)
	number("count", s.Count)
	number("floor", s.MinHealthy)
	number("surge", s.MaxSurge)
	number("changes", s.Changes)
	for _, v := range []struct {
		name string
		v    *VersionStatus
	}{{"new", &s.New}, {"old", &s.Old}} {
		b = append(appendName(append(b, ','), v.name), '{')
		text("version", v.v.Version)
		number("instances", v.v.Instances)
		number("running", v.v.Running)
		number("healthy", v.v.Healthy)
		number("failing", v.v.Failing)
		number("faulty", v.v.Faulty)
		if jobs {
			b = appendList(appendName(append(b, ','), "jobs"), v.v.Jobs, AppendQuoted)
		}
		b = append(b, '}')
	}
	return append(b, '}')
}

// Stopped reports whether the roll-out makes no progress by itself: it has ended, or it is paused
// until an operator resumes or reverts it.
func (s *RolloutStatus) Stopped() bool { return s.Ended() || s.State == "paused" }

// Ended reports whether the roll-out is in a final state.
func (s *RolloutStatus) Ended() bool {
	return s.State == "done" || s.State == "reverted" || s.State == "failed"
}

// ParseRolloutStatus parses the status of a roll-out.
func ParseRolloutStatus(body []byte) (*RolloutStatus, error) {
	p := Parsers.Get()
	defer Parsers.Put(p)
	v, err := ParseObject(p, body)
	if err != nil {
		return nil, err
	}
	text := func(v *fastjson.Value, name string) string { return string(v.GetStringBytes(name)) }
	s := &RolloutStatus{
		Service: text(v, "service"), ID: text(v, "id"), State: text(v, "state"), Reason: text(v, "reason"),
		Stage: v.GetInt("stage"), Count: v.GetInt("count"), MinHealthy: v.GetInt("floor"), MaxSurge: v.GetInt("surge"), Changes: v.GetInt("changes"),
	}
	if s.Service == "" || s.State == "" {
		return nil, fmt.Errorf("service or state: missing")
	}
	for _, n := range v.GetArray("stages") {
		s.Stages = append(s.Stages, n.GetInt())
	}
	for _, part := range []struct {
		name string
		to   *VersionStatus
	}{{"new", &s.New}, {"old", &s.Old}} {
		if o := v.Get(part.name); o != nil {
			*part.to = VersionStatus{
				Version: text(o, "version"), Instances: o.GetInt("instances"), Running: o.GetInt("running"),
				Healthy: o.GetInt("healthy"), Failing: o.GetInt("failing"), Faulty: o.GetInt("faulty"),
			}
			for _, ref := range o.GetArray("jobs") {
				part.to.Jobs = append(part.to.Jobs, string(ref.GetStringBytes()))
			}
		}
	}
	return s, nil
}
