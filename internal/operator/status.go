package operator

import (
	"maps"
	"net/url"
	"slices"

	"github.com/chervilwell/chervilwell/audit"
	"github.com/chervilwell/chervilwell/chart/charts"
	"github.com/chervilwell/chervilwell/origin"
	"github.com/chervilwell/chervilwell/snapshot"
)

// Limits on the number of entries in the lists of a Status.
const (
	maxAlerts   = 100
	maxRefusals = 10
)

// status serves PathStatus.
func (h *Handler) status(url.Values) (any, *requestError) {
	state := h.config.Holder.Load()
	now := h.config.Now()
	s := Status{
		Identity:      h.config.Identity,
		Time:          now,
		State:         h.config.Process.State(),
		Distribution:  h.distribution(),
		Organisations: []OrganisationStatus{},
		Alerts:        []Alert{},
		Refusals:      lastRefusals(h.config.Trail),
	}
	s.Ready = s.State == charts.ProcessServing
	if state.Config == nil {
		return s, nil
	}
	s.Revision, s.Digest = state.Config.Version().Revision, state.Config.Version().Digest.String()
	if region := state.Config.RegionOf(s.FailureDomain); region != "" {
		s.Region = region
	}
	s.Organisations, s.Alerts = h.organisations(state)
	return s, nil
}

// distribution returns the distribution status of the process.
func (h *Handler) distribution() Distribution {
	d := h.config.Distribution.Status()
	return Distribution{
		Phase: d.Phase, Role: d.Role, Parent: d.Parent, Upstreams: d.Upstreams, Children: d.Children, Members: d.Members,
		Reads: d.Reads, SourceFailing: d.SourceFailing, JoinRounds: d.JoinRounds,
	}
}

// organisations returns the status of all organisations, sorted by name, and the first maxAlerts open alerts.
func (h *Handler) organisations(state *snapshot.State) ([]OrganisationStatus, []Alert) {
	alerts := openAlerts(state)
	alertCounts := map[string]int{}
	for _, a := range alerts {
		alertCounts[a.Organisation]++
	}
	var out []OrganisationStatus
	known := state.Config.Organisations()
	for _, name := range slices.Sorted(maps.Keys(known)) {
		o := OrganisationStatus{Organisation: name, ChangesPerDay: known[name].ChangesPerDay, OpenAlerts: alertCounts[name]}
		if h.config.Budget != nil {
			o.ChangesToday = h.config.Budget.CountToday(h.config.Now(), name)
		}
		o.OverBudget = o.ChangesPerDay > 0 && o.ChangesToday > o.ChangesPerDay
		out = append(out, o)
	}
	return out, alerts[:min(len(alerts), maxAlerts)]
}

// lastRefusals returns the last maxRefusals records of refused snapshots, newest first.
func lastRefusals(trail *audit.Trail) []audit.Record {
	out := []audit.Record{}
	records := trail.Since(0)
	for i := len(records) - 1; i >= 0 && len(out) < maxRefusals; i-- {
		switch records[i].Kind {
		case audit.Refused, audit.RevertedSource, audit.Conflict:
			out = append(out, records[i])
		}
	}
	return out
}

// instances serves PathInstances.
func (h *Handler) instances(query url.Values) (any, *requestError) {
	state := h.config.Holder.Load()
	list := InstanceList{Instances: []InstanceStatus{}}
	if state.Config != nil {
		list.Revision = state.Config.Version().Revision
	}
	service, domain := query.Get("service"), query.Get("failureDomain")
	state.Endpoints.All(func(inst origin.Instance) bool {
		if (service == "" || service == inst.Service) && (domain == "" || domain == inst.FailureDomain) {
			list.Instances = append(list.Instances, instanceStatus(state.Config, inst))
		}
		return true
	})
	return list, nil
}

// instanceStatus returns the status of an instance. Without a catalogue (nil config), its region is empty and InService false.
func instanceStatus(config *snapshot.Config, inst origin.Instance) InstanceStatus {
	s := InstanceStatus{
		Name: inst.Name, FailureDomain: inst.FailureDomain, Service: inst.Service, State: inst.State,
		PeerAddr: inst.PeerAddr, RequestAddr: inst.RequestAddr,
	}
	if config != nil {
		s.Region = config.RegionOf(inst.FailureDomain)
		s.InService = inService(config, inst)
	}
	return s
}

// inService reports whether both the instance and its failure domain are in service.
func inService(config *snapshot.Config, inst origin.Instance) bool {
	return config.DomainInService(inst.FailureDomain) && config.InstanceInService(inst.Name)
}
