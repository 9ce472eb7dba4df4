package standin

import (
	"net/http"
	"strconv"
)

// FaultsPath is the path on which a stand-in platform's faults are switched.
const FaultsPath = "/standin/faults"

// ServeFaults switches faults by the form values of a POST: outage=true|false, and stale=N for answers that are N
// publications old, with -1 to end that.
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
		back, err := strconv.Atoi(text)
		if err != nil {
			http.Error(w, "stale is not a number; post stale=1, or stale=-1 to end it", http.StatusBadRequest)
			return
		}
		p.SetStale(back)
	}
	w.WriteHeader(http.StatusNoContent)
}
