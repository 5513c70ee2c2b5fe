// Command sapphiregauge manages the capacity and maintenance of fleets of
// mixed hosts. `sapphiregauge entry` is the process that serves; the other
// commands are the operators' tools.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"strings"
	"syscall"

	"github.com/integrii/flaggy"
	"github.com/rotisserie/eris"

	gauge "sapphiregauge"
	"sapphiregauge/internal/conf"
)

const usageMain = `sapphiregauge manages the capacity and maintenance of a fleet of mixed hosts.

Try "sapphiregauge local" first: one process with an embedded platform and a few
workers. "sapphiregauge COMMAND --help" tells about each command. Every setting
is a flag and an environment variable; the flag goes first.

Exit codes: 0 done, 1 failed, 2 wrong use, 3 bad input, 4 conflict with another
change, 5 the other side can't be reached.`

// version is set by the linker for a release.
var version = "devel"

// command is one subcommand: its parser, its settings and its function.
type command struct {
	sub      *flaggy.Subcommand
	settings conf.List
	run      func(ctx context.Context) error
}

func main() { os.Exit(run(os.Args[1:])) }

func run(args []string) int {
	parser := flaggy.NewParser("sapphiregauge")
	parser.Description = usageMain
	parser.Version = version
	commands := allCommands()
	for _, c := range commands {
		c.settings.Bind(c.sub)
		parser.AttachSubcommand(c.sub, 1)
	}
	if err := parser.ParseArgs(args); err != nil {
		fmt.Fprintln(os.Stderr, "sapphiregauge:", err)
		return exitUsage
	}
	for _, c := range commands {
		if c.sub.Used {
			return exitCode(loadAndRun(c))
		}
	}
	parser.ShowHelp()
	return exitUsage
}

func allCommands() []*command {
	return []*command{
		newHost(), newEntry(), newLocal(), newCheck(), newApply(), newGet(), newWave(),
		newWatch(), newReport(), newKey(), newDocs(),
	}
}

func loadAndRun(c *command) error {
	if err := c.settings.Load(os.LookupEnv); err != nil {
		return eris.Wrap(err, "settings")
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	return c.run(ctx)
}

// Exit codes, as documented in usageMain.
const (
	exitDone = iota
	exitFailed
	exitUsage
	exitInput
	exitConflict
	exitOutage
)

func exitCode(err error) int {
	if err == nil {
		return exitDone
	}
	fmt.Fprintln(os.Stderr, "sapphiregauge:", err)
	switch gauge.KindOf(err) {
	case gauge.KindInvalid, gauge.KindTooLarge, gauge.KindImpossible:
		return exitInput
	case gauge.KindConflict:
		return exitConflict
	case gauge.KindOutage, gauge.KindUnknown:
		return exitOutage
	default:
		return exitFailed
	}
}

// newSubcommand makes a subcommand. The first paragraph of its usage is shown in the list of
// commands, all of it in the subcommand's own help.
func newSubcommand(name, usage string) *flaggy.Subcommand {
	s := flaggy.NewSubcommand(name)
	first, rest, _ := strings.Cut(usage, "\n\n")
	s.Description = first
	s.AdditionalHelpPrepend = "\n" + rest
	return s
}
