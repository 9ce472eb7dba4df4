// Command standin runs a stand-in for the platform or for a target, for trials on a single machine.
//
//	standin platform -listen 127.0.0.1:8500 -catalogue FILE -instances FILE
//	standin target -listen 127.0.0.1:9001 -name lagerstand-1
//
// It exits with 0 when it is stopped by SIGINT or SIGTERM, 1 on an error and 2 on wrong usage.
package main

import (
	"context"
	"flag"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/google/subcommands"
	"github.com/pkg/errors"
	"github.com/rs/zerolog"
)

const (
	// headerTimeout bounds reading the header of a request.
	headerTimeout = 5 * time.Second
	// stopTimeout bounds the graceful shutdown of a server.
	stopTimeout = 5 * time.Second
)

func main() {
	log := zerolog.New(zerolog.ConsoleWriter{Out: os.Stderr, NoColor: true}).With().Timestamp().Logger()
	subcommands.Register(subcommands.HelpCommand(), "")
	subcommands.Register(&platformCommand{log: log}, "")
	subcommands.Register(&targetCommand{log: log}, "")
	flag.Parse()
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	status := subcommands.Execute(ctx)
	stop()
	os.Exit(int(status))
}

// exitStatus prints err if it is not nil, and returns the exit status for it.
func exitStatus(err error) subcommands.ExitStatus {
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}

// serve serves handler on address until ctx is done, then shuts the server down. It returns an error if the server can't
// listen or fails.
func serve(ctx context.Context, address string, handler http.Handler, log zerolog.Logger) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return errors.Wrap(err, "can't listen; choose a free address with -listen")
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: headerTimeout}
	done := make(chan error, 1)
	go func() { done <- server.Serve(listener) }()
	log.Info().Str("address", listener.Addr().String()).Msg("stand-in listens")
	select {
	case err := <-done:
		return errors.Wrap(err, "serve")
	case <-ctx.Done():
	}
	stopCtx, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	if err := server.Shutdown(stopCtx); err != nil {
		_ = server.Close()
	}
	return nil
}
