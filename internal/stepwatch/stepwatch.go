// Package stepwatch reports from outside an event loop which event keeps it busy, while it still does.
// A loop that is stuck in one event logs nothing itself, and once it is restarted nobody knows why.
package stepwatch

import (
	"log/slog"
	"sync"
	"time"
)

const (
	// Bound is how long one event may be handled before it is reported. Workers, users and the
	// leader's lease wait meanwhile.
	Bound = 250 * time.Millisecond
	// checkInterval is the time between two checks.
	checkInterval = Bound / 2
	// stoppedAfter is the time between two checks from which the process itself did not run.
	stoppedAfter = time.Second
)

// Event describes an event that the loop handles.
type Event struct {
	Kind  string // from a fixed set, for metrics
	From  string // which side sent it
	What  string // a path, a message kind or the call that was answered; at most MaxWhat bytes are logged
	Bytes int    // size of the message
}

// MaxWhat is the limit of the description of an event in a log line, in bytes.
const MaxWhat = 100

// Watch watches one event loop. Begin and End are called by the loop, Run by another goroutine.
type Watch struct {
	log   *slog.Logger
	now   func() time.Time
	usage func() time.Duration // processor time of this process
	where func() string        // what the loop executes

	mu         sync.Mutex
	running    bool
	event      Event
	began      time.Time
	usageAt    time.Duration // processor time at the first report of the event
	reportedAt time.Duration // duration at the last report, 0 if the event was not reported
	kinds      map[string]*Kind
}

// Kind counts the events of one kind.
type Kind struct {
	Longest time.Duration // longest handling so far, including the one in progress
	Over    uint64        // how many took longer than Bound
}

// New returns the watch of the event loop that the calling goroutine runs.
func New(log *slog.Logger) *Watch {
	labelLoop()
	return newWatch(log, time.Now, processorTime, place(callerOfNew()))
}

func newWatch(log *slog.Logger, now func() time.Time, usage func() time.Duration, where func() string) *Watch {
	return &Watch{log: log, now: now, usage: usage, where: where, kinds: make(map[string]*Kind)}
}

// Begin notes that the loop begins to handle an event.
func (w *Watch) Begin(e Event) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.running, w.event, w.began, w.reportedAt = true, e, w.now(), 0
}

// End notes that the event is handled, and logs how long that took if it is over the bound.
func (w *Watch) End() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.running = false
	took := w.now().Sub(w.began)
	w.count(took)
	if took > Bound {
		w.log.Warn("a long step has ended", append(w.event.attributes(), "took_ms", took.Milliseconds())...)
	}
}

// count counts an event that has ended.
func (w *Watch) count(took time.Duration) {
	k := w.kinds[w.event.Kind]
	if k == nil {
		k = new(Kind)
		w.kinds[w.event.Kind] = k
	}
	k.Longest = max(k.Longest, took)
	if took > Bound {
		k.Over++
	}
}

// Run checks the loop until the process exits.
func (w *Watch) Run() {
	last, lastUsage := w.now(), w.usage()
	for range time.Tick(checkInterval) {
		now, usage := w.now(), w.usage()
		w.reportStop(now.Sub(last), usage-lastUsage)
		w.check(now)
		last, lastUsage = now, usage
	}
}

// reportStop logs that the whole process did not run: it was stopped from outside, or got no processor.
// used is the processor time that it got meanwhile.
func (w *Watch) reportStop(span, used time.Duration) {
	if span > stoppedAfter {
		w.log.Warn("the process did not run", "for_ms", span.Milliseconds(), "processor_ms", used.Milliseconds())
	}
}

// check logs the event in progress if it is over the bound, and again whenever its time has doubled.
func (w *Watch) check(now time.Time) {
	w.mu.Lock()
	running := now.Sub(w.began)
	if !w.running || running <= Bound || running < 2*w.reportedAt {
		w.mu.Unlock()
		return
	}
	if w.reportedAt == 0 {
		w.usageAt = w.usage()
	}
	used := w.usage() - w.usageAt
	w.reportedAt = running
	event := w.event
	w.mu.Unlock()
	// The loop may go on meanwhile: the place is then a little later than the event.
	w.log.Warn("a step takes long", append(event.attributes(), "for_ms", running.Milliseconds(), "processor_ms_since_first_report", used.Milliseconds(), "at", w.where())...)
}

func (e Event) attributes() []any {
	return []any{"event", e.Kind, "from", e.From, "what", e.What[:min(len(e.What), MaxWhat)], "bytes", e.Bytes}
}

// Kinds returns the counts by kind of event. The event in progress counts for the longest.
func (w *Watch) Kinds() map[string]Kind {
	w.mu.Lock()
	defer w.mu.Unlock()
	kinds := make(map[string]Kind, len(w.kinds))
	for name, k := range w.kinds {
		kinds[name] = *k
	}
	if w.running {
		k := kinds[w.event.Kind]
		k.Longest = max(k.Longest, w.now().Sub(w.began))
		kinds[w.event.Kind] = k
	}
	return kinds
}
