package simulation

import (
	"context"
	"log/slog"
)

// logChecker is a log handler that reports a broken rule when a controller logs an error that must
// never occur: a task on two hosts.
type logChecker struct {
	slog.Handler
	w *World
}

// Enabled implements slog.Handler.
func (c logChecker) Enabled(_ context.Context, level slog.Level) bool {
	return level >= slog.LevelError
}

// Handle implements slog.Handler.
func (c logChecker) Handle(_ context.Context, record slog.Record) error {
	if record.Message == "task is on two hosts" {
		record.Attrs(func(attr slog.Attr) bool {
			c.w.reportViolation("%s: %s", record.Message, attr)
			return false
		})
	}
	return nil
}

// WithAttrs implements slog.Handler. It drops the attributes, which the check doesn't need.
func (c logChecker) WithAttrs([]slog.Attr) slog.Handler { return c }
