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

// answers serves one answer after the other, and the last one from then on.
func answers(t *testing.T, list ...func(http.ResponseWriter)) (addr string, asked *int) {
	asked = new(int)
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		f := list[min(*asked, len(list)-1)]
		*asked++
		f(w)
	}))
	t.Cleanup(s.Close)
	return strings.TrimPrefix(s.URL, "http://"), asked
}

func status(code int, after, body string) func(http.ResponseWriter) {
	return func(w http.ResponseWriter) {
		if after != "" {
			w.Header().Set("Retry-After", after)
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
	waits := new([]time.Duration)
	c.sleep = func(_ context.Context, d time.Duration) { *waits = append(*waits, d) }
	return c, waits
}

// A request that can't be taken now is repeated after Retry-After, or a second, and
// never more than a quarter later; one that is refused for good is not.
func TestRetries(t *testing.T) {
	addr, asked := answers(t, status(503, "4", `{"error":"busy"}`), status(429, "", ""), status(504, "90", ""), status(201, "", `{"ref":"req-000001"}`))
	c, waits := newClient(t, addr)
	code, body, err := c.Do(context.Background(), "POST", "/api/jobs", nil)
	if err != nil || code != 201 || string(body) != `{"ref":"req-000001"}` || *asked != 4 {
		t.Fatalf("%d %s %v, asked %d times", code, body, err, *asked)
	}
	for i, want := range []time.Duration{4 * time.Second, time.Second, 30 * time.Second} {
		if got := (*waits)[i]; got < want || got > want*5/4 {
			t.Errorf("waited %v, want %v", got, want)
		}
	}
	for _, code := range []int{400, 404, 409, 422} {
		addr, asked := answers(t, status(code, "", `{"error":"no"}`))
		c, _ := newClient(t, addr)
		_, _, err := c.Do(context.Background(), "GET", "/", nil)
		var r *RefusedError
		if !errors.As(err, &r) || r.Status != code || *asked != 1 || !strings.HasPrefix(err.Error(), "no (status") {
			t.Errorf("%d: %v, asked %d times", code, err, *asked)
		}
	}
}

// Where a controller does not answer, or refuses, the next one is asked.
func TestOtherServers(t *testing.T) {
	dead := httptest.NewServer(nil)
	dead.Close()
	bad, _ := answers(t, status(503, "", ""))
	good, asked := answers(t, status(200, "", "{}"))
	c, waits := newClient(t, strings.TrimPrefix(dead.URL, "http://")+", "+bad+","+good)
	if _, _, err := c.Do(context.Background(), "GET", "/", nil); err != nil || *asked != 1 || len(*waits) != 2 {
		t.Fatalf("%v, asked %d, waited %v", err, *asked, *waits)
	}
}

// What is given up on says what the last answer was.
func TestGivenUp(t *testing.T) {
	addr, _ := answers(t, status(503, "", `{"error":"no leader can be reached"}`))
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
