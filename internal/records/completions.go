package records

import (
	"encoding/base64"
	"strconv"

	"github.com/valyala/fastjson"

	"mapleslip/internal/state"
)

// ChunkTasks is the number of tasks of an array that one completion record covers.
const ChunkTasks = 8192

// EncodeCompletions encodes which tasks of some arrays are done, in the record that they share.
func EncodeCompletions(jobs []*state.Job) []byte {
	refs := make([]string, len(jobs))
	byRef := make(map[string]*state.Job, len(jobs))
	for i, j := range jobs {
		refs[i], byRef[j.Spec.Ref] = j.Spec.Ref, j
	}
	return encodeByRef("done", refs, func(b []byte, ref string) []byte { return append(b, EncodeChunk(byRef[ref], 0)...) })
}

// DecodeCompletions decodes a record that arrays share. It returns the encoded chunk of each
// array by job ref, as ApplyChunk expects it.
func DecodeCompletions(value []byte) (map[string][]byte, error) {
	chunks := make(map[string][]byte)
	err := forEachRef(value, "completions", "done", func(ref string, v *fastjson.Value) error {
		if v.Type() != fastjson.TypeString {
			return &FieldError{Record: "completions", Field: "done"}
		}
		chunks[ref] = v.MarshalTo(nil)
		return nil
	})
	return chunks, err
}

// EncodeChunk encodes which tasks of a chunk of an array are done: a JSON string of a bit for each
// task in base64, beginning with the lowest bit of the first byte.
func EncodeChunk(j *state.Job, chunk int) []byte {
	from, to := chunk*ChunkTasks, min((chunk+1)*ChunkTasks, len(j.Tasks))
	bits := make([]byte, (to-from+7)/8)
	for i := from; i < to; i++ {
		if j.Tasks[i].State == state.TaskDone {
			bits[(i-from)/8] |= 1 << ((i - from) % 8)
		}
	}
	return []byte(`"` + base64.StdEncoding.EncodeToString(bits) + `"`)
}

// ApplyChunk marks the tasks as done and durable that are done according to an encoded chunk.
func ApplyChunk(j *state.Job, chunk int, value []byte) error {
	text, err := strconv.Unquote(string(value))
	if err != nil {
		return &FieldError{"completions", "done", err}
	}
	bits, err := base64.StdEncoding.DecodeString(text)
	if err != nil {
		return &FieldError{"completions", "done", err}
	}
	for k := range len(bits) * 8 {
		index := chunk*ChunkTasks + k
		if index < len(j.Tasks) && bits[k/8]&(1<<(k%8)) != 0 {
			j.Complete(index, true)
		}
	}
	return nil
}
