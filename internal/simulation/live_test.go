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

// freeAddr is an address on loopback that nobody uses.
func freeAddr(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	return l.Addr().String()
}

// liveSettings are those of a network that nobody else on this machine has: two runs of
// these tests side by side took each other's addresses of workers.
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

func ask(t *testing.T, method, url, body string) (int, string) {
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

// The stand-ins serve real connections as they do simulated ones: a machine that is
// rented has a worker on an address of its own, which reports to the controller, takes
// commands, and is gone with its machine. The instance of a service that it starts
// answers its checks as it is told to.
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
	if status, text := ask(t, "POST", "http://"+s.State+"/commit", `{"when":[{"path":"j/req-000001","stamp":0}],"then":[{"set":"j/req-000001","data":`+job+`}]}`); status != 200 {
		t.Fatal(status, text)
	}
	if status, text := ask(t, "GET", "http://"+s.State+"/store/j/req-000001", ""); status != 200 || fastjson.GetString([]byte(text), "path") != "j/req-000001" {
		t.Fatal(status, text)
	}
	_, text := ask(t, "POST", "http://"+s.Cloud+"/machines", `{"claim":"r-1","flavor":"small","region":"a","reclaimable":false,"count":1}`)
	host := fastjson.GetString([]byte(text), "hosts", "0")
	report := <-reports
	worker := fastjson.GetString([]byte(report), "addr")
	if host == "" || fastjson.GetString([]byte(report), "host") != host || !strings.HasPrefix(worker, s.Network) {
		t.Fatal(text, report)
	}
	if status, text := ask(t, "POST", "http://"+worker+"/commands", `{"epoch":1,"tenure":1,"orders":[{"verb":"launch","shard":"req-000001/0","try":1}]}`); status != 200 || !strings.Contains(text, "req-000001/0") {
		t.Fatal(status, text)
	}
	for !strings.Contains(report, `"running"`) {
		report = <-reports
	}
	check := fmt.Sprintf("http://%s:%d/healthz", strings.TrimSuffix(worker, ":9000"), instancePort("req-000001", 0))
	if status, _ := ask(t, "GET", check, ""); status != 200 {
		t.Error(status)
	}
	l.Behave("img-1", "fails", 0)
	if status, _ := ask(t, "GET", check, ""); status != 500 || l.Healthy("img-1") != 0 {
		t.Error(status, l.Healthy("img-1"))
	}
	ask(t, "POST", "http://"+s.Cloud+"/machines/release", `{"hosts":["`+host+`"]}`)
	until(t, "the worker is gone", func() bool { _, err := net.Dial("tcp4", worker); return err != nil })
	if err := l.Err(); err != nil {
		t.Error(err)
	}
	cancel()
	until(t, "nothing listens", func() bool { _, err := net.Dial("tcp4", s.State); return err != nil })
}

// until waits for what is certain to come.
func until(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for range 1000 {
		if ok() {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatal("not so: " + what)
}

// Where nobody writes a trace, an image's name says what its instances do.
func TestImagesSayWhatTheyDo(t *testing.T) {
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

// A port in use is an error that says which, and nothing is left listening.
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
	until(t, "nothing listens", func() bool { _, err := net.Dial("tcp4", s.State); return err != nil })
}
