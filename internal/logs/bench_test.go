package logs_test

import (
	"io"
	"os"
	"testing"
	"time"

	"github.com/go-logr/logr"

	"sapphiregauge/internal/logs"
)

// logRunStart and logRunEnd log the two lines of a task, as package sched does.
func logRunStart(l logr.Logger, i int) {
	l.Info("run starts", "job", "56e2410466e4154f", "task", "56e2410466e4154f.0.1.17", "run", i, "worker", "i-21feca0468",
		"waited", 147150*time.Microsecond, "free", i&4095)
}

func logRunEnd(l logr.Logger, i int) {
	l.Info("run ended", "job", "56e2410466e4154f", "task", "56e2410466e4154f.0.1.17", "run", i, "worker", "i-21feca0468",
		"end", "done", "number", int64(i), "known", true, "took", 920667408*time.Nanosecond)
}

// BenchmarkLine measures the cost of one line to the caller.
func BenchmarkLine(b *testing.B) {
	for _, bm := range []struct {
		name string
		line func(logr.Logger, int)
	}{{"starts", logRunStart}, {"ended", logRunEnd}} {
		b.Run(bm.name, func(b *testing.B) {
			l := logs.New(io.Discard, false).WithValues("entry", "edge-ubungo-hall-1")
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				bm.line(l, i)
			}
		})
	}
}

// countingWriter is a writer that counts the writes to another.
type countingWriter struct {
	to     io.Writer
	writes int
}

func (c *countingWriter) Write(p []byte) (int, error) {
	c.writes++
	return c.to.Write(p)
}

// BenchmarkBusyOwner measures all logging of a busy owner, the writing included: eight lines each
// millisecond, into a pipe that is read. Most of the elapsed time is waiting: the cost is the user
// and system time that /usr/bin/time reports with -cpu 1.
func BenchmarkBusyOwner(b *testing.B) {
	from, to, err := os.Pipe()
	if err != nil {
		b.Fatal(err)
	}
	go func() { _, _ = io.Copy(io.Discard, from) }()
	counted := &countingWriter{to: to}
	out := logs.NewBoundedWriter(counted)
	l := logs.New(out, false).WithValues("entry", "edge-ubungo-hall-1")
	tick := time.NewTicker(time.Millisecond)
	defer tick.Stop()
	for b.Loop() {
		<-tick.C
		for i := range 4 {
			logRunStart(l, i)
			logRunEnd(l, i)
		}
	}
	out.Close()
	_ = to.Close()
	b.ReportMetric(float64(counted.writes)/float64(8*b.N), "writes/line")
}
