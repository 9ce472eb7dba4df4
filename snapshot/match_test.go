package snapshot

import (
	"strings"
	"testing"

	"pgregory.net/rapid"

	"github.com/chervilwell/chervilwell/catalogue"
	"github.com/chervilwell/chervilwell/document"
)

// matchLinear is the reference for Match: it returns the first route in matching order whose prefix and methods match.
func matchLinear(c *Config, method, path string) *Route {
	for _, r := range c.routes {
		if strings.HasPrefix(path, r.Match.PathPrefix) && (r.methods == nil || r.methods[method]) {
			return r
		}
	}
	return nil
}

func TestMatchEqualsLinearScan(t *testing.T) {
	prefix := rapid.StringMatching(`/([ab]{0,2}/?){0,3}`)
	method := rapid.SampledFrom([]string{"GET", "POST"})
	rapid.Check(t, func(t *rapid.T) {
		cat := &catalogue.Catalogue{
			Organisations: []catalogue.Organisation{{Name: "o"}},
			Services:      []catalogue.Service{{Name: "s", Owner: "o"}},
		}
		for i, p := range rapid.SliceOfN(prefix, 1, 8).Draw(t, "prefixes") {
			r := catalogue.Route{Name: string(rune('a' + i)), Owner: "o", Service: "s", Match: catalogue.Match{PathPrefix: p}}
			if rapid.Bool().Draw(t, "named") {
				r.Match.Methods = []string{method.Draw(t, "method")}
			}
			cat.Routes = append(cat.Routes, r)
		}
		c, err := newConfig(cat, document.Version{Revision: 1})
		if err != nil {
			t.Fatal(err)
		}
		path, m := prefix.Draw(t, "path")+"x", method.Draw(t, "asked")
		if got, want := c.Match(m, path), matchLinear(c, m, path); got != want {
			t.Fatalf("%s %s: got %v, want %v", m, path, got, want)
		}
	})
}
