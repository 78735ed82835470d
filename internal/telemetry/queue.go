package telemetry

import (
	"context"
	"log/slog"
	"sync"
	"time"

	sdktrace "go.opentelemetry.io/otel/sdk/trace"
)

// queueState is whether the collector accepts spans.
type queueState uint8

const (
	queueSending queueState = iota
	queueFailing            // the failure has been logged
)

// queue passes finished spans to an exporter in batches. Its capacity is limited; spans that don't
// fit are dropped and counted. The batch processor of the SDK does not report how many it drops.
type queue struct {
	exporter sdktrace.SpanExporter
	dropped  func(float64)
	log      *slog.Logger
	pending  chan sdktrace.ReadOnlySpan
	stop     chan struct{}
	stopped  chan struct{}
	stopOnce sync.Once
	state    queueState // used by the sending goroutine only
}

// maxBatchSpans is the largest number of spans in a request. batchDelay is how long the queue
// collects spans before it sends them.
const (
	maxBatchSpans = 128
	batchDelay    = 500 * time.Millisecond
)

func newQueue(exporter sdktrace.SpanExporter, capacity int, dropped func(float64), log *slog.Logger) *queue {
	q := &queue{
		exporter: exporter, dropped: dropped, log: log, pending: make(chan sdktrace.ReadOnlySpan, capacity),
		stop: make(chan struct{}), stopped: make(chan struct{}),
	}
	go q.run()
	return q
}

// OnStart implements sdktrace.SpanProcessor.
func (q *queue) OnStart(context.Context, sdktrace.ReadWriteSpan) {}

// OnEnd queues a span, or drops it if the queue is full. It never blocks.
func (q *queue) OnEnd(s sdktrace.ReadOnlySpan) {
	if !s.SpanContext().IsSampled() {
		return
	}
	select {
	case q.pending <- s:
	default:
		q.dropped(1)
	}
}

// Shutdown stops the queue. It sends a batch of the spans that are still queued if the context
// allows.
func (q *queue) Shutdown(ctx context.Context) error {
	q.stopOnce.Do(func() { close(q.stop) })
	select {
	case <-q.stopped:
		return q.exporter.Shutdown(ctx)
	case <-ctx.Done():
		return ctx.Err()
	}
}

// ForceFlush implements sdktrace.SpanProcessor. It does nothing, because no caller in this program
// needs it.
func (q *queue) ForceFlush(context.Context) error { return nil }

// setState changes the state and logs the change. Nothing else changes the state.
func (q *queue) setState(s queueState, err error) {
	if q.state == s {
		return
	}
	q.state = s
	if s == queueFailing {
		q.log.Warn("spans can't be sent", "err", err)
	} else {
		q.log.Info("spans are sent again")
	}
}

func (q *queue) run() {
	defer close(q.stopped)
	for {
		var batch []sdktrace.ReadOnlySpan
		select {
		case s := <-q.pending:
			batch = append(batch, s)
		case <-q.stop:
			q.send(q.fillBatch(nil))
			return
		}
		select {
		case <-time.After(batchDelay):
		case <-q.stop:
		}
		q.send(q.fillBatch(batch))
	}
}

// fillBatch adds queued spans to a batch, up to maxBatchSpans.
func (q *queue) fillBatch(batch []sdktrace.ReadOnlySpan) []sdktrace.ReadOnlySpan {
	for len(batch) < maxBatchSpans {
		select {
		case s := <-q.pending:
			batch = append(batch, s)
		default:
			return batch
		}
	}
	return batch
}

func (q *queue) send(batch []sdktrace.ReadOnlySpan) {
	if len(batch) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), exportTimeout)
	defer cancel()
	if err := q.exporter.ExportSpans(ctx, batch); err != nil {
		q.dropped(float64(len(batch)))
		q.setState(queueFailing, err)
		return
	}
	q.setState(queueSending, nil)
}
