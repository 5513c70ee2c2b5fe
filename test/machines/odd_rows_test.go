package machines_test

import (
	"fmt"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"sapphiregauge/platform"
)

// oddWorkerRows are rows that another writer may leave among those of the workers: each is a row of a
// worker of the pool, but for one field.
func oddWorkerRows() map[string]string {
	const maxInt64 = "9223372036854775807"
	row := func(address, capacity, more string) string {
		return fmt.Sprintf(`{"born":1700000000000,"service":%q,"address":%s,"zone":"z0","state":"ready","capacity":%s,"labels":["a"]%s}`, poolName, address, capacity, more)
	}
	const address, capacity = `"127.0.0.1:9"`, `{"cpu":4000,"memMb":8000}`
	const depth = 30_000 // as many brackets as a row takes
	nested := strings.Repeat("[", depth) + strings.Repeat("]", depth)
	return map[string]string{
		"nested":         nested,
		"nested-field":   row(address, capacity, `,"more":`+nested),
		"nested-labels":  `{"labels":` + nested + `}`,
		"unclosed":       strings.Repeat(`{"a":`, depth/3),
		"float":          row(address, `{"cpu":1e400}`, ""),
		"beyond-int":     row(address, `{"cpu":92233720368547758070}`, ""),
		"max-cpu":        row(address, `{"cpu":`+maxInt64+`}`, ""),
		"max-cpu-again":  row(address, `{"cpu":`+maxInt64+`}`, ""),
		"max-memory":     row(address, `{"cpu":4000,"memMb":`+maxInt64+`,"gpus":`+maxInt64+`}`, ""),
		"max-remaining":  row(address, capacity, `,"remainingMs":`+maxInt64),
		"min-remaining":  row(address, capacity, `,"remainingMs":-`+maxInt64),
		"huge-born":      strings.Replace(row(address, capacity, ""), "1700000000000", "17e400", 1),
		"port-65536":     row(`"127.0.0.1:65536"`, capacity, ""),
		"port-negative":  row(`"127.0.0.1:-1"`, capacity, ""),
		"port-large":     row(`"127.0.0.1:99999999999999999999"`, capacity, ""),
		"port-zero":      row(`"127.0.0.1:0"`, capacity, ""),
		"address-nested": row(nested[:10]+nested[len(nested)-10:], capacity, ""),
		"address-long":   row(`"`+strings.Repeat("1", depth)+`"`, capacity, ""),
	}
}

// Guards against entries that end, or no longer follow the list of workers, because another writer has
// left an odd row there: very deeply nested, with a number too large, or with a port out of range.
func TestOddWorkerRowsStopNoEntry(t *testing.T) {
	t.Parallel()
	workers := platform.TableCodec{}.WorkerTable()
	s := newSite(t, 2, 2)
	s.waitReady()
	for key, value := range oddWorkerRows() {
		s.table.PutBytesIn(workers, "", "odd-"+key, []byte(value))
	}
	assert.Assert(t, s.submit(1, twoSteps(20)))
	s.waitCompleted([]int{1})

	const reported = "first report of worker"
	before := s.countLogged(reported)
	s.machines.Add("m-9", poolName) // listed after the odd rows
	s.waitFor("the new worker is known", func() bool { return s.countLogged(reported) > before })
	assert.Assert(t, s.submit(2, twoSteps(40)))
	s.waitCompleted([]int{2})

	late := s.start("e-late") // reads the whole list
	s.waitReady()
	for _, e := range s.entries {
		if e != late {
			e.kill()
			<-e.done
			e.mesh.Close()
		}
	}
	s.entries = []*entry{late}
	assert.Assert(t, s.submit(3, twoSteps(40)))
	s.waitCompleted([]int{3})
	s.checkNoViolations()
}
