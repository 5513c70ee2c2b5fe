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

func newWorker(t *testing.T, h http.HandlerFunc) (gauge.Target, *atomic.Int64) {
	t.Helper()
	var newConns atomic.Int64
	s := httptest.NewUnstartedServer(h)
	s.Config.ConnState = func(_ net.Conn, st http.ConnState) {
		if st == http.StateNew {
			newConns.Add(1)
		}
	}
	s.Start()
	t.Cleanup(s.Close)
	return gauge.Target{Host: "w", Addr: s.Listener.Addr().String()}, &newConns
}

func request(repeatable bool) *gauge.Request {
	return &gauge.Request{ID: "id", Service: "s", Repeatable: repeatable, Body: []byte("x"), Deadline: time.Now().Add(time.Minute)}
}

// A worker's answer determines whether the request may have run, and whether the answer may be
// passed on.
func TestAnswerDeterminesOutcome(t *testing.T) {
	for _, tt := range []struct {
		name       string
		handler    http.HandlerFunc
		kind       gauge.Kind
		mayHaveRun bool
	}{
		{"matching answer", func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set("X-Request-Id", r.Header.Get("X-Request-Id"))
		}, "", true},
		{"answer to another request", func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("X-Request-Id", "other")
		}, gauge.KindUnknown, true},
		{"no request id", func(http.ResponseWriter, *http.Request) {}, gauge.KindUnknown, true},
		{"refusal", func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set("X-Request-Id", r.Header.Get("X-Request-Id"))
			w.Header().Set("X-Ran", "no")
			w.WriteHeader(http.StatusServiceUnavailable)
		}, gauge.KindNoSlot, false},
		{"refusal of another request", func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("X-Request-Id", "other")
			w.Header().Set("X-Ran", "no")
		}, gauge.KindUnknown, true},
		{"failure", func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set("X-Request-Id", r.Header.Get("X-Request-Id"))
			w.WriteHeader(http.StatusInternalServerError)
		}, gauge.KindFailed, true},
		{"connection aborted", func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }, gauge.KindUnknown, true},
	} {
		t.Run(tt.name, func(t *testing.T) {
			target, _ := newWorker(t, tt.handler)
			s := send.New(send.Config{Clock: time.Now})
			_, a, err := s.Dispatch(context.Background(), target, request(true))
			assert.Equal(t, a.Kind, tt.kind)
			assert.Equal(t, err == nil, tt.kind == "")
			assert.Equal(t, a.MayHaveRun(), tt.mayHaveRun)
		})
	}
}

// Guards against a request whose outcome is unknown although the worker is healthy: a request
// that is not repeatable is sent on an idle connection at the moment when the worker closes it.
func TestNonRepeatableRequestGetsNewConnection(t *testing.T) {
	target, newConns := newWorker(t, func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("X-Request-Id", r.Header.Get("X-Request-Id"))
	})
	s := send.New(send.Config{Clock: time.Now})
	for _, repeatable := range []bool{true, true, false, false} {
		_, _, err := s.Dispatch(context.Background(), target, request(repeatable))
		assert.NilError(t, err)
	}
	assert.Equal(t, newConns.Load(), int64(3))
}
