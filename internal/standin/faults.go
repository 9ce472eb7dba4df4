package standin

import (
	"net/http"
	"strconv"
)

// FaultsPath is the path of the endpoint that switches the faults of a stand-in platform.
const FaultsPath = "/standin/faults"

// ServeFaults switches faults according to the form values of a POST request: outage=true|false, and stale=N to serve the
// state of N publications ago, or stale=-1 to serve the current state again. It responds with 204, or with 400 if a value
// can't be parsed.
func (p *Platform) ServeFaults(w http.ResponseWriter, r *http.Request) {
	if text := r.PostFormValue("outage"); text != "" {
		on, err := strconv.ParseBool(text)
		if err != nil {
			http.Error(w, "outage is neither true nor false; post outage=true or outage=false", http.StatusBadRequest)
			return
		}
		p.SetOutage(on)
	}
	if text := r.PostFormValue("stale"); text != "" {
		steps, err := strconv.Atoi(text)
		if err != nil {
			http.Error(w, "stale is not a number; post stale=1, or stale=-1 to end it", http.StatusBadRequest)
			return
		}
		p.SetStale(steps)
	}
	w.WriteHeader(http.StatusNoContent)
}
