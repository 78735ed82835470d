package hollow

import (
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"testing"

	"mapleslip/internal/duplicate"
	"mapleslip/internal/protocol"
	"mapleslip/internal/scale/httpconn"
	"mapleslip/internal/scale/wire"
	"mapleslip/internal/transport"
)

// workerTest is a worker in simulated time, without sockets. The test acts as its controllers
// and its supervisor.
type workerTest struct {
	t         *testing.T
	p         *process
	w         *worker
	time      int64
	runTimes  map[string]int64 // run times of the jobs that the supervisor describes
	remaining map[string]int64 // remaining run times of tasks, by name
	sent      []string
}

const second = int64(1e6)

func newWorkerTest(t *testing.T) *workerTest {
	r := &workerTest{t: t, time: 1000 * second, runTimes: make(map[string]int64), remaining: make(map[string]int64)}
	p := &process{
		config: &wire.Config{}, timers: newTimers(), now: func() int64 { return r.time }, outReady: make(chan struct{}, 1),
		types:    map[string]*protocol.MachineType{"big": {Name: "big", Capacity: protocol.Resources{CPU: 8000, GPU: 4000, Memory: 64000}, CacheSize: 5000, FetchRate: 0.001}},
		platform: &protocol.Platform{HeartbeatInterval: 4 * protocol.Second, WorkerLease: 20 * protocol.Second, GangWaitTimeout: 30 * protocol.Second, GangPeerTimeout: 8 * protocol.Second},
		workers:  make(map[string]*worker), jobs: make(map[string]*job), gangs: make(map[string]map[*task]bool),
	}
	for _, n := range []string{"a", "b", "c"} {
		p.config.Controllers = append(p.config.Controllers, wire.Controller{Name: n, Public: map[string]string{"r1": n}})
	}
	w, err := p.addMachine(wire.Machine{Name: "n-000001", Type: "big", Zone: "r1-z1", Region: "r1", Public: "10.0.0.1:9000"})
	if err != nil {
		t.Fatal(err)
	}
	w.rng = rand.New(rand.NewPCG(1, 1))
	w.up, w.session, w.leaseStart, w.nextReport, w.encodedTasksStale, w.controller = true, 1, r.time, r.time, true, 0
	w.images.fetchRate = 0.001 // 1 GB/s
	w.server = &httpconn.Server{}
	w.scheduleLeaseCheck()
	w.scheduleReport(r.time)
	r.p, r.w = p, w
	return r
}

// advanceTo advances the time and answers messages in the place of the supervisor.
func (r *workerTest) advanceTo(at float64) {
	end := 1000*second + int64(at*1e6)
	for {
		fn, wait := r.p.timers.next(r.time)
		if fn != nil {
			fn(r.time)
		} else if next := r.time + int64(wait/1000); next <= end {
			r.time = next
		} else {
			break
		}
		r.handleSent()
	}
	r.time = end
	r.handleSent()
}

// handleSent records the messages to the supervisor, and answers requests for the description
// of a task.
func (r *workerTest) handleSent() {
	for len(r.p.out) > 0 {
		list := r.p.out
		r.p.out = nil
		for _, m := range list {
			if m.Kind != wire.Jobs {
				r.sent = append(r.sent, strings.TrimSpace(fmt.Sprintf("%.2f %s %s %s%s", float64(m.At)/1e6-1000, m.Kind, m.Task, m.Text, m.Phase)))
				continue
			}
			ref, _, _ := strings.Cut(m.Task, "/")
			run, known := r.runTimes[ref]
			reply := &wire.Message{Kind: wire.Jobs, Task: m.Task, Name: m.Name, Status: 404, Run: run, For: r.remaining[m.Task]}
			if known {
				reply.Status = 200
				if m.Ref != "" {
					reply.Specs = []json.RawMessage{r.jobSpec(ref)}
				}
			}
			r.p.handleMessage(reply)
		}
	}
}

// jobSpec returns a job. The last three digits of its reference are the kind (0 array, 1 gang,
// 2 service), the GPUs of a task and the image.
func (r *workerTest) jobSpec(ref string) json.RawMessage {
	n := ref[len(ref)-3:]
	return json.RawMessage(fmt.Sprintf(`{"ref":%q,"jobclass":"x","owner":"red","shape":%q,"rank":"high","shards":4,"cores":1,"gpus":%c,"memoryGb":1,"bundle":"img-%c","sizeGb":2,
		"flavors":null,"region":null,"samePlace":false,"apart":false,"reclaimable":false,"expectS":1,"snapshotEveryS":4,"snapshotS":1,"dueS":null}`,
		ref, []string{"array", "ensemble", "daemon"}[n[0]-'0'], n[1], n[2]))
}

// expectSent compares the messages to the supervisor since the last call.
func (r *workerTest) expectSent(want ...string) {
	r.t.Helper()
	if strings.Join(r.sent, "\n") != strings.Join(want, "\n") {
		r.t.Fatalf("at %.2f: sent\n%s\nwant\n%s", float64(r.time)/1e6-1000, strings.Join(r.sent, "\n"), strings.Join(want, "\n"))
	}
	r.sent = nil
}

// sendCommands sends commands directly to the worker. It returns the status of the answer, and
// the session and the states of the tasks that the answer reports.
func (r *workerTest) sendCommands(epoch, session int, orders ...string) (int, string) {
	body := fmt.Sprintf(`{"epoch":%d,"tenure":%d,"orders":[%s]}`, epoch, session, strings.Join(orders, ","))
	status, report := r.w.handleRequest(&httpconn.Conn{}, &transport.Request{Method: "POST", Path: "/commands", Body: []byte(body)})
	r.handleSent()
	return status, r.reportedStates(report)
}

func (r *workerTest) reportedStates(report []byte) string {
	rep, err := protocol.ParseHeartbeat(report)
	if err != nil {
		r.t.Fatal(err)
	}
	list := []string{fmt.Sprint(rep.AgentEpoch)}
	for _, t := range rep.Tasks {
		s := fmt.Sprintf("%s#%d:%s%s", t.TaskName, t.Number, stateNames[t.State], t.Reason)
		if t.Checkpointed {
			s += "+saved"
		}
		list = append(list, strings.TrimPrefix(s, "req-"))
	}
	return strings.Join(list, " ")
}

func (r *workerTest) expect(want string, orders ...string) {
	r.t.Helper()
	if got, states := r.sendCommands(5, int(r.w.session), orders...); got != http.StatusOK || states != want {
		r.t.Fatalf("at %.2f: %d %q, want %d %q", float64(r.time)/1e6-1000, got, states, http.StatusOK, want)
	}
}

func launch(task string, try int) string {
	return fmt.Sprintf(`{"verb":"launch","shard":"req-%s","try":%d}`, task, try)
}

func stop(task string, try int, grace float64) string {
	return fmt.Sprintf(`{"verb":"stop","shard":"req-%s","try":%d,"drainS":%g}`, task, try, grace)
}

func forget(task string, try int) string {
	return fmt.Sprintf(`{"verb":"forget","shard":"req-%s","try":%d}`, task, try)
}

// exchangeReport waits for the next report and answers it. It returns the controller that the
// report was sent to.
func (r *workerTest) exchangeReport(within float64, status int, body string, err error) string {
	r.t.Helper()
	for end := r.time + int64(within*1e6); len(r.w.sendReport) == 0; {
		if r.time >= end {
			r.t.Fatalf("no report within %g s", within)
		}
		r.advanceTo(float64(r.time+1000)/1e6 - 1000)
	}
	<-r.w.sendReport
	addr, sent, session := r.w.composeReport()
	r.w.handleReportResult(sent, session, &transport.Response{Status: status, Body: []byte(body)}, err)
	r.handleSent()
	return addr
}

// A copy of a direct command is executed later if its epoch and session still match: it starts the
// attempt again that the worker was told to forget.
func TestCopyOfACommand(t *testing.T) {
	for _, test := range []struct {
		name        string
		forgetEpoch int
		want        string
	}{
		{"forgotten under the same epoch", 5, "1 000011/0#1:fetching"},
		{"forgotten under a higher epoch", 6, "1"},
	} {
		t.Run(test.name, func(t *testing.T) {
			r := newWorkerTest(t)
			r.p.duplicates = &duplicate.Sequence{}
			r.runTimes["req-000011"] = second / 100
			r.p.duplicates.Next() // the copy arrives at the delay after the first
			r.sendCommands(5, 1, launch("000011/0", 1))
			r.p.duplicates = nil
			r.sendCommands(5, 1, stop("000011/0", 1, 0))
			r.sendCommands(test.forgetEpoch, 1, forget("000011/0", 1))
			r.advanceTo(1.6)
			if _, states := r.sendCommands(test.forgetEpoch, 1); states != test.want {
				t.Errorf("states %q, want %q", states, test.want)
			}
		})
	}
}

func TestCommands(t *testing.T) {
	r := newWorkerTest(t)
	r.runTimes["req-000011"], r.runTimes["req-000031"], r.runTimes["req-000012"] = 10*second, 10*second, 10*second
	for _, body := range []string{"", `{"epoch":5}`, `{"tenure":1}`} {
		if status, _ := r.w.handleRequest(&httpconn.Conn{}, &transport.Request{Method: "POST", Path: "/commands", Body: []byte(body)}); status != 400 {
			t.Errorf("commands %q answered with status %d, want 400", body, status)
		}
	}
	r.expect("1 000011/0#1:fetching", launch("000011/0", 1))
	for _, c := range [][2]int{{4, 1}, {5, 2}} { // an old epoch, another session
		if status, states := r.sendCommands(c[0], c[1], launch("000011/1", 1)); status != 409 || states != "1 000011/0#1:fetching" {
			t.Errorf("epoch and session %v: status %d, states %q", c, status, states)
		}
	}
	// A repeated launch, a second attempt of a task, too many GPUs, an unknown job. Then a task
	// index that the job doesn't have.
	r.expect("1 000011/0#1:fetching 000011/0#2:exitedbusy 000031/0#1:fetching 000031/1#1:fetching 000099/0#1:fetching",
		launch("000011/0", 1), launch("000011/0", 2), launch("000031/0", 1), launch("000031/1", 1), launch("000099/0", 1))
	r.expect("1 000011/0#1:fetching 000011/0#2:exitedbusy 000031/0#1:fetching 000031/1#1:exitedfull 000099/0#1:exitedno_such")
	r.expect("1 000011/0#1:fetching 000011/0#2:exitedbusy 000031/0#1:fetching 000031/1#1:exitedfull 000099/0#1:exitedno_such 000011/4#1:exitedno_such",
		launch("000031/1", 1), launch("000011/4", 1))
	r.expect("1 000011/0#1:fetching 000031/0#1:fetching", forget("000011/0", 1), forget("000011/0", 2), forget("000031/1", 1), forget("000099/0", 1), forget("000011/4", 1))
	r.advanceTo(2)
	// The malformed commands are told to the supervisor, as broken rules.
	r.expectSent("0.00 broken  commands: not JSON: EOF", "0.00 broken  commands: epoch or tenure is missing", "0.00 broken  commands: epoch or tenure is missing")
	r.advanceTo(2.1) // 2 GB at 1 GB/s, fetched once for both tasks
	r.expectSent("2.00 enter req-000011/0#1", "2.00 enter req-000031/0#1")
	r.expect("1 000011/0#1:running 000031/0#1:running")
	// Two fetches share the rate; a fetch that no task waits for any more is cancelled.
	r.expect("1 000011/0#1:running 000031/0#1:exitedstopped", stop("000031/0", 1, 0.5))
	r.expect("1 000011/0#1:running 000031/0#1:exitedstopped 000012/1#1:fetching", launch("000012/1", 1))
	r.runTimes["req-000013"] = second
	r.expect("1 000011/0#1:running 000031/0#1:exitedstopped 000012/1#1:fetching 000013/0#1:fetching", launch("000013/0", 1))
	r.advanceTo(4.1)
	r.expect("1 000011/0#1:running 000031/0#1:exitedstopped 000012/1#1:fetching 000013/0#1:exitedstopped", stop("000013/0", 1, 100))
	r.advanceTo(5.2)
	r.expect("1 000011/0#1:running 000031/0#1:exitedstopped 000012/1#1:running 000013/0#1:exitedstopped", launch("000031/0", 1))
	// The first checkpoint completes; the second is ended by another stop command.
	r.advanceTo(8)
	r.expect("1 000011/0#1:saving 000031/0#1:exitedstopped 000012/1#1:saving 000013/0#1:exitedstopped", stop("000011/0", 1, 1), stop("000012/1", 1, 10))
	r.expect("1 000011/0#1:saving 000031/0#1:exitedstopped 000012/1#1:exitedstopped 000013/0#1:exitedstopped", stop("000012/1", 1, 0))
	r.advanceTo(9.5)
	r.expect("1 000011/0#1:exitedstopped+saved 000012/1#1:exitedstopped", forget("000031/0", 1), forget("000013/0", 1))
	r.remaining["req-000011/0#2"] = 4 * second
	r.expect("1 000011/0#1:exitedstopped+saved 000012/1#1:exitedstopped 000011/0#2:fetching", launch("000011/0", 2))
	r.expect("1 000011/0#1:exitedstopped+saved 000012/1#1:exitedstopped 000011/0#2:running")
	r.advanceTo(13.6)
	r.expect("1 000011/0#2:exiteddone", forget("000011/0", 1), forget("000012/1", 1))
	r.expectSent("2.10 leave req-000031/0#1 stopped", "5.10 enter req-000012/1#1", "8.00 leave req-000012/1#1 stopped", "9.00 progress req-000011/0#1",
		"9.00 leave req-000011/0#1 stoppedsaved", "9.50 enter req-000011/0#2", "13.50 ended req-000011/0#2", "13.50 leave req-000011/0#2 done")
	if len(r.w.images.byName) != 2 || r.w.usedResources != (protocol.Resources{}) {
		t.Errorf("images %v, used %v", r.w.images.byName, r.w.usedResources)
	}
}

func TestControllers(t *testing.T) {
	r := newWorkerTest(t)
	ok := `{"epoch":5,"orders":[]}`
	for i, step := range []struct {
		to     string
		within float64
		status int
		body   string
		err    error
	}{
		{"a", 0.1, 200, ok, nil},
		{"a", 5.1, 421, `{"leader":"c"}`, nil},
		{"c", 0.6, 421, `{"leader":"c"}`, nil}, // redirected to the same controller
		{"a", 1.1, 421, `{"leader":"x"}`, nil}, // unknown leader
		{"b", 1.1, 421, `{}`, nil},
		{"c", 1.1, 503, ``, nil},
		{"a", 1.1, 0, ``, errors.New("no answer")},
		{"b", 1.1, 200, `{"epoch":4,"orders":[{"verb":"launch","shard":"req-000011/0","try":1}]}`, nil}, // an old epoch: the answer is dropped, the controller stays
		{"b", 5.1, 200, `{"orders":[{"verb":"launch","shard":"req-000011/0","try":1}]}`, nil},
		{"b", 5.1, 200, ok, nil},
	} {
		if to := r.exchangeReport(step.within, step.status, step.body, step.err); to != step.to {
			t.Fatalf("the report of step %d was sent to %s", i, to)
		}
	}
	if len(r.w.tasks) != 0 || r.p.droppedAnswers.Load() != 2 {
		t.Errorf("%d tasks, %d answers dropped", len(r.w.tasks), r.p.droppedAnswers.Load())
	}
}

// Changes are reported after half a second. A higher epoch counts as a change at most once in
// half a lease.
func TestChanges(t *testing.T) {
	r := newWorkerTest(t)
	r.runTimes["req-000011"] = 100 * second
	r.exchangeReport(0.1, 200, `{"epoch":5,"orders":[{"verb":"launch","shard":"req-000011/0","try":1}]}`, nil)
	at := r.time
	r.exchangeReport(0.51, 200, `{"epoch":6,"orders":[]}`, nil) // reports the change; the epoch of this answer doesn't count as one
	if r.time-at < second/2 {
		t.Errorf("a change was reported after %d us", r.time-at)
	}
	r.exchangeReport(2, 200, `{"epoch":6,"orders":[]}`, nil) // its image is present
	at = r.time
	r.exchangeReport(5.1, 200, `{"epoch":6,"orders":[]}`, nil)
	if r.time-at < 3*second {
		t.Errorf("a report without changes was sent after %d us", r.time-at)
	}
	for r.time < 1010*second {
		r.exchangeReport(5.1, 200, `{"epoch":6,"orders":[]}`, nil)
	}
	r.exchangeReport(5.1, 200, `{"epoch":7,"orders":[]}`, nil)
	r.exchangeReport(0.51, 200, `{"epoch":8,"orders":[]}`, nil)
	at = r.time
	r.exchangeReport(5.1, 200, `{"epoch":8,"orders":[]}`, nil)
	if r.time-at < 3*second {
		t.Errorf("a second higher epoch counted as a change after %d us", r.time-at)
	}
}

// The lease begins when the last answered report is sent. When it expires, a worker loses its
// tasks, and answers to reports of the previous session are dropped.
func TestLease(t *testing.T) {
	r := newWorkerTest(t)
	r.runTimes["req-000011"] = 18 * second
	r.exchangeReport(0.1, 200, `{"epoch":5,"orders":[{"verb":"launch","shard":"req-000011/0","try":1}]}`, nil)
	r.advanceTo(3)
	<-r.w.sendReport
	_, sent, session := r.w.composeReport()
	if sent != 1003*second {
		t.Fatal(sent)
	}
	r.advanceTo(6)
	r.w.handleReportResult(sent, session, &transport.Response{Status: 200, Body: []byte(`{"epoch":5,"orders":[]}`)}, nil)
	r.advanceTo(18)
	<-r.w.sendReport
	_, sent, session = r.w.composeReport()
	r.advanceTo(22.9)
	r.expectSent("2.00 enter req-000011/0#1", "20.00 ended req-000011/0#1", "20.00 leave req-000011/0#1 done")
	r.runTimes["req-000021"] = 100 * second
	r.expect("1 000011/0#1:exiteddone 000021/0#1:fetching", launch("000021/0", 1))
	r.advanceTo(23.1)
	r.expectSent("22.90 enter req-000021/0#1", "23.00 leave req-000021/0#1 lease")
	r.expect("2")
	r.w.handleReportResult(sent, session, &transport.Response{Status: 200, Body: []byte(`{"epoch":5,"orders":[{"verb":"launch","shard":"req-000011/1","try":1}]}`)}, nil)
	r.expect("2")
	if r.p.leaseExpiries.Load() != 1 {
		t.Error(r.p.leaseExpiries.Load())
	}
}

// A machine that hangs executes nothing. Deferred commands are executed when the hang ends,
// unless the lease has expired by then.
func TestHang(t *testing.T) {
	for name, loseLease := range map[string]bool{"lease lasts": false, "lease expires": true} {
		t.Run(name, func(t *testing.T) {
			r := newWorkerTest(t)
			r.runTimes["req-000011"] = 10 * second
			r.expect("1 000011/0#1:fetching", launch("000011/0", 1))
			r.advanceTo(4)
			r.expectSent("2.00 enter req-000011/0#1")
			hang := 6 * second
			if loseLease {
				hang = 20 * second
			}
			r.w.hang(r.time, r.time+hang)
			type answer struct {
				status int
				states string
			}
			answers := make(chan answer, 1)
			go func() {
				body := fmt.Sprintf(`{"epoch":5,"tenure":1,"orders":[%s]}`, launch("000011/1", 1))
				status, report := r.w.handleRequest(&httpconn.Conn{}, &transport.Request{Method: "POST", Path: "/commands", Body: []byte(body)})
				answers <- answer{status, r.reportedStates(report)}
			}()
			resume := func() {
				r.time = 1004*second + hang
				r.w.resume(r.time)
			}
			if loseLease {
				r.advanceTo(19.9)
				r.expectSent()
				r.advanceTo(23.9)
				resume()
				if a := <-answers; a != (answer{409, "2"}) {
					t.Errorf("%+v", a)
				}
				r.handleSent()
				r.expectSent("20.00 progress req-000011/0#1", "20.00 leave req-000011/0#1 lease")
				return
			}
			r.advanceTo(9.9)
			resume()
			if a := <-answers; a != (answer{200, "1 000011/0#1:running 000011/1#1:fetching"}) {
				t.Errorf("%+v", a)
			}
			r.handleSent()
			r.advanceTo(17.9)
			r.expectSent("10.00 enter req-000011/1#1")
			r.advanceTo(18.1)
			r.expectSent("18.00 ended req-000011/0#1", "18.00 leave req-000011/0#1 done")
		})
	}
}

func TestGangTask(t *testing.T) {
	r := newWorkerTest(t)
	r.runTimes["req-000111"] = 10 * second
	sendGangMessage := func(kind, text string, at float64) {
		r.p.handleMessage(&wire.Message{Kind: kind, Task: "req-000111/3#7", Text: text, At: 1000*second + int64(at*1e6)})
		r.handleSent()
	}
	r.expect("1 000111/0#7:fetching 000111/1#7:fetching 000111/2#6:fetching", launch("000111/0", 7), launch("000111/1", 7), launch("000111/2", 6))
	r.advanceTo(3)
	sendGangMessage(wire.Go, "", 12.5)
	r.expect("1 000111/0#7:running 000111/1#7:running 000111/2#6:waiting")
	r.expect("1 000111/0#7:saving 000111/1#7:running 000111/2#6:exitedstopped", stop("000111/0", 7, 2), stop("000111/2", 6, 2))
	r.advanceTo(5)
	r.expect("1 000111/0#7:saving 000111/1#7:saving", stop("000111/1", 7, 2), forget("000111/2", 6))
	sendGangMessage(wire.Go, "saved", 5.5)
	r.advanceTo(5.9)
	r.expect("1 000111/0#7:exitedstopped+saved 000111/1#7:saving")
	r.advanceTo(6.1)
	r.expect("1 000111/0#7:exitedstopped+saved 000111/1#7:exitedstopped+saved")
	r.sent = nil
	r.expect("1 000111/0#8:fetching 000111/1#8:fetching", forget("000111/0", 7), forget("000111/1", 7), launch("000111/0", 8), launch("000111/1", 8))
	r.p.handleMessage(&wire.Message{Kind: wire.Go, Task: "req-000111/3#8", At: 1020 * second})
	r.advanceTo(8)
	r.p.handleMessage(&wire.Message{Kind: wire.Peers, Task: "req-000111/3#8", At: 1010 * second})
	r.advanceTo(9.9)
	r.expect("1 000111/0#8:running 000111/1#8:running")
	r.advanceTo(10.1)
	r.expect("1 000111/0#8:exitedpeers 000111/1#8:exitedpeers")
	r.expect("1 000111/0#9:fetching 000111/1#9:fetching", forget("000111/0", 8), forget("000111/1", 8), launch("000111/0", 9), launch("000111/1", 9))
	for len(r.w.sendReport) > 0 { // else the lease expires first
		r.exchangeReport(1, 200, `{"epoch":5,"orders":[]}`, nil)
	}
	for r.time < 1039*second {
		r.exchangeReport(6, 200, `{"epoch":5,"orders":[]}`, nil)
	}
	r.advanceTo(40.2)
	r.expect("1 000111/0#9:exitedincomplete 000111/1#9:exitedincomplete")
}

// A full cache evicts the least recently used images, and never one that a task uses.
func TestCache(t *testing.T) {
	m := &imageCache{fetchRate: 0.001, capacity: 5000, byName: make(map[string]*image)}
	now := int64(0)
	fetch := func(name string) *image {
		i := m.getOrFetch(now, name, 2000)
		for !i.present {
			now = m.nextCompletion()
			m.completeFetches(now)
		}
		return i
	}
	fetch("a").users = 1
	fetch("b")
	fetch("c") // evicts b, since a is in use
	if m.byName["b"] != nil || m.byName["a"] == nil || m.byName["c"] == nil {
		t.Errorf("images in the cache: %v", m.byName)
	}
	if now < 6*second || now > 6*second+10 {
		t.Errorf("three images of 2 s took %d us", now)
	}
}
