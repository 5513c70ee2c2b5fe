// Package fixed makes property-based tests (pgregory.net/rapid) reproducible: they run with the
// same seed and the same number of checks each time, so that a result changes only with the code. A
// flag given on the command line takes precedence.
package fixed

import (
	"flag"
	"os"
)

// Flags holds the values of rapid's flags; an empty one keeps rapid's default.
type Flags struct {
	Checks string // number of test cases per property
	Steps  string // average number of steps of a state machine test
}

// Main sets rapid's flags, runs the tests of a package and exits. The package's TestMain calls it.
func (r Flags) Main(tests interface{ Run() int }) {
	flag.Parse()
	r.setFlags()
	os.Exit(tests.Run())
}

// setFlags sets those of rapid's flags that the command line doesn't give.
func (r Flags) setFlags() {
	given := make(map[string]bool)
	flag.Visit(func(f *flag.Flag) { given[f.Name] = true })
	for name, value := range map[string]string{
		"rapid.seed": "1", "rapid.checks": r.Checks, "rapid.steps": r.Steps, "rapid.nofailfile": "true",
	} {
		if value == "" || given[name] {
			continue
		}
		if err := flag.Set(name, value); err != nil {
			panic(err) // rapid has renamed or removed the flag
		}
	}
}
