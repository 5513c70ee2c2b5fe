package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"slices"
	"strconv"
	"strings"
	"text/tabwriter"

	gauge "sapphiregauge"
	"sapphiregauge/internal/desk"
	"sapphiregauge/pkg/client"
)

const usageGet = `Look at what is in force.

WHAT is one of: records (the list), KIND/NAME (one record as it came), hosts,
pools (slots and queues at the asked entry), entries (the revision that each
entry has in force).`

func newGet() *command {
	t := newTarget()
	what := ""
	c := &command{sub: newSubcommand("get", usageGet), settings: t.settings()}
	c.sub.AddPositionalValue(&what, "WHAT", 1, true, "records, KIND/NAME, hosts, pools or entries")
	c.run = func(ctx context.Context) error { return runGet(ctx, t, what) }
	return c
}

func runGet(ctx context.Context, t *target, what string) error {
	cl := t.client()
	defer cl.Close()
	switch what {
	case "records":
		return getRecords(ctx, cl)
	case "hosts":
		return getHosts(ctx, cl)
	case "pools":
		return getPools(ctx, cl)
	case "entries":
		return getEntries(ctx, cl)
	}
	var r gauge.Record
	if err := cl.Get(ctx, "/records/"+what, &r); err != nil {
		return err
	}
	fmt.Print(r.Source)
	return nil
}

// printTable prints rows as an aligned table; the first row is the header.
func printTable(out io.Writer, lines ...[]string) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	for _, l := range lines {
		if _, err := fmt.Fprintln(w, strings.Join(l, "\t")); err != nil {
			return err
		}
	}
	return w.Flush()
}

func getRecords(ctx context.Context, cl *client.Client) error {
	var b struct {
		Records []gauge.Record `json:"records"`
	}
	if err := cl.Get(ctx, "/records", &b); err != nil {
		return err
	}
	lines := [][]string{{"RECORD", "SCHEMA", "REVISION"}}
	for _, r := range b.Records {
		lines = append(lines, []string{r.ID().String(), strconv.Itoa(r.Schema), strconv.FormatInt(r.Revision, 10)})
	}
	return printTable(os.Stdout, lines...)
}

func getHosts(ctx context.Context, cl *client.Client) error {
	var b struct {
		Hosts gauge.Hosts `json:"hosts"`
	}
	if err := cl.Get(ctx, "/hosts", &b); err != nil {
		return err
	}
	lines := [][]string{{"HOST", "ZONE", "RACK", "POOL", "STATE", "GOAL", "WAVE", "DONE"}}
	for _, h := range b.Hosts {
		lines = append(lines, []string{
			h.ID, h.Zone, h.Rack, h.Pool, string(h.State), string(h.Goal), h.Wave, strconv.FormatBool(h.WaveDone),
		})
	}
	return printTable(os.Stdout, lines...)
}

func getPools(ctx context.Context, cl *client.Client) error {
	var b []desk.Counts
	if err := cl.Get(ctx, "/pools", &b); err != nil {
		return err
	}
	slices.SortFunc(b, func(x, y desk.Counts) int { return strings.Compare(x.Pool, y.Pool) })
	lines := [][]string{{"POOL", "HOSTS", "EJECTED", "HELD", "USED", "QUICK", "LONG"}}
	for _, p := range b {
		line := []string{p.Pool}
		for _, n := range []int{p.Hosts, p.Ejected, p.Held, p.Used, p.Quick, p.Long} {
			line = append(line, strconv.Itoa(n))
		}
		lines = append(lines, line)
	}
	return printTable(os.Stdout, lines...)
}

func getEntries(ctx context.Context, cl *client.Client) error {
	var b entriesBody
	if err := cl.Get(ctx, "/entries", &b); err != nil {
		return err
	}
	lines := [][]string{{"ENTRY", "REVISION"}}
	for id, r := range b.InForce {
		lines = append(lines, []string{id, strconv.FormatInt(r, 10)})
	}
	slices.SortFunc(lines[1:], func(x, y []string) int { return strings.Compare(x[0], y[0]) })
	return printTable(os.Stdout, lines...)
}
