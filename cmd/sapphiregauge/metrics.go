package main

import (
	"net"
	"net/http"
	"strconv"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"github.com/rotisserie/eris"
	"github.com/valyala/fasthttp"
	"github.com/valyala/fasthttp/fasthttpadaptor"

	"sapphiregauge/internal/budget"
	"sapphiregauge/internal/httpd"
)

const (
	metricsPath = "/metrics"
	// maxMetricsCalls bounds the metrics that are encoded at the same time, since they are large.
	maxMetricsCalls = 4
)

// newMetricsServer returns the server of the metrics, which take their room from a budget.
func newMetricsServer(r *prometheus.Registry, b *budget.Budget) *httpd.Server {
	handle := fasthttpadaptor.NewFastHTTPHandler(promhttp.HandlerFor(r, promhttp.HandlerOpts{MaxRequestsInFlight: maxMetricsCalls}))
	return httpd.New(httpd.Config{
		Name: "sapphiregauge", Budget: b,
		Handler: func(c *fasthttp.RequestCtx) {
			if string(c.Path()) != metricsPath {
				c.SetStatusCode(http.StatusNotFound)
				return
			}
			handle(c)
		},
		Refuse: func(c *fasthttp.RequestCtx, _ error) { c.SetStatusCode(http.StatusRequestEntityTooLarge) },
	})
}

// serveMetrics serves the metrics at a port until they are closed; 0: it doesn't.
func (c *components) serveMetrics(port int) error {
	if port == 0 {
		return nil
	}
	l, err := net.Listen("tcp", net.JoinHostPort(c.settings.IP, strconv.Itoa(port)))
	if err != nil {
		return eris.Wrap(err, "host: address for metrics")
	}
	return c.metrics.Serve(l)
}
