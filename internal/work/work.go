// Package work is a fake worker for tests and the local mode. It runs every request it receives,
// echoes the body after the duration in the query parameter "run", and counts the runs by request
// ID. The query parameter "fault" makes it fail: "cut" closes the connection without a response,
// "label" returns a wrong request ID, "error" returns status 500.
package work

import (
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/gofiber/fiber/v3"

	gauge "sapphiregauge"
)

// Config sets up a Worker.
type Config struct {
	Self           gauge.ListedHost // the host that it reports; status, used slots and boots are filled in
	BootTime       time.Duration    // how long a reboot takes
	ReportInterval time.Duration    // interval of reports
	// Report sends a report to the platform and returns whether the worker is to reboot.
	Report func(gauge.ListedHost) (reboot bool, err error)
}

// Worker is the fake worker. While it reboots it refuses requests.
type Worker struct {
	conf Config
	app  *fiber.App
	stop chan struct{}

	mu              sync.Mutex
	running         int
	maxRunning      int
	bootCount       int
	booting         bool
	runsByRequestID map[string]int
}

// New makes a Worker.
func New(c Config) *Worker {
	w := &Worker{
		conf: c, stop: make(chan struct{}), runsByRequestID: make(map[string]int),
		app: fiber.New(fiber.Config{Immutable: true, BodyLimit: maxBodyBytes}),
	}
	w.app.Get("/stand/status", w.serveStatus)
	w.app.All("/*", w.serveRequest)
	return w
}

const maxBodyBytes = 16 << 20

// Serve serves on a listener and reports to the platform until Close.
func (w *Worker) Serve(l net.Listener) error {
	go w.reportLoop()
	return w.app.Listener(l, fiber.ListenConfig{DisableStartupMessage: true})
}

// Close stops the worker, which waits for at most a second for requests in flight. It may be called
// only once.
func (w *Worker) Close() error {
	close(w.stop)
	return w.app.ShutdownWithTimeout(time.Second)
}

func (w *Worker) reportLoop() {
	tick := time.NewTicker(w.conf.ReportInterval)
	defer tick.Stop()
	for {
		reboot, err := w.conf.Report(w.listedHost())
		if err == nil && reboot {
			w.reboot()
		}
		select {
		case <-w.stop:
			return
		case <-tick.C:
		}
	}
}

func (w *Worker) listedHost() gauge.ListedHost {
	w.mu.Lock()
	defer w.mu.Unlock()
	s := w.conf.Self
	s.Status = gauge.StatusLive
	if w.booting {
		s.Status = gauge.StatusBooting
	}
	s.Used = w.running
	s.Boots = w.bootCount
	return s
}

func (w *Worker) reboot() {
	w.mu.Lock()
	w.booting = true
	w.mu.Unlock()
	time.AfterFunc(w.conf.BootTime, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		w.booting = false
		w.bootCount++
	})
}

// counts is the response of /stand/status: the runs in progress, their maximum so far, and the
// number of runs by request ID.
type counts struct {
	Running int            `json:"running"`
	Peak    int            `json:"peak"`
	Runs    map[string]int `json:"runs"`
}

func (w *Worker) serveStatus(c fiber.Ctx) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	return c.JSON(counts{Running: w.running, Peak: w.maxRunning, Runs: w.runsByRequestID})
}

func (w *Worker) beginRun(id string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.booting {
		return false
	}
	w.running++
	w.maxRunning = max(w.maxRunning, w.running)
	w.runsByRequestID[id]++
	return true
}

func (w *Worker) endRun() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.running--
}

// Headers of the protocol between entries and workers.
const (
	headerRequestID = "X-Request-Id"
	headerRan       = "X-Ran"
)

func (w *Worker) serveRequest(c fiber.Ctx) error {
	id := c.Get(headerRequestID)
	if !w.beginRun(id) {
		c.Set(headerRan, "no")
		c.Set(headerRequestID, id)
		return c.SendStatus(http.StatusServiceUnavailable)
	}
	defer w.endRun()
	if d, err := time.ParseDuration(c.Query("run")); err == nil {
		time.Sleep(d)
	}
	c.Set(headerRequestID, id)
	c.Set(fiber.HeaderContentType, c.Get(fiber.HeaderContentType, fiber.MIMEOctetStream))
	switch c.Query("fault") {
	case "cut":
		return c.Drop()
	case "label":
		c.Set(headerRequestID, id+"x")
	case "error":
		return c.Status(http.StatusInternalServerError).SendString("failed as asked")
	}
	return c.Send(c.Body())
}
