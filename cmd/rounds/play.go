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

// Play is one day on one tree with one seed, and what came of it.
type Play struct {
	Site, Day, Tree, Dir string
	Seed                 int64
	Outcome              Outcome
	Played               bool
	Err                  error `json:"-"`
}

// Outcome is what a report says of a day.
type Outcome struct {
	Worth  float64
	Whole  float64            // share of the worth that was owed
	Window float64            // of the two worst windows
	Class  float64            // of the worst-served kind of request
	Prices map[string]float64 // taken off the worth, by what is paid for
	Counts map[string]float64 // how much of it
	Broken []string           // rules
}

// report is the file that the player writes.
type report struct {
	Worth  float64                    `json:"G"`
	Parts  [][3]any                   `json:"parts"`
	Prices [][3]any                   `json:"prices"`
	Breaks map[string]json.RawMessage `json:"breaks"`
}

// Read makes an outcome of a report.
func Read(data []byte) (Outcome, error) {
	var r report
	if err := json.Unmarshal(data, &r); err != nil {
		return Outcome{}, eris.Wrap(err, "report")
	}
	o := Outcome{Worth: r.Worth, Prices: make(map[string]float64), Counts: make(map[string]float64)}
	for _, p := range r.Parts {
		name, value := text(p[0]), number(p[2])
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
		o.Counts[text(p[0])], o.Prices[text(p[0])] = number(p[1]), number(p[2])
	}
	for rule := range r.Breaks {
		o.Broken = append(o.Broken, rule)
	}
	slices.Sort(o.Broken)
	return o, nil
}

func text(v any) string {
	s, _ := v.(string)
	return s
}

func number(v any) float64 {
	f, _ := v.(float64)
	return f
}

// trees lists the directories, each once.
func trees(plays []*Play) []string {
	var dirs []string
	for _, p := range plays {
		if !slices.Contains(dirs, p.Dir) {
			dirs = append(dirs, p.Dir)
		}
	}
	return dirs
}

// build has a tree built before its plays, which would all begin with it.
func build(ctx context.Context, player, dir string) error {
	cmd := exec.CommandContext(ctx, player, "build")
	cmd.Dir = dir
	out, err := cmd.CombinedOutput()
	return eris.Wrapf(err, "build in %s: %s", dir, out)
}

// playAll plays, some at a time.
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
	return Read(data)
}
