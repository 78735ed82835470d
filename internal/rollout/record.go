package rollout

import (
	"encoding/binary"
	"encoding/hex"
	"errors"
	"fmt"
	"slices"
	"strconv"
	"strings"

	"github.com/valyala/fastjson"
	"golang.org/x/crypto/blake2b"

	"mapleslip/internal/protocol"
)

// Prefix is where the records of services are in the state service.
const Prefix = "ro/"

// formatVersion is the form of the records.
const formatVersion = 1

// Batch is a job with some of a version's instances.
type Batch struct {
	Ref     string
	Tasks   int
	Leaving bool // it is cancelled, or will be
}

// Version is one version of a service and its jobs.
type Version struct {
	Hash    string
	Spec    *protocol.RolloutSpec // nil: none
	Batches []Batch
}

// requestedInstances counts the instances that are asked for.
func (v *Version) requestedInstances() (n int) {
	for _, b := range v.Batches {
		if !b.Leaving {
			n += b.Tasks
		}
	}
	return n
}

// Record is what is durable of a service: the version that serves, and the last
// roll-out with its version.
type Record struct {
	Service              string
	State                State
	PausedIn             State // in which it was paused
	Reason               string
	Stage                int // index into the stages
	JobsMade             int // jobs made by this roll-out
	Changes              int // of the record, in this roll-out
	OldCount             int // instances of the old version when it began
	IgnoreUnhealthyStart bool
	Old, New             Version
}

// leavingJobs counts the jobs that are to go.
func (r *Record) leavingJobs() (n int) {
	for _, v := range []*Version{&r.Old, &r.New} {
		for _, b := range v.Batches {
			if b.Leaving {
				n++
			}
		}
	}
	return n
}

func (r *Record) clone() *Record {
	c := *r
	c.Old.Batches, c.New.Batches = slices.Clone(r.Old.Batches), slices.Clone(r.New.Batches)
	return &c
}

// VersionOf is the identity of a version: the same job is the same version.
func VersionOf(job *protocol.JobSpec) string {
	spec := *job
	spec.Ref, spec.Tasks, spec.Kind = "", 0, protocol.Service
	sum := blake2b.Sum256(protocol.AppendJob(nil, &spec))
	return hex.EncodeToString(sum[:6])
}

// jobRef names a job that a roll-out makes. A new leader comes to the same name,
// so a job that was submitted before is found and not submitted twice. Among names
// of 20 digits one that a user chose is hit by chance once in 10^19.
func jobRef(service, id string, number int) string {
	sum := blake2b.Sum256([]byte(service + "\x00" + id + "\x00" + strconv.Itoa(number)))
	return fmt.Sprintf("req-%020d", binary.BigEndian.Uint64(sum[:8]))
}

// job is the specification of a batch.
func (v *Version) job(b Batch) *protocol.JobSpec {
	spec := *v.Spec.Job
	spec.Ref, spec.Tasks, spec.Kind = b.Ref, b.Tasks, protocol.Service
	return &spec
}

// Encode writes a record. Batches are a text each, "number of the job:tasks", with
// a "-" in front where they leave: a record has to hold some hundred of them.
func (r *Record) Encode() []byte {
	b := fmt.Appendf(nil, `{"form":%d,"service":`, formatVersion)
	b = append(protocol.AppendQuoted(b, r.Service), `,"state":`...)
	b = append(protocol.AppendQuoted(b, r.State.String()), `,"from":`...)
	b = append(protocol.AppendQuoted(b, r.PausedIn.String()), `,"reason":`...)
	b = protocol.AppendQuoted(b, r.Reason)
	b = fmt.Appendf(b, `,"stage":%d,"made":%d,"changes":%d,"oldCount":%d,"forced":%t`, r.Stage, r.JobsMade, r.Changes, r.OldCount, r.IgnoreUnhealthyStart)
	for _, part := range []struct {
		name string
		v    *Version
	}{{"old", &r.Old}, {"new", &r.New}} {
		if part.v.Spec == nil {
			continue
		}
		b = append(append(append(b, `,"`...), part.name...), `":{"spec":`...)
		b = append(protocol.AppendRollout(b, part.v.Spec), `,"jobs":"`...)
		for i, batch := range part.v.Batches {
			if i > 0 {
				b = append(b, ' ')
			}
			if batch.Leaving {
				b = append(b, '-')
			}
			b = appendRef(b, batch.Ref)
			b = strconv.AppendInt(append(b, ':'), int64(batch.Tasks), 10)
		}
		b = append(b, `"}`...)
	}
	return append(b, '}')
}

// appendRef writes a job's name: 20 digits in base 36, others as they are.
func appendRef(b []byte, ref string) []byte {
	digits := strings.TrimPrefix(ref, "req-")
	if n, err := strconv.ParseUint(digits, 10, 64); err == nil && len(digits) == 20 {
		return strconv.AppendUint(append(b, '.'), n, 36)
	}
	return append(b, digits...)
}

func parseRef(s string) (string, bool) {
	if code, short := strings.CutPrefix(s, "."); short {
		n, err := strconv.ParseUint(code, 36, 64)
		return fmt.Sprintf("req-%020d", n), err == nil
	}
	ref := "req-" + s
	return ref, protocol.ValidRef(ref)
}

var errRecord = errors.New("malformed record of a roll-out")

// Decode reads a record.
func Decode(value []byte) (*Record, error) {
	p := protocol.Parsers.Get()
	defer protocol.Parsers.Put(p)
	v, err := p.ParseBytes(value)
	if err != nil {
		return nil, errRecord
	}
	if v.Type() != fastjson.TypeObject || v.GetInt("form") != formatVersion {
		return nil, errors.New("record of a roll-out of an unknown form")
	}
	r := &Record{
		Service: string(v.GetStringBytes("service")), Reason: string(v.GetStringBytes("reason")), Stage: v.GetInt("stage"), JobsMade: v.GetInt("made"),
		Changes: v.GetInt("changes"), OldCount: v.GetInt("oldCount"), IgnoreUnhealthyStart: v.GetBool("forced"),
	}
	var ok, ok2 bool
	r.State, ok = stateNamed(string(v.GetStringBytes("state")))
	r.PausedIn, ok2 = stateNamed(string(v.GetStringBytes("from")))
	if !ok || !ok2 || !protocol.ValidService(r.Service) || r.Stage < 0 || r.JobsMade < 0 || r.OldCount < 0 {
		return nil, errRecord
	}
	for _, part := range []struct {
		name string
		to   *Version
	}{{"old", &r.Old}, {"new", &r.New}} {
		o := v.Get(part.name)
		if o == nil {
			continue
		}
		spec, err := protocol.RolloutFromJSON(protocol.Member(o, "spec"))
		if err != nil {
			return nil, fmt.Errorf("%w: %s: %w", errRecord, part.name, err)
		}
		*part.to = Version{Hash: VersionOf(spec.Job), Spec: spec}
		for _, text := range strings.Fields(string(o.GetStringBytes("jobs"))) {
			rest, leaving := strings.CutPrefix(text, "-")
			name, tasks, _ := strings.Cut(rest, ":")
			ref, ok := parseRef(name)
			n, err := strconv.Atoi(tasks)
			if !ok || err != nil || n < 1 || n > protocol.MaxTasks {
				return nil, errRecord
			}
			part.to.Batches = append(part.to.Batches, Batch{ref, n, leaving})
		}
	}
	if r.State != Idle && (r.New.Spec == nil || r.Stage >= len(r.New.Spec.Stages)) {
		return nil, errRecord
	}
	return r, nil
}
