// Package fixed makes random tests repeatable: the same seed and the same
// number of checks on every run, so that a test's verdict never changes by
// itself. A flag given on the command line goes first.
package fixed

import "flag"

// Run is how a random test runs.
type Run struct {
	Checks string
	Steps  string // of a state machine
}

// Set sets rapid's flags for the tests of a package; it is called in TestMain,
// after the flags were parsed.
func (r Run) Set() {
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
