package client

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"
)

// serveResponses starts a server that sends the responses in order, and the last one again for each
// further request. It counts the requests.
func serveResponses(t *testing.T, responses ...func(http.ResponseWriter)) (addr string, requests *int) {
	requests = new(int)
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		respond := responses[min(*requests, len(responses)-1)]
		*requests++
		respond(w)
	}))
	t.Cleanup(s.Close)
	return strings.TrimPrefix(s.URL, "http://"), requests
}

func statusResponse(code int, retryAfter, body string) func(http.ResponseWriter) {
	return func(w http.ResponseWriter) {
		if retryAfter != "" {
			w.Header().Set("Retry-After", retryAfter)
		}
		w.WriteHeader(code)
		_, _ = w.Write([]byte(body))
	}
}

func newClient(t *testing.T, servers string) (*Client, *[]time.Duration) {
	c, err := New(servers)
	if err != nil {
		t.Fatal(err)
	}
	delays := new([]time.Duration)
	c.sleep = func(_ context.Context, d time.Duration) { *delays = append(*delays, d) }
	return c, delays
}

// A request that fails for now is retried after Retry-After, or after a second if there is none,
// plus at most a quarter of that time. A request that is refused is not retried.
func TestRetries(t *testing.T) {
	addr, requests := serveResponses(t, statusResponse(503, "4", `{"error":"busy"}`), statusResponse(429, "", ""), statusResponse(504, "90", ""), statusResponse(201, "", `{"ref":"req-000001"}`))
	c, delays := newClient(t, addr)
	code, body, err := c.Do(context.Background(), "POST", "/api/jobs", nil)
	if err != nil || code != 201 || string(body) != `{"ref":"req-000001"}` || *requests != 4 {
		t.Fatalf("status %d, body %s, error %v after %d requests", code, body, err, *requests)
	}
	for i, want := range []time.Duration{4 * time.Second, time.Second, 30 * time.Second} {
		if got := (*delays)[i]; got < want || got > want*5/4 {
			t.Errorf("waited %v, want %v", got, want)
		}
	}
	for _, code := range []int{400, 404, 409, 422} {
		addr, requests := serveResponses(t, statusResponse(code, "", `{"error":"no"}`))
		c, _ := newClient(t, addr)
		_, _, err := c.Do(context.Background(), "GET", "/", nil)
		var r *RefusedError
		if !errors.As(err, &r) || r.Status != code || *requests != 1 || !strings.HasPrefix(err.Error(), "no (status") {
			t.Errorf("status %d: error %v after %d requests", code, err, *requests)
		}
	}
}

// If a controller does not respond, or responds with status 503, the client tries the next one.
func TestTriesNextServer(t *testing.T) {
	dead := httptest.NewServer(nil)
	dead.Close()
	unavailable, _ := serveResponses(t, statusResponse(503, "", ""))
	available, requests := serveResponses(t, statusResponse(200, "", "{}"))
	c, delays := newClient(t, strings.TrimPrefix(dead.URL, "http://")+", "+unavailable+","+available)
	if _, _, err := c.Do(context.Background(), "GET", "/", nil); err != nil || *requests != 1 || len(*delays) != 2 {
		t.Fatalf("error %v after %d requests and delays of %v", err, *requests, *delays)
	}
}

// The error of a request that was given up contains the error of the last response.
func TestGiveUpReportsLastResponse(t *testing.T) {
	addr, _ := serveResponses(t, statusResponse(503, "", `{"error":"no leader can be reached"}`))
	c, _ := newClient(t, addr)
	ctx, cancel := context.WithCancel(context.Background())
	c.sleep = func(context.Context, time.Duration) { cancel() }
	if _, _, err := c.Do(ctx, "GET", "/", nil); err == nil || !strings.Contains(err.Error(), "no leader can be reached") {
		t.Error(err)
	}
	for _, s := range []string{"", "here", "1.2.3.4:1,", ":80"} {
		if _, err := New(s); err == nil || !strings.HasPrefix(err.Error(), "--server") {
			t.Errorf("%q: %v", s, err)
		}
	}
}

// A final response that is not JSON, or nests too deeply, counts as no answer: another controller is
// asked. Its text costs no more work than its size allows.
func TestResponseThatIsNotJSON(t *testing.T) {
	addr, requests := serveResponses(t, statusResponse(200, "", "<html>"), statusResponse(200, "", strings.Repeat("[", 60_000)), statusResponse(201, "", `{}`))
	c, _ := newClient(t, addr)
	if status, _, err := c.Do(context.Background(), "POST", "/api/jobs", nil); err != nil || status != 201 || *requests != 3 {
		t.Errorf("status %d, error %v after %d requests", status, err, *requests)
	}
	addr, _ = serveResponses(t, statusResponse(400, "", strings.Repeat("[", 60_000)))
	c, _ = newClient(t, addr)
	var refused *RefusedError
	if _, _, err := c.Do(context.Background(), "POST", "/api/jobs", nil); !errors.As(err, &refused) || refused.Text != "" {
		t.Errorf("error %v", err)
	}
}
