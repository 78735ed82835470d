package telemetry

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/prometheus/client_golang/prometheus/promhttp"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/exporters/otlp/otlptrace/otlptracehttp"
	"go.opentelemetry.io/otel/sdk/resource"
	sdktrace "go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/trace"

	"mapleslip/internal/controller"
	"mapleslip/internal/protocol"
)

// Recorder takes what a controller does. A nil Recorder takes nothing: telemetry
// is off. Its methods may be called from any goroutine and never wait.
type Recorder struct {
	settings Settings
	metrics  *metrics
	listener net.Listener
	server   *http.Server
	provider *sdktrace.TracerProvider
	queue    *queue
	tracer   trace.Tracer
	next     protocol.Micros // when the next snapshot is due, of the loop's goroutine
}

// Limits of the metrics' listener: a scraper that hangs costs a connection for so
// long at most, and no more than a few are served.
const (
	scrapeTimeout = 10 * time.Second
	mostScrapes   = 4
	exportTimeout = 5 * time.Second
)

// Start opens the listener and makes ready for spans. An address that can't be
// bound is an error that names the key. The collector need not be there.
func Start(s Settings, node, version string, log *slog.Logger) (*Recorder, error) {
	r := &Recorder{settings: s, metrics: newMetrics(s.Classes)}
	if s.Listen != "" {
		l, err := net.Listen("tcp", s.Listen)
		if err != nil {
			return nil, fmt.Errorf("listen: %w", err)
		}
		r.listener = l
		mux := http.NewServeMux()
		mux.Handle("GET /metrics", promhttp.HandlerFor(r.metrics.registry, promhttp.HandlerOpts{MaxRequestsInFlight: mostScrapes, Timeout: scrapeTimeout}))
		r.server = &http.Server{
			Handler: mux, ReadHeaderTimeout: scrapeTimeout, WriteTimeout: 2 * scrapeTimeout, IdleTimeout: time.Minute,
			ErrorLog: slog.NewLogLogger(log.Handler(), slog.LevelDebug),
		}
		go func() {
			if err := r.server.Serve(l); err != nil && err != http.ErrServerClosed {
				log.Error("metrics are no longer served", "err", err)
			}
		}()
	}
	if s.Traces != "" {
		exporter, err := otlptracehttp.New(context.Background(), otlptracehttp.WithEndpointURL(s.Traces), otlptracehttp.WithTimeout(exportTimeout),
			otlptracehttp.WithRetry(otlptracehttp.RetryConfig{Enabled: false}))
		if err != nil {
			r.Close()
			return nil, fmt.Errorf("traces: %w", err)
		}
		r.queue = newQueue(exporter, s.Queue, r.metrics.dropped.Add, log)
		r.provider = sdktrace.NewTracerProvider(sdktrace.WithSpanProcessor(r.queue),
			sdktrace.WithSampler(keptSampler{sdktrace.TraceIDRatioBased(s.Ratio)}),
			sdktrace.WithResource(resource.NewSchemaless(attribute.String("service.name", "mapleslip"),
				attribute.String("service.instance.id", node), attribute.String("service.version", version))))
		r.tracer = r.provider.Tracer("mapleslip/internal/telemetry")
	}
	return r, nil
}

// Addr is where metrics are served, "": nowhere.
func (r *Recorder) Addr() string {
	if r == nil || r.listener == nil {
		return ""
	}
	return r.listener.Addr().String()
}

// Close ends the listener and gives up spans that wait.
func (r *Recorder) Close() {
	if r == nil {
		return
	}
	if r.server != nil {
		r.server.Close()
	}
	if r.provider != nil {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		_ = r.provider.Shutdown(ctx) // what can't be sent within it is lost
	}
}

// Spans reports whether spans are wanted.
func (r *Recorder) Spans() bool { return r != nil && r.tracer != nil }

// Step notes that an event was handled.
func (r *Recorder) Step(event string, took time.Duration) {
	if r != nil {
		r.metrics.steps.WithLabelValues(event).Observe(took.Seconds())
	}
}

// Waiting notes what waits: events, and calls to metered services.
func (r *Recorder) Waiting(events int, calls map[string]int) {
	if r == nil {
		return
	}
	r.metrics.events.Set(float64(events))
	for service, n := range calls {
		r.metrics.waiting.WithLabelValues(service).Set(float64(n))
	}
}

// Snapshot takes how the controller stands, if it is time: the count costs a look
// at every job and host.
func (r *Recorder) Snapshot(at protocol.Micros, take func() controller.Stats) {
	if r == nil || at < r.next {
		return
	}
	r.next = at + r.settings.SnapshotEvery
	r.metrics.standing.take(take(), time.Now())
}

// Call notes the end of an outbound call that began at a time.
func (r *Recorder) Call(service, method, path string, d controller.CallResult, began time.Time) {
	if r == nil {
		return
	}
	kind, outcome := callKind(service, method, path), outcomeOf(d)
	took := time.Since(began)
	r.metrics.calls.WithLabelValues(service, kind).Observe(took.Seconds())
	r.metrics.outcomes.WithLabelValues(service, kind, outcome).Inc()
	if r.tracer != nil {
		_, span := r.tracer.Start(context.Background(), service+" "+kind, trace.WithTimestamp(began), trace.WithSpanKind(trace.SpanKindClient),
			trace.WithAttributes(attribute.String("outcome", outcome)))
		span.End(trace.WithTimestamp(began.Add(took)))
	}
}

// Span takes a span of the controller. Its times are of a steady clock that began
// at a time of day.
func (r *Recorder) Span(s controller.Span, clock time.Time) {
	if r == nil || r.tracer == nil {
		return
	}
	when := func(m protocol.Micros) trace.SpanEventOption {
		return trace.WithTimestamp(clock.Add(time.Duration(m) * time.Microsecond))
	}
	attrs := make([]attribute.KeyValue, 0, len(s.Counts))
	for _, c := range s.Counts {
		attrs = append(attrs, attribute.Int64(c.Name, c.Value))
	}
	ctx, span := r.tracer.Start(context.Background(), s.Name, when(s.From), trace.WithAttributes(attrs...))
	for _, stage := range s.Stages {
		_, child := r.tracer.Start(ctx, stage.Name, when(stage.From))
		child.End(when(stage.To))
	}
	span.End(when(s.To))
}

// callKind is what a call asks for, of a fixed set: no keys, no names.
func callKind(service, method, path string) string {
	path, _, _ = strings.Cut(path, "?")
	switch {
	case service == "worker" || service == "controller":
		return "call"
	case service == "instance": // its path is its own
		return "other"
	case path == "/commit":
		return "commit"
	case path == "/follow":
		return "follow"
	case path == "/store":
		return "list"
	case strings.HasPrefix(path, "/store/"):
		return "get"
	case strings.HasPrefix(path, "/leases"):
		return "lease"
	case path == "/machine_types":
		return "types"
	case path == "/machines" && method == "GET":
		return "machines"
	case path == "/machines":
		return "rent"
	case path == "/machines/release":
		return "release"
	}
	return "other"
}

func outcomeOf(d controller.CallResult) string {
	switch {
	case d.ConnectionRefused:
		return "refused"
	case d.NotSent:
		return "unsent"
	case d.Status == 0:
		return "none"
	case d.Status < 100 || d.Status > 599:
		return "other"
	}
	return strconv.Itoa(d.Status)
}

// keptSampler keeps take-overs, which are few and what people look for, whatever
// the ratio; a stage is kept with its span.
type keptSampler struct{ ratio sdktrace.Sampler }

// ShouldSample is part of sdktrace.Sampler.
func (k keptSampler) ShouldSample(p sdktrace.SamplingParameters) sdktrace.SamplingResult {
	if parent := trace.SpanContextFromContext(p.ParentContext); parent.IsValid() {
		if parent.IsSampled() {
			return sdktrace.AlwaysSample().ShouldSample(p)
		}
		return sdktrace.NeverSample().ShouldSample(p)
	}
	if p.Name == "take-over" {
		return sdktrace.AlwaysSample().ShouldSample(p)
	}
	return k.ratio.ShouldSample(p)
}

// Description is part of sdktrace.Sampler.
func (k keptSampler) Description() string { return "take-overs, and " + k.ratio.Description() }
