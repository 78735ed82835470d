package stepwatch

import (
	"bytes"
	"log/slog"
	"strings"
	"testing"
	"time"
)

// watched is a watch with a clock that only the test advances.
type watched struct {
	*Watch
	at   time.Time
	logs bytes.Buffer
}

func newWatched() *watched {
	w := &watched{at: time.Unix(1_700_000_000, 0)}
	log := slog.New(slog.NewTextHandler(&w.logs, nil))
	w.Watch = newWatch(log, func() time.Time { return w.at }, func() time.Duration { return 0 }, func() string { return "protocol.ParseJob" })
	return w
}

func (w *watched) advance(d time.Duration) {
	w.at = w.at.Add(d)
	w.check(w.at)
}

// A step that does not end is logged while it runs, with its event and the place in the code, again at
// twice its time, and not at each check. Its end is logged, and it is counted.
func TestStepThatDoesNotEndIsLogged(t *testing.T) {
	w := newWatched()
	w.Begin(Event{"user", "client", "POST /api/jobs", 60_000})
	w.advance(Bound)
	if w.logs.Len() > 0 {
		t.Fatalf("logged at the bound: %s", w.logs.String())
	}
	for range int(10 * time.Second / checkInterval) {
		w.advance(checkInterval)
	}
	first, _, _ := strings.Cut(w.logs.String(), "\n")
	for _, want := range []string{"a step takes long", "event=user", "from=client", `what="POST /api/jobs"`, "bytes=60000", "for_ms=375", "at=protocol.ParseJob"} {
		if !strings.Contains(first, want) {
			t.Errorf("%q is not in %s", want, first)
		}
	}
	if n := strings.Count(w.logs.String(), "a step takes long"); n < 2 || n > 7 {
		t.Errorf("logged %d times in 10 s", n)
	}
	if got := w.Kinds()["user"]; got.Longest < 10*time.Second || got.Over != 0 {
		t.Errorf("in progress: %+v", got)
	}
	w.End()
	if got := w.Kinds()["user"]; got.Over != 1 || !strings.Contains(w.logs.String(), "a long step has ended") {
		t.Errorf("ended: %+v, %s", got, w.logs.String())
	}
}

// Short steps, and the time between two steps, are not logged.
func TestShortStepsAreNotLogged(t *testing.T) {
	w := newWatched()
	for range 10 {
		w.Begin(Event{Kind: "tick"})
		w.advance(Bound / 2)
		w.End()
		w.advance(10 * Bound)
	}
	if got := w.Kinds()["tick"]; got.Longest != Bound/2 || got.Over != 0 || w.logs.Len() > 0 {
		t.Errorf("%+v, %s", got, w.logs.String())
	}
}

// A process that is stopped from outside is told apart from one that is busy by its processor time.
func TestStoppedProcessIsLogged(t *testing.T) {
	w := newWatched()
	w.reportStop(checkInterval, 0)
	if w.logs.Len() > 0 {
		t.Error(w.logs.String())
	}
	w.reportStop(13*time.Second, time.Millisecond)
	if got := w.logs.String(); !strings.Contains(got, "the process did not run") || !strings.Contains(got, "for_ms=13000 processor_ms=1") {
		t.Error(got)
	}
}

// A long description is cut.
func TestDescriptionIsCut(t *testing.T) {
	w := newWatched()
	w.Begin(Event{Kind: "user", What: "GET /" + strings.Repeat("a", 10_000)})
	w.advance(2 * Bound)
	if n := w.logs.Len(); n == 0 || n > 500 {
		t.Errorf("%d bytes are logged", n)
	}
}

// The place names the functions of the goroutine that runs the loop, not those of goroutines that it has
// started.
func TestPlaceOfTheLoop(t *testing.T) {
	release, entered := make(chan struct{}), make(chan struct{})
	watches := make(chan *Watch)
	go runLoop(watches, entered, release)
	w := <-watches
	<-entered
	<-entered
	defer close(release)
	if got := w.where(); !strings.Contains(got, "stepwatch.stuckInTest < ") || !strings.Contains(got, "stepwatch.runLoop") {
		t.Error(got)
	}
}

func runLoop(watches chan *Watch, entered, release chan struct{}) {
	watches <- New(slog.Default())
	go func() { waitInTest(entered, release) }()
	stuckInTest(3, entered, release)
}

//go:noinline
func stuckInTest(depth int, entered, release chan struct{}) {
	if depth > 0 {
		stuckInTest(depth-1, entered, release)
		return
	}
	waitInTest(entered, release)
}

//go:noinline
func waitInTest(entered, release chan struct{}) {
	entered <- struct{}{}
	<-release
}
