// Package logs makes the program's structured logger: logr with JSON lines in the
// form of the standard library's. Keys of secrets are never logged by any caller.
package logs

import (
	"io"
	"log/slog"

	"github.com/go-logr/logr"
)

// debugLevel is where logr's V(1) ends up in slog.
const debugLevel = slog.Level(-1)

// New makes a Logger that writes JSON lines. With debug set it also writes
// what is normal but may help to find a fault.
func New(w io.Writer, debug bool) logr.Logger {
	level := slog.LevelInfo
	if debug {
		level = debugLevel
	}
	return logr.New(newSink(w, level))
}
