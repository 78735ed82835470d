package controller

// Span is something that took time, for tracing. It is over when it is emitted.
type Span struct {
	Name     string // of a fixed set: no names of jobs or hosts
	From, To micros // steady clock
	Stages   []SpanStage
	Counts   []SpanCount
}

// SpanStage is a part of a span.
type SpanStage struct {
	Name     string
	From, To micros
}

// SpanCount is a number that goes with a span.
type SpanCount struct {
	Name  string
	Value int64
}
