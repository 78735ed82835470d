package oddform

import (
	"bytes"
	"fmt"
	"testing"

	"github.com/google/go-cmp/cmp"

	"mapleslip/internal/protocol"
	"mapleslip/internal/transport"
)

var sampleJob = &protocol.JobSpec{
	Ref: "req-000412", Class: "train", Team: "vision", Kind: protocol.Gang, Priority: protocol.PriorityHigh, Tasks: 16,
	TaskResources: protocol.Resources{CPU: 8001, GPU: 1000, Memory: 64000}, Image: "img-é", ImageSize: 6200, MachineTypes: []string{"g8", "b"},
	AllowSpot: true, EstimatedRuntime: 240 * protocol.Second, Deadline: 900 * protocol.Second, DependsOn: []string{"req-000001"},
}

// Each form of a submission is another text, and the same job.
func TestFormsAreTheSameJob(t *testing.T) {
	body := protocol.AppendJob(nil, sampleJob)
	seen := make(map[string]bool)
	for form := range Forms {
		odd := Body(body, form)
		got, err := protocol.ParseJob(odd)
		if err != nil {
			t.Errorf("form %d: %v: %s", form, err, odd)
			continue
		}
		if diff := cmp.Diff(sampleJob, got); diff != "" || seen[string(odd)] {
			t.Errorf("form %d: %s%s", form, odd, diff)
		}
		seen[string(odd)] = true
	}
}

// Each way of sending a request is the same request.
func TestWaysAreTheSameRequest(t *testing.T) {
	for _, body := range [][]byte{nil, []byte("{}"), protocol.AppendJob(nil, sampleJob)} {
		for way := range Ways {
			sent := bytes.Join(Request("POST", "10.0.0.1:8080", "/api/jobs?x", body, way), nil)
			got, used, err := transport.ParseRequest(sent)
			if err != nil || used != len(sent) {
				t.Errorf("way %d: used %d of %d, %v: %q", way, used, len(sent), err, sent)
				continue
			}
			if text := fmt.Sprintf("%s %s %s %s", got.Method, got.Path, got.Query, got.Body); text != "POST /api/jobs x "+string(body) {
				t.Errorf("way %d: %s", way, text)
			}
		}
	}
}
