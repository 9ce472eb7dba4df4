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

// Paths of the listener.
const (
	PathHealth    = "/healthz"
	PathReady     = "/readyz"
	PathMetrics   = "/metrics"
	PathStatus    = "/v1/status"
	PathAudit     = "/v1/audit"
	PathInstances = "/v1/instances"
	PathExplain   = "/v1/explain"
)

// Identity names the process.
type Identity struct {
	Instance      string `json:"instance"`
	FailureDomain string `json:"failureDomain"`
	// Region is empty until a catalogue names the region of the failure domain.
	Region  string `json:"region,omitempty"`
	Service string `json:"service"`
}

// Status is the answer of PathStatus.
type Status struct {
	Identity
	Time  time.Time   `json:"time"`
	State chart.State `json:"state"`
	Ready bool        `json:"ready"`
	// Revision and Digest name the catalogue in force; Revision 0 means none.
	Revision     uint64       `json:"revision"`
	Digest       string       `json:"digest,omitempty"`
	Distribution Distribution `json:"distribution"`
	// Organisations lists each organisation's budget of operator attention, by name.
	Organisations []OrganisationStatus `json:"organisations"`
	// Alerts lists the open alerts, at most maxAlerts.
	Alerts []Alert `json:"alerts"`
	// Refusals lists the newest records of refused snapshots, newest first.
	Refusals []audit.Record `json:"refusals"`
}

// Distribution is the place of the process in the distribution of the configuration.
type Distribution struct {
	Phase     distribution.Phase `json:"phase"`
	Role      distribution.Role  `json:"role"`
	Parent    string             `json:"parent,omitempty"`
	Upstreams []string           `json:"upstreams,omitempty"`
	Children  []string           `json:"children,omitempty"`
	// Members is the number of instances known in all failure domains.
	Members int `json:"members"`
	// Reads lists the standing reads of the platform.
	Reads []string `json:"reads,omitempty"`
	// SourceFailing says that the last read of the platform failed.
	SourceFailing bool `json:"sourceFailing"`
	// JoinAsks is the number of rounds in which the process asked its peers at its start.
	JoinAsks int `json:"joinAsks"`
}

// OrganisationStatus is what one organisation spends of the operators' attention.
type OrganisationStatus struct {
	Organisation string `json:"organisation"`
	// ChangesToday counts the changes that this process saw since midnight UTC or since its start, whichever is later.
	ChangesToday int `json:"changesToday"`
	// ChangesPerDay is the budget; 0 means that none is set.
	ChangesPerDay int  `json:"changesPerDay"`
	OpenAlerts    int  `json:"openAlerts"`
	Over          bool `json:"over"`
}

// Alert is a condition that needs attention for as long as it lasts.
type Alert struct {
	Organisation string `json:"organisation"`
	Subject      string `json:"subject"`
	Detail       string `json:"detail"`
	Remedy       string `json:"remedy"`
}

// AuditList is the answer of PathAudit.
type AuditList struct {
	// Last is the sequence number of the newest record; pass it as since to get what follows.
	Last    uint64         `json:"last"`
	Records []audit.Record `json:"records"`
}

// InstanceList is the answer of PathInstances.
type InstanceList struct {
	Revision  uint64           `json:"revision"`
	Instances []InstanceStatus `json:"instances"`
}

// InstanceStatus is one instance as this process knows it.
type InstanceStatus struct {
	Name          string       `json:"name"`
	FailureDomain string       `json:"failureDomain"`
	Region        string       `json:"region,omitempty"`
	Service       string       `json:"service"`
	State         origin.State `json:"state"`
	// InService is false if operators took the instance or its failure domain out of service.
	InService   bool   `json:"inService"`
	PeerAddr    string `json:"peerAddr"`
	RequestAddr string `json:"requestAddr"`
}

// Explanation is the answer of PathExplain: which targets a call may take, as this process sees it.
type Explanation struct {
	Revision     uint64 `json:"revision"`
	Digest       string `json:"digest"`
	SeenBy       string `json:"seenBy"`
	Service      string `json:"service"`
	Organisation string `json:"organisation"`
	// Region is where the call arrives.
	Region string             `json:"region"`
	Routes []RouteExplanation `json:"routes"`
}

// Usable reports whether a call of some route may take a target.
func (e Explanation) Usable() bool {
	for _, r := range e.Routes {
		if r.Usable() {
			return true
		}
	}
	return false
}

// RouteExplanation says what holds for the calls of one route.
type RouteExplanation struct {
	Route      string           `json:"route"`
	Owner      string           `json:"owner"`
	Class      catalogue.Class  `json:"class"`
	Repeat     catalogue.Repeat `json:"repeat"`
	PathPrefix string           `json:"pathPrefix"`
	Methods    []string         `json:"methods,omitempty"`
	// HomeRegions are the regions that the calls may be in; empty means any.
	HomeRegions []string `json:"homeRegions,omitempty"`
	// Refusal says why calls that arrive in the region are refused at once; empty means that they are not.
	Refusal string `json:"refusal,omitempty"`
	// Remedy says what to do about the refusal.
	Remedy  string              `json:"remedy,omitempty"`
	Targets []TargetExplanation `json:"targets"`
}

// Usable reports whether a call of the route may take a target.
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
	// Near says that the target is in the region where the call arrives.
	Near    bool        `json:"near"`
	Verdict pick.Reason `json:"verdict"`
	Remedy  string      `json:"remedy,omitempty"`
	// Utilisation is the estimated load against the limit.
	Utilisation float64 `json:"utilisation"`
	// InFlight is the number of requests that this process has at the target.
	InFlight int `json:"inFlight"`
	// Until is the end of an ejection.
	Until *time.Time `json:"until,omitempty"`
}

// ErrorBody is the body of a refused request.
type ErrorBody struct {
	Error  string `json:"error"`
	Remedy string `json:"remedy"`
}
