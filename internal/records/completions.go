package records

import (
	"encoding/base64"
	"strconv"

	"github.com/valyala/fastjson"

	"mapleslip/internal/state"
)

// ChunkTasks is how many tasks of an array one record of completions holds.
const ChunkTasks = 8192

// EncodeCompletions writes which tasks of some arrays are done.
func EncodeCompletions(jobs []*state.Job) []byte {
	refs := make([]string, len(jobs))
	byRef := make(map[string]*state.Job, len(jobs))
	for i, j := range jobs {
		refs[i], byRef[j.Spec.Ref] = j.Spec.Ref, j
	}
	return appendByRef("done", refs, func(b []byte, ref string) []byte { return append(b, EncodeChunk(byRef[ref], 0)...) })
}

// DecodeCompletions reads completions, by job; ApplyChunk takes what it returns.
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

// EncodeChunk writes which tasks of a chunk of an array are done: a bit for each, the lowest
// first, in base64.
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

// ApplyChunk marks the tasks that a chunk's record says are done.
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
