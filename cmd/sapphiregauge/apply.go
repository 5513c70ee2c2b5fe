package main

import (
	"context"
	"fmt"
	"strings"
	"time"

	"github.com/google/uuid"

	gauge "sapphiregauge"
	"sapphiregauge/internal/apply"
	"sapphiregauge/pkg/client"
)

const usageApply = `Bring records into force.

The files say how the records are to be; what is as it should be is left alone.
All of it becomes one revision, or none. The differences are shown; with
--dry-run nothing is changed. With --basis the change is refused if somebody
else has changed one of the same records since that revision; the other change
is shown. --wait returns when every live entry has the revision in force.`

// applyFlags holds the flags of the apply command.
type applyFlags struct {
	files
	deletions []string
	basis     int64
	id        string
	dryRun    bool
	wait      bool
	timeout   time.Duration
}

func newApply() *command {
	t := newTarget()
	f := &applyFlags{timeout: 30 * time.Second}
	c := &command{sub: newSubcommand("apply", usageApply), settings: t.settings()}
	f.bind(c.sub)
	c.sub.PositionalFlags[0].Required = false
	c.sub.StringSlice(&f.deletions, "", "drop", "KIND/NAME of a record to drop")
	c.sub.Int64(&f.basis, "", "basis", "revision that the change was made for; 0: any")
	c.sub.String(&f.id, "", "submission", "id of this change, to send it again safely; made up if missing")
	c.sub.Bool(&f.dryRun, "", "dry-run", "only show what would change")
	c.sub.Bool(&f.wait, "", "wait", "wait until the revision is in force everywhere")
	c.sub.Duration(&f.timeout, "", "timeout", "longest wait")
	c.run = func(ctx context.Context) error { return runApply(ctx, t, f) }
	return c
}

func runApply(ctx context.Context, t *target, f *applyFlags) error {
	ctx, cancel := context.WithTimeout(ctx, f.timeout)
	defer cancel()
	submission, err := f.submission()
	if err != nil {
		return err
	}
	cl := t.client()
	defer cl.Close()
	var res apply.Result
	if err := cl.Post(ctx, "/apply", submission, &res); err != nil {
		return err
	}
	fmt.Print(res.Diff)
	for _, n := range res.Notices {
		fmt.Println("notice:", n)
	}
	switch {
	case f.dryRun:
		fmt.Printf("%d records would change, nothing was\n", len(res.Changed))
		return nil
	case len(res.Changed) == 0:
		fmt.Printf("nothing to change, revision %d\n", res.Revision)
	default:
		fmt.Printf("%d records changed, revision %d\n", len(res.Changed), res.Revision)
	}
	if f.wait {
		return waitInForce(ctx, cl, res.Revision)
	}
	return nil
}

func (f *applyFlags) submission() (apply.Submission, error) {
	read, err := f.read()
	if err != nil {
		return apply.Submission{}, err
	}
	s := apply.Submission{ID: f.id, Basis: f.basis, Files: read, DryRun: f.dryRun}
	if s.ID == "" {
		s.ID = uuid.NewString()
	}
	for _, d := range f.deletions {
		kind, name, ok := strings.Cut(d, "/")
		if !ok {
			return s, gauge.Errorf(gauge.KindInvalid, "--drop: %q is no KIND/NAME", d)
		}
		s.Drops = append(s.Drops, gauge.RecordID{Kind: gauge.RecordKind(kind), Name: name})
	}
	return s, nil
}

// entriesBody is the response of GET /entries: the newest revision, and the revision in force at
// each live entry.
type entriesBody struct {
	Revision int64            `json:"revision"`
	InForce  map[string]int64 `json:"inforce"`
}

// entriesBehind lists the entries that don't have the revision in force yet.
func (b entriesBody) entriesBehind(revision int64) []string {
	var out []string
	for id, r := range b.InForce {
		if r < revision {
			out = append(out, fmt.Sprintf("%s (at %d)", id, r))
		}
	}
	return out
}

const pollInterval = 100 * time.Millisecond

// waitInForce polls /entries until every live entry has the revision in force.
func waitInForce(ctx context.Context, cl *client.Client, revision int64) error {
	began := time.Now()
	for {
		var b entriesBody
		err := cl.Get(ctx, "/entries", &b)
		if err == nil && len(b.entriesBehind(revision)) == 0 {
			fmt.Printf("in force on %d entries after %s\n", len(b.InForce), time.Since(began).Round(time.Millisecond))
			return nil
		}
		select {
		case <-ctx.Done():
			return gauge.Errorf(gauge.KindOutage, "revision %d is not yet in force on %s", revision, strings.Join(b.entriesBehind(revision), ", "))
		case <-time.After(pollInterval):
		}
	}
}
