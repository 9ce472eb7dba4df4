package main

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"os"
	"text/tabwriter"
	"time"

	"github.com/google/subcommands"
	"github.com/pkg/errors"

	"github.com/chervilwell/chervilwell/proxy"
)

// heldTimeout bounds the query of a daemon.
const heldTimeout = 5 * time.Second

// heldCommand prints the requests that a daemon holds.
type heldCommand struct{ addr string }

func (*heldCommand) Name() string { return "held" }
func (*heldCommand) Synopsis() string {
	return "print the requests that are held since targets crashed"
}

func (*heldCommand) Usage() string {
	return "held -addr HOST:PORT\n  Print the requests that the daemon with this metrics address holds: those suspected of crashing targets, and those that are refused since they have crashed them.\n"
}

func (c *heldCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.addr, "addr", "", "metrics address of a daemon")
}

func (c *heldCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if f.NArg() > 0 || c.addr == "" {
		fmt.Fprintln(os.Stderr, "chervilwellnode held needs -addr and takes no arguments")
		return exitUsage
	}
	ctx, cancel := context.WithTimeout(ctx, heldTimeout)
	defer cancel()
	held, err := fetchHeld(ctx, c.addr)
	if err != nil {
		return fail(err)
	}
	if err := printHeld(os.Stdout, held); err != nil {
		return fail(err)
	}
	return exitOK
}

// ErrHeld is returned if a daemon does not return the requests that it holds.
var ErrHeld = errors.New("the daemon does not return its held requests; check that -addr is its metrics address")

// fetchHeld asks a daemon for the requests that it holds.
func fetchHeld(ctx context.Context, addr string) ([]proxy.HeldRequest, error) {
	var held []proxy.HeldRequest
	if err := fetchJSON(ctx, addr, proxy.HeldPath, &held); err != nil {
		return nil, errors.Wrap(ErrHeld, err.Error())
	}
	return held, nil
}

// fetchJSON decodes what a daemon returns at a path of its metrics address.
func fetchJSON(ctx context.Context, addr, path string, into any) error {
	target := url.URL{Scheme: "http", Host: addr, Path: path}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, target.String(), nil)
	if err != nil {
		return err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return errors.Errorf("status %d", resp.StatusCode)
	}
	return json.NewDecoder(resp.Body).Decode(into)
}

// printHeld prints held requests as a table.
func printHeld(w io.Writer, held []proxy.HeldRequest) error {
	if len(held) == 0 {
		_, err := fmt.Fprintln(w, "no requests are held")
		return err
	}
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "FINGERPRINT\tSTATE\tCRASHES\tSINCE\tUNTIL\tREQUEST")
	for _, h := range held {
		fmt.Fprintf(table, "%s\t%s\t%d\t%s\t%s\t%q\n", h.Fingerprint, h.State, h.Crashes, h.Since.UTC().Format(time.RFC3339), h.Until.UTC().Format(time.RFC3339), h.Request)
	}
	return table.Flush()
}
