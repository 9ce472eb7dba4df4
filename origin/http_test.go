package origin

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/pkg/errors"
)

// Guards against one odd entry of an instance list that fails the whole list, so that its readers no longer follow it.
func TestOddInstanceCostsOnlyItself(t *testing.T) {
	const valid = `{"name":"i-1","failureDomain":"d","service":"s","peerAddr":"192.0.2.1:1","requestAddr":"192.0.2.1:2","state":"live"}`
	odd := []string{
		`7`, `[]`, `{}`, strings.Repeat("[", 5000) + strings.Repeat("]", 5000),
		strings.Replace(valid, `"i-1"`, `5`, 1),
		strings.Replace(valid, `"i-1"`, `""`, 1),
		strings.Replace(valid, `"live"`, `"odd"`, 1),
		strings.Replace(valid, ":1\"", ":0\"", 1),
		strings.Replace(valid, ":2\"", ":70000\"", 1),
		strings.Replace(valid, "192.0.2.1:2", "192.0.2.1", 1),
	}
	for name, list := range map[string][]string{"before": append(odd[:len(odd):len(odd)], valid), "after": append([]string{valid}, odd...), "twice": {valid, valid}} {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			fmt.Fprintf(w, `{"failureDomain":"d","version":3,"instances":[%s]}`, strings.Join(list, ","))
		}))
		source, err := NewHTTP(server.URL, server.Client())
		if err != nil {
			t.Fatal(err)
		}
		invalid := 0
		source.OnInvalid = func(err error) {
			if !errors.Is(err, ErrInstance) {
				t.Errorf("%s: %v", name, err)
			}
			invalid++
		}
		got, err := source.Instances(context.Background(), "d", 0)
		if err != nil || got.Version != 3 || len(got.Instances) != 1 || got.Instances[0].Name != "i-1" || invalid != len(list)-1 {
			t.Errorf("%s: got %+v, %v; %d invalid entries, want %d", name, got, err, invalid, len(list)-1)
		}
		server.Close()
	}
}
