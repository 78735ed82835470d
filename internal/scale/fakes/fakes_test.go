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

// cloudRig is a cloud in simulated time.
type cloudRig struct {
	t    *testing.T
	c    *cloud
	time int64
	said []*wire.Message
}

func newCloudRig(t *testing.T, slots int) *cloudRig {
	r := &cloudRig{t: t, time: 1000 * second}
	config := &wire.Config{
		Seed: 1, Spare: map[string]int{"big/r1-z1": 60, "big/r2-z1/spot": 2},
		Types:    []*protocol.MachineType{{Name: "big", Capacity: protocol.Resources{CPU: 8000}, BootTime: 40 * protocol.Second, Zones: []string{"r1-z1", "r2-z1"}}},
		Machines: []wire.Machine{{Name: "n-000007", Type: "big", Zone: "r1-z1", Region: "r1", Public: "10.0.0.7:9000"}},
	}
	for i := range slots {
		config.Machines = append(config.Machines, wire.Machine{Public: fmt.Sprintf("10.0.1.%d:9000", i), Region: []string{"r1", ""}[i%2]})
	}
	r.c = newCloud(config, &protocol.Platform{CloudRate: 20, MachineListLag: 2 * protocol.Second}, func() int64 { return r.time }, func(m *wire.Message) { r.said = append(r.said, m) })
	return r
}

func (r *cloudRig) ask(method, target, body string) (int, string, <-chan struct{}) {
	path, query, _ := strings.Cut(target, "?")
	status, answer, wait := r.c.serve(r.time, &transport.Request{Method: method, Path: path, Query: query, Body: []byte(body)})
	return status, string(answer), wait
}

func (r *cloudRig) expect(status int, text, method, target, body string) {
	r.t.Helper()
	if got, answer, _ := r.ask(method, target, body); got != status || !strings.Contains(answer, text) {
		r.t.Fatalf("%s %s %s: %d %s, want %d with %s", method, target, body, got, answer, status, text)
	}
}

func rents(claim, zone string, spot bool, count int) string {
	return string(protocol.AppendRentRequest(nil, claim, "big", zone, spot, count))
}

func TestCloudRents(t *testing.T) {
	r := newCloudRig(t, 60)
	r.expect(200, `{"hosts":["n-000008","n-000009","n-000010"]}`, "POST", "/machines", rents("c1", "r1-z1", false, 3))
	r.expect(200, `{"hosts":["n-000008","n-000009","n-000010"]}`, "POST", "/machines", rents("c1", "r1-z1", false, 3))
	r.expect(400, "", "POST", "/machines", rents("c2", "r1-z1", false, 51))
	r.expect(400, "", "POST", "/machines", rents("c2", "r9-z1", false, 1))
	r.expect(503, "no capacity", "POST", "/machines", rents("c2", "r2-z1", false, 1))
	r.expect(200, `{"hosts":["n-000011","n-000012"]}`, "POST", "/machines", rents("c2", "r2-z1", true, 5))
	if len(r.said) != 5 {
		t.Fatalf("%d machines boot", len(r.said))
	}
	for i, m := range r.said {
		b := m.Machine
		if m.Kind != wire.Boot || b.Name != fmt.Sprintf("n-%06d", 8+i) || b.Public == "" || b.Spot != (i > 2) || b.Region != b.Zone[:2] || b.Rack == "" || m.At <= r.time {
			t.Errorf("%+v %+v", m, b)
		}
	}
	// New machines are in the list after its lag, in pages, in the order of their names.
	r.expect(200, `"ref":"n-000007"`, "GET", "/machines?since=&page=500", "")
	if _, list, _ := r.ask("GET", "/machines?since=n-000007&page=500", ""); list != `{"hosts":[],"truncated":false}` {
		t.Error(list)
	}
	r.time += 5 * second
	_, list, _ := r.ask("GET", "/machines?since=n-000008&page=2", "")
	hosts, more, err := protocol.ParseMachines([]byte(list))
	if err != nil || !more || len(hosts) != 2 || hosts[0].Name != "n-000009" || hosts[0].State != protocol.CloudBooting || hosts[0].Addr == "" {
		t.Errorf("%v %v %v", hosts, more, err)
	}
	// One that dies is listed as running for some time more.
	r.c.order(&wire.Message{Kind: wire.Fault, Text: wire.FaultEnd, Names: []string{"n-000007"}})
	r.time += 30 * second
	r.expect(200, `"phase":"running"`, "GET", "/machines?page=1", "")
	r.time += 5 * second
	r.expect(200, `"phase":"failed"`, "GET", "/machines?page=1", "")
	// 40 at once, then 20 a second.
	for range 40 {
		r.ask("GET", "/machine_types", "")
	}
	r.expect(429, "", "GET", "/machine_types", "")
	r.time += second / 10
	r.expect(200, `"label":"big"`, "GET", "/machine_types", "")
}

// A release is answered when the machines' processes have confirmed it; then their
// addresses are free, the longest unused first.
func TestCloudReleases(t *testing.T) {
	r := newCloudRig(t, 2)
	r.expect(200, `{"hosts":["n-000008","n-000009"]}`, "POST", "/machines", rents("c1", "r1-z1", false, 9))
	r.expect(503, "no capacity", "POST", "/machines", rents("c2", "r1-z1", false, 1)) // no address
	r.said = nil
	status, _, wait := r.ask("POST", "/machines/release", `{"hosts":["n-000008","n-000099"]}`)
	_, _, again := r.ask("POST", "/machines/release", `{"hosts":["n-000008"]}`)
	_, _, unknown := r.ask("POST", "/machines/release", `{"hosts":["n-000099"]}`)
	<-unknown
	select {
	case <-wait:
		t.Fatal("answered before it was confirmed")
	case <-again:
		t.Fatal("answered before it was confirmed")
	default:
	}
	if status != 200 || len(r.said) != 1 || r.said[0].Kind != wire.Gone || len(r.said[0].Names) != 1 {
		t.Fatalf("%d %+v", status, r.said)
	}
	r.time += second
	r.c.order(&wire.Message{Kind: wire.GoneDone, ID: r.said[0].ID})
	<-wait
	<-again
	r.expect(200, `{"hosts":["n-000010"]}`, "POST", "/machines", rents("c2", "r1-z1", false, 1))
	r.time += 10 * second
	if _, list, _ := r.ask("GET", "/machines", ""); strings.Contains(list, "n-000008") {
		t.Error(list)
	}
}

// The part as a whole, on sockets: a change, a watch that it wakes, an outage for one
// address only, and the end of its input.
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
	orders, in := io.Pipe()
	out, said := io.Pipe()
	ended := make(chan error, 1)
	go func() { ended <- Run(orders, said, slog.New(slog.DiscardHandler)) }()
	say := wire.NewWriter(in)
	go func() {
		_ = say.Send(&wire.Message{Kind: wire.Setup, Setup: &wire.Config{Part: "s", Platform: string(text), State: first + "," + other, Cloud: cloud, LatencyUS: 100}})
	}()
	answers := json.NewDecoder(out)
	var m wire.Message
	if err := answers.Decode(&m); err != nil || m.Kind != wire.Ready || m.Text != "" {
		t.Fatalf("%+v %v", m, err)
	}
	go func() { _, _ = io.Copy(io.Discard, answers.Buffered()) }()
	go func() { _, _ = io.Copy(io.Discard, out) }()
	ask := func(addr, target, body string) (int, string) {
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
	woken := make(chan string, 1)
	go func() {
		_, body := ask(first, "/follow?under=a&since=0&blockMs=9000", "")
		woken <- body
	}()
	if status, body := ask(other, "/commit", `{"when":[],"then":[{"set":"a","data":1}]}`); status != 200 {
		t.Fatal(status, body)
	}
	if got := <-woken; !strings.Contains(got, `"set":"a"`) {
		t.Error(got)
	}
	if err := say.Send(&wire.Message{Kind: wire.Fault, Text: wire.FaultRefuse, Names: []string{other}, For: 60 * second}); err != nil {
		t.Fatal(err)
	}
	for status := 200; status != 503; { // the order is on its way
		status, _ = ask(other, "/store/a", "")
	}
	if status, body := ask(first, "/store/a", ""); status != 200 {
		t.Error(status, body)
	}
	in.Close()
	if err := <-ended; err != nil {
		t.Error(err)
	}
}
