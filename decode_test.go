package sapphiregauge_test

import (
	"testing"

	gauge "sapphiregauge"
)

// Rows of the table may have been written by another program or be damaged in transit: whatever
// they contain, decoding them must return a value or an error. The seeds run with the tests; go
// test -fuzz searches for more.

func addSeeds(f *testing.F, good ...[]byte) {
	f.Helper()
	for _, b := range good {
		f.Add(b)
		f.Add(b[:len(b)/2])
	}
	for _, b := range []string{"", "\x00", "\xc0", "\xff\xff\xff\xff", "\xdf\xff\xff\xff\xff", "\xdd\xff\xff\xff\xff", "{}", "null"} {
		f.Add([]byte(b))
	}
}

func FuzzDecodeLeaseRow(f *testing.F) {
	row := gauge.LeaseRow{Holder: "e/1", Addr: "10.0.0.1:1", Workers: []string{"w"}, OwnOrders: map[string]int64{"m": 1}, OrdersAnnounced: true}
	b, err := row.Encode()
	if err != nil {
		f.Fatal(err)
	}
	addSeeds(f, b)
	f.Fuzz(func(_ *testing.T, b []byte) { _, _ = gauge.DecodeLeaseRow(b) })
}

func FuzzDecodeEntryRow(f *testing.F) {
	row := gauge.EntryRow{Addr: "10.0.0.1:1", Capacity: 0.4}
	b, err := row.Encode()
	if err != nil {
		f.Fatal(err)
	}
	addSeeds(f, b)
	f.Fuzz(func(t *testing.T, b []byte) {
		if row, err := gauge.DecodeEntryRow(b); err == nil && (row.Addr == "" || !(row.Capacity > 0)) {
			t.Errorf("row without address or capacity: %+v", row)
		}
	})
}

func FuzzDecodeJobRow(f *testing.F) {
	row := gauge.JobRow{State: gauge.JobRunning, Pool: "p", Done: map[int][][]byte{0: {{1}}}}
	b, err := row.Encode()
	if err != nil {
		f.Fatal(err)
	}
	addSeeds(f, b)
	f.Fuzz(func(_ *testing.T, b []byte) { _, _ = gauge.DecodeJobRow(b) })
}

func FuzzDecodeJobSpec(f *testing.F) {
	b, err := gauge.EncodeJobSpec(&gauge.JobSpec{Payload: "p", Steps: []gauge.Step{{Count: 2, After: []int{0}}}})
	if err != nil {
		f.Fatal(err)
	}
	addSeeds(f, b)
	f.Fuzz(func(_ *testing.T, b []byte) { _, _ = gauge.DecodeJobSpec(b) })
}

func FuzzDecodeOpenJobMark(f *testing.F) {
	addSeeds(f, gauge.OpenJobMark{Pool: "p", Cancelled: true}.Encode())
	f.Fuzz(func(_ *testing.T, b []byte) { _ = gauge.DecodeOpenJobMark(b) })
}

func FuzzDecodeHandoverRow(f *testing.F) {
	row := gauge.HandoverRow{Workers: []string{"w"}, RemainingLeases: map[string]int64{"w": 1}, OwnOrders: map[string]int64{"m": 1}, OrdersAnnounced: true}
	b, err := row.Encode()
	if err != nil {
		f.Fatal(err)
	}
	addSeeds(f, b)
	f.Fuzz(func(_ *testing.T, b []byte) { _, _ = gauge.DecodeHandoverRow(b) })
}
