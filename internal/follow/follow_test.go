package follow_test

import (
	"context"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"gotest.tools/v3/assert"

	gauge "sapphiregauge"
	"sapphiregauge/internal/follow"
	"sapphiregauge/internal/memdb"
	"sapphiregauge/internal/revlog"
)

// A state that isn't confirmed any more may have been replaced, and must not be taken for the
// newest one.
func TestStateIsCurrentForAsLongAsItIsConfirmed(t *testing.T) {
	now := time.Unix(0, 0)
	unreachable := false
	f := follow.New(follow.Config{
		Log: revlog.New(switchableDB{memdb.New(), &unreachable}), PollInterval: time.Second, Clock: func() time.Time { return now }, Logs: logr.Discard(),
	})
	assert.Assert(t, !f.IsCurrent(), "nothing was read yet")
	assert.NilError(t, f.Poll(t.Context()))
	assert.Assert(t, f.IsCurrent())
	unreachable = true
	for range 3 {
		now = now.Add(time.Second)
		assert.Assert(t, f.Poll(t.Context()) != nil)
		assert.Assert(t, f.IsCurrent(), "a few polls may fail")
	}
	now = now.Add(time.Second)
	assert.Assert(t, f.Poll(t.Context()) != nil)
	assert.Assert(t, !f.IsCurrent())
	unreachable = false
	assert.NilError(t, f.Poll(t.Context()))
	assert.Assert(t, f.IsCurrent())
}

// switchableDB is a table that a test can make unreachable.
type switchableDB struct {
	*memdb.DB
	unreachable *bool
}

func (c switchableDB) Get(ctx context.Context, key string) (gauge.Row, error) {
	if *c.unreachable {
		return gauge.Row{}, gauge.Errorf(gauge.KindOutage, "no answer")
	}
	return c.DB.Get(ctx, key)
}
