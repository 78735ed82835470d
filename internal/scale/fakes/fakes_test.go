package fakes

import (
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"mapleslip/internal/protocol"
	"mapleslip/internal/scale/wire"
	"mapleslip/internal/transport"
)

const second = int64(1e6)

// cloudFixture is a fake cloud in simulated time. sent has its messages to the supervisor.
type cloudFixture struct {
	t    *testing.T
	c    *cloud
	now  int64
	sent []*wire.Message
}

func newCloudFixture(t *testing.T, slots int) *cloudFixture {
	r := &cloudFixture{t: t, now: 1000 * second}
	config := &wire.Config{
		Seed: 1, Spare: map[string]int{"big/r1-z1": 60, "big/r2-z1/spot": 2},
		Types:    []*protocol.MachineType{{Name: "big", Capacity: protocol.Resources{CPU: 8000}, BootTime: 40 * protocol.Second, Zones: []string{"r1-z1", "r2-z1"}}},
		Machines: []wire.Machine{{Name: "n-000007", Type: "big", Zone: "r1-z1", Region: "r1", Public: "10.0.0.7:9000"}},
	}
	for i := range slots {
		config.Machines = append(config.Machines, wire.Machine{Public: fmt.Sprintf("10.0.1.%d:9000", i), Region: []string{"r1", ""}[i%2]})
	}
	r.c = newCloud(config, &protocol.Platform{CloudRate: 20, MachineListLag: 2 * protocol.Second}, func() int64 { return r.now }, func(m *wire.Message) { r.sent = append(r.sent, m) })
	return r
}

func (r *cloudFixture) request(method, target, body string) (int, string, <-chan struct{}) {
	path, query, _ := strings.Cut(target, "?")
	status, answer, wait := r.c.serve(r.now, &transport.Request{Method: method, Path: path, Query: query, Body: []byte(body)})
	return status, string(answer), wait
}

func (r *cloudFixture) expect(status int, text, method, target, body string) {
	r.t.Helper()
	if got, answer, _ := r.request(method, target, body); got != status || !strings.Contains(answer, text) {
		r.t.Fatalf("%s %s %s: %d %s, want %d with %s", method, target, body, got, answer, status, text)
	}
}

func rentRequest(claim, zone string, spot bool, count int) string {
	return string(protocol.AppendRentRequest(nil, claim, "big", zone, spot, count))
}

func TestCloudRents(t *testing.T) {
	r := newCloudFixture(t, 60)
	r.expect(200, `{"hosts":["n-000008","n-000009","n-000010"]}`, "POST", "/machines", rentRequest("c1", "r1-z1", false, 3))
	r.expect(200, `{"hosts":["n-000008","n-000009","n-000010"]}`, "POST", "/machines", rentRequest("c1", "r1-z1", false, 3))
	r.expect(400, "", "POST", "/machines", rentRequest("c2", "r1-z1", false, 51))
	r.expect(400, "", "POST", "/machines", rentRequest("c2", "r9-z1", false, 1))
	r.expect(503, "no capacity", "POST", "/machines", rentRequest("c2", "r2-z1", false, 1))
	r.expect(200, `{"hosts":["n-000011","n-000012"]}`, "POST", "/machines", rentRequest("c2", "r2-z1", true, 5))
	if len(r.sent) != 5 {
		t.Fatalf("%d machines boot", len(r.sent))
	}
	for i, m := range r.sent {
		b := m.Machine
		if m.Kind != wire.Boot || b.Name != fmt.Sprintf("n-%06d", 8+i) || b.Public == "" || b.Spot != (i > 2) || b.Region != b.Zone[:2] || b.Rack == "" || m.At <= r.now {
			t.Errorf("%+v %+v", m, b)
		}
	}
	// New machines are listed after the list lag, in pages, in the order of their names.
	r.expect(200, `"ref":"n-000007"`, "GET", "/machines?since=&page=500", "")
	if _, list, _ := r.request("GET", "/machines?since=n-000007&page=500", ""); list != `{"hosts":[],"truncated":false}` {
		t.Error(list)
	}
	r.now += 5 * second
	_, list, _ := r.request("GET", "/machines?since=n-000008&page=2", "")
	hosts, more, err := protocol.ParseMachines([]byte(list))
	if err != nil || !more || len(hosts) != 2 || hosts[0].Name != "n-000009" || hosts[0].State != protocol.CloudBooting || hosts[0].Addr == "" {
		t.Errorf("%v %v %v", hosts, more, err)
	}
	// A failed machine is listed as running for 30 s more.
	r.c.handleMessage(&wire.Message{Kind: wire.Fault, Text: wire.FaultEnd, Names: []string{"n-000007"}})
	r.now += 30 * second
	r.expect(200, `"phase":"running"`, "GET", "/machines?page=1", "")
	r.now += 5 * second
	r.expect(200, `"phase":"failed"`, "GET", "/machines?page=1", "")
	// The rate limit admits 40 requests at once, then 20 a second.
	for range 40 {
		r.request("GET", "/machine_types", "")
	}
	r.expect(429, "", "GET", "/machine_types", "")
	r.now += second / 10
	r.expect(200, `"label":"big"`, "GET", "/machine_types", "")
}

// A release is answered only after the processes of the machines have confirmed it. Then their
// addresses are free, and the longest unused one is taken first.
func TestCloudReleases(t *testing.T) {
	r := newCloudFixture(t, 2)
	r.expect(200, `{"hosts":["n-000008","n-000009"]}`, "POST", "/machines", rentRequest("c1", "r1-z1", false, 9))
	r.expect(503, "no capacity", "POST", "/machines", rentRequest("c2", "r1-z1", false, 1)) // no free address
	r.sent = nil
	status, _, wait := r.request("POST", "/machines/release", `{"hosts":["n-000008","n-000099"]}`)
	_, _, again := r.request("POST", "/machines/release", `{"hosts":["n-000008"]}`)
	_, _, unknown := r.request("POST", "/machines/release", `{"hosts":["n-000099"]}`)
	<-unknown
	select {
	case <-wait:
		t.Fatal("answered before it was confirmed")
	case <-again:
		t.Fatal("answered before it was confirmed")
	default:
	}
	if status != 200 || len(r.sent) != 1 || r.sent[0].Kind != wire.Gone || len(r.sent[0].Names) != 1 {
		t.Fatalf("%d %+v", status, r.sent)
	}
	r.now += second
	r.c.handleMessage(&wire.Message{Kind: wire.GoneDone, ID: r.sent[0].ID})
	<-wait
	<-again
	r.expect(200, `{"hosts":["n-000010"]}`, "POST", "/machines", rentRequest("c2", "r1-z1", false, 1))
	r.now += 10 * second
	if _, list, _ := r.request("GET", "/machines", ""); strings.Contains(list, "n-000008") {
		t.Error(list)
	}
}

// The part with real sockets: a commit, the watch that it completes, an outage of one address
// only, and the end of the part's input.
func TestPartOnSockets(t *testing.T) {
	free := func() string {
		l, err := net.Listen("tcp4", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		defer l.Close()
		return l.Addr().String()
	}
	p := protocol.Platform{
		ControllerName: "a", Zone: "z", Zones: []string{"z"}, ClientListen: "127.0.0.1:1", ClusterListen: "127.0.0.1:2", StateAddr: "127.0.0.1:3", CloudAddr: "127.0.0.1:4",
		Teams: map[string]protocol.Team{}, HeartbeatInterval: protocol.Second, WorkerLease: 10 * protocol.Second, GangWaitTimeout: protocol.Second, GangPeerTimeout: protocol.Second, CancelTimeout: 20 * protocol.Second,
		StateRequestRate: 1000, StateWriteRate: 1000, MaxValueBytes: 8192, MaxTxnChanges: 12, CloudRate: 20, CPUShare: 1, MemoryBytes: 1e8, MaxConnections: 100,
	}
	text, err := protocol.SettingsFile(&p)
	if err != nil {
		t.Fatal(err)
	}
	first, other, cloud := free(), free(), free()
	input, toPart := io.Pipe()
	fromPart, output := io.Pipe()
	ended := make(chan error, 1)
	go func() { ended <- Run(input, output, slog.New(slog.DiscardHandler)) }()
	messages := wire.NewWriter(toPart)
	go func() {
		_ = messages.Send(&wire.Message{Kind: wire.Setup, Setup: &wire.Config{Part: "s", Platform: string(text), State: first + "," + other, Cloud: cloud, LatencyUS: 100}})
	}()
	answers := json.NewDecoder(fromPart)
	var m wire.Message
	if err := answers.Decode(&m); err != nil || m.Kind != wire.Ready || m.Text != "" {
		t.Fatalf("%+v %v", m, err)
	}
	go func() { _, _ = io.Copy(io.Discard, answers.Buffered()) }()
	go func() { _, _ = io.Copy(io.Discard, fromPart) }()
	request := func(addr, target, body string) (int, string) {
		client := http.Client{Timeout: 10 * time.Second}
		do := func() (*http.Response, error) {
			if body == "" {
				return client.Get("http://" + addr + target)
			}
			return client.Post("http://"+addr+target, "application/json", strings.NewReader(body))
		}
		r, err := do()
		if err != nil {
			t.Fatal(err)
		}
		defer r.Body.Close()
		b, _ := io.ReadAll(r.Body)
		return r.StatusCode, string(b)
	}
	watched := make(chan string, 1)
	go func() {
		_, body := request(first, "/follow?under=a&since=0&blockMs=9000", "")
		watched <- body
	}()
	if status, body := request(other, "/commit", `{"when":[],"then":[{"set":"a","data":1}]}`); status != 200 {
		t.Fatal(status, body)
	}
	if got := <-watched; !strings.Contains(got, `"set":"a"`) {
		t.Error(got)
	}
	if err := messages.Send(&wire.Message{Kind: wire.Fault, Text: wire.FaultRefuse, Names: []string{other}, For: 60 * second}); err != nil {
		t.Fatal(err)
	}
	for status := 200; status != 503; { // until the part has handled the fault
		status, _ = request(other, "/store/a", "")
	}
	if status, body := request(first, "/store/a", ""); status != 200 {
		t.Error(status, body)
	}
	toPart.Close()
	if err := <-ended; err != nil {
		t.Error(err)
	}
}
