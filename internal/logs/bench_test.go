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

// BenchmarkPace is a busy owner's logging as a whole, the writing included: 74 lines
// each hundredth of a second, 7,400 a second. Its figure is the processor time of one
// such hundredth, to be read from -cpuprofile or user and system time, as most of the
// time passes in waiting.
func BenchmarkPace(b *testing.B) {
	null, err := os.OpenFile(os.DevNull, os.O_WRONLY, 0)
	if err != nil {
		b.Fatal(err)
	}
	defer null.Close()
	out := logs.NewBounded(null)
	l := logs.New(out, false).WithValues("entry", "edge-ubungo-hall-1")
	tick := time.NewTicker(10 * time.Millisecond)
	defer tick.Stop()
	for b.Loop() {
		<-tick.C
		for i := range 37 {
			starts(l, i)
			ended(l, i)
		}
	}
	out.Close()
}
