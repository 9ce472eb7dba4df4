package proxy

import "github.com/chervilwell/chervilwell/mesh"

// split deals a route's requests to its parts, evenly and in proportion to their weights (smooth weighted round robin).
type split struct{ credit map[string]float64 }

// maxSplits bounds the routes whose dealing is remembered.
const maxSplits = 4096

// split returns the dealing of a route. The lock is held.
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

// next returns the service of the next request.
func (s *split) next(parts []mesh.Part) string {
	if len(parts) == 1 {
		return parts[0].Service
	}
	var sum float64
	best := ""
	for _, p := range parts {
		sum += p.Weight
		s.credit[p.Service] += p.Weight
		if p.Weight > 0 && (best == "" || s.credit[p.Service] > s.credit[best]) {
			best = p.Service
		}
	}
	s.credit[best] -= sum
	return best
}
