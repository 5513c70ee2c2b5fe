package logs

import (
	"bytes"
	"encoding"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"reflect"
	"strconv"
	"sync"
	"time"
	"unicode/utf8"

	"github.com/go-logr/logr"
)

// sink is a logr.LogSink that writes one JSON line for each call, in the format of
// slog.JSONHandler. That handler takes more than twice as long: it looks up its caller and
// copies all fields first. An owner writes two lines for each task.
type sink struct {
	out      *output
	minLevel slog.Level
	name     string
	fields   []byte // fields of every line, encoded
}

// output is the writer that all sinks of a logger share.
type output struct {
	mu    sync.Mutex
	w     io.Writer
	lines sync.Pool // of *[]byte
}

const (
	// initialLineSize is the initial capacity of a line's buffer, in bytes.
	initialLineSize = 512
	// maxPooledLine is the maximum capacity of a buffer that is reused, in bytes.
	maxPooledLine = 16 << 10
)

func newSink(w io.Writer, minLevel slog.Level) *sink {
	o := &output{w: w}
	o.lines.New = func() any {
		line := make([]byte, 0, initialLineSize)
		return &line
	}
	return &sink{out: o, minLevel: minLevel}
}

// Init implements logr.LogSink.
func (s *sink) Init(logr.RuntimeInfo) {}

// Enabled implements logr.LogSink.
func (s *sink) Enabled(level int) bool { return slog.Level(-level) >= s.minLevel }

// Info implements logr.LogSink.
func (s *sink) Info(level int, msg string, fields ...any) {
	s.write(slog.Level(-level), msg, nil, fields)
}

// Error implements logr.LogSink.
func (s *sink) Error(err error, msg string, fields ...any) {
	s.write(slog.LevelError, msg, err, fields)
}

// WithValues implements logr.LogSink.
func (s *sink) WithValues(fields ...any) logr.LogSink {
	derived := *s
	derived.fields = appendFields(append([]byte(nil), s.fields...), fields)
	return &derived
}

// WithName implements logr.LogSink.
func (s *sink) WithName(name string) logr.LogSink {
	derived := *s
	if s.name != "" {
		name = s.name + "/" + name
	}
	derived.name = name
	return &derived
}

func (s *sink) write(level slog.Level, msg string, err error, fields []any) {
	buf, _ := s.out.lines.Get().(*[]byte)
	line := (*buf)[:0]
	line = append(line, `{"time":"`...)
	line = time.Now().AppendFormat(line, time.RFC3339Nano)
	line = append(line, `","level":"`...)
	line = append(line, level.String()...)
	line = append(line, `","msg":`...)
	line = appendText(line, msg)
	line = append(line, s.fields...)
	if s.name != "" {
		line = appendField(line, "logger", s.name)
	}
	if err != nil {
		line = appendField(line, "err", err)
	}
	line = appendFields(line, fields)
	line = append(line, "}\n"...)
	s.out.write(line)
	if cap(line) <= maxPooledLine {
		*buf = line
		s.out.lines.Put(buf)
	}
}

func (o *output) write(line []byte) {
	o.mu.Lock()
	defer o.mu.Unlock()
	_, _ = o.w.Write(line) // an error of the log's own writer can't be logged
}

// badKey is the key that is logged for a value without a key.
const badKey = "!BADKEY"

func appendFields(line []byte, fields []any) []byte {
	for len(fields) > 0 {
		key, ok := fields[0].(string)
		if !ok || len(fields) == 1 {
			line = appendField(line, badKey, fields[0])
			fields = fields[1:]
			continue
		}
		line = appendField(line, key, fields[1])
		fields = fields[2:]
	}
	return line
}

func appendField(line []byte, key string, value any) []byte {
	line = append(line, ',')
	line = appendText(line, key)
	line = append(line, ':')
	return appendValue(line, value)
}

func appendValue(line []byte, value any) []byte {
	switch v := value.(type) {
	case string:
		return appendText(line, v)
	case int:
		return strconv.AppendInt(line, int64(v), 10)
	case int64:
		return strconv.AppendInt(line, v, 10)
	case time.Duration:
		return strconv.AppendInt(line, int64(v), 10)
	case bool:
		return strconv.AppendBool(line, v)
	case json.Marshaler, encoding.TextMarshaler:
		return appendAny(line, v)
	case error:
		return appendText(line, textOf(v))
	}
	// Such as gauge.Kind: named string types.
	if r := reflect.ValueOf(value); r.Kind() == reflect.String {
		return appendText(line, r.String())
	}
	return appendAny(line, value)
}

// textOf returns an error's text. An Error method that panics, as on a nil pointer, must not end the
// program for the sake of a log line.
func textOf(err error) (text string) {
	defer func() {
		if cause := recover(); cause != nil {
			text = fmt.Sprintf("!PANIC: %v", cause)
			if r := reflect.ValueOf(err); r.Kind() == reflect.Pointer && r.IsNil() {
				text = "<nil>"
			}
		}
	}()
	return err.Error()
}

// appendAny appends a value as encoding/json encodes it, or the text of its error.
func appendAny(line []byte, value any) []byte {
	var body bytes.Buffer
	e := json.NewEncoder(&body)
	e.SetEscapeHTML(false)
	if err := e.Encode(value); err != nil {
		return appendText(line, "!ERROR:"+err.Error())
	}
	return append(line, bytes.TrimSuffix(body.Bytes(), []byte("\n"))...)
}

const hex = "0123456789abcdef"

// appendText appends a text as a JSON string.
func appendText(line []byte, text string) []byte {
	line = append(line, '"')
	plain := 0 // length of the prefix that needs no escaping: mostly the whole text
	for plain < len(text) && isPlain(text[plain]) {
		plain++
	}
	line = append(line, text[:plain]...)
	for i := plain; i < len(text); {
		c := text[i]
		if c >= utf8.RuneSelf {
			r, size := utf8.DecodeRuneInString(text[i:])
			line = appendRune(line, r, text[i:i+size])
			i += size
			continue
		}
		i++
		switch {
		case isPlain(c):
			line = append(line, c)
		case c >= ' ':
			line = append(line, '\\', c)
		case c == '\n':
			line = append(line, `\n`...)
		case c == '\r':
			line = append(line, `\r`...)
		case c == '\t':
			line = append(line, `\t`...)
		default:
			line = append(line, '\\', 'u', '0', '0', hex[c>>4], hex[c&0xf])
		}
	}
	return append(line, '"')
}

// isPlain reports whether a byte is ASCII and needs no escaping.
func isPlain(c byte) bool { return c >= ' ' && c < utf8.RuneSelf && c != '"' && c != '\\' }

// appendRune appends a rune that isn't ASCII. Invalid UTF-8 becomes U+FFFD; U+2028 and U+2029 are
// escaped, as some readers take them for the end of a line.
func appendRune(line []byte, r rune, text string) []byte {
	switch {
	case r == utf8.RuneError && len(text) == 1:
		return append(line, `\ufffd`...)
	case r == '\u2028' || r == '\u2029':
		return append(line, '\\', 'u', '2', '0', '2', hex[r&0xf])
	default:
		return append(line, text...)
	}
}
