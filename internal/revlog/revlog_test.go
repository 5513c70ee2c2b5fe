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

// appendOnce appends a change with one record and returns its revision.
func appendOnce(l *revlog.Log, basis int64, id string, r gauge.Record) (int64, error) {
	c, err := l.Append(context.Background(), basis, gauge.Change{Submission: id, Records: []gauge.Record{r}})
	return c.Revision, err
}

// Guards against a change that is in force twice, in part, or not at all although it was
// accepted. Two operators change records; the first meets each fault at each of its calls and
// tries again with the same submission. An answer may be lost after the write took effect, or
// the write may arrive late.
func TestEachAcceptedChangeIsOneRevision(t *testing.T) {
	const calls = 6
	for _, fault := range flaky.Faults() {
		for at := range calls {
			t.Run(fmt.Sprintf("%s/%d", fault, at), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) { checkOneRevision(t, fault, at) })
			})
		}
	}
}

// commitCall is the index of the call in an append that commits; the one before reads the head.
const commitCall = 1

func checkOneRevision(t *testing.T, fault flaky.Fault, at int) {
	ctx := context.Background()
	db := memdb.New()
	reliable := revlog.New(db)
	l := revlog.New(flaky.New(flaky.Config{Table: db, FailAt: at, Fault: fault, Clock: time.Now}))
	first, err := appendOnce(l, 0, "first", team("a", 1))
	accepted := err == nil
	if fault == flaky.ResponseLost && at == commitCall {
		assert.NilError(t, err, "the lost answer was not read back")
	}
	// Another operator's change is accepted in between.
	state, loadErr := reliable.Load(ctx)
	assert.NilError(t, loadErr)
	_, otherErr := appendOnce(reliable, state.Revision, "other", team("b", 2))
	assert.NilError(t, otherErr)
	time.Sleep(2 * flaky.OutageDuration) // delayed writes arrive now

	rev, lookupErr := reliable.SubmissionRevision(ctx, "first")
	assert.NilError(t, lookupErr)
	if accepted {
		assert.Equal(t, rev, first, "an accepted change is lost")
	}
	if rev == 0 {
		state, loadErr = reliable.Load(ctx)
		assert.NilError(t, loadErr)
		assert.Equal(t, quota(state, "a"), 0, "a failed change is stored in part")
		_, err = appendOnce(reliable, state.Revision, "first", team("a", 1))
		assert.NilError(t, err)
	}
	state, loadErr = reliable.Load(ctx)
	assert.NilError(t, loadErr)
	assert.Equal(t, state.Revision, int64(2))
	assert.Equal(t, quota(state, "a"), 1)
	assert.Equal(t, quota(state, "b"), 2)
	for r := range state.Revision {
		_, err := reliable.Change(ctx, r+1)
		assert.NilError(t, err)
	}
}

// If two operators make a change on the same basis, one gets a conflict.
func TestChangesOnSameBasisConflict(t *testing.T) {
	db := memdb.New()
	l := revlog.New(db)
	_, err := appendOnce(l, 0, "x", team("a", 1))
	assert.NilError(t, err)
	_, err = appendOnce(l, 0, "y", team("a", 2))
	assert.Equal(t, gauge.KindOf(err), gauge.KindConflict)
}

// hookedTable is a table that calls a function just before the first commit.
type hookedTable struct {
	gauge.Table
	beforeCommit func()
}

func (h *hookedTable) Commit(ctx context.Context, t gauge.Txn) error {
	if h.beforeCommit != nil {
		beforeCommit := h.beforeCommit
		h.beforeCommit = nil
		beforeCommit()
	}
	return h.Table.Commit(ctx, t)
}

// Guards against the loss of one of two accepted changes: both read the head, then both commit,
// and the commit doesn't check the head.
func TestChangeBetweenReadAndCommitConflicts(t *testing.T) {
	db := memdb.New()
	reliable := revlog.New(db)
	table := &hookedTable{Table: db, beforeCommit: func() {
		_, err := appendOnce(reliable, 0, "other", team("b", 2))
		assert.NilError(t, err)
	}}
	_, err := appendOnce(revlog.New(table), 0, "first", team("a", 1))
	assert.Equal(t, gauge.KindOf(err), gauge.KindConflict)
	c, err := reliable.Change(context.Background(), 1)
	assert.NilError(t, err)
	assert.Equal(t, c.Submission, "other")
}

// Guards against an entry that returns to an older configuration. It has a revision in force; the
// table holds an older one (restored from a backup), or is unreachable while a peer has an older
// one, and the entry adopts whatever it reads.
func TestFollowerNeverAdoptsOlderRevision(t *testing.T) {
	ctx := context.Background()
	db := memdb.New()
	l := revlog.New(db)
	for i := range 3 {
		_, err := appendOnce(l, int64(i), fmt.Sprint(i), team("a", i+1))
		assert.NilError(t, err)
	}
	var peerState gauge.State
	var peerErr error
	table := &switchableTable{Table: db}
	f := follow.New(follow.Config{
		Log: revlog.New(table), Clock: time.Now, Logs: logr.Discard(),
		FetchFromPeers: func(context.Context) (gauge.State, error) { return peerState, peerErr },
	})
	assert.NilError(t, f.Poll(ctx))
	assert.Equal(t, f.State().Revision, int64(3))

	older := memdb.New()
	_, err := appendOnce(revlog.New(older), 0, "old", team("a", 1))
	assert.NilError(t, err)
	table.Table = older
	assert.NilError(t, f.Poll(ctx))
	assert.Equal(t, quota(f.State(), "a"), 3)

	table.unreachable = true
	peerState = gauge.State{Revision: 2}
	assert.NilError(t, f.Poll(ctx))
	assert.Equal(t, f.State().Revision, int64(3))
	peerState = gauge.State{Revision: 5}
	assert.NilError(t, f.Poll(ctx))
	assert.Equal(t, f.State().Revision, int64(5))
}

// switchableTable is a table that can be replaced or made unreachable.
type switchableTable struct {
	gauge.Table
	unreachable bool
}

func (s *switchableTable) Get(ctx context.Context, key string) (gauge.Row, error) {
	if s.unreachable {
		return gauge.Row{}, gauge.Errorf(gauge.KindOutage, "out")
	}
	return s.Table.Get(ctx, key)
}

// A follower that is behind the oldest retained change loads the whole state again, also if rows
// change while it reads them.
func TestFollowerLoadsStateWhenChangesAreTrimmed(t *testing.T) {
	ctx := context.Background()
	db := memdb.New()
	l := revlog.New(db)
	f := follow.New(follow.Config{Log: revlog.New(db), Clock: time.Now, Logs: logr.Discard()})
	_, err := appendOnce(l, 0, "first", team("a", 1))
	assert.NilError(t, err)
	assert.NilError(t, f.Poll(ctx))
	for i := int64(1); i < revlog.RetainedRevisions+10; i++ {
		_, err := appendOnce(l, i, fmt.Sprint(i), team("a", int(i)))
		assert.NilError(t, err)
	}
	rev, err := l.SubmissionRevision(ctx, "first")
	assert.NilError(t, err)
	assert.Equal(t, rev, int64(0), "trimmed with its revision")
	assert.NilError(t, f.Poll(ctx))
	assert.Equal(t, f.State().Revision, int64(revlog.RetainedRevisions+10))
	assert.Equal(t, quota(f.State(), "a"), revlog.RetainedRevisions+9)
}
