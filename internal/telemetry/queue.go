package telemetry

import (
	"context"
	"log/slog"
	"sync"
	"time"

	sdktrace "go.opentelemetry.io/otel/sdk/trace"
)

// queueState is whether spans get through to the collector.
type queueState uint8

const (
	queueSending queueState = iota
	queueFailing            // told in the log
)

// queue hands finished spans to an exporter, some at a time. It is bounded, and
// what finds no room is dropped and counted: the SDK's own batcher drops without
// saying how many.
type queue struct {
	exporter sdktrace.SpanExporter
	dropped  func(float64)
	log      *slog.Logger
	in       chan sdktrace.ReadOnlySpan
	stop     chan struct{}
	over     chan struct{}
	once     sync.Once
	state    queueState // of the sending goroutine
}

// mostBatch is how many spans go in one request, and gatherFor how long they are
// let come together.
const (
	mostBatch = 128
	gatherFor = 500 * time.Millisecond
)

func newQueue(exporter sdktrace.SpanExporter, room int, dropped func(float64), log *slog.Logger) *queue {
	q := &queue{
		exporter: exporter, dropped: dropped, log: log, in: make(chan sdktrace.ReadOnlySpan, room),
		stop: make(chan struct{}), over: make(chan struct{}),
	}
	go q.run()
	return q
}

// OnStart is part of sdktrace.SpanProcessor.
func (q *queue) OnStart(context.Context, sdktrace.ReadWriteSpan) {}

// OnEnd takes a span, or drops it. It never waits.
func (q *queue) OnEnd(s sdktrace.ReadOnlySpan) {
	if !s.SpanContext().IsSampled() {
		return
	}
	select {
	case q.in <- s:
	default:
		q.dropped(1)
	}
}

// Shutdown ends the sending; spans that still wait are sent if the context allows.
func (q *queue) Shutdown(ctx context.Context) error {
	q.once.Do(func() { close(q.stop) })
	select {
	case <-q.over:
		return q.exporter.Shutdown(ctx)
	case <-ctx.Done():
		return ctx.Err()
	}
}

// ForceFlush is part of sdktrace.SpanProcessor. Nothing here needs it.
func (q *queue) ForceFlush(context.Context) error { return nil }

// to is the one place where the queue changes its state.
func (q *queue) to(s queueState, err error) {
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
	defer close(q.over)
	for {
		var batch []sdktrace.ReadOnlySpan
		select {
		case s := <-q.in:
			batch = append(batch, s)
		case <-q.stop:
			q.send(q.waiting(nil))
			return
		}
		select {
		case <-time.After(gatherFor):
		case <-q.stop:
		}
		q.send(q.waiting(batch))
	}
}

// waiting adds what waits to a batch, up to its bound.
func (q *queue) waiting(batch []sdktrace.ReadOnlySpan) []sdktrace.ReadOnlySpan {
	for len(batch) < mostBatch {
		select {
		case s := <-q.in:
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
		q.to(queueFailing, err)
		return
	}
	q.to(queueSending, nil)
}
