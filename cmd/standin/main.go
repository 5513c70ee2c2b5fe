// Command standin runs the small stand-ins for what lies outside the system,
// each as a process of its own: "standin platform" and "standin worker". They
// are for tests and for trying things out, not for a real site.
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

// options are the flags of both stand-ins.
type options struct {
	listen, platform, id, zone, rack string
	slots, cores, memory, accels     int
	lag, gone, boot, every           time.Duration
}

func run(args []string) error {
	o := options{
		listen: "127.0.0.1:0", platform: "127.0.0.1:8090", id: "worker", zone: "zone-1", rack: "rack-1",
		slots: 8, cores: 16, memory: 64,
		lag: time.Second, gone: 3 * time.Second, boot: 2 * time.Second, every: 200 * time.Millisecond,
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
	platform.Duration(&o.lag, "", "lag", "how old the host list may be")
	platform.Duration(&o.gone, "", "gone", "silence after which a host is listed as gone")
	worker.String(&o.platform, "", "platform", "ip:port of the platform stand-in")
	worker.String(&o.id, "", "id", "name of the host")
	worker.String(&o.zone, "", "zone", "data centre")
	worker.String(&o.rack, "", "rack", "rack")
	worker.Int(&o.slots, "", "slots", "slots")
	worker.Int(&o.cores, "", "cores", "cores")
	worker.Int(&o.memory, "", "memory", "GiB")
	worker.Int(&o.accels, "", "accels", "accelerators")
	worker.Duration(&o.boot, "", "boot", "how long a reboot takes")
	worker.Duration(&o.every, "", "every", "time between two reports")
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

func untilSignal(stop func() error) {
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
	s := stand.New(stand.Config{Lag: o.lag, Gone: o.gone, Clock: time.Now})
	untilSignal(s.Close)
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
		Self: gauge.Sighting{
			ID: o.id, Addr: l.Addr().String(), Zone: o.zone, Rack: o.rack,
			Cores: o.cores, Memory: o.memory, Accels: o.accels, Slots: o.slots, Conns: conns,
		},
		Boot: o.boot, Every: o.every, Report: r.report,
	})
	untilSignal(w.Close)
	return w.Serve(l)
}

// reporter tells the platform stand-in what a worker says of itself.
type reporter struct {
	addr string
	pool *exch.Pool
}

func (r *reporter) report(s gauge.Sighting) (bool, error) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	body, err := json.Marshal(s)
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
