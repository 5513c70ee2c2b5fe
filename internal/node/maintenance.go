package node

import (
	"context"
	"strconv"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	gauge "sapphiregauge"
	"sapphiregauge/internal/waves"
)

// tableWaves is the table of maintenance waves and of the machines in them that have been ordered.
const tableWaves = "waves"

// waveRow is the stored state of a wave.
type waveRow struct {
	Ordered   []string `msgpack:"b"`
	Done      bool     `msgpack:"d"`
	FirstSeen int64    `msgpack:"s,omitempty"` // when the wave was first seen, by the table's clock in milliseconds; 0: not known
}

// addNewWaves passes new waves to the keeper, with their stored state. It reports whether all could
// be read.
func (f *fleet) addNewWaves(ctx context.Context) bool {
	f.node.mu.Lock()
	var added []gauge.UpkeepOrder
	for _, w := range f.node.waves {
		if !f.keeper.Knows(w.Wave) {
			added = append(added, w)
		}
	}
	f.node.mu.Unlock()
	for _, w := range added {
		row, err := f.readWave(ctx, w.Wave)
		if err != nil {
			f.node.conf.Logs.Info("wave not read", "wave", w.Wave, "error", err.Error())
			return false
		}
		past := waves.Past{Begun: row.Ordered, Done: row.Done}
		if row.FirstSeen > 0 {
			past.Age = max(0, time.Duration(f.node.tableClock()-row.FirstSeen)*time.Millisecond)
		}
		f.keeper.Order(w, past, f.node.conf.Now())
		f.unsaved[w.Wave] = f.unsaved[w.Wave] || row.FirstSeen == 0 && !row.Done
		f.node.conf.Logs.Info("wave added", "wave", w.Wave, "machines", len(w.Machines), "begun", len(row.Ordered), "done", row.Done)
	}
	return true
}

func waveKey(number int64) gauge.RowKey {
	return gauge.RowKey{Table: tableWaves, Key: strconv.FormatInt(number, 10)}
}

func (f *fleet) readWave(ctx context.Context, number int64) (waveRow, error) {
	var row waveRow
	key := waveKey(number)
	rows, _, err := f.node.conf.Store.Range(ctx, key.Table, key.Part, key.Key, key.Key+"\x00")
	if err != nil || len(rows) == 0 {
		return row, err
	}
	return row, msgpack.Unmarshal(rows[0].Value, &row)
}

// requestDraining asks pool owners to drain workers.
func (f *fleet) requestDraining(ctx context.Context, asks []waves.Ask) {
	for _, a := range asks {
		f.calls.start("empty "+a.Machine, func() func() {
			empty, err := f.node.drainWorker(ctx, drainCall{Pool: a.Pool, Worker: a.Worker, Force: a.Force})
			if err != nil {
				f.node.conf.Logs.Info("machine not emptied", "machine", a.Machine, "pool", a.Pool, "error", err.Error())
			}
			return func() { f.keeper.Answered(a, empty && err == nil) }
		})
	}
}

// orderMaintenance orders the maintenance of machines, each only while the lease is certain to
// last.
func (f *fleet) orderMaintenance(ctx context.Context, begins []waves.Begin) {
	duty := gauge.Duty{Holder: f.node.conf.Name, Fence: f.held.token}
	for _, b := range begins {
		f.calls.start("upkeep "+b.Machine, func() func() {
			var err error = gauge.Fail(gauge.KindOutage, "the lease has ended")
			if f.allowOrder(b.Machine) {
				err = f.node.conf.Machines.Upkeep(ctx, duty, b.Machine, b.Wave)
			}
			return func() { f.recordMaintenance(b, err) }
		})
	}
}

// recordMaintenance applies the outcome of an order.
func (f *fleet) recordMaintenance(b waves.Begin, err error) {
	if gauge.Is(err, gauge.KindFenced) {
		f.held.lease.Lose()
		f.node.conf.Logs.Info("lease lost", "pool", "fleet", "fence", f.held.token, "reason", "a machine has seen a newer fencing token")
		return
	}
	f.keeper.Begun(b, err, f.node.conf.Now())
	f.unsaved[b.Wave] = true
}

// saveWave writes the progress of a wave, for the operator and for the next holder, and reports
// whether it succeeded.
func (f *fleet) saveWave(ctx context.Context, number int64, done bool) bool {
	firstSeen := f.node.tableClock() - f.keeper.Age(number, f.node.conf.Now()).Milliseconds()
	value, err := msgpack.Marshal(&waveRow{Ordered: f.keeper.Lists(number), Done: done, FirstSeen: firstSeen})
	if err != nil {
		f.node.conf.Logs.Error(err, "wave not saved", "wave", number)
		return false
	}
	txn := gauge.PartTxn{Writes: []gauge.RowWrite{{RowKey: waveKey(number), Value: value}}}
	if done || !f.statusWritten[number] {
		status, err := f.node.conf.Words.WaveStatus(number, done)
		if err != nil {
			f.node.conf.Logs.Error(err, "wave not saved", "wave", number)
			return false
		}
		txn.Writes = append(txn.Writes, status)
	}
	ok := f.commit(ctx, txn)
	f.statusWritten[number] = f.statusWritten[number] || ok
	return ok
}

func (f *fleet) completeWave(ctx context.Context, number int64) {
	if f.saveWave(ctx, number, true) {
		f.keeper.Completed(number)
	}
}
