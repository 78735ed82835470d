package bookkeeping

import (
	"encoding/base64"
	"errors"
	"strconv"

	"github.com/valyala/fastjson"

	"mapleslip/internal/protocol"
)

// Keys of the state service.
const (
	KeyLeader = "lead"
	KeyEpoch  = "epoch"
	KeyTypes  = "types"
	JobPrefix = "j/"
	// Finished jobs leave the live prefix, so that a new leader reads only
	// what it needs.
	FinalPrefix   = "f/"
	HostPrefix    = "m/"
	BookingPrefix = "b/"
	ChunkPrefix   = "d/"
)

// ChunkTasks is how many tasks of an array one record of completions holds.
const ChunkTasks = 8192

// EncodeJob writes a job's record.
func EncodeJob(j *Job, cancelled bool) []byte {
	b := append([]byte(`{"at":`), strconv.FormatInt(int64(j.SubmittedWall), 10)...)
	b = append(b, `,"epoch":`...)
	b = strconv.AppendUint(b, j.Epoch, 10)
	if cancelled {
		b = append(b, `,"cancelled":true`...)
	}
	b = append(b, `,"job":`...)
	b = protocol.AppendJob(b, j.Spec)
	return append(b, '}')
}

// DecodeJob reads a job's record.
func DecodeJob(value []byte) (*Job, error) {
	v, err := fastjson.ParseBytes(value)
	if err != nil {
		return nil, err
	}
	spec, err := protocol.ParseJob(v.Get("job").MarshalTo(nil))
	if err != nil {
		return nil, err
	}
	j := NewJob(spec)
	j.SubmittedWall = micros(v.GetInt64("at"))
	j.Epoch = v.GetUint64("epoch")
	if v.GetBool("cancelled") {
		j.State = JobCancelled
	}
	return j, nil
}

// EncodeFinal writes what is kept of a job that is over.
func EncodeFinal(p protocol.Phase, tasks int) []byte {
	return append(strconv.AppendInt([]byte(`{"phase":"`+string(p)+`","n":`), int64(tasks), 10), '}')
}

// DecodeFinal reads what is kept of a job that is over.
func DecodeFinal(value []byte) (protocol.Phase, int, error) {
	v, err := fastjson.ParseBytes(value)
	if err != nil {
		return "", 0, err
	}
	p := protocol.Phase(v.GetStringBytes("phase"))
	if p != protocol.Done && p != protocol.Cancelled {
		return "", 0, errors.New("unknown phase in a record")
	}
	return p, v.GetInt("n"), nil
}

// EncodeHost writes a host's record.
func EncodeHost(h *Host) []byte {
	var a fastjson.Arena
	o := a.NewObject()
	o.Set("type", a.NewString(h.TypeName))
	o.Set("zone", a.NewString(h.Zone))
	o.Set("addr", a.NewString(h.Addr))
	o.Set("at", a.NewNumberString(strconv.FormatInt(int64(h.RecordedWall), 10)))
	if h.Spot {
		o.Set("spot", a.NewTrue())
	}
	images := a.NewObject()
	for name, im := range h.Images {
		images.Set(name, a.NewNumberString(strconv.FormatInt(im.Size, 10)))
	}
	o.Set("images", images)
	return o.MarshalTo(nil)
}

// DecodeHost reads a host's record.
func DecodeHost(now micros, name string, value []byte) (*Host, error) {
	v, err := fastjson.ParseBytes(value)
	if err != nil {
		return nil, err
	}
	h := NewHost(now, name, string(v.GetStringBytes("type")), string(v.GetStringBytes("zone")), v.GetBool("spot"))
	h.Addr = string(v.GetStringBytes("addr"))
	h.RecordedWall = micros(v.GetInt64("at"))
	if images, err := v.Get("images").Object(); err == nil {
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

// Leadership is the record of the leader.
type Leadership struct {
	Node     string
	Epoch    uint64
	Lease    uint64
	AnswerOn micros // how long it may answer workers after its lease ended
}

// EncodeLeader writes the leader's record.
func EncodeLeader(l Leadership) []byte {
	var a fastjson.Arena
	o := a.NewObject()
	o.Set("node", a.NewString(l.Node))
	o.Set("epoch", a.NewNumberString(strconv.FormatUint(l.Epoch, 10)))
	o.Set("lease", a.NewNumberString(strconv.FormatUint(l.Lease, 10)))
	o.Set("answer_on", a.NewNumberString(strconv.FormatInt(int64(l.AnswerOn), 10)))
	return o.MarshalTo(nil)
}

// DecodeLeader reads the leader's record.
func DecodeLeader(value []byte) (Leadership, error) {
	v, err := fastjson.ParseBytes(value)
	if err != nil {
		return Leadership{}, err
	}
	l := Leadership{Node: string(v.GetStringBytes("node")), Epoch: v.GetUint64("epoch"), Lease: v.GetUint64("lease"),
		AnswerOn: micros(v.GetInt64("answer_on"))}
	if l.Node == "" || l.Epoch == 0 {
		return l, errors.New("malformed record of the leader")
	}
	return l, nil
}
