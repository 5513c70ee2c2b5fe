package main

import (
	"context"
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/google/uuid"

	gauge "sapphiregauge"
	"sapphiregauge/internal/apply"
	"sapphiregauge/internal/query"
	"sapphiregauge/pkg/client"
)

const usageWave = `Start, pause, resume or drop a maintenance wave.

A wave reboots every host of its pools once, as fast as the pools' promises
allow. It is a record like any other: "start NAME --pools a,b" applies one, and
the same can be done with a file and "apply". A wave that is done stays as a
record until it is dropped.`

func newWave() *command {
	t := newTarget()
	action, name, pools := "", "", ""
	c := &command{sub: newSubcommand("wave", usageWave), settings: t.settings()}
	c.sub.AddPositionalValue(&action, "ACTION", 1, true, "start, pause, resume or drop")
	c.sub.AddPositionalValue(&name, "NAME", 2, true, "name of the wave")
	c.sub.String(&pools, "", "pools", "for start: the pools, comma between")
	c.run = func(ctx context.Context) error { return runWave(ctx, t, action, name, pools) }
	return c
}

func runWave(ctx context.Context, t *target, action, name, pools string) error {
	cl := t.client()
	defer cl.Close()
	s := apply.Submission{ID: uuid.NewString()}
	switch action {
	case "start":
		s.Files = []apply.File{waveFile(name, strings.Split(pools, ","), false)}
	case "pause", "resume":
		var r gauge.Record
		if err := cl.Get(ctx, "/records/wave/"+name, &r); err != nil {
			return err
		}
		s.Basis = r.Revision
		s.Files = []apply.File{waveFile(name, r.Wave.Pools, action == "pause")}
	case "drop":
		s.Drops = []gauge.RecordID{{Kind: gauge.RecordWave, Name: name}}
	default:
		return gauge.Errorf(gauge.KindInvalid, "ACTION: %q is none of start, pause, resume, drop", action)
	}
	var res apply.Result
	if err := cl.Post(ctx, "/apply", s, &res); err != nil {
		return err
	}
	fmt.Printf("revision %d\n", res.Revision)
	return nil
}

func waveFile(name string, pools []string, paused bool) apply.File {
	text := fmt.Sprintf("kind: wave\nschema: 1\nname: %s\npools: [%s]\n", name, strings.Join(pools, ", "))
	if paused {
		text += "paused: true\n"
	}
	return apply.File{Name: "wave " + name, Text: text}
}

const usageWatch = `Watch a wave until it is done.

It shows, for each pool, how many hosts are done, out and failed, why the wave
waits if it does, and an estimated end drawn from the progress seen since the
watch began.`

func newWatch() *command {
	t := newTarget()
	name, every := "", time.Second
	c := &command{sub: newSubcommand("watch", usageWatch), settings: t.settings()}
	c.sub.AddPositionalValue(&name, "NAME", 1, true, "name of the wave")
	c.sub.Duration(&every, "", "every", "time between two looks")
	c.run = func(ctx context.Context) error { return runWatch(ctx, t, name, every) }
	return c
}

func runWatch(ctx context.Context, t *target, name string, every time.Duration) error {
	cl := t.client()
	defer cl.Close()
	began, doneAtStart, shown := time.Now(), -1, ""
	for {
		lines, done, all, err := waveTable(ctx, cl, name)
		if err != nil {
			return err
		}
		if doneAtStart < 0 {
			doneAtStart = done
		}
		if text := fmt.Sprint(lines); text != shown {
			shown = text
			if err := printTable(os.Stdout, lines...); err != nil {
				return err
			}
			fmt.Println(estimate(time.Since(began), done-doneAtStart, all-done))
		}
		if done == all && all > 0 {
			return nil
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(every):
		}
	}
}

// waveTable returns a wave's table, header included, the number of its hosts that are done, and the
// number of all its hosts.
func waveTable(ctx context.Context, cl *client.Client, name string) (lines [][]string, done, all int, err error) {
	var waves []query.Wave
	if err := cl.Get(ctx, "/waves", &waves); err != nil {
		return nil, 0, 0, err
	}
	lines = [][]string{{"POOL", "DONE", "OF", "OUT", "FAILED", "WAITS"}}
	for _, w := range waves {
		if w.Name != name {
			continue
		}
		line := []string{w.Pool}
		for _, n := range []int{w.Done, w.Hosts, w.Unavailable, w.Failed} {
			line = append(line, strconv.Itoa(n))
		}
		lines = append(lines, append(line, w.WaitReason))
		done += w.Done
		all += w.Hosts
	}
	if len(lines) == 1 {
		return nil, 0, 0, gauge.Errorf(gauge.KindNotFound, "there is no wave %s", name)
	}
	return lines, done, all, nil
}

// estimate extrapolates the remaining time from the progress since the watch began.
func estimate(elapsed time.Duration, done, left int) string {
	switch {
	case left == 0:
		return "done"
	case done == 0:
		return "no progress seen yet"
	}
	rest := time.Duration(float64(elapsed) / float64(done) * float64(left))
	return fmt.Sprintf("estimated end in %s, at %s", rest.Round(time.Second), time.Now().Add(rest).Format("15:04:05"))
}
