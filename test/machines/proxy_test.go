package machines_test

import (
	"io"
	"log"
	"net/http"
	"net/http/httptest"
	"net/http/httputil"
	"net/url"
	"testing"
)

// newProxy returns an HTTP proxy that forwards requests to an address.
func newProxy(to string) *httputil.ReverseProxy {
	proxy := httputil.NewSingleHostReverseProxy(&url.URL{Scheme: "http", Host: to})
	proxy.ErrorLog = log.New(io.Discard, "", 0) // feed calls are still pending when the test ends
	return proxy
}

// startProxy starts a proxy to the table on which the test intercepts each request; intercept
// returns false to have the request forwarded.
func startProxy(t *testing.T, to string, intercept func(w http.ResponseWriter, r *http.Request) bool) (addr string) {
	t.Helper()
	proxy := newProxy(to)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !intercept(w, r) {
			proxy.ServeHTTP(w, r)
		}
	}))
	t.Cleanup(server.Close)
	t.Cleanup(server.CloseClientConnections)
	return server.Listener.Addr().String()
}
