package hollow

import (
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"testing"

	"mapleslip/internal/protocol"
	"mapleslip/internal/scale/httpconn"
	"mapleslip/internal/scale/wire"
	"mapleslip/internal/transport"
)

// rig is a worker in simulated time, without sockets: the test is its controllers and
// its supervisor.
type rig struct {
	t    *testing.T
	p    *process
	w    *worker
	time int64
	runs map[string]int64 // jobs that the supervisor knows, and how long they run
	left map[string]int64 // what is left of tasks
	said []string
}

const second = int64(1e6)

func newRig(t *testing.T) *rig {
	r := &rig{t: t, time: 1000 * second, runs: make(map[string]int64), left: make(map[string]int64)}
	p := &process{
		config: &wire.Config{}, timers: newTimers(), now: func() int64 { return r.time }, more: make(chan struct{}, 1),
		types:    map[string]*protocol.MachineType{"big": {Name: "big", Capacity: protocol.Resources{CPU: 8000, GPU: 4000, Memory: 64000}, CacheSize: 5000, FetchRate: 0.001}},
		platform: &protocol.Platform{HeartbeatInterval: 4 * protocol.Second, WorkerLease: 20 * protocol.Second, GangWaitTimeout: 30 * protocol.Second, GangPeerTimeout: 8 * protocol.Second},
		workers:  make(map[string]*worker), jobs: make(map[string]*job), gangs: make(map[string]map[*task]bool),
	}
	for _, n := range []string{"a", "b", "c"} {
		p.config.Controllers = append(p.config.Controllers, wire.Controller{Name: n, Public: map[string]string{"r1": n}})
	}
	w, err := p.add(wire.Machine{Name: "n-000001", Type: "big", Zone: "r1-z1", Region: "r1", Public: "10.0.0.1:9000"})
	if err != nil {
		t.Fatal(err)
	}
	w.rng = rand.New(rand.NewPCG(1, 1))
	w.up, w.session, w.leaseFrom, w.due, w.stale, w.node = true, 1, r.time, r.time, true, 0
	w.images.rate = 0.001 // a GB a second
	w.server = &httpconn.Server{}
	w.armLease()
	w.arm(r.time)
	r.p, r.w = p, w
	return r
}

// until lets time pass, and the supervisor answer.
func (r *rig) until(at float64) {
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
		r.supervise()
	}
	r.time = end
	r.supervise()
}

func (r *rig) supervise() {
	for len(r.p.out) > 0 {
		list := r.p.out
		r.p.out = nil
		for _, m := range list {
			if m.Kind != wire.Jobs {
				r.said = append(r.said, strings.TrimSpace(fmt.Sprintf("%.2f %s %s %s%s", float64(m.At)/1e6-1000, m.Kind, m.Task, m.Text, m.Phase)))
				continue
			}
			ref, _, _ := strings.Cut(m.Task, "/")
			run, known := r.runs[ref]
			a := &wire.Message{Kind: wire.Jobs, Task: m.Task, Name: m.Name, Status: 404, Run: run, For: r.left[m.Task]}
			if known {
				a.Status = 200
				if m.Ref != "" {
					a.Specs = []json.RawMessage{r.spec(ref)}
				}
			}
			r.p.order(a)
		}
	}
}

// spec is a job by the last digits of its name: kind (0 array, 1 gang, 2 service), GPUs, image.
func (r *rig) spec(ref string) json.RawMessage {
	n := ref[len(ref)-3:]
	return json.RawMessage(fmt.Sprintf(`{"ref":%q,"jobclass":"x","owner":"red","shape":%q,"rank":"high","shards":4,"cores":1,"gpus":%c,"memoryGb":1,"bundle":"img-%c","sizeGb":2,
		"flavors":null,"region":null,"samePlace":false,"apart":false,"reclaimable":false,"expectS":1,"snapshotEveryS":4,"snapshotS":1,"dueS":null}`,
		ref, []string{"array", "ensemble", "daemon"}[n[0]-'0'], n[1], n[2]))
}

// expectSaid compares what the supervisor was told since the last time.
func (r *rig) expectSaid(want ...string) {
	r.t.Helper()
	if strings.Join(r.said, "\n") != strings.Join(want, "\n") {
		r.t.Fatalf("at %.2f: said\n%s\nwant\n%s", float64(r.time)/1e6-1000, strings.Join(r.said, "\n"), strings.Join(want, "\n"))
	}
	r.said = nil
}

// commands sends direct commands, and says what the worker reports then: its session and
// the states of its tasks.
func (r *rig) commands(epoch, session int, orders ...string) (int, string) {
	body := fmt.Sprintf(`{"epoch":%d,"tenure":%d,"orders":[%s]}`, epoch, session, strings.Join(orders, ","))
	status, report := r.w.handle(&httpconn.Conn{}, &transport.Request{Method: "POST", Path: "/commands", Body: []byte(body)})
	r.supervise()
	return status, r.states(report)
}

func (r *rig) states(report []byte) string {
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

func (r *rig) expect(want string, orders ...string) {
	r.t.Helper()
	if got, states := r.commands(5, int(r.w.session), orders...); got != http.StatusOK || states != want {
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

// report has the next report sent and answered; it says to whom it went and when.
func (r *rig) report(within float64, status int, body string, err error) string {
	r.t.Helper()
	for end := r.time + int64(within*1e6); len(r.w.send) == 0; {
		if r.time >= end {
			r.t.Fatalf("no report within %g s", within)
		}
		r.until(float64(r.time+1000)/1e6 - 1000)
	}
	<-r.w.send
	addr, sent, session := r.w.composes()
	r.w.answered(sent, session, &transport.Response{Status: status, Body: []byte(body)}, err)
	r.supervise()
	return addr
}

func TestCommands(t *testing.T) {
	r := newRig(t)
	r.runs["req-000011"], r.runs["req-000031"], r.runs["req-000012"] = 10*second, 10*second, 10*second
	for _, body := range []string{"", `{"epoch":5}`, `{"tenure":1}`} {
		if status, _ := r.w.handle(&httpconn.Conn{}, &transport.Request{Method: "POST", Path: "/commands", Body: []byte(body)}); status != 400 {
			t.Errorf("%s: %d", body, status)
		}
	}
	r.expect("1 000011/0#1:fetching", launch("000011/0", 1))
	for _, c := range [][2]int{{4, 1}, {5, 2}} { // an old token, another session
		if status, states := r.commands(c[0], c[1], launch("000011/1", 1)); status != 409 || states != "1 000011/0#1:fetching" {
			t.Errorf("%v: %d %s", c, status, states)
		}
	}
	// Again, the same task as another attempt, too much, nobody's job, no such task.
	r.expect("1 000011/0#1:fetching 000011/0#2:exitedbusy 000031/0#1:fetching 000031/1#1:fetching 000099/0#1:fetching",
		launch("000011/0", 1), launch("000011/0", 2), launch("000031/0", 1), launch("000031/1", 1), launch("000099/0", 1))
	r.expect("1 000011/0#1:fetching 000011/0#2:exitedbusy 000031/0#1:fetching 000031/1#1:exitedfull 000099/0#1:exitedno_such")
	r.expect("1 000011/0#1:fetching 000011/0#2:exitedbusy 000031/0#1:fetching 000031/1#1:exitedfull 000099/0#1:exitedno_such 000011/4#1:exitedno_such",
		launch("000031/1", 1), launch("000011/4", 1))
	r.expect("1 000011/0#1:fetching 000031/0#1:fetching", forget("000011/0", 1), forget("000011/0", 2), forget("000031/1", 1), forget("000099/0", 1), forget("000011/4", 1))
	r.until(2)
	r.expectSaid()
	r.until(2.1) // 2 GB at a GB a second, once for both
	r.expectSaid("2.00 enter req-000011/0#1", "2.00 enter req-000031/0#1")
	r.expect("1 000011/0#1:running 000031/0#1:running")
	// Two images share the rate; one that nobody waits for any more is given up.
	r.expect("1 000011/0#1:running 000031/0#1:exitedstopped", stop("000031/0", 1, 0.5))
	r.expect("1 000011/0#1:running 000031/0#1:exitedstopped 000012/1#1:fetching", launch("000012/1", 1))
	r.runs["req-000013"] = second
	r.expect("1 000011/0#1:running 000031/0#1:exitedstopped 000012/1#1:fetching 000013/0#1:fetching", launch("000013/0", 1))
	r.until(4.1)
	r.expect("1 000011/0#1:running 000031/0#1:exitedstopped 000012/1#1:fetching 000013/0#1:exitedstopped", stop("000013/0", 1, 100))
	r.until(5.2)
	r.expect("1 000011/0#1:running 000031/0#1:exitedstopped 000012/1#1:running 000013/0#1:exitedstopped", launch("000031/0", 1))
	// The first save comes to its end, the second is ended by another stop.
	r.until(8)
	r.expect("1 000011/0#1:saving 000031/0#1:exitedstopped 000012/1#1:saving 000013/0#1:exitedstopped", stop("000011/0", 1, 1), stop("000012/1", 1, 10))
	r.expect("1 000011/0#1:saving 000031/0#1:exitedstopped 000012/1#1:exitedstopped 000013/0#1:exitedstopped", stop("000012/1", 1, 0))
	r.until(9.5)
	r.expect("1 000011/0#1:exitedstopped+saved 000012/1#1:exitedstopped", forget("000031/0", 1), forget("000013/0", 1))
	r.left["req-000011/0#2"] = 4 * second
	r.expect("1 000011/0#1:exitedstopped+saved 000012/1#1:exitedstopped 000011/0#2:fetching", launch("000011/0", 2))
	r.expect("1 000011/0#1:exitedstopped+saved 000012/1#1:exitedstopped 000011/0#2:running")
	r.until(13.6)
	r.expect("1 000011/0#2:exiteddone", forget("000011/0", 1), forget("000012/1", 1))
	r.expectSaid("2.10 leave req-000031/0#1 stopped", "5.10 enter req-000012/1#1", "8.00 leave req-000012/1#1 stopped", "9.00 progress req-000011/0#1",
		"9.00 leave req-000011/0#1 stoppedsaved", "9.50 enter req-000011/0#2", "13.50 ended req-000011/0#2", "13.50 leave req-000011/0#2 done")
	if len(r.w.images.list) != 2 || r.w.used != (protocol.Resources{}) {
		t.Errorf("images %v, used %v", r.w.images.list, r.w.used)
	}
}

func TestControllers(t *testing.T) {
	r := newRig(t)
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
		{"c", 0.6, 421, `{"leader":"c"}`, nil}, // the same one
		{"a", 1.1, 421, `{"leader":"x"}`, nil}, // unknown
		{"b", 1.1, 421, `{}`, nil},
		{"c", 1.1, 503, ``, nil},
		{"a", 1.1, 0, ``, errors.New("no answer")},
		{"b", 1.1, 200, `{"epoch":4,"orders":[{"verb":"launch","shard":"req-000011/0","try":1}]}`, nil}, // an old token: dropped, but the worker stays
		{"b", 5.1, 200, `{"orders":[{"verb":"launch","shard":"req-000011/0","try":1}]}`, nil},
		{"b", 5.1, 200, ok, nil},
	} {
		if to := r.report(step.within, step.status, step.body, step.err); to != step.to {
			t.Fatalf("step %d went to %s", i, to)
		}
	}
	if len(r.w.tasks) != 0 || r.p.dropped.Load() != 2 {
		t.Errorf("%d tasks, %d dropped", len(r.w.tasks), r.p.dropped.Load())
	}
}

// Changes are reported after half a second, a higher token counts as one only once in half
// of the lease.
func TestChanges(t *testing.T) {
	r := newRig(t)
	r.runs["req-000011"] = 100 * second
	r.report(0.1, 200, `{"epoch":5,"orders":[{"verb":"launch","shard":"req-000011/0","try":1}]}`, nil)
	at := r.time
	r.report(0.51, 200, `{"epoch":6,"orders":[]}`, nil) // the change; this one's token doesn't count
	if r.time-at < second/2 {
		t.Errorf("a change after %d us", r.time-at)
	}
	r.report(2, 200, `{"epoch":6,"orders":[]}`, nil) // its image is there
	at = r.time
	r.report(5.1, 200, `{"epoch":6,"orders":[]}`, nil)
	if r.time-at < 3*second {
		t.Errorf("an unchanged report after %d us", r.time-at)
	}
	for r.time < 1010*second {
		r.report(5.1, 200, `{"epoch":6,"orders":[]}`, nil)
	}
	r.report(5.1, 200, `{"epoch":7,"orders":[]}`, nil)
	r.report(0.51, 200, `{"epoch":8,"orders":[]}`, nil)
	at = r.time
	r.report(5.1, 200, `{"epoch":8,"orders":[]}`, nil)
	if r.time-at < 3*second {
		t.Errorf("a token was reported again after %d us", r.time-at)
	}
}

// The lease runs from when the last answered report was sent. Without one a worker loses
// its tasks, and answers to reports of the session before are dropped.
func TestLease(t *testing.T) {
	r := newRig(t)
	r.runs["req-000011"] = 18 * second
	r.report(0.1, 200, `{"epoch":5,"orders":[{"verb":"launch","shard":"req-000011/0","try":1}]}`, nil)
	r.until(3)
	<-r.w.send
	_, sent, session := r.w.composes()
	if sent != 1003*second {
		t.Fatal(sent)
	}
	r.until(6)
	r.w.answered(sent, session, &transport.Response{Status: 200, Body: []byte(`{"epoch":5,"orders":[]}`)}, nil)
	r.until(18)
	<-r.w.send
	_, sent, session = r.w.composes()
	r.until(22.9)
	r.expectSaid("2.00 enter req-000011/0#1", "20.00 ended req-000011/0#1", "20.00 leave req-000011/0#1 done")
	r.runs["req-000021"] = 100 * second
	r.expect("1 000011/0#1:exiteddone 000021/0#1:fetching", launch("000021/0", 1))
	r.until(23.1)
	r.expectSaid("22.90 enter req-000021/0#1", "23.00 leave req-000021/0#1 lease")
	r.expect("2")
	r.w.answered(sent, session, &transport.Response{Status: 200, Body: []byte(`{"epoch":5,"orders":[{"verb":"launch","shard":"req-000011/1","try":1}]}`)}, nil)
	r.expect("2")
	if r.p.expiries.Load() != 1 {
		t.Error(r.p.expiries.Load())
	}
}

// A machine that hangs executes nothing. What was held is executed when it goes on, unless
// its lease has run out meanwhile.
func TestHang(t *testing.T) {
	for name, lease := range map[string]bool{"goes on": false, "loses its lease": true} {
		t.Run(name, func(t *testing.T) {
			r := newRig(t)
			r.runs["req-000011"] = 10 * second
			r.expect("1 000011/0#1:fetching", launch("000011/0", 1))
			r.until(4)
			r.expectSaid("2.00 enter req-000011/0#1")
			hang := 6 * second
			if lease {
				hang = 20 * second
			}
			r.w.hangs(r.time, r.time+hang)
			type answer struct {
				status int
				states string
			}
			answers := make(chan answer, 1)
			go func() {
				body := fmt.Sprintf(`{"epoch":5,"tenure":1,"orders":[%s]}`, launch("000011/1", 1))
				status, report := r.w.handle(&httpconn.Conn{}, &transport.Request{Method: "POST", Path: "/commands", Body: []byte(body)})
				answers <- answer{status, r.states(report)}
			}()
			goesOn := func() {
				r.time = 1004*second + hang
				r.w.resumes(r.time)
			}
			if lease {
				r.until(19.9)
				r.expectSaid()
				r.until(23.9)
				goesOn()
				if a := <-answers; a != (answer{409, "2"}) {
					t.Errorf("%+v", a)
				}
				r.supervise()
				r.expectSaid("20.00 progress req-000011/0#1", "20.00 leave req-000011/0#1 lease")
				return
			}
			r.until(9.9)
			goesOn()
			if a := <-answers; a != (answer{200, "1 000011/0#1:running 000011/1#1:fetching"}) {
				t.Errorf("%+v", a)
			}
			r.supervise()
			r.until(17.9)
			r.expectSaid("10.00 enter req-000011/1#1")
			r.until(18.1)
			r.expectSaid("18.00 ended req-000011/0#1", "18.00 leave req-000011/0#1 done")
		})
	}
}

func TestGangTask(t *testing.T) {
	r := newRig(t)
	r.runs["req-000111"] = 10 * second
	word := func(kind, text string, at float64) {
		r.p.order(&wire.Message{Kind: kind, Task: "req-000111/3#7", Text: text, At: 1000*second + int64(at*1e6)})
		r.supervise()
	}
	r.expect("1 000111/0#7:fetching 000111/1#7:fetching 000111/2#6:fetching", launch("000111/0", 7), launch("000111/1", 7), launch("000111/2", 6))
	r.until(3)
	word(wire.Go, "", 12.5)
	r.expect("1 000111/0#7:running 000111/1#7:running 000111/2#6:waiting")
	r.expect("1 000111/0#7:saving 000111/1#7:running 000111/2#6:exitedstopped", stop("000111/0", 7, 2), stop("000111/2", 6, 2))
	r.until(5)
	r.expect("1 000111/0#7:saving 000111/1#7:saving", stop("000111/1", 7, 2), forget("000111/2", 6))
	word(wire.Go, "saved", 5.5)
	r.until(5.9)
	r.expect("1 000111/0#7:exitedstopped+saved 000111/1#7:saving")
	r.until(6.1)
	r.expect("1 000111/0#7:exitedstopped+saved 000111/1#7:exitedstopped+saved")
	r.said = nil
	r.expect("1 000111/0#8:fetching 000111/1#8:fetching", forget("000111/0", 7), forget("000111/1", 7), launch("000111/0", 8), launch("000111/1", 8))
	r.p.order(&wire.Message{Kind: wire.Go, Task: "req-000111/3#8", At: 1020 * second})
	r.until(8)
	r.p.order(&wire.Message{Kind: wire.Peers, Task: "req-000111/3#8", At: 1010 * second})
	r.until(9.9)
	r.expect("1 000111/0#8:running 000111/1#8:running")
	r.until(10.1)
	r.expect("1 000111/0#8:exitedpeers 000111/1#8:exitedpeers")
	r.expect("1 000111/0#9:fetching 000111/1#9:fetching", forget("000111/0", 8), forget("000111/1", 8), launch("000111/0", 9), launch("000111/1", 9))
	for len(r.w.send) > 0 { // or the lease ends first
		r.report(1, 200, `{"epoch":5,"orders":[]}`, nil)
	}
	for r.time < 1039*second {
		r.report(6, 200, `{"epoch":5,"orders":[]}`, nil)
	}
	r.until(40.2)
	r.expect("1 000111/0#9:exitedincomplete 000111/1#9:exitedincomplete")
}

// The least recently used images go when the cache is full, never one that a task has.
func TestCache(t *testing.T) {
	m := &images{rate: 0.001, cache: 5000, list: make(map[string]*image)}
	now := int64(0)
	fetch := func(name string) *image {
		i := m.want(now, name, 2000)
		for !i.here {
			now = m.due()
			m.arrived(now)
		}
		return i
	}
	fetch("a").users = 1
	fetch("b")
	fetch("c") // no room for b beside a, which is in use
	if m.list["b"] != nil || m.list["a"] == nil || m.list["c"] == nil {
		t.Errorf("%v", m.list)
	}
	if now < 6*second || now > 6*second+10 {
		t.Errorf("three images of 2 s took %d us", now)
	}
}
