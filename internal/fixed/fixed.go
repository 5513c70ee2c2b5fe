// Package fixed makes random tests repeatable: the same seed and the same
// number of checks on every run, so that a test's verdict never changes by
// itself. A flag given on the command line goes first.
package fixed

import (
	"flag"
	"os"
)

// Run is how a random test runs.
type Run struct {
	Checks string
	Steps  string // of a state machine
}

// Main runs the tests of a package so, in its TestMain.
func (r Run) Main(tests interface{ Run() int }) {
	flag.Parse()
	r.set()
	os.Exit(tests.Run())
}

// set sets rapid's flags.
func (r Run) set() {
	given := make(map[string]bool)
	flag.Visit(func(f *flag.Flag) { given[f.Name] = true })
	for name, value := range map[string]string{
		"rapid.seed": "1", "rapid.checks": r.Checks, "rapid.steps": r.Steps, "rapid.nofailfile": "true",
	} {
		if value == "" || given[name] {
			continue
		}
		if err := flag.Set(name, value); err != nil {
			panic(err) // the library has renamed its flag
		}
	}
}
