package send_test

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	gauge "sapphiregauge"
	"sapphiregauge/internal/send"
)

func worker(t *testing.T, h http.HandlerFunc) (gauge.Target, *atomic.Int64) {
	t.Helper()
	var conns atomic.Int64
	s := httptest.NewUnstartedServer(h)
	s.Config.ConnState = func(_ net.Conn, st http.ConnState) {
		if st == http.StateNew {
			conns.Add(1)
		}
	}
	s.Start()
	t.Cleanup(s.Close)
	return gauge.Target{Host: "w", Addr: s.Listener.Addr().String()}, &conns
}

func request(repeatable bool) *gauge.Request {
	return &gauge.Request{ID: "id", Service: "s", Repeatable: repeatable, Body: []byte("x"), Deadline: time.Now().Add(time.Minute)}
}

// What a worker answers decides whether the request may have run, and whether
// the answer may be told.
func TestWhatAnAnswerProves(t *testing.T) {
	for _, tt := range []struct {
		name   string
		answer http.HandlerFunc
		kind   gauge.Kind
		mayRun bool
	}{
		{"own answer", func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set("X-Request-Id", r.Header.Get("X-Request-Id"))
		}, "", true},
		{"another's answer", func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("X-Request-Id", "other")
		}, gauge.KindUnknown, true},
		{"no label", func(http.ResponseWriter, *http.Request) {}, gauge.KindUnknown, true},
		{"proved refusal", func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set("X-Request-Id", r.Header.Get("X-Request-Id"))
			w.Header().Set("X-Ran", "no")
			w.WriteHeader(http.StatusServiceUnavailable)
		}, gauge.KindFull, false},
		{"refusal of another request", func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("X-Request-Id", "other")
			w.Header().Set("X-Ran", "no")
		}, gauge.KindUnknown, true},
		{"failure", func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set("X-Request-Id", r.Header.Get("X-Request-Id"))
			w.WriteHeader(http.StatusInternalServerError)
		}, gauge.KindFailed, true},
		{"cut", func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }, gauge.KindUnknown, true},
	} {
		t.Run(tt.name, func(t *testing.T) {
			target, _ := worker(t, tt.answer)
			s := send.New(send.Config{Clock: time.Now})
			_, a, err := s.Dispatch(context.Background(), target, request(true))
			assert.Equal(t, a.Kind, tt.kind)
			assert.Equal(t, err == nil, tt.kind == "")
			assert.Equal(t, a.MayHaveRun(), tt.mayRun)
		})
	}
}

// Symptom: the outcome of a print job is unknown although the worker is well.
// Sequence: the job goes out on a connection that rested; the worker closes it
// at the same moment.
// Cause: using resting connections for what can't be repeated.
func TestWhatMustNotBeRepeatedGetsAFreshConnection(t *testing.T) {
	target, conns := worker(t, func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("X-Request-Id", r.Header.Get("X-Request-Id"))
	})
	s := send.New(send.Config{Clock: time.Now})
	for _, repeatable := range []bool{true, true, false, false} {
		_, _, err := s.Dispatch(context.Background(), target, request(repeatable))
		assert.NilError(t, err)
	}
	assert.Equal(t, conns.Load(), int64(3))
}
