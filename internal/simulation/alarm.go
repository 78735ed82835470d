package simulation

import (
	"context"
	"log/slog"
)

// alarm takes an error in the log that must never be seen for a broken rule.
type alarm struct {
	slog.Handler
	w *World
}

// Enabled is part of slog.Handler.
func (a alarm) Enabled(_ context.Context, l slog.Level) bool { return l >= slog.LevelError }

// Handle is part of slog.Handler.
func (a alarm) Handle(_ context.Context, r slog.Record) error {
	if r.Message == "task is on two hosts" {
		r.Attrs(func(at slog.Attr) bool {
			a.w.broken("%s: %s", r.Message, at)
			return false
		})
	}
	return nil
}

// WithAttrs is part of slog.Handler.
func (a alarm) WithAttrs([]slog.Attr) slog.Handler { return a }
