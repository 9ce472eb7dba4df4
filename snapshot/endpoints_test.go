package snapshot

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"github.com/chervilwell/chervilwell/document"
	"github.com/chervilwell/chervilwell/origin"
)

// TestEndpointsWithEqualsCompileEndpoints checks that a sequence of updates gives the same instances as compiling the latest
// documents, and that With does not change its receiver.
func TestEndpointsWithEqualsCompileEndpoints(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var endpoints *Endpoints
		documents := map[string]*document.Document{}
		for step := range rapid.IntRange(1, 8).Draw(t, "steps") {
			domain := rapid.SampledFrom([]string{"a", "b"}).Draw(t, "domain")
			list := origin.InstanceList{FailureDomain: domain, Version: uint64(step + 1)}
			for _, n := range rapid.SliceOfDistinct(rapid.IntRange(0, 9), rapid.ID[int]).Draw(t, "instances") {
				list.Instances = append(list.Instances, origin.Instance{
					Name: fmt.Sprintf("%s-%d", domain, n), FailureDomain: domain,
					Service: rapid.SampledFrom([]string{"x", "y"}).Draw(t, "service"),
				})
			}
			doc, err := EncodeInstances(list)
			if err != nil {
				t.Fatal(err)
			}
			before := fmt.Sprint(endpoints.ForService("x"), endpoints.ForService("y"), endpoints.Len())
			next, err := endpoints.With(doc)
			if err != nil {
				t.Fatal(err)
			}
			if after := fmt.Sprint(endpoints.ForService("x"), endpoints.ForService("y"), endpoints.Len()); after != before {
				t.Fatalf("With changed its receiver: %s, was %s", after, before)
			}
			endpoints, documents[domain] = next, doc
		}
		var docs []*document.Document
		for _, d := range documents {
			docs = append(docs, d)
		}
		compiled, err := CompileEndpoints(docs)
		if err != nil {
			t.Fatal(err)
		}
		got, want := fmt.Sprint(endpoints.ForService("x"), endpoints.ForService("y"), endpoints.Len()), fmt.Sprint(compiled.ForService("x"), compiled.ForService("y"), compiled.Len())
		if got != want {
			t.Fatalf("incremental %s, compiled %s", got, want)
		}
	})
}
