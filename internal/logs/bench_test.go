package logs_test

import (
	"io"
	"os"
	"testing"
	"time"

	"github.com/go-logr/logr"

	"sapphiregauge/internal/logs"
)

// starts and ended are the two lines of a task, as sched writes them.
func starts(l logr.Logger, i int) {
	l.Info("run starts", "job", "56e2410466e4154f", "task", "56e2410466e4154f.0.1.17", "run", i, "worker", "i-21feca0468",
		"waited", 147150*time.Microsecond, "free", i&4095)
}

func ended(l logr.Logger, i int) {
	l.Info("run ended", "job", "56e2410466e4154f", "task", "56e2410466e4154f.0.1.17", "run", i, "worker", "i-21feca0468",
		"end", "done", "number", int64(i), "known", true, "took", 920667408*time.Nanosecond)
}

// BenchmarkLine is what one line costs the one who logs it.
func BenchmarkLine(b *testing.B) {
	for _, bm := range []struct {
		name string
		line func(logr.Logger, int)
	}{{"starts", starts}, {"ended", ended}} {
		b.Run(bm.name, func(b *testing.B) {
			l := logs.New(io.Discard, false).WithValues("entry", "edge-ubungo-hall-1")
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				bm.line(l, i)
			}
		})
	}
}

// counting counts the writes that it passes on.
type counting struct {
	to     io.Writer
	writes int
}

func (c *counting) Write(p []byte) (int, error) {
	c.writes++
	return c.to.Write(p)
}

// BenchmarkPace is a busy owner's logging as a whole, the writing included: eight lines
// each thousandth of a second, into a pipe that is read. Most of the time passes in
// waiting: what it costs is its user and system time, as of /usr/bin/time with -cpu 1.
func BenchmarkPace(b *testing.B) {
	from, to, err := os.Pipe()
	if err != nil {
		b.Fatal(err)
	}
	go func() { _, _ = io.Copy(io.Discard, from) }()
	counted := &counting{to: to}
	out := logs.NewBounded(counted)
	l := logs.New(out, false).WithValues("entry", "edge-ubungo-hall-1")
	tick := time.NewTicker(time.Millisecond)
	defer tick.Stop()
	for b.Loop() {
		<-tick.C
		for i := range 4 {
			starts(l, i)
			ended(l, i)
		}
	}
	out.Close()
	_ = to.Close()
	b.ReportMetric(float64(counted.writes)/float64(8*b.N), "writes/line")
}
