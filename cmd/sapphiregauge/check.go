package main

import (
	"context"
	"fmt"

	gauge "sapphiregauge"
	"sapphiregauge/internal/schema"
)

const usageCheck = `Check record files without an entry.

Every fault is named with its file, record and field. What a record refers to is
looked up among the given files; leave it out with --alone, if the rest is in
force already.`

func newCheck() *command {
	var f files
	var alone bool
	c := &command{sub: newSubcommand("check", usageCheck)}
	f.bind(c.sub)
	c.sub.Bool(&alone, "", "alone", "don't check what records refer to")
	c.run = func(context.Context) error { return runCheck(&f, alone) }
	return c
}

func runCheck(f *files, alone bool) error {
	read, err := f.read()
	if err != nil {
		return err
	}
	d := schema.New()
	state := gauge.State{Records: make(map[gauge.RecordID]gauge.Record)}
	var faults gauge.Faults
	for _, file := range read {
		records, fs := d.Decode(file.Name, file.Text)
		faults = append(faults, fs...)
		for _, r := range records {
			state.Records[r.ID()] = r
		}
	}
	if !alone {
		faults = append(faults, state.Validate()...)
	}
	if err := faults.Err(); err != nil {
		for _, fault := range faults {
			fmt.Println(fault)
		}
		return gauge.Errorf(gauge.KindInvalid, "%d faults", len(faults))
	}
	fmt.Printf("%d records, no fault\n", len(state.Records))
	return nil
}
