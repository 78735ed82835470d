package simulation

import (
	"fmt"
	"strings"
	"testing"

	"mapleslip/internal/protocol"
	"mapleslip/internal/records"
	"mapleslip/internal/state"
)

// oddSubmission is a submission in a form that users rarely send. change rewrites the text of an
// ordinary one.
type oddSubmission struct {
	name   string
	change func(body string) string
	status int // of the final answer: 201 if the job is accepted, else 400
}

// withImage returns a change that writes a JSON text in place of the image's name.
func withImage(text string) func(string) string {
	return func(body string) string { return strings.Replace(body, `"img-1"`, text, 1) }
}

// withMember returns a change that adds a member at the end of the object.
func withMember(text string) func(string) string {
	return func(body string) string { return strings.TrimSuffix(body, "}") + "," + text + "}" }
}

// reversed returns an object of members without commas in their values, in reverse order.
func reversed(body string) string {
	members := strings.Split(strings.Trim(body, "{}"), ",")
	for i, j := 0, len(members)-1; i < j; i, j = i+1, j-1 {
		members[i], members[j] = members[j], members[i]
	}
	return "{" + strings.Join(members, " ,\r\n\t") + "}"
}

var oddSubmissions = []oddSubmission{
	{"image is not UTF-8", withImage("\"img-401caf\xe9\""), 400},
	{"image has a broken sequence of UTF-8", withImage("\"img-100\xf0(\x8c\""), 400},
	{"unknown field is not UTF-8", withMember("\"x_\xff\xfe\":\"\xff\xfe\""), 400},
	{"class is not UTF-8", func(s string) string { return strings.Replace(s, `"work"`, "\"wo\xc0\xafrk\"", 1) }, 400},
	{"type is not UTF-8", withMember("\"flavors\":[\"large\",\"\xed\xa0\x80\"]"), 400},
	{"image over 2 KiB is not UTF-8", withImage(`"` + strings.Repeat("a", 3000) + "\xe9\""), 400},
	{"types over 4 KiB are not UTF-8", withMember(`"flavors":["large"` + strings.Repeat(`,"`+strings.Repeat("a", 150)+"\xe9\"", 30) + "]"), 400},
	{"control character", withImage("\"img\x01\""), 400},
	{"comma at the end", func(s string) string { return strings.TrimSuffix(s, "}") + ",}" }, 400},
	{"byte order mark", func(s string) string { return "\ufeff" + s }, 400},
	{"escaped NUL", withImage(`"img-\u0000"`), 201},
	{"escaped control character", withImage(`"img-\u0007\u001f"`), 201},
	{"DEL beside a quote", withImage("\"img-\x7f\\\"\""), 201},
	{"tag beside a quote", withImage("\"img-\U000e0001\\\"\""), 201},
	{"pair of surrogates", withImage(`"img-\ud83d\ude00"`), 201},
	{"half a pair of surrogates", withImage(`"img-\ud800"`), 201},
	{"escaped name", func(s string) string { return strings.Replace(s, `"bundle"`, `"\u0062undle"`, 1) }, 201},
	{"unknown fields", withMember(`"x":{"y":[1,null,{"z":"\ud800"}]},"":0`), 201},
	{"same member twice", withMember(`"x":1,"x":2`), 201},
	{"another order and white space", reversed, 201},
	{"exponents", func(s string) string { return strings.Replace(s, `"shards":1`, `"shards":1.0E+0`, 1) }, 201},
	{"null for an optional field", withMember(`"flavors":null,"region":null,"dueS":null`), 201},
}

const oddSubmissionSites = `
nodes 3
team red
type large cpus=8 gpus=2 mem=64 boot=10 zones=a
no-capacity
machine n-000001 large a
`

// Each odd submission is accepted once or refused for good, the same at every controller, with a
// leader, while no leader can be reached, and after an outage of the state service, and lowers no
// limit of the state service.
func TestOddSubmissionGetsOneFinalAnswer(t *testing.T) {
	situations := []struct{ name, trace string }{
		{"with a leader", ""},
		{"no leader can be reached", "at 4.9 kill leader\nat 20 start all\n"},
		{"after an outage", "at 4 state down\nat 15 state up\n"},
	}
	for _, situation := range situations {
		for i, odd := range oddSubmissions {
			for node := range 3 {
				t.Run(fmt.Sprintf("%s/%s/%d", situation.name, odd.name, node), func(t *testing.T) {
					t.Parallel()
					s := newSubmitter(odd, fmt.Sprintf("req-%06d", 100+i))
					s.play(t, situation.trace, node)
					s.check(t, odd.status)
				})
			}
		}
	}
}

// submitter is the user of one odd submission.
type submitter struct {
	w        *World
	job      *userJob
	final    int            // status of the first final answer
	repeated map[string]int // status of the answer to the repeated submission, by controller
	before   func(w *World) // called before the trace, may be nil
}

func newSubmitter(odd oddSubmission, ref string) *submitter {
	spec := &protocol.JobSpec{
		Ref: ref, Class: "work", Team: "red", Priority: protocol.PriorityStandard, Tasks: 1, Image: "img-1", ImageSize: 1000,
		TaskResources: protocol.Resources{CPU: 1000, GPU: 1000, Memory: 1000}, EstimatedRuntime: protocol.Second,
	}
	body := odd.change(string(protocol.AppendJob(nil, spec)))
	return &submitter{
		job:      &userJob{spec: spec, body: []byte(body), run: protocol.Second, results: make([]bool, 1)},
		repeated: make(map[string]int),
	}
}

// play sends the submission to one controller until it gets a final answer, and once more to each
// controller later.
func (s *submitter) play(t *testing.T, trace string, node int) {
	w, err := playTrace(oddSubmissionSites+trace+"at 90 expect leader some\n", func(w *World) {
		s.w = w
		w.jobs[s.job.spec.Ref] = s.job
		if s.before != nil {
			s.before(w)
		}
		w.after(5*protocol.Second, func() { s.submit(w.nodes[node]) })
		w.after(75*protocol.Second, func() {
			for _, n := range w.nodes {
				s.send(n, func(status int) { s.repeated[n.name] = status })
			}
		})
	})
	if err != nil {
		t.Fatalf("%v\nevent log:\n%s", err, strings.Join(w.Log, "\n"))
	}
}

func (s *submitter) send(n *node, answered func(status int)) {
	s.w.request(n, "submit", string(s.job.body), func(status int, _ []byte) { answered(status) })
}

func (s *submitter) submit(n *node) {
	retry := func() { s.w.after(protocol.Second, func() { s.submit(n) }) }
	if !n.alive {
		retry()
		return
	}
	s.send(n, func(status int) {
		switch status {
		case 200, 201, 400, 422:
			s.final = status
			s.job.accepted = status == 200 || status == 201
		default:
			retry()
		}
	})
}

// check checks the answers. A submission that was carried out without an answer gets 200 later.
func (s *submitter) check(t *testing.T, want int) {
	isWanted := func(status int) bool { return status == want || want == 201 && status == 200 }
	if !isWanted(s.final) {
		t.Fatalf("the final answer is %d, want %d", s.final, want)
	}
	for _, n := range s.w.nodes {
		if got := s.repeated[n.name]; !isWanted(got) {
			t.Errorf("%s answers %d to the repeated submission, want %d", n.name, got, want)
		}
		if got := n.ctl.MaxRecordBytes(); got != s.w.Platform.MaxValueBytes {
			t.Errorf("%s writes records of at most %d bytes", n.name, got)
		}
	}
	if want == 201 && !s.job.reportedDone {
		t.Error("the accepted job is not done")
	}
}

// recordOf returns a setup line with the record of a job that another controller accepted.
func recordOf(spec *protocol.JobSpec) string {
	return "record j/" + spec.Ref + " " + string(records.EncodeJob(state.NewJob(spec))) + "\n"
}

// A submission that is not UTF-8, of a job that an earlier version accepted, gets the job's state.
func TestRepeatedSubmissionThatAnEarlierVersionAccepted(t *testing.T) {
	for _, trace := range []string{"", "at 4.9 kill leader\nat 20 start all\n", "at 4 state down\nat 15 state up\n"} {
		for node := range 3 {
			s := newSubmitter(oddSubmission{change: withMember("\"x_\xff\xfe\":\"\xff\xfe\"")}, "req-000100")
			s.play(t, recordOf(s.job.spec)+trace, node)
			s.check(t, 200)
			if !s.job.reportedDone {
				t.Error("the job is not done")
			}
		}
	}
}

// A record with text that is not UTF-8, which an earlier version wrote, holds up no other job, and
// its own job runs.
func TestRecordThatIsNotUTF8HoldsUpNothing(t *testing.T) {
	earlier := newSubmitter(oddSubmission{change: func(s string) string { return s }}, "req-000200").job
	value := strings.Replace(string(records.EncodeJob(state.NewJob(earlier.spec))), "img-1", "img-\xe9", 1)
	s := newSubmitter(oddSubmissions[0], "req-000100")
	s.job.body = protocol.AppendJob(nil, s.job.spec)
	s.before = func(w *World) {
		w.jobs[earlier.spec.Ref] = earlier
		earlier.accepted = true
	}
	s.play(t, "record j/req-000200 "+value+"\nat 6 restart leader after=0.5\nat 85 expect req-000200 done\n", 0)
	s.check(t, 201)
}
