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

// Prefix is the key prefix of the records of services in the state service.
const Prefix = "ro/"

// formatVersion is the version of the record format.
const formatVersion = 1

// Batch is a job that consists of some of the instances of a version.
type Batch struct {
	Ref     string
	Tasks   int
	Leaving bool // the job has been cancelled or is to be cancelled
}

// Version is one version of a service and its jobs.
type Version struct {
	Hash    string
	Spec    *protocol.RolloutSpec // nil if there is no such version
	Batches []Batch
}

// requestedInstances counts the instances of jobs that are not leaving.
func (v *Version) requestedInstances() (n int) {
	for _, b := range v.Batches {
		if !b.Leaving {
			n += b.Tasks
		}
	}
	return n
}

// Record is the durable state of a service: the version before the last roll-out, the last roll-out
// and its new version. When a roll-out is done, its version becomes Old.
type Record struct {
	Service              string
	State                State
	PausedIn             State // state in which the roll-out was paused
	Reason               string
	Stage                int // index into the stages of the specification
	JobsMade             int // number of jobs created by this roll-out
	Changes              int // number of changes of the record during this roll-out
	OldCount             int // instances of the old version when the roll-out started
	IgnoreUnhealthyStart bool
	Old, New             Version
}

// leavingJobs counts the jobs that are leaving.
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

// VersionOf returns the identity of the version that a job specification defines. The name, the
// number of tasks and the kind of the job do not matter.
func VersionOf(job *protocol.JobSpec) string {
	spec := *job
	spec.Ref, spec.Tasks, spec.Kind = "", 0, protocol.Service
	sum := blake2b.Sum256(protocol.AppendJob(nil, &spec))
	return hex.EncodeToString(sum[:6])
}

// jobRef returns the name of a job that a roll-out creates. The name depends only on the arguments,
// so that a new leader finds a job that was already submitted instead of submitting it twice. A
// name of 20 digits that a user chose is the same by chance once in 10^19.
func jobRef(service, id string, number int) string {
	sum := blake2b.Sum256([]byte(service + "\x00" + id + "\x00" + strconv.Itoa(number)))
	return fmt.Sprintf("req-%020d", binary.BigEndian.Uint64(sum[:8]))
}

// job returns the job specification of a batch.
func (v *Version) job(b Batch) *protocol.JobSpec {
	spec := *v.Spec.Job
	spec.Ref, spec.Tasks, spec.Kind = b.Ref, b.Tasks, protocol.Service
	return &spec
}

// Encode serializes a record. Each batch is a short text, "number of the job:tasks", preceded by
// "-" if it is leaving, because a record must have room for several hundred batches.
func (r *Record) Encode() []byte {
	b := fmt.Appendf(nil, `{"form":%d,"service":`, formatVersion)
	b = append(protocol.AppendQuoted(b, r.Service), `,"state":`...)
	b = append(protocol.AppendQuoted(b, r.State.String()), `,"from":`...)
	b = append(protocol.AppendQuoted(b, r.PausedIn.String()), `,"reason":`...)
	b = protocol.AppendQuoted(b, r.Reason)
	b = fmt.Appendf(b, `,"stage":%d,"made":%d,"changes":%d,"oldCount":%d,"forced":%t`, r.Stage, r.JobsMade, r.Changes, r.OldCount, r.IgnoreUnhealthyStart)
	for _, part := range []struct {
		name    string
		version *Version
	}{{"old", &r.Old}, {"new", &r.New}} {
		if part.version.Spec == nil {
			continue
		}
		b = append(append(append(b, `,"`...), part.name...), `":{"spec":`...)
		b = append(protocol.AppendRollout(b, part.version.Spec), `,"jobs":"`...)
		for i, batch := range part.version.Batches {
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

// appendRef writes the name of a job without its prefix. A number of 20 digits is written in base
// 36 after a period, any other name unchanged.
func appendRef(b []byte, ref string) []byte {
	digits := strings.TrimPrefix(ref, "req-")
	if n, err := strconv.ParseUint(digits, 10, 64); err == nil && len(digits) == 20 {
		return strconv.AppendUint(append(b, '.'), n, 36)
	}
	return append(b, digits...)
}

func parseRef(s string) (string, bool) {
	if base36, encoded := strings.CutPrefix(s, "."); encoded {
		n, err := strconv.ParseUint(base36, 36, 64)
		return fmt.Sprintf("req-%020d", n), err == nil
	}
	ref := "req-" + s
	return ref, protocol.ValidRef(ref)
}

var errRecord = errors.New("malformed record of a roll-out")

// Decode parses a record that Encode has written.
func Decode(value []byte) (*Record, error) {
	p := protocol.Parsers.Get()
	defer protocol.Parsers.Put(p)
	v, err := protocol.ParseValue(p, value)
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
	var ok, pausedInOK bool
	r.State, ok = parseState(string(v.GetStringBytes("state")))
	r.PausedIn, pausedInOK = parseState(string(v.GetStringBytes("from")))
	if !ok || !pausedInOK || !protocol.ValidService(r.Service) || r.Stage < 0 || r.JobsMade < 0 || r.OldCount < 0 {
		return nil, errRecord
	}
	for _, part := range []struct {
		name    string
		version *Version
	}{{"old", &r.Old}, {"new", &r.New}} {
		o := v.Get(part.name)
		if o == nil {
			continue
		}
		spec, err := protocol.RolloutFromJSON(protocol.Member(o, "spec"))
		if err != nil {
			return nil, fmt.Errorf("%w: %s: %w", errRecord, part.name, err)
		}
		*part.version = Version{Hash: VersionOf(spec.Job), Spec: spec}
		for _, field := range strings.Fields(string(o.GetStringBytes("jobs"))) {
			job, leaving := strings.CutPrefix(field, "-")
			shortRef, tasks, _ := strings.Cut(job, ":")
			ref, ok := parseRef(shortRef)
			n, err := strconv.Atoi(tasks)
			if !ok || err != nil || n < 1 || n > protocol.MaxTasks {
				return nil, errRecord
			}
			part.version.Batches = append(part.version.Batches, Batch{ref, n, leaving})
		}
	}
	if r.State != Idle && (r.New.Spec == nil || r.Stage >= len(r.New.Spec.Stages)) {
		return nil, errRecord
	}
	return r, nil
}
