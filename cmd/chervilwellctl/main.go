// Command chervilwellctl checks, compares and renders catalogues, and asks a daemon what it does.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/chervilwell/chervilwell/internal/ctl"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	os.Exit(ctl.Run(ctx, os.Args[1:], os.Stdout, os.Stderr))
}
