package main

import (
	"context"
	"fmt"
	"strings"
)

const usageDocs = `Print the reference of all commands and settings as Markdown.

docs/SETTINGS.md is this output; a test keeps it true.`

func newDocs() *command {
	return &command{
		sub: newSubcommand("docs", usageDocs),
		run: func(context.Context) error {
			fmt.Print(reference())
			return nil
		},
	}
}

// reference returns the Markdown reference of all commands and their settings.
func reference() string {
	var b strings.Builder
	b.WriteString("# Commands and settings\n\nMade by `sapphiregauge docs`.\n")
	for _, c := range allCommands() {
		fmt.Fprintf(&b, "\n## %s\n\n%s\n", c.sub.Name, strings.TrimSpace(c.sub.Description+"\n"+c.sub.AdditionalHelpPrepend))
		for _, f := range c.sub.Flags {
			fmt.Fprintf(&b, "\n- `--%s`: %s", f.LongName, f.Description)
		}
		if len(c.sub.Flags) > 0 {
			b.WriteString("\n")
		}
		if len(c.settings) > 0 {
			b.WriteString("\n" + c.settings.Reference())
		}
	}
	return b.String()
}
