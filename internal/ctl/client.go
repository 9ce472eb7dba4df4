package ctl

import (
	"context"
	"encoding/json"
	"flag"
	"io"
	"net/http"
	"net/url"
	"time"

	"github.com/google/subcommands"
	"github.com/pkg/errors"

	"github.com/chervilwell/chervilwell/internal/operator"
)

// Limits of a request to a daemon.
const (
	// requestTimeout is the timeout of one request to a daemon, including the response body.
	requestTimeout = 10 * time.Second
	// maxResponseBytes is the size limit of a response body, in bytes. Longer bodies are truncated.
	maxResponseBytes = 64 << 20
)

// daemonCommand is the common part of the commands that query a daemon.
type daemonCommand struct {
	commandInfo
	streams *ioStreams
	addr    string
	json    bool
}

// SetFlags adds the flags that are common to all commands that query a daemon.
func (d *daemonCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&d.addr, "addr", "", "HOST:PORT of the daemon's operator listener")
	f.BoolVar(&d.json, "json", false, "write JSON")
}

// checkArgs returns the cause of wrong usage, or "" if the arguments are valid.
func (d *daemonCommand) checkArgs(f *flag.FlagSet) string {
	switch {
	case f.NArg() > 0:
		return "takes no arguments besides flags"
	case d.addr == "":
		return "give -addr HOST:PORT of the daemon's operator listener"
	}
	return ""
}

// get requests path from the daemon and decodes the JSON response into response. If the daemon refuses the request, the error
// has the daemon's cause and remedy.
func (d *daemonCommand) get(ctx context.Context, path string, query url.Values, response any) error {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	u := url.URL{Scheme: "http", Host: d.addr, Path: path, RawQuery: query.Encode()}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, u.String(), nil)
	if err != nil {
		return errors.Wrap(err, "invalid address; give -addr as HOST:PORT")
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return errors.Wrap(err, "no response from the daemon; check -addr (listen.operator in its settings) and that the daemon runs")
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	if err != nil {
		return errors.Wrap(err, "response of the daemon was truncated; retry")
	}
	if resp.StatusCode != http.StatusOK {
		var errBody operator.ErrorBody
		if json.Unmarshal(body, &errBody) == nil && errBody.Error != "" {
			return errors.Errorf("%s; %s", errBody.Error, errBody.Remedy)
		}
		return errors.Errorf("%s returned status %s; check that -addr is the operator listener of a daemon", d.addr, resp.Status)
	}
	return errors.Wrap(json.Unmarshal(body, response), "cannot decode the response; use chervilwellctl of the daemon's version")
}

// run queries the daemon and writes the response, as JSON or with printResponse. It returns exitUsage if the arguments are
// invalid, and exitRefused if the query fails or isHealthy returns false for the response.
func run[T any](ctx context.Context, d *daemonCommand, f *flag.FlagSet, c subcommands.Command, path string, query url.Values,
	printResponse func(io.Writer, T), isHealthy func(T) bool,
) subcommands.ExitStatus {
	if cause := d.checkArgs(f); cause != "" {
		return d.streams.usageError(c, cause)
	}
	var response T
	if err := d.get(ctx, path, query, &response); err != nil {
		return d.streams.fail(err)
	}
	if d.json {
		writeJSON(d.streams.out, response)
	} else {
		printResponse(d.streams.out, response)
	}
	if !isHealthy(response) {
		return exitRefused
	}
	return exitOK
}
