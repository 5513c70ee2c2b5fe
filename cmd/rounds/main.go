// Command rounds compares versions of the scheduling policies by simulation. A play simulates one
// day of load on a deployment with one source tree and one random seed; an external program, the
// player, carries it out and reports the worth earned and what was deducted from it. The command
// plays the same days with the same seeds on several trees and prints the results side by side. The
// result of a single play is imprecise, since a day's worth differs by 0.1 to 0.4 between
// seeds; the mean of the differences on equal seeds is more precise.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"strconv"
	"strings"

	"github.com/integrii/flaggy"
	"github.com/rotisserie/eris"
)

const usage = `Play days on several trees and compare what they earn.

  rounds --player PATH --site FILE --tree old=DIR --tree new=DIR --days a,b --seeds 1,2,3,4

PATH is the program that plays a day ("PATH run FILE DAY --seed N --report OUT", in
the tree's directory), FILE a deployment. The first tree is the one that the others
are compared with. Processor time isn't charged unless --charged is given: then
plays repeat, mostly. Trees must not change while they are played.

  rounds --log FILE

counts by pool why jobs were late or lost, from the log of all entries of a day.`

// options holds the command's flags.
type options struct {
	player  string
	sites   []string
	trees   []string
	days    string
	seeds   string
	jobs    int
	charged bool
	why     string
	kept    string
	log     string
}

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	err := run(ctx)
	stop()
	if err != nil {
		fmt.Fprintln(os.Stderr, "rounds:", err)
		os.Exit(1)
	}
}

func run(ctx context.Context) error {
	o := options{days: "quiet-1,trouble-1,scale-1,trouble-2,scale-2,trouble-3", seeds: "1,2,3,4", jobs: 4}
	parser := flaggy.NewParser("rounds")
	parser.Description = usage
	parser.String(&o.player, "", "player", "program that plays a day")
	parser.StringSlice(&o.sites, "", "site", "file of a deployment; may be given several times")
	parser.StringSlice(&o.trees, "", "tree", "LABEL=DIR; may be given several times")
	parser.String(&o.days, "", "days", "names or files of days, joined by commas")
	parser.String(&o.seeds, "", "seeds", "numbers, joined by commas")
	parser.Int(&o.jobs, "", "jobs", "plays at a time")
	parser.Bool(&o.charged, "", "charged", "charge processor time")
	parser.String(&o.why, "", "why", "a line for the journal of plays")
	parser.String(&o.kept, "", "kept", "file with outcomes of earlier plays, which aren't played again; new ones are added")
	parser.String(&o.log, "", "log", "log of a day, to count why jobs were late or lost")
	if err := parser.Parse(); err != nil {
		return eris.Wrap(err, "flags")
	}
	if o.log != "" {
		return printReasons(o.log)
	}
	plays, err := o.plays()
	if err != nil {
		return err
	}
	if err := loadOutcomes(o.kept, plays); err != nil {
		return err
	}
	for _, t := range treeDirs(plays) {
		if err := build(ctx, o.player, t); err != nil {
			return err
		}
	}
	playAll(ctx, o, plays)
	fmt.Print(Table(plays))
	return saveOutcomes(o.kept, plays)
}

// printReasons prints, from the log file of a day, why jobs were late or lost.
func printReasons(file string) error {
	f, err := os.Open(file) //nolint:gosec // the caller's choice
	if err != nil {
		return eris.Wrap(err, "log")
	}
	defer func() { _ = f.Close() }()
	counts, err := Reasons(f)
	if err != nil {
		return err
	}
	fmt.Print(ReasonTable(counts))
	return nil
}

// plays lists the plays of every site, day, seed and tree, those on the same day and seed next to
// each other.
func (o *options) plays() ([]*Play, error) {
	if o.player == "" || len(o.sites) == 0 || len(o.trees) == 0 {
		return nil, eris.New("player, site and tree have to be given")
	}
	var list []*Play
	for _, site := range o.sites {
		for _, day := range strings.Split(o.days, ",") {
			for _, text := range strings.Split(o.seeds, ",") {
				seed, err := strconv.ParseInt(text, 10, 64)
				if err != nil {
					return nil, eris.Errorf("seeds: %q is not a number", text)
				}
				for _, tree := range o.trees {
					label, dir, ok := strings.Cut(tree, "=")
					if !ok {
						return nil, eris.Errorf("tree: %q is not LABEL=DIR", tree)
					}
					list = append(list, &Play{Site: site, Day: day, Seed: seed, Tree: label, Dir: dir})
				}
			}
		}
	}
	return list, nil
}
