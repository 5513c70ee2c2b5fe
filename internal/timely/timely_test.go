package timely_test

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	gauge "sapphiregauge"
	"sapphiregauge/internal/timely"
)

// table answers a transaction after a read has been made, if at all; each read takes some
// time on the test's clock.
type table struct {
	gauge.PartitionedTable
	now           time.Duration
	readTime      time.Duration // of a read
	unreachable   bool
	answersCommit bool
	reads         chan gauge.RowKey
}

func (t *table) Range(ctx context.Context, name, part, from, _ string) ([]gauge.PartitionRow, gauge.TablePosition, error) {
	defer func() { t.reads <- gauge.RowKey{Table: name, Partition: part, Key: from} }()
	if t.unreachable {
		<-ctx.Done()
		return nil, gauge.TablePosition{}, gauge.Errorf(gauge.KindOutage, "no answer")
	}
	t.now += t.readTime
	return nil, gauge.TablePosition{}, nil
}

func (t *table) Commit(ctx context.Context, _ gauge.PartitionTxn) (gauge.TablePosition, []gauge.PartitionRow, error) {
	row := <-t.reads
	if t.answersCommit {
		return gauge.TablePosition{Version: int64(len(row.Key))}, nil, nil
	}
	<-ctx.Done()
	return gauge.TablePosition{}, nil, gauge.Errorf(gauge.KindUnknown, "no answer")
}

const (
	fastRead    = 100 * time.Millisecond // on the test's clock
	checkDelay  = time.Millisecond
	readTimeout = 5 * time.Millisecond
	// maxWait is too long to be reached: a test that has to wait for it fails.
	maxWait = time.Hour
)

// Guards against one timeout for lost answers and slow ones alike: while answers are lost,
// submissions take a second each and owners lose their leases; with a shorter timeout every write
// fails while the table is slow.
func TestLateAnswerIsAwaitedOnlyFromSlowTable(t *testing.T) {
	for _, tt := range []struct {
		name        string
		readTime    time.Duration
		unreachable bool
		want        gauge.Kind // empty: the answer came
	}{
		{"lost answer", fastRead / 10, false, gauge.KindUnknown},
		{"slow table", 4 * fastRead, false, ""},
		{"unreachable table", 0, true, gauge.KindUnknown},
	} {
		t.Run(tt.name, func(t *testing.T) {
			store := &table{readTime: tt.readTime, unreachable: tt.unreachable, answersCommit: tt.want == "", reads: make(chan gauge.RowKey, 1)}
			timed := timely.New(timely.Config{
				Store: store, CheckDelay: checkDelay, MaxFastRead: fastRead, ReadTimeout: readTimeout, CommitTimeout: maxWait, Now: func() time.Duration { return store.now },
			})
			row := gauge.RowKey{Table: "jobs", Partition: "sheets", Key: "0000007"}
			position, _, err := timed.Commit(context.Background(), gauge.PartitionTxn{Checks: []gauge.RowCheck{{RowKey: row}}})
			if tt.want == "" {
				assert.NilError(t, err)
				assert.Equal(t, position.Version, int64(7))
				return
			}
			assert.Equal(t, gauge.KindOf(err), tt.want)
		})
	}
}
