package standin

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"github.com/chervilwell/chervilwell/origin"
)

// pollTime is the longest time that the stand-in holds a long poll.
const pollTime = 20 * time.Second

// Handler serves the wire that origin.HTTP documents.
func (p *Platform) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/values/{key...}", p.serveValue)
	mux.HandleFunc("GET /v1/instances/{domain}", p.serveList)
	return mux
}

func (p *Platform) serveValue(w http.ResponseWriter, r *http.Request) {
	ctx, cancel := context.WithTimeout(r.Context(), pollTime)
	defer cancel()
	v, err := p.Watch(ctx, r.PathValue("key"), r.URL.Query().Get("after"))
	if err != nil {
		http.Error(w, err.Error(), statusOf(err))
		return
	}
	w.Header().Set("ETag", v.Tag)
	w.Header().Set("Content-Type", "application/octet-stream")
	_, _ = w.Write(v.Data) // a reader that went away needs no answer
}

func (p *Platform) serveList(w http.ResponseWriter, r *http.Request) {
	var after uint64
	if text := r.URL.Query().Get("after"); text != "" {
		var err error
		if after, err = strconv.ParseUint(text, 10, 64); err != nil {
			http.Error(w, "after is not a number; give the version of the list held", http.StatusBadRequest)
			return
		}
	}
	ctx, cancel := context.WithTimeout(r.Context(), pollTime)
	defer cancel()
	list, err := p.Instances(ctx, r.PathValue("domain"), after)
	if err != nil {
		http.Error(w, err.Error(), statusOf(err))
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(list) // a reader that went away needs no answer
}

func statusOf(err error) int {
	switch {
	case errors.Is(err, origin.ErrNotFound):
		return http.StatusNotFound
	case errors.Is(err, origin.ErrThrottled):
		return http.StatusTooManyRequests
	case errors.Is(err, context.DeadlineExceeded):
		return http.StatusNotModified
	}
	return http.StatusServiceUnavailable
}
