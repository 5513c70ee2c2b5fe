// Command standin runs fakes of the external systems, each as a process of its own: "standin
// platform" serves the table, the object store and the host list from memory, and "standin worker"
// is a worker that echoes requests. They are for tests and trials, not for production.
package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/integrii/flaggy"
	"github.com/rotisserie/eris"
	"github.com/valyala/fasthttp"

	gauge "sapphiregauge"
	"sapphiregauge/internal/exch"
	"sapphiregauge/internal/stand"
	"sapphiregauge/internal/work"
)

func main() {
	if err := run(os.Args[1:]); err != nil {
		fmt.Fprintln(os.Stderr, "standin:", err)
		os.Exit(1)
	}
}

// options holds the flags of both subcommands.
type options struct {
	listen, platform, id, zone, rack                string
	slots, cores, memoryGiB, accelerators           int
	listMaxAge, goneAfter, bootTime, reportInterval time.Duration
}

func run(args []string) error {
	o := options{
		listen: "127.0.0.1:0", platform: "127.0.0.1:8090", id: "worker", zone: "zone-1", rack: "rack-1",
		slots: 8, cores: 16, memoryGiB: 64,
		listMaxAge: time.Second, goneAfter: 3 * time.Second, bootTime: 2 * time.Second, reportInterval: 200 * time.Millisecond,
	}
	parser := flaggy.NewParser("standin")
	parser.Description = "stand-ins for the platform and the workers"
	platform := flaggy.NewSubcommand("platform")
	platform.Description = "table, object store and host list in memory"
	worker := flaggy.NewSubcommand("worker")
	worker.Description = "a worker that echoes what it is sent"
	for _, sc := range []*flaggy.Subcommand{platform, worker} {
		sc.String(&o.listen, "", "listen", "ip:port")
		parser.AttachSubcommand(sc, 1)
	}
	platform.Duration(&o.listMaxAge, "", "lag", "how old the host list may be")
	platform.Duration(&o.goneAfter, "", "gone", "silence after which a host is listed as gone")
	worker.String(&o.platform, "", "platform", "ip:port of the platform stand-in")
	worker.String(&o.id, "", "id", "name of the host")
	worker.String(&o.zone, "", "zone", "data centre")
	worker.String(&o.rack, "", "rack", "rack")
	worker.Int(&o.slots, "", "slots", "slots")
	worker.Int(&o.cores, "", "cores", "cores")
	worker.Int(&o.memoryGiB, "", "memory", "GiB")
	worker.Int(&o.accelerators, "", "accels", "accelerators")
	worker.Duration(&o.bootTime, "", "boot", "how long a reboot takes")
	worker.Duration(&o.reportInterval, "", "every", "time between two reports")
	if err := parser.ParseArgs(args); err != nil {
		return err
	}
	switch {
	case platform.Used:
		return runPlatform(o)
	case worker.Used:
		return runWorker(o)
	}
	parser.ShowHelp()
	return nil
}

func listen(o options) (net.Listener, error) {
	l, err := net.Listen("tcp", o.listen)
	if err != nil {
		return nil, eris.Wrap(err, "listen")
	}
	fmt.Println("listening", l.Addr())
	return l, nil
}

// stopOnSignal calls stop on SIGTERM or SIGINT. It returns at once.
func stopOnSignal(stop func() error) {
	ctx, cancel := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	go func() {
		defer cancel()
		<-ctx.Done()
		_ = stop()
	}()
}

func runPlatform(o options) error {
	l, err := listen(o)
	if err != nil {
		return err
	}
	s := stand.New(stand.Config{Lag: o.listMaxAge, Gone: o.goneAfter, Clock: time.Now})
	stopOnSignal(s.Close)
	return s.Serve(l)
}

func runWorker(o options) error {
	l, err := listen(o)
	if err != nil {
		return err
	}
	const conns = 64
	r := reporter{addr: o.platform, pool: exch.New(exch.Config{Clock: time.Now})}
	w := work.New(work.Config{
		Self: gauge.ListedHost{
			ID: o.id, Addr: l.Addr().String(), Zone: o.zone, Rack: o.rack,
			Cores: o.cores, Memory: o.memoryGiB, Accels: o.accelerators, Slots: o.slots, Conns: conns,
		},
		BootTime: o.bootTime, ReportInterval: o.reportInterval, Report: r.report,
	})
	stopOnSignal(w.Close)
	return w.Serve(l)
}

// reporter sends a worker's status reports to the fake platform.
type reporter struct {
	addr string
	pool *exch.Pool
}

// report sends one status report; the response says whether the worker is to reboot.
func (r *reporter) report(h gauge.ListedHost) (bool, error) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	body, err := json.Marshal(h)
	if err != nil {
		return false, err
	}
	req, resp := new(fasthttp.Request), new(fasthttp.Response)
	req.Header.SetMethod(http.MethodPost)
	req.SetRequestURI("http://" + r.addr + "/stand/report")
	req.SetBodyRaw(body)
	if _, err := r.pool.Do(ctx, r.addr, req, resp, false); err != nil {
		return false, err
	}
	var answer struct {
		Reboot bool `json:"reboot"`
	}
	err = json.Unmarshal(resp.Body(), &answer)
	return answer.Reboot, err
}
