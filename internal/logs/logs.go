// Package logs makes the program's structured logger: a logr.Logger that writes JSON lines in the
// format of slog.JSONHandler. Callers must never log secrets.
package logs

import (
	"io"
	"log/slog"

	"github.com/go-logr/logr"
)

// debugLevel is the slog level of logr's V(1).
const debugLevel = slog.Level(-1)

// New makes a Logger that writes JSON lines to w. With debug set it also writes the lines of level
// V(1), which record normal operation and may help to find a fault.
func New(w io.Writer, debug bool) logr.Logger {
	level := slog.LevelInfo
	if debug {
		level = debugLevel
	}
	return logr.New(newSink(w, level))
}
