package proxy

import "github.com/chervilwell/chervilwell/mesh"

// split distributes a route's requests among its services in proportion to their weights (smooth weighted round robin).
type split struct{ credit map[string]float64 }

// maxSplits is the maximum number of routes whose distribution state is kept.
const maxSplits = 4096

// split returns the distribution state of a route. It must be called with f.mu held.
func (f *Frontend) split(r *mesh.Route) *split {
	s := f.splits[r.Name]
	if s == nil {
		if len(f.splits) >= maxSplits {
			clear(f.splits)
		}
		s = &split{credit: map[string]float64{}}
		f.splits[r.Name] = s
	}
	return s
}

// next returns the service for the next request.
func (s *split) next(services []mesh.WeightedService) string {
	if len(services) == 1 {
		return services[0].Service
	}
	var sum float64
	best := ""
	for _, p := range services {
		sum += p.Weight
		s.credit[p.Service] += p.Weight
		if p.Weight > 0 && (best == "" || s.credit[p.Service] > s.credit[best]) {
			best = p.Service
		}
	}
	s.credit[best] -= sum
	return best
}
