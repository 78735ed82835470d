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
	"mapleslip/internal/stepwatch"
)

// Recorder records what a controller does as metrics and spans. A nil Recorder records nothing:
// telemetry is off. The recording methods never wait and may be called from any goroutine; Snapshot
// is called by the goroutine of the event loop only.
type Recorder struct {
	settings     Settings
	metrics      *metrics
	listener     net.Listener
	server       *http.Server
	provider     *sdktrace.TracerProvider
	queue        *queue
	tracer       trace.Tracer
	nextSnapshot protocol.Micros // time of the next snapshot; only for the event loop's goroutine
	// endedConnections are the counts at the last call of Connections; only for that goroutine.
	endedConnections map[string]uint64
}

// Limits of the metrics listener: a scraper that hangs occupies a connection for a limited time,
// and only a few scrapes are served at once. exportTimeout limits a request to the collector.
const (
	scrapeTimeout        = 10 * time.Second
	maxConcurrentScrapes = 4
	exportTimeout        = 5 * time.Second
)

// Start opens the metrics listener and prepares the export of spans. If an address can't be bound,
// the error names the key. The collector does not have to be running.
func Start(s Settings, node, version string, log *slog.Logger) (*Recorder, error) {
	r := &Recorder{settings: s, metrics: newMetrics(s.Classes)}
	if s.Listen != "" {
		l, err := net.Listen("tcp", s.Listen)
		if err != nil {
			return nil, fmt.Errorf("listen: %w", err)
		}
		r.listener = l
		mux := http.NewServeMux()
		mux.Handle("GET /metrics", promhttp.HandlerFor(r.metrics.registry, promhttp.HandlerOpts{MaxRequestsInFlight: maxConcurrentScrapes, Timeout: scrapeTimeout}))
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
		r.queue = newQueue(exporter, s.Queue, r.metrics.droppedSpans.Add, log)
		r.provider = sdktrace.NewTracerProvider(sdktrace.WithSpanProcessor(r.queue),
			sdktrace.WithSampler(takeOverSampler{sdktrace.TraceIDRatioBased(s.Ratio)}),
			sdktrace.WithResource(resource.NewSchemaless(attribute.String("service.name", "mapleslip"),
				attribute.String("service.instance.id", node), attribute.String("service.version", version))))
		r.tracer = r.provider.Tracer("mapleslip/internal/telemetry")
	}
	return r, nil
}

// Addr returns the address of the metrics listener, "" if there is none.
func (r *Recorder) Addr() string {
	if r == nil || r.listener == nil {
		return ""
	}
	return r.listener.Addr().String()
}

// Close closes the metrics listener and the export of spans. Queued spans that can't be sent within
// a second are lost.
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
		_ = r.provider.Shutdown(ctx) // spans that can't be sent within the timeout are lost
	}
}

// Spans reports whether spans are recorded.
func (r *Recorder) Spans() bool { return r != nil && r.tracer != nil }

// Step records how long the handling of an event took.
func (r *Recorder) Step(event string, duration time.Duration) {
	if r != nil {
		r.metrics.steps.WithLabelValues(event).Observe(duration.Seconds())
	}
}

// WatchSteps exports how long events were handled at most and how many took too long, by kind of event.
// kinds is called by scrapes, also while an event is handled.
func (r *Recorder) WatchSteps(kinds func() map[string]stepwatch.Kind) {
	if r != nil {
		r.metrics.registry.MustRegister(&stepCollector{kinds})
	}
}

// Connections records how many inbound connections are open, by who opened them, and how many were
// ended since the start, by reason. It is called by the goroutine of the event loop only.
func (r *Recorder) Connections(open map[string]int, ended map[string]uint64) {
	if r == nil {
		return
	}
	for from, n := range open {
		r.metrics.connections.WithLabelValues(from).Set(float64(n))
	}
	for reason, n := range ended {
		r.metrics.connsEnded.WithLabelValues(reason).Add(float64(n - r.endedConnections[reason]))
	}
	r.endedConnections = ended
}

// Waiting records how many events, and how many calls to rate-limited services, are queued.
func (r *Recorder) Waiting(events int, calls map[string]int) {
	if r == nil {
		return
	}
	r.metrics.waitingEvents.Set(float64(events))
	for service, n := range calls {
		r.metrics.waitingCalls.WithLabelValues(service).Set(float64(n))
	}
}

// Snapshot takes a snapshot of the controller if one is due. Snapshots are not taken more often
// because each one iterates over every job and host.
func (r *Recorder) Snapshot(at protocol.Micros, take func() controller.Stats) {
	if r == nil || at < r.nextSnapshot {
		return
	}
	r.nextSnapshot = at + r.settings.SnapshotEvery
	r.metrics.snapshot.update(take(), time.Now())
}

// Call records an outbound call that began at start and has just ended.
func (r *Recorder) Call(service, method, path string, result controller.CallResult, start time.Time) {
	if r == nil {
		return
	}
	kind, outcome := callKind(service, method, path), outcomeOf(result)
	duration := time.Since(start)
	r.metrics.calls.WithLabelValues(service, kind).Observe(duration.Seconds())
	r.metrics.outcomes.WithLabelValues(service, kind, outcome).Inc()
	if r.tracer != nil {
		_, span := r.tracer.Start(context.Background(), service+" "+kind, trace.WithTimestamp(start), trace.WithSpanKind(trace.SpanKindClient),
			trace.WithAttributes(attribute.String("outcome", outcome)))
		span.End(trace.WithTimestamp(start.Add(duration)))
	}
}

// Span records a span of the controller. Its times are by a steady clock that started at
// clockStart, a time of day.
func (r *Recorder) Span(s controller.Span, clockStart time.Time) {
	if r == nil || r.tracer == nil {
		return
	}
	timestamp := func(m protocol.Micros) trace.SpanEventOption {
		return trace.WithTimestamp(clockStart.Add(time.Duration(m) * time.Microsecond))
	}
	attrs := make([]attribute.KeyValue, 0, len(s.Counts))
	for _, c := range s.Counts {
		attrs = append(attrs, attribute.Int64(c.Name, c.Value))
	}
	ctx, span := r.tracer.Start(context.Background(), s.Name, timestamp(s.From), trace.WithAttributes(attrs...))
	for _, stage := range s.Stages {
		_, child := r.tracer.Start(ctx, stage.Name, timestamp(stage.From))
		child.End(timestamp(stage.To))
	}
	span.End(timestamp(s.To))
}

// callKind returns the kind of a call, from a fixed set: keys and names must not become labels of
// metrics or names of spans.
func callKind(service, method, path string) string {
	path, _, _ = strings.Cut(path, "?")
	switch {
	case service == "worker" || service == "controller":
		return "call"
	case service == "instance": // its paths are not from a fixed set
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

func outcomeOf(result controller.CallResult) string {
	switch {
	case result.ConnectionRefused:
		return "refused"
	case result.NotSent:
		return "unsent"
	case result.Status == 0:
		return "none"
	case result.Status < 100 || result.Status > 599:
		return "other"
	}
	return strconv.Itoa(result.Status)
}

// takeOverSampler samples every take-over, whatever the ratio: they are rare and are the spans that
// people look for. A stage is sampled if its parent span is.
type takeOverSampler struct{ ratio sdktrace.Sampler }

// ShouldSample implements sdktrace.Sampler.
func (s takeOverSampler) ShouldSample(p sdktrace.SamplingParameters) sdktrace.SamplingResult {
	if parent := trace.SpanContextFromContext(p.ParentContext); parent.IsValid() {
		if parent.IsSampled() {
			return sdktrace.AlwaysSample().ShouldSample(p)
		}
		return sdktrace.NeverSample().ShouldSample(p)
	}
	if p.Name == "take-over" {
		return sdktrace.AlwaysSample().ShouldSample(p)
	}
	return s.ratio.ShouldSample(p)
}

// Description implements sdktrace.Sampler.
func (s takeOverSampler) Description() string { return "take-overs, and " + s.ratio.Description() }
