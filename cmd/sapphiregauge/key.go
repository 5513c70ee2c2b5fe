package main

import (
	"context"
	"fmt"

	"sapphiregauge/pkg/client"
)

const usageKey = `Print a new idempotency key.

A request that is asynchronous or not repeatable needs one, the same each time
it is sent again. It is a UUID of version 7: the time in it bounds how long the
request's claim is kept.`

func newKey() *command {
	return &command{
		sub: newSubcommand("key", usageKey),
		run: func(context.Context) error {
			fmt.Println(client.NewKey())
			return nil
		},
	}
}
