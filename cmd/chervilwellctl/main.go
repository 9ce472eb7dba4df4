// Command chervilwellctl validates, compares and renders catalogues, and queries the operator endpoint of a daemon.
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
