package simulation

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/valyala/fastjson"

	"mapleslip/internal/loopback"
	"mapleslip/internal/protocol"
)

// freeAddr returns a loopback address that is not in use.
func freeAddr(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	return l.Addr().String()
}

// liveSettings returns settings with a network of the test's own: without it, two test runs on
// one machine took each other's worker addresses.
func liveSettings(t *testing.T, controller string) LiveSettings {
	t.Helper()
	network, err := loopback.Reserve()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = network.Close() })
	return LiveSettings{
		State: freeAddr(t), Cloud: freeAddr(t), Names: []string{"node-0"}, Clients: []string{controller}, Network: network.Prefix,
		Platform: NewWorld(0).Platform, Types: []*protocol.MachineType{{Name: "small", Capacity: protocol.Resources{CPU: 8000, Memory: 8000}, CacheSize: 9000, FetchRate: 1, Zones: []string{"a"}}},
	}
}

func doRequest(t *testing.T, method, url, body string) (int, string) {
	t.Helper()
	r, err := http.NewRequest(method, url, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatal(err)
	}
	return resp.StatusCode, string(text)
}

// The simulated services serve real connections as they do simulated ones: a rented machine has
// a worker on its own address, which sends heartbeats to the controller, accepts commands, and
// is gone when its machine is released. A service instance that it starts answers health checks
// as configured with Behave.
func TestLive(t *testing.T) {
	reports := make(chan string, 100)
	controller := &http.Server{Addr: freeAddr(t), Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		select {
		case reports <- string(body):
		default:
		}
		_, _ = io.WriteString(w, `{"epoch":1,"orders":[]}`)
	})}
	go func() { _ = controller.ListenAndServe() }()
	defer controller.Close()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	s := liveSettings(t, controller.Addr)
	l, err := StartLive(ctx, s)
	if err != nil {
		t.Fatal(err)
	}
	job := `{"at":1,"epoch":1,"job":{"ref":"req-000001","jobclass":"c","owner":"red","shape":"daemon","rank":"high","shards":1,"cores":1,"gpus":0,"memoryGb":1,"bundle":"img-1","sizeGb":0.001,"samePlace":false,"apart":false,"reclaimable":false,"expectS":0,"snapshotEveryS":0,"snapshotS":0}}`
	if status, text := doRequest(t, "POST", "http://"+s.State+"/commit", `{"when":[{"path":"j/req-000001","stamp":0}],"then":[{"set":"j/req-000001","data":`+job+`}]}`); status != 200 {
		t.Fatal(status, text)
	}
	if status, text := doRequest(t, "GET", "http://"+s.State+"/store/j/req-000001", ""); status != 200 || fastjson.GetString([]byte(text), "path") != "j/req-000001" {
		t.Fatal(status, text)
	}
	_, text := doRequest(t, "POST", "http://"+s.Cloud+"/machines", `{"claim":"r-1","flavor":"small","region":"a","reclaimable":false,"count":1}`)
	host := fastjson.GetString([]byte(text), "hosts", "0")
	report := <-reports
	worker := fastjson.GetString([]byte(report), "addr")
	if host == "" || fastjson.GetString([]byte(report), "host") != host || !strings.HasPrefix(worker, s.Network) {
		t.Fatal(text, report)
	}
	if status, text := doRequest(t, "POST", "http://"+worker+"/commands", `{"epoch":1,"tenure":1,"orders":[{"verb":"launch","shard":"req-000001/0","try":1}]}`); status != 200 || !strings.Contains(text, "req-000001/0") {
		t.Fatal(status, text)
	}
	for !strings.Contains(report, `"running"`) {
		report = <-reports
	}
	check := fmt.Sprintf("http://%s:%d/healthz", strings.TrimSuffix(worker, ":9000"), instancePort("req-000001", 0))
	if status, _ := doRequest(t, "GET", check, ""); status != 200 {
		t.Error(status)
	}
	l.Behave("img-1", "fails", 0)
	if status, _ := doRequest(t, "GET", check, ""); status != 500 || l.Healthy("img-1") != 0 {
		t.Error(status, l.Healthy("img-1"))
	}
	doRequest(t, "POST", "http://"+s.Cloud+"/machines/release", `{"hosts":["`+host+`"]}`)
	waitFor(t, "the worker to be gone", func() bool { _, err := net.Dial("tcp4", worker); return err != nil })
	if err := l.Err(); err != nil {
		t.Error(err)
	}
	cancel()
	waitFor(t, "the state service to stop listening", func() bool { _, err := net.Dial("tcp4", s.State); return err != nil })
}

// waitFor waits until the condition holds, and fails the test after about ten seconds.
func waitFor(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for range 1000 {
		if condition() {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatal("timed out waiting for: " + what)
}

// Without a trace, the name of an image selects how its instances behave.
func TestImageNameSelectsBehaviour(t *testing.T) {
	w := NewWorld(0)
	w.live = &Live{}
	for image, want := range map[string]behaviour{
		"picker-7": {}, "picker-fails": {what: "fails"}, "picker-7-crashes-30": {"crashes", 30 * protocol.Second},
		"hangs": {what: "hangs"}, "30": {}, "flaps-x": {},
	} {
		if got := w.behaviourOf(image); got != want {
			t.Errorf("%s: %+v", image, got)
		}
	}
	w.behaviours["picker-fails"] = behaviour{what: "passes"}
	if got := w.behaviourOf("picker-fails"); got.what != "passes" {
		t.Errorf("%+v", got)
	}
}

// StartLive reports an address in use by name, and leaves nothing listening.
func TestLivePortInUse(t *testing.T) {
	s := liveSettings(t, "127.0.0.1:1")
	used, err := net.Listen("tcp4", s.Cloud)
	if err != nil {
		t.Fatal(err)
	}
	defer used.Close()
	if _, err := StartLive(context.Background(), s); err == nil || !strings.Contains(err.Error(), "stand-in of the cloud") || !strings.Contains(err.Error(), s.Cloud) {
		t.Error(err)
	}
	waitFor(t, "the state service to stop listening", func() bool { _, err := net.Dial("tcp4", s.State); return err != nil })
}
