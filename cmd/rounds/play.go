package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"

	"github.com/rotisserie/eris"
	"github.com/sourcegraph/conc/pool"
)

// Play is the simulation of one day on one tree with one seed, and its outcome.
type Play struct {
	Site, Day, Tree, Dir string
	Seed                 int64
	Outcome              Outcome
	Played               bool
	Err                  error `json:"-"`
}

// Outcome is the result of a play, from its report.
type Outcome struct {
	Worth  float64
	Whole  float64            // share of the due worth that was earned over the whole day
	Window float64            // the same share over the two worst time windows
	Class  float64            // the same share for the worst-served class of requests
	Prices map[string]float64 // what was deducted from the worth, by cost item
	Counts map[string]float64 // the amounts, by cost item
	Broken []string           // the rules that were broken, sorted
}

// report is the report file that the player writes. Parts and Prices are triples: a name, a weight
// or an amount, and a value.
type report struct {
	Worth  float64                    `json:"G"`
	Parts  [][3]any                   `json:"parts"`
	Prices [][3]any                   `json:"prices"`
	Breaks map[string]json.RawMessage `json:"breaks"`
}

// ParseReport parses a report.
func ParseReport(data []byte) (Outcome, error) {
	var r report
	if err := json.Unmarshal(data, &r); err != nil {
		return Outcome{}, eris.Wrap(err, "report")
	}
	o := Outcome{Worth: r.Worth, Prices: make(map[string]float64), Counts: make(map[string]float64)}
	for _, p := range r.Parts {
		name, value := asString(p[0]), asNumber(p[2])
		switch name {
		case "whole day":
			o.Whole = value
		case "worst windows":
			o.Window = value
		case "worst class":
			o.Class = value
		}
	}
	for _, p := range r.Prices {
		o.Counts[asString(p[0])], o.Prices[asString(p[0])] = asNumber(p[1]), asNumber(p[2])
	}
	for rule := range r.Breaks {
		o.Broken = append(o.Broken, rule)
	}
	slices.Sort(o.Broken)
	return o, nil
}

func asString(v any) string {
	s, _ := v.(string)
	return s
}

func asNumber(v any) float64 {
	f, _ := v.(float64)
	return f
}

// treeDirs lists the directories of the plays' trees without duplicates.
func treeDirs(plays []*Play) []string {
	var dirs []string
	for _, p := range plays {
		if !slices.Contains(dirs, p.Dir) {
			dirs = append(dirs, p.Dir)
		}
	}
	return dirs
}

// build has the player build a tree once before the plays; otherwise each play would build it.
func build(ctx context.Context, player, dir string) error {
	cmd := exec.CommandContext(ctx, player, "build")
	cmd.Dir = dir
	out, err := cmd.CombinedOutput()
	return eris.Wrapf(err, "build in %s: %s", dir, out)
}

// playAll carries out the plays that have no outcome yet, o.jobs at a time.
func playAll(ctx context.Context, o options, plays []*Play) {
	workers := pool.New().WithMaxGoroutines(max(1, o.jobs))
	for _, p := range plays {
		if p.Played {
			continue
		}
		workers.Go(func() {
			p.Outcome, p.Err = p.run(ctx, &o)
			if p.Err != nil {
				fmt.Fprintln(os.Stderr, p.Tree, p.Day, p.Seed, p.Err)
			}
			p.Played = p.Err == nil
		})
	}
	workers.Wait()
}

func (p *Play) run(ctx context.Context, o *options) (Outcome, error) {
	dir, err := os.MkdirTemp("", "rounds")
	if err != nil {
		return Outcome{}, eris.Wrap(err, "report")
	}
	defer func() { _ = os.RemoveAll(dir) }()
	file := filepath.Join(dir, "report.json")
	args := []string{"run", p.Site, p.Day, "--seed", strconv.FormatInt(p.Seed, 10), "--report", file, "--jobs", "1"}
	if o.why != "" {
		args = append(args, "--why", p.Tree+": "+o.why)
	}
	if !o.charged {
		args = append(args, "--no-cpu")
	}
	cmd := exec.CommandContext(ctx, o.player, args...) //nolint:gosec // the program is the caller's choice
	cmd.Dir = p.Dir
	out, playErr := cmd.CombinedOutput()
	data, err := os.ReadFile(file) //nolint:gosec // written just now
	if err != nil {
		return Outcome{}, eris.Errorf("no report (%v): %s", playErr, out)
	}
	return ParseReport(data)
}
