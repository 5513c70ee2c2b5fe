package main

import (
	"context"
	"fmt"
	"os"

	gauge "sapphiregauge"
	"sapphiregauge/internal/conf"
	"sapphiregauge/internal/local"
	"sapphiregauge/internal/logs"
)

const usageLocal = `Run a whole small site in one process, to try things out.

It has an embedded platform, some workers that echo what they are sent, and one
entry. Nothing is kept when it ends.`

func newLocal() *command {
	http, key, level, workers := "127.0.0.1:8080", "local-operators-key", "info", 16
	limits := defaultResources()
	return &command{
		sub: newSubcommand("local", usageLocal),
		settings: append(conf.List{
			{Flag: "http", Help: "ip:port for callers and operators", Dest: &http, Check: conf.Addr(&http)},
			{Flag: "opkey", Help: "key that operators' commands must carry", Dest: &key, Check: conf.SecretKey(&key)},
			{Flag: "workers", Help: "number of workers", Dest: &workers, Check: func(fs *gauge.Faults, field string) {
				if workers < 1 || workers > 200 {
					fs.Add(field, "is %d, must lie between 1 and 200", workers)
				}
			}},
			{Flag: "level", Help: "log level, info or debug", Dest: &level, Check: conf.OneOf(&level, "info", "debug")},
		}, limits.settings()...),
		run: func(ctx context.Context) error {
			limitHeap(limits.memoryBytes())
			fmt.Printf("entry at http://%s, operators' key %s\n", http, key)
			return local.New(local.Config{
				HTTP: http, Workers: workers, OperatorKey: key, MemoryBytes: limits.memoryBytes(), MaxFiles: limits.files,
				Logs: logs.New(os.Stderr, level == "debug"),
			}).Run(ctx)
		},
	}
}
