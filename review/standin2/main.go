//go:build review

// Command standin2 plays one case of the second review: it starts the project's own program as
// separate processes against small stand-ins of the platform, the workers and the clients, all on
// loopback addresses and the real clock, and judges by what those have seen.
//
// Exit codes: 1, the rule was broken; 0, it held; 2, the case couldn't run.
package main

import (
	"fmt"
	"os"
)

const (
	exitHeld     = 0
	exitBroken   = 1
	exitCouldNot = 2
)

// caseFunc plays one case. It returns what broke the rule; nothing if the rule held.
type caseFunc func(s *site, trouble bool) (broken []string, err error)

func main() {
	os.Exit(run())
}

func run() int {
	cases := map[string]caseFunc{"wide": playWide, "wave": playWave, "schedule": playSchedule, "mix": playMix, "gang": playGang}
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin2 CASE RECORD")
		return exitCouldNot
	}
	rec, err := newRecord(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitCouldNot
	}
	defer rec.close()
	trouble := os.Getenv("TROUBLE") != "0"
	rec.say("case %s, trouble %t", os.Args[1], trouble)
	s, err := newSite(rec)
	if err != nil {
		rec.say("could not run: %s", err)
		return exitCouldNot
	}
	defer s.close()
	broken, err := cases[os.Args[1]](s, trouble)
	if err != nil {
		rec.say("could not run: %s", err)
		return exitCouldNot
	}
	for _, b := range broken {
		rec.say("BROKEN %s", b)
		fmt.Println(b)
	}
	if len(broken) > 0 {
		return exitBroken
	}
	rec.say("the rule held")
	return exitHeld
}
