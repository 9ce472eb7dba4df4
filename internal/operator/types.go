package operator

import (
	"time"

	"github.com/chervilwell/chervilwell/audit"
	"github.com/chervilwell/chervilwell/catalogue"
	"github.com/chervilwell/chervilwell/chart"
	"github.com/chervilwell/chervilwell/distribution"
	"github.com/chervilwell/chervilwell/origin"
	"github.com/chervilwell/chervilwell/pick"
)

// Paths of the HTTP interface.
const (
	PathHealth    = "/healthz"
	PathReady     = "/readyz"
	PathMetrics   = "/metrics"
	PathStatus    = "/v1/status"
	PathAudit     = "/v1/audit"
	PathInstances = "/v1/instances"
	PathExplain   = "/v1/explain"
)

// Identity identifies the process.
type Identity struct {
	Instance      string `json:"instance"`
	FailureDomain string `json:"failureDomain"`
	// Region is the region of the failure domain; empty until a catalogue is in force, unless the settings name it.
	Region  string `json:"region,omitempty"`
	Service string `json:"service"`
}

// Status is the response of PathStatus.
type Status struct {
	Identity
	Time  time.Time   `json:"time"`
	State chart.State `json:"state"`
	Ready bool        `json:"ready"`
	// Revision and Digest identify the catalogue in force. Revision is 0 if there is none.
	Revision     uint64       `json:"revision"`
	Digest       string       `json:"digest,omitempty"`
	Distribution Distribution `json:"distribution"`
	// Organisations lists the organisations of the catalogue, sorted by name.
	Organisations []OrganisationStatus `json:"organisations"`
	// Alerts lists the open alerts, at most 100 (maxAlerts).
	Alerts []Alert `json:"alerts"`
	// Refusals lists the last records of refused snapshots, newest first, at most 10 (maxRefusals).
	Refusals []audit.Record `json:"refusals"`
}

// Distribution is the status of the process in the distribution of the configuration (see distribution.Status).
type Distribution struct {
	Phase     distribution.Phase `json:"phase"`
	Role      distribution.Role  `json:"role"`
	Parent    string             `json:"parent,omitempty"`
	Upstreams []string           `json:"upstreams,omitempty"`
	Children  []string           `json:"children,omitempty"`
	// Members is the number of known instances in all failure domains.
	Members int `json:"members"`
	// Reads lists the values that the process continuously reads from the platform.
	Reads []string `json:"reads,omitempty"`
	// SourceFailing is true if the last read of the platform failed.
	SourceFailing bool `json:"sourceFailing"`
	// JoinRounds is the number of rounds of requests to peers in the current or last join.
	JoinRounds int `json:"joinAsks"`
}

// OrganisationStatus holds the number of changes and open alerts of an organisation.
type OrganisationStatus struct {
	Organisation string `json:"organisation"`
	// ChangesToday is the number of changes that this process observed since midnight UTC or since its start, whichever is later.
	ChangesToday int `json:"changesToday"`
	// ChangesPerDay is the budget of changes per day; 0 means no limit.
	ChangesPerDay int `json:"changesPerDay"`
	OpenAlerts    int `json:"openAlerts"`
	// OverBudget is true if ChangesToday exceeds ChangesPerDay.
	OverBudget bool `json:"over"`
}

// Alert is a condition that requires attention. It is reported as long as the condition lasts.
type Alert struct {
	Organisation string `json:"organisation"`
	Subject      string `json:"subject"`
	Detail       string `json:"detail"`
	Remedy       string `json:"remedy"`
}

// AuditList is the response of PathAudit.
type AuditList struct {
	// Last is the sequence number of the newest record. Pass it as query parameter since to get later records.
	Last    uint64         `json:"last"`
	Records []audit.Record `json:"records"`
}

// InstanceList is the response of PathInstances. Revision is that of the catalogue in force, or 0.
type InstanceList struct {
	Revision  uint64           `json:"revision"`
	Instances []InstanceStatus `json:"instances"`
}

// InstanceStatus is the status of an instance, as known to this process.
type InstanceStatus struct {
	Name          string       `json:"name"`
	FailureDomain string       `json:"failureDomain"`
	Region        string       `json:"region,omitempty"`
	Service       string       `json:"service"`
	State         origin.State `json:"state"`
	// InService is true if both the instance and its failure domain are in service.
	InService   bool   `json:"inService"`
	PeerAddr    string `json:"peerAddr"`
	RequestAddr string `json:"requestAddr"`
}

// Explanation is the response of PathExplain: which targets a call may use, from the view of this process.
type Explanation struct {
	Revision uint64 `json:"revision"`
	Digest   string `json:"digest"`
	// Reporter is the instance of the process that gives the explanation.
	Reporter     string `json:"seenBy"`
	Service      string `json:"service"`
	Organisation string `json:"organisation"`
	// Region is the region in which the call arrives.
	Region string             `json:"region"`
	Routes []RouteExplanation `json:"routes"`
}

// Usable reports whether calls of at least one route have a usable target.
func (e Explanation) Usable() bool {
	for _, r := range e.Routes {
		if r.Usable() {
			return true
		}
	}
	return false
}

// RouteExplanation describes the calls of a route and the verdicts on its targets.
type RouteExplanation struct {
	Route      string                `json:"route"`
	Owner      string                `json:"owner"`
	Class      catalogue.Class       `json:"class"`
	Retry      catalogue.RetryPolicy `json:"repeat"`
	PathPrefix string                `json:"pathPrefix"`
	Methods    []string              `json:"methods,omitempty"`
	// HomeRegions lists the regions in which the calls are allowed; empty means all regions.
	HomeRegions []string `json:"homeRegions,omitempty"`
	// Refusal is the reason why calls that arrive in the region are refused before a target is chosen; empty if they are not.
	Refusal string `json:"refusal,omitempty"`
	// Remedy is the remedy of the refusal.
	Remedy  string              `json:"remedy,omitempty"`
	Targets []TargetExplanation `json:"targets"`
}

// Usable reports whether calls of the route are accepted and have a usable target.
func (r RouteExplanation) Usable() bool {
	if r.Refusal != "" {
		return false
	}
	for _, t := range r.Targets {
		if t.Verdict == pick.Usable {
			return true
		}
	}
	return false
}

// TargetExplanation is the verdict on one target.
type TargetExplanation struct {
	Instance      string `json:"instance"`
	FailureDomain string `json:"failureDomain"`
	Region        string `json:"region,omitempty"`
	// SameRegion is true if the target is in the region in which the call arrives.
	SameRegion bool        `json:"near"`
	Verdict    pick.Reason `json:"verdict"`
	Remedy     string      `json:"remedy,omitempty"`
	// Utilisation is the estimated load relative to the limit; it may exceed 1.
	Utilisation float64 `json:"utilisation"`
	// InFlight is the number of requests that this process has in flight at the target.
	InFlight int `json:"inFlight"`
	// Until is the end of the target's ejection, or nil if there is none.
	Until *time.Time `json:"until,omitempty"`
}

// ErrorBody is the response body of a refused request.
type ErrorBody struct {
	Error  string `json:"error"`
	Remedy string `json:"remedy"`
}
