package revlog_test

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"
	"gotest.tools/v3/assert"

	gauge "sapphiregauge"
	"sapphiregauge/internal/flaky"
	"sapphiregauge/internal/follow"
	"sapphiregauge/internal/memdb"
	"sapphiregauge/internal/revlog"
)

func team(name string, quota int) gauge.Record {
	return gauge.Record{Kind: gauge.RecordTeam, Schema: 1, Name: name, Team: &gauge.Team{Quota: quota}}
}

func quota(s gauge.State, name string) int {
	if t := s.Team(name); t != nil {
		return t.Quota
	}
	return 0
}

// append tries until the change is accepted or lost its race; unknown is told
// like a failure.
func appendOnce(l *revlog.Log, basis int64, id string, r gauge.Record) (int64, error) {
	c, err := l.Append(context.Background(), basis, gauge.Change{Submission: id, Records: []gauge.Record{r}})
	return c.Revision, err
}

// Symptom: a change is in force twice, half, or not although it was accepted.
// Sequence: two operators change records; the first meets each fault at each of
// its calls, and tries again under the same submission.
// Cause: an answer that is lost after the write took effect, or a write that
// arrives late.
func TestEachAcceptedChangeIsOneRevision(t *testing.T) {
	const calls = 6
	for _, fault := range flaky.Faults() {
		for at := range calls {
			t.Run(fmt.Sprintf("%s/%d", fault, at), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) { oneRevision(t, fault, at) })
			})
		}
	}
}

// commitCall is the call of an append that commits; the one before reads the
// head.
const commitCall = 1

func oneRevision(t *testing.T, fault flaky.Fault, at int) {
	ctx := context.Background()
	db := memdb.New()
	sure := revlog.New(db)
	l := revlog.New(flaky.New(flaky.Config{Table: db, At: at, Fault: fault, Clock: time.Now}))
	first, err := appendOnce(l, 0, "first", team("a", 1))
	told := err == nil
	if fault == flaky.Lost && at == commitCall {
		assert.NilError(t, err, "the lost answer was not read back")
	}
	// Another operator's change comes between.
	state, loadErr := sure.Load(ctx)
	assert.NilError(t, loadErr)
	_, otherErr := appendOnce(sure, state.Revision, "other", team("b", 2))
	assert.NilError(t, otherErr)
	time.Sleep(2 * flaky.OutageFor) // what is late arrives now

	rev, subErr := sure.Submitted(ctx, "first")
	assert.NilError(t, subErr)
	if told {
		assert.Equal(t, rev, first, "an accepted change is gone")
	}
	if rev == 0 {
		state, loadErr = sure.Load(ctx)
		assert.NilError(t, loadErr)
		assert.Equal(t, quota(state, "a"), 0, "a change that failed is half there")
		_, err = appendOnce(sure, state.Revision, "first", team("a", 1))
		assert.NilError(t, err)
	}
	state, loadErr = sure.Load(ctx)
	assert.NilError(t, loadErr)
	assert.Equal(t, state.Revision, int64(2))
	assert.Equal(t, quota(state, "a"), 1)
	assert.Equal(t, quota(state, "b"), 2)
	for r := range state.Revision {
		_, err := sure.Change(ctx, r+1)
		assert.NilError(t, err)
	}
}

// Two operators race on one basis: one gets a conflict.
func TestRacersOnOneBasis(t *testing.T) {
	db := memdb.New()
	l := revlog.New(db)
	_, err := appendOnce(l, 0, "x", team("a", 1))
	assert.NilError(t, err)
	_, err = appendOnce(l, 0, "y", team("a", 2))
	assert.Equal(t, gauge.KindOf(err), gauge.KindConflict)
}

// racing is a table on which something else is committed just before the first
// commit.
type racing struct {
	gauge.Table
	before func()
}

func (r *racing) Commit(ctx context.Context, t gauge.Txn) error {
	if r.before != nil {
		before := r.before
		r.before = nil
		before()
	}
	return r.Table.Commit(ctx, t)
}

// Symptom: of two accepted changes one is gone.
// Sequence: both read the head, then both commit.
// Cause: a commit that does not check the head.
func TestRacersBetweenReadAndCommit(t *testing.T) {
	db := memdb.New()
	sure := revlog.New(db)
	table := &racing{Table: db, before: func() {
		_, err := appendOnce(sure, 0, "other", team("b", 2))
		assert.NilError(t, err)
	}}
	_, err := appendOnce(revlog.New(table), 0, "first", team("a", 1))
	assert.Equal(t, gauge.KindOf(err), gauge.KindConflict)
	c, err := sure.Change(context.Background(), 1)
	assert.NilError(t, err)
	assert.Equal(t, c.Submission, "other")
}

// Symptom: an entry goes back to an older configuration.
// Sequence: it has a revision in force; the table shows an older one (restored
// from a copy), or is out while a peer holds an older one.
// Cause: taking whatever is read.
func TestNeverBackwards(t *testing.T) {
	ctx := context.Background()
	db := memdb.New()
	l := revlog.New(db)
	for i := range 3 {
		_, err := appendOnce(l, int64(i), fmt.Sprint(i), team("a", i+1))
		assert.NilError(t, err)
	}
	var asked gauge.State
	var askErr error
	table := &switched{Table: db}
	f := follow.New(follow.Config{
		Log: revlog.New(table), Clock: time.Now, Logs: logr.Discard(),
		Ask: func(context.Context) (gauge.State, error) { return asked, askErr },
	})
	assert.NilError(t, f.Poll(ctx))
	assert.Equal(t, f.State().Revision, int64(3))

	older := memdb.New()
	_, err := appendOnce(revlog.New(older), 0, "old", team("a", 1))
	assert.NilError(t, err)
	table.Table = older
	assert.NilError(t, f.Poll(ctx))
	assert.Equal(t, quota(f.State(), "a"), 3)

	table.out = true
	asked = gauge.State{Revision: 2}
	assert.NilError(t, f.Poll(ctx))
	assert.Equal(t, f.State().Revision, int64(3))
	asked = gauge.State{Revision: 5}
	assert.NilError(t, f.Poll(ctx))
	assert.Equal(t, f.State().Revision, int64(5))
}

// switched is a table that can be exchanged or taken away.
type switched struct {
	gauge.Table
	out bool
}

func (s *switched) Get(ctx context.Context, key string) (gauge.Row, error) {
	if s.out {
		return gauge.Row{}, gauge.Fail(gauge.KindOutage, "out")
	}
	return s.Table.Get(ctx, key)
}

// A follower that is behind the changes that are kept reads everything anew,
// and rows that change while it reads do no harm.
func TestFollowerFarBehind(t *testing.T) {
	ctx := context.Background()
	db := memdb.New()
	l := revlog.New(db)
	f := follow.New(follow.Config{Log: revlog.New(db), Clock: time.Now, Logs: logr.Discard()})
	_, err := appendOnce(l, 0, "first", team("a", 1))
	assert.NilError(t, err)
	assert.NilError(t, f.Poll(ctx))
	for i := int64(1); i < revlog.Keep+10; i++ {
		_, err := appendOnce(l, i, fmt.Sprint(i), team("a", int(i)))
		assert.NilError(t, err)
	}
	rev, err := l.Submitted(ctx, "first")
	assert.NilError(t, err)
	assert.Equal(t, rev, int64(0), "trimmed with its revision")
	assert.NilError(t, f.Poll(ctx))
	assert.Equal(t, f.State().Revision, int64(revlog.Keep+10))
	assert.Equal(t, quota(f.State(), "a"), revlog.Keep+9)
}
