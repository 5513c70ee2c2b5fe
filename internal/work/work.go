// Package work is a worker stand-in: it starts whatever it is given, echoes
// the body after the time that the request asks for, counts what it ran, and
// misbehaves on request. Only tests, the walk-through and the local mode use
// it.
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
	Self   gauge.Sighting // what it says of itself; status, use and boots are filled in
	Boot   time.Duration  // how long a reboot takes
	Every  time.Duration  // between two reports
	Report func(gauge.Sighting) (reboot bool, err error)
}

// Worker is the stand-in.
type Worker struct {
	conf Config
	app  *fiber.App
	stop chan struct{}

	mu      sync.Mutex
	running int
	peak    int
	boots   int
	booting bool
	runs    map[string]int
}

// New makes a Worker.
func New(c Config) *Worker {
	w := &Worker{
		conf: c, stop: make(chan struct{}), runs: make(map[string]int),
		app: fiber.New(fiber.Config{Immutable: true, BodyLimit: bodyLimit}),
	}
	w.app.Get("/stand/status", w.status)
	w.app.All("/*", w.run)
	return w
}

const bodyLimit = 16 << 20

// Serve answers on a listener and reports to the platform until Close.
func (w *Worker) Serve(l net.Listener) error {
	go w.reportLoop()
	return w.app.Listener(l, fiber.ListenConfig{DisableStartupMessage: true})
}

// Close stops the worker.
func (w *Worker) Close() error {
	close(w.stop)
	return w.app.ShutdownWithTimeout(time.Second)
}

func (w *Worker) reportLoop() {
	tick := time.NewTicker(w.conf.Every)
	defer tick.Stop()
	for {
		reboot, err := w.conf.Report(w.sighting())
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

func (w *Worker) sighting() gauge.Sighting {
	w.mu.Lock()
	defer w.mu.Unlock()
	s := w.conf.Self
	s.Status = gauge.StatusLive
	if w.booting {
		s.Status = gauge.StatusBooting
	}
	s.Used = w.running
	s.Boots = w.boots
	return s
}

func (w *Worker) reboot() {
	w.mu.Lock()
	w.booting = true
	w.mu.Unlock()
	time.AfterFunc(w.conf.Boot, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		w.booting = false
		w.boots++
	})
}

// counts is what a worker has done so far.
type counts struct {
	Running int            `json:"running"`
	Peak    int            `json:"peak"`
	Runs    map[string]int `json:"runs"`
}

func (w *Worker) status(c fiber.Ctx) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	return c.JSON(counts{Running: w.running, Peak: w.peak, Runs: w.runs})
}

func (w *Worker) begin(id string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.booting {
		return false
	}
	w.running++
	w.peak = max(w.peak, w.running)
	w.runs[id]++
	return true
}

func (w *Worker) end() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.running--
}

// Headers of the protocol between entries and workers.
const (
	headerID  = "X-Request-Id"
	headerRan = "X-Ran"
)

func (w *Worker) run(c fiber.Ctx) error {
	id := c.Get(headerID)
	if !w.begin(id) {
		c.Set(headerRan, "no")
		c.Set(headerID, id)
		return c.SendStatus(http.StatusServiceUnavailable)
	}
	defer w.end()
	if d, err := time.ParseDuration(c.Query("run")); err == nil {
		time.Sleep(d)
	}
	c.Set(headerID, id)
	c.Set(fiber.HeaderContentType, c.Get(fiber.HeaderContentType, fiber.MIMEOctetStream))
	switch c.Query("fault") {
	case "cut":
		return c.Drop()
	case "label":
		c.Set(headerID, id+"x")
	case "error":
		return c.Status(http.StatusInternalServerError).SendString("failed as asked")
	}
	return c.Send(c.Body())
}
