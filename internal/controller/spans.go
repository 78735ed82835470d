package controller

// Span is a finished operation, for tracing.
type Span struct {
	Name     string // from a fixed set, without names of jobs or hosts
	From, To micros // steady clock
	Stages   []SpanStage
	Counts   []SpanCount
}

// SpanStage is a part of a span.
type SpanStage struct {
	Name     string
	From, To micros
}

// SpanCount is a named number that is attached to a span.
type SpanCount struct {
	Name  string
	Value int64
}
