package node

import (
	"context"
	"fmt"
	"time"

	gauge "sapphiregauge"
	"sapphiregauge/internal/waves"
)

// addNewWaves passes new waves to the scheduler, with their stored state. It reports whether all
// could be read.
func (f *fleet) addNewWaves(ctx context.Context) bool {
	f.node.mu.Lock()
	var added []gauge.MaintenanceWave
	for _, w := range f.node.waves {
		if !f.scheduler.HasWave(w.Wave) {
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
		past := waves.StoredProgress{Started: row.Ordered, Done: row.Done}
		if row.FirstSeen > 0 {
			past.Age = max(0, time.Duration(f.node.tableClock()-row.FirstSeen)*time.Millisecond)
		}
		f.scheduler.AddWave(w, past, f.node.conf.Now())
		f.unsaved[w.Wave] = f.unsaved[w.Wave] || row.FirstSeen == 0 && !row.Done
		f.node.conf.Logs.Info("wave added", "wave", w.Wave, "machines", len(w.Machines), "begun", len(row.Ordered), "done", row.Done)
	}
	return true
}

func waveKey(key string) gauge.RowKey { return gauge.RowKey{Table: gauge.TableWaves, Key: key} }

func (f *fleet) readWave(ctx context.Context, number int64) (*gauge.WaveRow, error) {
	rows, _, err := f.node.conf.Store.Range(ctx, gauge.TableWaves, "", gauge.WaveKey(number), gauge.WaveKeysEnd(number))
	if err != nil {
		return nil, err
	}
	return gauge.DecodeWave(number, rows)
}

// drainGroup is what one call to drain workers is about.
type drainGroup struct {
	pool  string
	force bool
}

// requestDraining asks pool owners to drain workers, each owner with one call.
func (f *fleet) requestDraining(ctx context.Context, requests []waves.DrainRequest) {
	groups := make(map[drainGroup][]waves.DrainRequest)
	for _, r := range requests {
		g := drainGroup{pool: r.Pool, force: r.Force}
		groups[g] = append(groups[g], r)
	}
	for g, group := range groups {
		f.calls.start(fmt.Sprintf("empty %s force=%t", g.pool, g.force), func() func() {
			call := drainCall{Pool: g.pool, Force: g.force}
			for _, r := range group {
				call.Workers = append(call.Workers, r.Worker)
			}
			drained := f.drainWorkers(ctx, call)
			return func() {
				for _, r := range group {
					f.scheduler.RecordDrainAnswer(r, drained[r.Worker])
				}
			}
		})
	}
}

// drainWorkers has a pool's owner drain workers and returns those on which nothing runs; none if
// the owner doesn't answer.
func (f *fleet) drainWorkers(ctx context.Context, c drainCall) map[string]bool {
	drained, err := f.node.drainWorkers(ctx, c)
	if err != nil {
		f.node.conf.Logs.Info("machines not emptied", "machines", len(c.Workers), "pool", c.Pool, "error", err.Error())
	}
	return drained
}

// orderMaintenance orders the maintenance of machines, each only within orderWindow after the last
// renewal of the lease.
func (f *fleet) orderMaintenance(ctx context.Context, starts []waves.MaintenanceStart) {
	issuer := gauge.OrderIssuer{Holder: f.node.conf.Name, Fence: f.held.token}
	for _, start := range starts {
		f.calls.start(maintenanceCall(start.Machine), func() func() {
			var err error = gauge.Errorf(gauge.KindOutage, "the lease has ended")
			if f.allowOrder(start.Machine) {
				err = f.node.conf.Machines.StartMaintenance(ctx, issuer, start.Machine, start.Wave)
			}
			return func() { f.recordMaintenance(start, err) }
		})
	}
}

// recordMaintenance applies the outcome of an order.
func (f *fleet) recordMaintenance(start waves.MaintenanceStart, err error) {
	if gauge.IsKind(err, gauge.KindFenced) {
		f.held.lease.MarkLost()
		f.node.conf.Logs.Info("lease lost", "pool", "fleet", "fence", f.held.token, "reason", "a machine has seen a newer fencing token")
		return
	}
	f.scheduler.RecordStart(start, err, f.node.conf.Now())
	f.unsaved[start.Wave] = true
}

// saveWave writes the progress of a wave, for the operator and for the next holder, and reports
// whether it succeeded.
func (f *fleet) saveWave(ctx context.Context, number int64, done bool) bool {
	firstSeen := f.node.tableClock() - f.scheduler.WaveAge(number, f.node.conf.Now()).Milliseconds()
	row := gauge.WaveRow{Done: done, FirstSeen: firstSeen}
	value, err := row.Encode()
	if err != nil {
		f.node.conf.Logs.Error(err, "wave not saved", "wave", number)
		return false
	}
	txn := gauge.PartitionTxn{Writes: []gauge.RowWrite{{RowKey: waveKey(gauge.WaveKey(number)), Value: value}}}
	sizes, err := f.addWaveParts(&txn, number)
	if err != nil {
		f.node.conf.Logs.Error(err, "wave not saved", "wave", number)
		return false
	}
	if done || !f.statusWritten[number] {
		status, err := f.node.conf.Codec.EncodeWaveStatus(number, done)
		if err != nil {
			f.node.conf.Logs.Error(err, "wave not saved", "wave", number)
			return false
		}
		txn.Writes = append(txn.Writes, status)
	}
	if !f.commit(ctx, txn) {
		return false
	}
	f.statusWritten[number], f.wavePartSizes[number] = true, sizes
	return true
}

// addWaveParts adds the parts of a wave that have grown since they were written by this holder. It
// returns the number of machines in each.
func (f *fleet) addWaveParts(txn *gauge.PartitionTxn, number int64) (map[int]int, error) {
	sizes := make(map[int]int)
	for i, part := range gauge.DivideWave(f.scheduler.StartedMachines(number)) {
		sizes[i] = len(part.Ordered)
		if sizes[i] == f.wavePartSizes[number][i] {
			continue
		}
		value, err := part.Encode()
		if err != nil {
			return nil, err
		}
		txn.Writes = append(txn.Writes, gauge.RowWrite{RowKey: waveKey(gauge.WavePartKey(number, i)), Value: value})
	}
	return sizes, nil
}

func (f *fleet) completeWave(ctx context.Context, number int64) {
	if f.saveWave(ctx, number, true) {
		f.scheduler.MarkCompleted(number)
	}
}
