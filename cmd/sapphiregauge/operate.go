package main

import (
	"os"

	"github.com/integrii/flaggy"
	"github.com/rotisserie/eris"

	"sapphiregauge/internal/apply"
	"sapphiregauge/internal/conf"
	"sapphiregauge/pkg/client"
)

// target is the entry that an operators' command sends its calls to, and the operators' key.
type target struct {
	addr, key string
}

func newTarget() *target { return &target{addr: "127.0.0.1:8080"} }

func (t *target) settings() conf.List {
	return conf.List{
		{Flag: "entry", Help: "ip:port of any entry", Dest: &t.addr, Check: conf.Addr(&t.addr)},
		{Flag: "opkey", Help: "the operators' key", Dest: &t.key, Check: conf.SecretKey(&t.key)},
	}
}

func (t *target) client() *client.Client {
	return client.New(client.Config{Addr: t.addr, Key: t.key})
}

// files holds the positional file arguments. flaggy has no variadic arguments, so a fixed number of
// positions is declared, of which only the first is shown in the help.
type files struct {
	names [maxFiles]string
}

const maxFiles = 32

func (f *files) bind(sc *flaggy.Subcommand) {
	for i := range f.names {
		sc.AddPositionalValue(&f.names[i], "FILE", i+1, i == 0, "record files, up to 32")
		if i > 0 {
			sc.PositionalFlags[i].Hidden = true
		}
	}
}

func (f *files) read() ([]apply.File, error) {
	var out []apply.File
	for _, name := range f.names {
		if name == "" {
			continue
		}
		text, err := os.ReadFile(name) //nolint:gosec // the operator names the files to read
		if err != nil {
			return nil, eris.Wrap(err, "read records")
		}
		out = append(out, apply.File{Name: name, Text: string(text)})
	}
	return out, nil
}
