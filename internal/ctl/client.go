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

const (
	// requestTimeout bounds one question to a daemon.
	requestTimeout = 10 * time.Second
	// maxAnswerBytes bounds its answer.
	maxAnswerBytes = 64 << 20
)

// question is the part that the commands to a daemon share.
type question struct {
	info
	env  *environment
	addr string
	json bool
}

// SetFlags sets the flags that all questions take.
func (q *question) SetFlags(f *flag.FlagSet) {
	f.StringVar(&q.addr, "addr", "", "HOST:PORT of the daemon's operator listener")
	f.BoolVar(&q.json, "json", false, "write JSON")
}

// usable reports what is wrong with the arguments, or "".
func (q *question) problem(f *flag.FlagSet) string {
	switch {
	case f.NArg() > 0:
		return "takes no arguments besides flags"
	case q.addr == "":
		return "give -addr HOST:PORT of the daemon's operator listener"
	}
	return ""
}

// ask decodes the daemon's answer into answer. A refusal becomes an error with its remedy.
func (q *question) ask(ctx context.Context, path string, query url.Values, answer any) error {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	target := url.URL{Scheme: "http", Host: q.addr, Path: path, RawQuery: query.Encode()}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, target.String(), nil)
	if err != nil {
		return errors.Wrap(err, "give -addr as HOST:PORT")
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return errors.Wrap(err, "daemon doesn't answer; check -addr (listen.operator in its settings) and that it runs")
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes))
	if err != nil {
		return errors.Wrap(err, "answer of the daemon broke off; ask again")
	}
	if resp.StatusCode != http.StatusOK {
		var refused operator.ErrorBody
		if json.Unmarshal(body, &refused) == nil && refused.Error != "" {
			return errors.Errorf("%s; %s", refused.Error, refused.Remedy)
		}
		return errors.Errorf("%s answers %s; check that -addr is the operator listener of a daemon", q.addr, resp.Status)
	}
	return errors.Wrap(json.Unmarshal(body, answer), "answer can't be read; use the chervilwellctl of the daemon's version")
}

// run asks, writes the answer and returns the exit code that judge gives it.
func run[T any](ctx context.Context, q *question, f *flag.FlagSet, c subcommands.Command, path string, query url.Values,
	print func(io.Writer, T), judge func(T) bool,
) subcommands.ExitStatus {
	if cause := q.problem(f); cause != "" {
		return q.env.misused(c, cause)
	}
	var answer T
	if err := q.ask(ctx, path, query, &answer); err != nil {
		return q.env.fail(err)
	}
	if q.json {
		writeJSON(q.env.out, answer)
	} else {
		print(q.env.out, answer)
	}
	if !judge(answer) {
		return exitRefused
	}
	return exitDone
}
