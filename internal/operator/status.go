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

// Bounds on the lists of a status.
const (
	maxAlerts   = 100
	maxRefusals = 10
)

func (h *Handler) status(url.Values) (any, *badRequest) {
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

func (h *Handler) distribution() Distribution {
	d := h.config.Distribution.Status()
	return Distribution{
		Phase: d.Phase, Role: d.Role, Parent: d.Parent, Upstreams: d.Upstreams, Children: d.Children, Members: d.Members,
		Reads: d.Reads, SourceFailing: d.SourceFailing, JoinAsks: d.JoinAsks,
	}
}

// organisations returns each organisation's budget, and the open alerts shortened to maxAlerts.
func (h *Handler) organisations(state *snapshot.State) ([]OrganisationStatus, []Alert) {
	alerts := alertsOf(state)
	open := map[string]int{}
	for _, a := range alerts {
		open[a.Organisation]++
	}
	var out []OrganisationStatus
	known := state.Config.Organisations()
	for _, name := range slices.Sorted(maps.Keys(known)) {
		o := OrganisationStatus{Organisation: name, ChangesPerDay: known[name].ChangesPerDay, OpenAlerts: open[name]}
		if h.config.Budget != nil {
			o.ChangesToday = h.config.Budget.Today(h.config.Now(), name)
		}
		o.Over = o.ChangesPerDay > 0 && o.ChangesToday > o.ChangesPerDay
		out = append(out, o)
	}
	return out, alerts[:min(len(alerts), maxAlerts)]
}

// lastRefusals returns the newest records of refused snapshots, newest first.
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

func (h *Handler) instances(query url.Values) (any, *badRequest) {
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

// inService reports whether operators have the instance and its failure domain in service.
func inService(config *snapshot.Config, inst origin.Instance) bool {
	return config.DomainInService(inst.FailureDomain) && config.InstanceInService(inst.Name)
}
