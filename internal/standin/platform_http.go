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

// maxPollDuration is the longest time that a long poll waits for a change before the response 304.
const maxPollDuration = 20 * time.Second

// Handler returns the handler for the HTTP protocol documented at origin.HTTP.
func (p *Platform) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/values/{key...}", p.serveValue)
	mux.HandleFunc("GET /v1/instances/{domain}", p.serveList)
	return mux
}

func (p *Platform) serveValue(w http.ResponseWriter, r *http.Request) {
	ctx, cancel := context.WithTimeout(r.Context(), maxPollDuration)
	defer cancel()
	v, err := p.Watch(ctx, r.PathValue("key"), r.URL.Query().Get("after"))
	if err != nil {
		http.Error(w, err.Error(), statusOf(err))
		return
	}
	w.Header().Set("ETag", v.Tag)
	w.Header().Set("Content-Type", "application/octet-stream")
	_, _ = w.Write(v.Data) // fails only if the reader has disconnected
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
	ctx, cancel := context.WithTimeout(r.Context(), maxPollDuration)
	defer cancel()
	list, err := p.Instances(ctx, r.PathValue("domain"), after)
	if err != nil {
		http.Error(w, err.Error(), statusOf(err))
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(list) // fails only if the reader has disconnected
}

// statusOf returns the HTTP status for an error of Watch or Instances.
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
