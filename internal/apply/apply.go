// Package apply accepts operators' changes: it decodes the records, validates them together with
// the configuration in force, and appends one revision. It is idempotent: a submission sent twice
// becomes one revision. A change of a record that was changed since the submission's basis
// revision is refused with an error that shows the other change.
package apply

import (
	"context"
	"fmt"
	"slices"
	"strings"

	"github.com/pmezard/go-difflib/difflib"

	gauge "sapphiregauge"
	"sapphiregauge/internal/revlog"
	"sapphiregauge/internal/schema"
)

// Config sets up an Applier.
type Config struct {
	Log     *revlog.Log
	State   func() gauge.State // in force at this entry; newer revisions are read from the log
	Decoder *schema.Decoder
	// Notices returns warnings about a valid state, such as jobs that fit no host.
	Notices func(gauge.State) []string
}

// File is one record file as the operator sent it.
type File struct {
	Name string `json:"name"`
	Text string `json:"text"`
}

// Submission is one change that an operator submits.
type Submission struct {
	ID     string           `json:"id"`
	Basis  int64            `json:"basis"` // revision that the change is based on; 0: any
	Files  []File           `json:"files,omitempty"`
	Drops  []gauge.RecordID `json:"drops,omitempty"`
	DryRun bool             `json:"dry,omitempty"` // report what would change, store nothing
}

// Result is the effect of a submission.
type Result struct {
	Revision int64    `json:"revision"`
	Changed  []string `json:"changed,omitempty"`
	Diff     string   `json:"diff,omitempty"`
	Notices  []string `json:"notices,omitempty"`
}

// Applier accepts submissions.
type Applier struct {
	conf Config
}

// New returns an Applier.
func New(c Config) *Applier { return &Applier{conf: c} }

// maxAttempts bounds the attempts of one submission; each fails if another revision, such as a
// change of a host, is accepted at the same moment.
const maxAttempts = 20

// Apply accepts a submission as a whole or not at all. The error lists all faults of the files, or
// is of KindConflict if a record was changed since the basis, or if other changes kept coming
// first.
func (a *Applier) Apply(ctx context.Context, sub Submission) (Result, error) {
	records, err := a.decode(sub)
	if err != nil {
		return Result{}, err
	}
	if rev, err := a.conf.Log.SubmissionRevision(ctx, sub.ID); err != nil || rev > 0 {
		return Result{Revision: rev}, err
	}
	for range maxAttempts {
		state, err := a.latestState(ctx)
		if err != nil {
			return Result{}, err
		}
		res, change, err := a.compare(state, sub, records)
		if err != nil || sub.DryRun || len(change.Records) == 0 {
			return res, err
		}
		accepted, err := a.conf.Log.Append(ctx, state.Revision, change)
		if err == nil {
			res.Revision = accepted.Revision
			return res, nil
		}
		if !gauge.IsKind(err, gauge.KindConflict) {
			return Result{}, err
		}
	}
	return Result{}, gauge.Errorf(gauge.KindConflict, "others keep changing the fleet, nothing was applied")
}

func (a *Applier) latestState(ctx context.Context) (gauge.State, error) {
	s := a.conf.State()
	if s.Revision == 0 {
		return a.conf.Log.Load(ctx)
	}
	next, err := a.conf.Log.CatchUp(ctx, s)
	if gauge.IsKind(err, gauge.KindNotFound) {
		return a.conf.Log.Load(ctx)
	}
	return next, err
}

// decode decodes all files. The error lists all faults of all files.
func (a *Applier) decode(sub Submission) ([]gauge.Record, error) {
	var faults gauge.Faults
	if sub.ID == "" {
		faults.Add("id", "is missing")
	}
	if sub.Basis < 0 {
		faults.Add("basis", "is %d, must not be negative", sub.Basis)
	}
	if len(sub.Files)+len(sub.Drops) == 0 {
		faults.Add("files", "there is nothing to apply")
	}
	var records []gauge.Record
	fileOf := make(map[gauge.RecordID]string)
	for _, f := range sub.Files {
		got, fs := a.conf.Decoder.Decode(f.Name, f.Text)
		faults = append(faults, fs...)
		for _, r := range got {
			if other, duplicate := fileOf[r.ID()]; duplicate {
				faults = append(faults, gauge.Fault{
					Source: f.Name, Record: r.ID().String(), Field: "name", Reason: "stands in " + other + " too",
				})
			}
			fileOf[r.ID()] = f.Name
		}
		records = append(records, got...)
	}
	for _, id := range sub.Drops {
		records = append(records, gauge.Record{Kind: id.Kind, Name: id.Name, Deleted: true})
	}
	return records, faults.Err()
}

// compare returns the result and the change that the records make on top of a state.
func (a *Applier) compare(s gauge.State, sub Submission, records []gauge.Record) (Result, gauge.Change, error) {
	change := gauge.Change{Revision: s.Revision + 1, Submission: sub.ID}
	res := Result{Revision: s.Revision}
	var conflicts []string
	for _, r := range records {
		old, exists := s.Records[r.ID()]
		if r.Deleted && !exists {
			return res, change, gauge.Errorf(gauge.KindNotFound, "there is no %s to drop", r.ID())
		}
		if exists && !r.Deleted && old.Source == r.Source {
			continue
		}
		if exists && sub.Basis > 0 && old.Revision > sub.Basis {
			conflicts = append(conflicts, fmt.Sprintf("%s was changed by revision %d:\n%s", r.ID(), old.Revision, diff(r.ID(), r.Source, old.Source)))
		}
		r.FirstRevision = old.FirstRevision
		change.Records = append(change.Records, r)
		res.Changed = append(res.Changed, r.ID().String())
		res.Diff += diff(r.ID(), old.Source, r.Source)
	}
	if len(conflicts) > 0 {
		return res, change, gauge.Errorf(gauge.KindConflict, "made for revision %d, but %s", sub.Basis, strings.Join(conflicts, "\n"))
	}
	slices.Sort(res.Changed)
	next, err := s.Apply(change)
	if err != nil {
		return res, change, err
	}
	if err := next.Validate().Err(); err != nil {
		return res, change, err
	}
	if a.conf.Notices != nil {
		res.Notices = a.conf.Notices(next)
	}
	return res, change, nil
}

const contextLines = 3

func diff(id gauge.RecordID, before, after string) string {
	text, err := difflib.GetUnifiedDiffString(difflib.UnifiedDiff{
		A: difflib.SplitLines(before), B: difflib.SplitLines(after),
		FromFile: id.String(), ToFile: id.String(), Context: contextLines,
	})
	if err != nil {
		return ""
	}
	return text
}
