// Command standin3 plays the cases of the third review: it starts the project's own hosts as separate
// processes, serves them with stand-ins of the platform and of workers, and judges what these see.
//
//	standin3 CASE RECORD
//
// It runs in the root of the repository, after the build of the deploy file. It exits with 1 if the
// rule was broken, 0 if it held, and 2 if the case couldn't run. With TROUBLE=0 in the environment the
// case runs without its disruption.
package main

import (
	"fmt"
	"os"
	"time"
)

const (
	exitHeld    = 0
	exitBroken  = 1
	exitNotRun  = 2
	argsWanted  = 3
	caseTimeout = 115 * time.Second
)

// verdict is the outcome of a case.
type verdict struct {
	broken  bool
	summary string
}

// caseFunc plays one case.
type caseFunc func(s *site) (verdict, error)

// cases lists the cases by name.
func cases() map[string]caseFunc {
	return map[string]caseFunc{
		"ids":  playIDs,
		"gone": playGone,
	}
}

func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) != argsWanted {
		fmt.Fprintln(os.Stderr, "usage: standin3 CASE RECORD")
		return exitNotRun
	}
	play := cases()[os.Args[1]]
	if play == nil {
		fmt.Fprintln(os.Stderr, "no such case:", os.Args[1])
		return exitNotRun
	}
	rec, err := newRecord(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer rec.close()
	s := newSite(rec, os.Getenv("TROUBLE") != "0")
	timer := time.AfterFunc(caseTimeout, func() {
		rec.printf("the case takes too long")
		s.close()
		os.Exit(exitNotRun)
	})
	defer timer.Stop()
	defer s.close()
	v, err := play(s)
	if err != nil {
		rec.printf("not run: %v", err)
		fmt.Fprintln(os.Stderr, "not run:", err)
		return exitNotRun
	}
	rec.printf("RESULT broken=%t trouble=%t: %s", v.broken, s.trouble, v.summary)
	fmt.Printf("broken=%t trouble=%t: %s\n", v.broken, s.trouble, v.summary)
	if v.broken {
		return exitBroken
	}
	return exitHeld
}
