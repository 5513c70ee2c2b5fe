package logs_test

import (
	"bytes"
	"encoding/json"
	"errors"
	"log/slog"
	"math"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	gauge "sapphiregauge"
	"sapphiregauge/internal/logs"
)

// brokenError is an error whose Error method panics on a nil pointer.
type brokenError struct{ text string }

func (b *brokenError) Error() string { return b.text }

// newStandard returns a logger with the standard library's JSON handler.
func newStandard(out *bytes.Buffer) logr.Logger {
	return logr.FromSlogHandler(slog.NewJSONHandler(out, &slog.HandlerOptions{Level: slog.LevelInfo}))
}

// readLine decodes a line and removes its time, which must be valid.
func readLine(t assert.TestingT, line string) map[string]any {
	var fields map[string]any
	assert.NilError(t, json.Unmarshal([]byte(line), &fields), line)
	at, _ := fields["time"].(string)
	_, err := time.Parse(time.RFC3339Nano, at)
	assert.NilError(t, err, line)
	delete(fields, "time")
	return fields
}

// assertSameLine has both loggers write a line, and fails unless the lines are the same but for
// their times.
func assertSameLine(t assert.TestingT, write func(l logr.Logger)) {
	var ours, theirs bytes.Buffer
	write(logs.New(&ours, false))
	write(newStandard(&theirs))
	assert.DeepEqual(t, readLine(t, ours.String()), readLine(t, theirs.String()))
	assert.Equal(t, withoutTime(ours.String()), withoutTime(theirs.String()))
}

// withoutTime returns a line without its time, which comes first.
func withoutTime(line string) string {
	_, after, _ := strings.Cut(line, ",")
	return after
}

// People and programs that read the lines rely on the format of the standard library's handler.
func TestLinesEqualThoseOfStandardHandler(t *testing.T) {
	for name, value := range map[string]any{
		"text": "w1", "empty": "", "quotes": `a "b" \ c`, "controls": "a\nb\tc\x00\x1f\x7f", "other letters": "naïve – 日本 \u2028", "no UTF-8": "a\xffb",
		"markup": "<a href='b'>&", "number": 7, "negative": -7, "long": int64(math.MaxInt64), "unsigned": uint64(math.MaxUint64), "small": uint8(3),
		"short": int32(-5), "yes": true, "no": false, "share": 0.25, "large": 1e30, "float32": float32(0.5), "span": 920667408 * time.Nanosecond, "moment": time.Date(2026, 1, 2, 3, 4, 5, 6, time.UTC),
		"fault": errors.New(`it "failed"`), "kind": gauge.KindOutage, "end": gauge.EndDone, "token": gauge.FencingToken(5), "nothing": nil,
		"list": []string{"a", "b"}, "empty list": []string(nil), "table": map[string]int{"a": 1}, "struct": gauge.Resources{MilliCPU: 3}, "bytes": []byte("ab"),
		"not a number": math.NaN(), "nil fault": (*brokenError)(nil), "address": netip.MustParseAddr("10.0.0.1"),
	} {
		t.Run(name, func(t *testing.T) {
			assertSameLine(t, func(l logr.Logger) {
				l.WithValues("entry", "e1").Info("something", "before", 1, "value", value, "after", 2)
			})
			assertSameLine(t, func(l logr.Logger) {
				l.WithValues("value", value).Error(errors.New("broken"), "something", "more", "x")
			})
		})
	}
	assertSameLine(t, func(l logr.Logger) { l.Info("nothing else") })
	assertSameLine(t, func(l logr.Logger) { l.WithName("a").WithName("b").Info("named", "x", 1) })
	assertSameLine(t, func(l logr.Logger) { l.Error(nil, "no error") })
}

func TestAnyTextIsEncodedAsByStandardHandler(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		key, text := rapid.String().Draw(t, "key"), rapid.String().Draw(t, "text")
		raw := string(rapid.SliceOf(rapid.Byte()).Draw(t, "bytes"))
		assertSameLine(t, func(l logr.Logger) { l.Info(text, "a"+key, raw) })
	})
}

// Debug lines are written only with debug set, and higher levels of verbosity never.
func TestDebugLinesAreWrittenOnlyWithDebugSet(t *testing.T) {
	var out bytes.Buffer
	logs.New(&out, false).V(1).Info("details")
	assert.Equal(t, out.Len(), 0)
	logs.New(&out, true).V(1).Info("details")
	assert.Equal(t, readLine(t, out.String())["msg"], "details")
	out.Reset()
	logs.New(&out, true).V(2).Info("more details")
	assert.Equal(t, out.Len(), 0)
}
