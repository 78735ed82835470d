package state

import (
	"encoding/base64"
	"errors"
	"fmt"
	"maps"
	"slices"
	"strconv"

	"github.com/valyala/fastjson"

	"mapleslip/internal/featuregate"
	"mapleslip/internal/protocol"
)

// Keys of the state service.
const (
	KeyLeader = "lead"
	KeyEpoch  = "epoch"
	KeyTypes  = "types"
	// What leaders have seen that their successors must know; see EncodeHandoverState.
	KeyHandover = "seen"
	JobPrefix = "j/"
	// Finished jobs leave the live prefix, so that a new leader reads only
	// what it needs.
	FinalPrefix = "f/"
	ChunkPrefix = "d/"
	// Records that are small and many share keys: a change costs the same
	// however much of the value it writes.
	HostShardPrefix       = "hp/"
	BookingShardPrefix    = "bp/"
	CompletionShardPrefix = "dp/"
	LaunchShardPrefix     = "lp/"
	// Prefixes of form 1, which had a key for each host and each booking. They
	// are read, moved and dropped.
	LegacyHostPrefix    = "m/"
	LegacyBookingPrefix = "b/"
)

// FormatVersion is the form of the records. A controller that knows only an earlier one
// can't read the epoch's record, so it never leads without seeing what it
// can't read.
const FormatVersion = 2

// FeatureFormatVersion is the form of the epoch's record and of the machine types' from feature level
// 1 on. A controller of a version without levels can read neither, so it neither leads nor
// accepts; all other records stay as they are.
const FeatureFormatVersion = 3

var errUnknownFormat = errors.New("record of an unknown form")

// openRecord reads a record of this form. It is good until the parser is put back.
func openRecord(p *fastjson.Parser, value []byte) (*fastjson.Value, error) {
	v, err := p.ParseBytes(value)
	if err != nil {
		return nil, err
	}
	if v.Type() != fastjson.TypeObject || v.GetInt("form") != FormatVersion {
		return nil, errUnknownFormat
	}
	return v, nil
}

func beginRecord(field string) []byte {
	b := append(strconv.AppendInt([]byte(`{"form":`), FormatVersion, 10), `,"`...)
	return append(append(b, field...), `":`...)
}

// EpochRecord is the record of the counter of epochs.
type EpochRecord struct {
	Epoch uint64
	// Unlisted: launches of an earlier epoch may be in no record, because a leader
	// of form 1 came before and not all of its hosts have been heard of since.
	LaunchesUnrecorded bool
	// Transfers are the newest leases that were given back, the newest last. A
	// controller that doesn't know them drops them when it comes to lead.
	Transfers []protocol.LeadershipTransfer
	// Level is the active feature level.
	Level featuregate.Level
}

// EncodeEpoch writes the counter of epochs.
func EncodeEpoch(e EpochRecord) []byte {
	b := beginRecord("epoch")
	if e.Level > 0 {
		b = fmt.Appendf(nil, `{"form":%d,"level":%d,"epoch":`, FeatureFormatVersion, e.Level)
	}
	b = strconv.AppendUint(b, e.Epoch, 10)
	if e.LaunchesUnrecorded {
		b = append(b, `,"unlisted":true`...)
	}
	for i, y := range e.Transfers {
		if i == 0 {
			b = append(b, `,"yields":[`...)
		} else {
			b = append(b, ',')
		}
		b = protocol.AppendQuoted(append(b, `{"node":`...), y.From)
		b = protocol.AppendQuoted(append(b, `,"to":`...), y.To)
		b = strconv.AppendUint(append(b, `,"epoch":`...), y.Epoch, 10)
		b = strconv.AppendInt(append(b, `,"at":`...), int64(y.At), 10)
		b = append(b, `,"heard":{`...)
		for k, zone := range slices.Sorted(maps.Keys(y.ReachableWorkers)) {
			if k > 0 {
				b = append(b, ',')
			}
			b = strconv.AppendInt(append(protocol.AppendQuoted(b, zone), ':'), int64(y.ReachableWorkers[zone]), 10)
		}
		b = append(b, "}}"...)
	}
	if len(e.Transfers) > 0 {
		b = append(b, ']')
	}
	return append(b, '}')
}

// DecodeEpoch reads the counter of epochs, also that of form 1. What it can't
// read of the yields it leaves out: they keep leaders from changing too often,
// and nothing is unsafe without them.
func DecodeEpoch(value []byte) (EpochRecord, error) {
	if n, err := strconv.ParseUint(string(value), 10, 64); err == nil {
		return EpochRecord{Epoch: n, LaunchesUnrecorded: true}, nil
	}
	p := protocol.Parsers.Get()
	defer protocol.Parsers.Put(p)
	v, err := p.ParseBytes(value)
	if err != nil {
		return EpochRecord{}, err
	}
	form, level := v.GetInt("form"), v.GetUint64("level")
	if v.Type() != fastjson.TypeObject || form != FormatVersion && form != FeatureFormatVersion || (form == FeatureFormatVersion) != (level > 0) {
		return EpochRecord{}, errUnknownFormat
	}
	n, err := protocol.Member(v, "epoch").Uint64()
	if err != nil {
		return EpochRecord{}, errUnknownFormat
	}
	e := EpochRecord{Epoch: n, LaunchesUnrecorded: v.GetBool("unlisted"), Level: featuregate.Level(level)}
	for _, row := range v.GetArray("yields") {
		y := protocol.LeadershipTransfer{
			From: string(row.GetStringBytes("node")), To: string(row.GetStringBytes("to")), Epoch: row.GetUint64("epoch"),
			At: micros(row.GetInt64("at")), ReachableWorkers: make(map[string]int),
		}
		if heard := row.GetObject("heard"); heard != nil {
			heard.Visit(func(zone []byte, n *fastjson.Value) { y.ReachableWorkers[string(zone)] = n.GetInt() })
		}
		if y.From != "" {
			e.Transfers = append(e.Transfers, y)
		}
	}
	return e, nil
}

// EncodeTypes writes machine types as they are kept at a feature level.
func EncodeTypes(types []*protocol.MachineType, level featuregate.Level) []byte {
	if level == 0 {
		return protocol.AppendMachineTypes(nil, types)
	}
	return append(protocol.AppendMachineTypes(fmt.Appendf(nil, `{"form":%d,"types":`, FeatureFormatVersion), types), '}')
}

// DecodeTypes reads machine types as they are kept, of either form.
func DecodeTypes(value []byte) (types []*protocol.MachineType, later bool, err error) {
	p := protocol.Parsers.Get()
	defer protocol.Parsers.Put(p)
	v, err := p.ParseBytes(value)
	if err != nil {
		return nil, false, err
	}
	if later = v.Exists("form"); later {
		inner := v.Get("types")
		if v.GetInt("form") != FeatureFormatVersion || inner == nil {
			return nil, later, errUnknownFormat
		}
		value = inner.MarshalTo(nil)
	}
	types, err = protocol.ParseMachineTypes(value)
	return types, later, err
}

// EncodeHandoverState writes what a leader has seen: zones that look cut off, each with
// since when and when it last looked so, and since when machines are silent.
func EncodeHandoverState(m protocol.HandoverState) []byte {
	b := strconv.AppendUint(beginRecord("seen"), m.Epoch, 10)
	b = strconv.AppendInt(append(b, `,"at":`...), int64(m.At), 10)
	b = append(b, `,"cuts":{`...)
	for i, c := range m.Partitions {
		if i > 0 {
			b = append(b, ',')
		}
		b = strconv.AppendInt(append(protocol.AppendQuoted(b, c.Zone), ":["...), int64(c.Since), 10)
		b = append(strconv.AppendInt(append(b, ','), int64(c.LastSeen), 10), ']')
	}
	b = append(b, `},"silent":{`...)
	for i, s := range m.SilentHosts {
		if i > 0 {
			b = append(b, ',')
		}
		b = strconv.AppendInt(append(protocol.AppendQuoted(b, s.Host), ':'), int64(s.Since), 10)
	}
	return append(b, "}}"...)
}

// SilentHostBytes is about what a silent machine takes in the record of a memory.
func SilentHostBytes(s protocol.SilentHost) int { return len(s.Host) + 21 }

// DecodeHandoverState reads it.
func DecodeHandoverState(value []byte) (protocol.HandoverState, error) {
	p := protocol.Parsers.Get()
	defer protocol.Parsers.Put(p)
	v, err := openRecord(p, value)
	if err != nil {
		return protocol.HandoverState{}, err
	}
	m := protocol.HandoverState{Epoch: v.GetUint64("seen"), At: micros(v.GetInt64("at"))}
	if o := v.GetObject("cuts"); o != nil {
		o.Visit(func(zone []byte, v *fastjson.Value) {
			if f := v.GetArray(); len(f) == 2 {
				m.Partitions = append(m.Partitions, protocol.Partition{Zone: string(zone), Since: micros(f[0].GetInt64()), LastSeen: micros(f[1].GetInt64())})
			}
		})
	}
	if o := v.GetObject("silent"); o != nil {
		o.Visit(func(host []byte, v *fastjson.Value) {
			m.SilentHosts = append(m.SilentHosts, protocol.SilentHost{Host: string(host), Since: micros(v.GetInt64())})
		})
	}
	return m, nil
}

// ChunkTasks is how many tasks of an array one record of completions holds.
const ChunkTasks = 8192

// EncodeJob writes a job's record, as its state has it. A job that is being cancelled has the time at
// which its user asked for it, so that a new leader goes on with that; it counts
// as cancelled, and its user is told, only once none of its tasks can be anywhere.
// A controller that doesn't know this takes the job for a live one: its user was
// told nothing yet and asks again.
func EncodeJob(j *Job) []byte {
	b := append([]byte(`{"at":`), strconv.FormatInt(int64(j.SubmittedWall), 10)...)
	b = append(b, `,"epoch":`...)
	b = strconv.AppendUint(b, j.LeaderEpoch, 10)
	switch j.State {
	case JobCancelling:
		b = append(b, `,"cancelAskedAt":`...)
		b = strconv.AppendInt(b, int64(j.CancelRequestedWall), 10)
	case JobCancelledLegacy:
		b = append(b, `,"cancelled":true,"cancelledAt":`...)
		b = strconv.AppendInt(b, int64(j.CancelRequestedWall), 10)
	}
	b = append(b, `,"job":`...)
	b = protocol.AppendJob(b, j.Spec)
	return append(b, '}')
}

// DecodeJob reads a job's record.
func DecodeJob(value []byte) (*Job, error) {
	p := protocol.Parsers.Get()
	defer protocol.Parsers.Put(p)
	v, err := p.ParseBytes(value)
	if err != nil {
		return nil, err
	}
	job := protocol.Member(v, "job")
	if job.Type() != fastjson.TypeObject {
		return nil, errors.New("job: invalid")
	}
	spec, err := protocol.JobFromJSON(job)
	if err != nil {
		return nil, err
	}
	j := NewJob(spec)
	j.SubmittedWall = micros(v.GetInt64("at"))
	j.LeaderEpoch = v.GetUint64("epoch")
	if v.GetBool("cancelled") {
		j.State = JobCancelledLegacy
		j.CancelRequestedWall = micros(v.GetInt64("cancelledAt"))
	} else if at := v.GetInt64("cancelAskedAt"); at > 0 {
		j.State, j.CancelRequestedWall, j.CancelPersisted = JobCancelling, micros(at), true
	}
	return j, nil
}

// EncodeFinal writes what is kept of a job that is over.
func EncodeFinal(p protocol.Phase, tasks int) []byte {
	return append(strconv.AppendInt([]byte(`{"phase":"`+string(p)+`","n":`), int64(tasks), 10), '}')
}

// DecodeFinal reads what is kept of a job that is over.
func DecodeFinal(value []byte) (protocol.Phase, int, error) {
	p := protocol.Parsers.Get()
	defer protocol.Parsers.Put(p)
	v, err := p.ParseBytes(value)
	if err != nil {
		return "", 0, err
	}
	phase := protocol.Phase(v.GetStringBytes("phase"))
	if phase != protocol.PhaseDone && phase != protocol.PhaseCancelled {
		return "", 0, errors.New("unknown phase in a record")
	}
	return phase, v.GetInt("n"), nil
}

// EncodeHosts writes the record that some hosts share: for each its name,
// address, type, zone, whether it is a spot machine, when it was recorded, and
// the numbers of its images in the list that the record ends with.
func EncodeHosts(hosts []*Host, images bool) []byte {
	b := append(beginRecord("hosts"), '[')
	numbers := make(map[string]int)
	var list []byte
	for i, h := range hosts {
		if i > 0 {
			b = append(b, ',')
		}
		b = append(b, '[')
		for _, s := range []string{h.Name, h.Addr, h.TypeName, h.Zone} {
			b = append(protocol.AppendQuoted(b, s), ',')
		}
		spot := int64(0)
		if h.Spot {
			spot = 1
		}
		b = append(strconv.AppendInt(b, spot, 10), ',')
		b = strconv.AppendInt(b, int64(h.RecordedWall), 10)
		if images {
			for _, name := range h.ImageNames() {
				n, ok := numbers[name]
				if !ok {
					n = len(numbers)
					numbers[name] = n
					if n > 0 {
						list = append(list, ',')
					}
					list = append(protocol.AppendQuoted(list, name), ',')
					list = strconv.AppendInt(list, h.Images[name].Size, 10)
				}
				b = strconv.AppendInt(append(b, ','), int64(n), 10)
			}
		}
		b = append(b, ']')
	}
	b = append(b, `],"images":[`...)
	return append(append(b, list...), "]}"...)
}

// DecodeHosts reads a record that hosts share.
func DecodeHosts(now micros, value []byte) ([]*Host, error) {
	p := protocol.Parsers.Get()
	defer protocol.Parsers.Put(p)
	v, err := openRecord(p, value)
	if err != nil {
		return nil, err
	}
	rows, err := protocol.Member(v, "hosts").Array()
	if err != nil {
		return nil, errUnknownFormat
	}
	images := v.GetArray("images")
	var hosts []*Host
	for _, row := range rows {
		f := row.GetArray()
		if len(f) < 6 {
			return nil, errUnknownFormat
		}
		h := NewHost(now, string(f[0].GetStringBytes()), string(f[2].GetStringBytes()), string(f[3].GetStringBytes()), f[4].GetInt() == 1)
		h.Addr, h.RecordedWall = string(f[1].GetStringBytes()), micros(f[5].GetInt64())
		if h.Name == "" {
			return nil, errUnknownFormat
		}
		for _, x := range f[6:] {
			n, err := x.Int()
			if err != nil || n < 0 || 2*n+1 >= len(images) {
				return nil, errUnknownFormat
			}
			h.Images[string(images[2*n].GetStringBytes())] = &Image{Size: images[2*n+1].GetInt64()}
		}
		h.Recorded, h.FromRecord = true, true
		hosts = append(hosts, h)
	}
	return hosts, nil
}

// appendByRef writes a record that jobs share, with one member for each.
func appendByRef(field string, refs []string, value func(b []byte, ref string) []byte) []byte {
	b := append(beginRecord(field), '{')
	for i, ref := range refs {
		if i > 0 {
			b = append(b, ',')
		}
		b = value(append(protocol.AppendQuoted(b, ref), ':'), ref)
	}
	return append(b, "}}"...)
}

// EncodeBookings writes the starts of bookings, in the time of day.
func EncodeBookings(refs []string, at func(ref string) micros) []byte {
	return appendByRef("at", refs, func(b []byte, ref string) []byte { return strconv.AppendInt(b, int64(at(ref)), 10) })
}

// DecodeBookings reads bookings.
func DecodeBookings(value []byte) (map[string]micros, error) {
	out := make(map[string]micros)
	err := forEachRef(value, "at", func(ref string, v *fastjson.Value) error {
		at, err := v.Int64()
		out[ref] = micros(at)
		return err
	})
	return out, err
}

// Launch says that an attempt may be on a host.
type Launch struct {
	Name protocol.AttemptName
	Host string
}

// EncodeLaunches writes launches, for each job its tasks with their hosts and
// the numbers of the attempts. They come in the order of their jobs.
func EncodeLaunches(list []Launch) []byte {
	var refs []string
	of := make(map[string][]Launch)
	for _, l := range list {
		if of[l.Name.Job] == nil {
			refs = append(refs, l.Name.Job)
		}
		of[l.Name.Job] = append(of[l.Name.Job], l)
	}
	return appendByRef("on", refs, func(b []byte, ref string) []byte {
		b = append(b, '[')
		for i, l := range of[ref] {
			if i > 0 {
				b = append(b, ',')
			}
			b = append(strconv.AppendInt(b, int64(l.Name.Index), 10), ',')
			b = append(protocol.AppendQuoted(b, l.Host), ',')
			b = strconv.AppendUint(b, l.Name.Number, 10)
		}
		return append(b, ']')
	})
}

// DecodeLaunches reads launches.
func DecodeLaunches(value []byte) ([]Launch, error) {
	var out []Launch
	err := forEachRef(value, "on", func(ref string, v *fastjson.Value) error {
		f, err := v.Array()
		if err != nil || len(f)%3 != 0 {
			return errUnknownFormat
		}
		for ; len(f) > 0; f = f[3:] {
			index, err := f[0].Int()
			host, err2 := f[1].StringBytes()
			number, err3 := f[2].Uint64()
			if err != nil || err2 != nil || err3 != nil || index < 0 || index >= protocol.MaxTasks || len(host) == 0 {
				return errUnknownFormat
			}
			out = append(out, Launch{protocol.AttemptName{TaskName: protocol.TaskName{Job: ref, Index: index}, Number: number}, string(host)})
		}
		return nil
	})
	return out, err
}

// EncodeCompletions writes which tasks of some arrays are done.
func EncodeCompletions(jobs []*Job) []byte {
	refs := make([]string, len(jobs))
	byName := make(map[string]*Job, len(jobs))
	for i, j := range jobs {
		refs[i], byName[j.Spec.Ref] = j.Spec.Ref, j
	}
	return appendByRef("done", refs, func(b []byte, ref string) []byte { return append(b, EncodeChunk(byName[ref], 0)...) })
}

// DecodeCompletions reads completions; ApplyChunk takes what it gives.
func DecodeCompletions(value []byte) (map[string][]byte, error) {
	out := make(map[string][]byte)
	err := forEachRef(value, "done", func(ref string, v *fastjson.Value) error {
		if v.Type() != fastjson.TypeString {
			return errUnknownFormat
		}
		out[ref] = v.MarshalTo(nil)
		return nil
	})
	return out, err
}

func forEachRef(value []byte, field string, take func(ref string, v *fastjson.Value) error) error {
	p := protocol.Parsers.Get()
	defer protocol.Parsers.Put(p)
	v, err := openRecord(p, value)
	if err != nil {
		return err
	}
	o, err := protocol.Member(v, field).Object()
	if err != nil {
		return errUnknownFormat
	}
	o.Visit(func(key []byte, v *fastjson.Value) {
		if err == nil {
			err = take(string(key), v)
		}
	})
	return err
}

// DecodeLegacyHost reads a host's record of form 1.
func DecodeLegacyHost(now micros, name string, value []byte) (*Host, error) {
	p := protocol.Parsers.Get()
	defer protocol.Parsers.Put(p)
	v, err := p.ParseBytes(value)
	if err != nil {
		return nil, err
	}
	h := NewHost(now, name, string(v.GetStringBytes("type")), string(v.GetStringBytes("zone")), v.GetBool("spot"))
	h.Addr = string(v.GetStringBytes("addr"))
	h.RecordedWall = micros(v.GetInt64("at"))
	if images, err := protocol.Member(v, "images").Object(); err == nil {
		images.Visit(func(key []byte, v *fastjson.Value) {
			if size, err := v.Int64(); err == nil {
				h.Images[string(key)] = &Image{Size: size}
			}
		})
	}
	h.Recorded, h.FromRecord = true, true
	return h, nil
}

// EncodeChunk writes which tasks of a chunk of an array are done.
func EncodeChunk(j *Job, chunk int) []byte {
	from, to := chunk*ChunkTasks, min((chunk+1)*ChunkTasks, len(j.Tasks))
	bits := make([]byte, (to-from+7)/8)
	for i := from; i < to; i++ {
		if j.Tasks[i].State == TaskDone {
			bits[(i-from)/8] |= 1 << ((i - from) % 8)
		}
	}
	return []byte(`"` + base64.StdEncoding.EncodeToString(bits) + `"`)
}

// ApplyChunk marks the tasks that a chunk's record says are done.
func ApplyChunk(j *Job, chunk int, value []byte) error {
	s, err := strconv.Unquote(string(value))
	if err != nil {
		return err
	}
	bits, err := base64.StdEncoding.DecodeString(s)
	if err != nil {
		return err
	}
	for k := 0; k < len(bits)*8; k++ {
		i := chunk*ChunkTasks + k
		if i < len(j.Tasks) && bits[k/8]&(1<<(k%8)) != 0 {
			j.Complete(i, true)
		}
	}
	return nil
}

// LeaderRecord is the record of the leader.
type LeaderRecord struct {
	Controller     string
	Epoch    uint64
	Lease    uint64
	HeartbeatGrace micros // how long it may answer workers after its lease ended
}

// EncodeLeader writes the leader's record.
func EncodeLeader(l LeaderRecord) []byte {
	var a fastjson.Arena
	o := a.NewObject()
	o.Set("node", a.NewString(l.Controller))
	o.Set("epoch", a.NewNumberString(strconv.FormatUint(l.Epoch, 10)))
	o.Set("lease", a.NewNumberString(strconv.FormatUint(l.Lease, 10)))
	o.Set("answer_on", a.NewNumberString(strconv.FormatInt(int64(l.HeartbeatGrace), 10)))
	return o.MarshalTo(nil)
}

// DecodeLeader reads the leader's record.
func DecodeLeader(value []byte) (LeaderRecord, error) {
	p := protocol.Parsers.Get()
	defer protocol.Parsers.Put(p)
	v, err := p.ParseBytes(value)
	if err != nil {
		return LeaderRecord{}, err
	}
	l := LeaderRecord{
		Controller: string(v.GetStringBytes("node")), Epoch: v.GetUint64("epoch"), Lease: v.GetUint64("lease"),
		HeartbeatGrace: micros(v.GetInt64("answer_on")),
	}
	if l.Controller == "" || l.Epoch == 0 {
		return l, errors.New("malformed record of the leader")
	}
	return l, nil
}
