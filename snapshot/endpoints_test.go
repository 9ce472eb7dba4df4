package snapshot

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"github.com/chervilwell/chervilwell/document"
	"github.com/chervilwell/chervilwell/origin"
)

// TestEndpointsWithEqualsCompile checks that a chain of changes gives the same instances as building from the last lists.
func TestEndpointsWithEqualsCompile(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var e *Endpoints
		last := map[string]*document.Document{}
		for step := range rapid.IntRange(1, 8).Draw(t, "steps") {
			fd := rapid.SampledFrom([]string{"a", "b"}).Draw(t, "domain")
			list := origin.InstanceList{FailureDomain: fd, Version: uint64(step + 1)}
			for _, n := range rapid.SliceOfDistinct(rapid.IntRange(0, 9), rapid.ID[int]).Draw(t, "instances") {
				list.Instances = append(list.Instances, origin.Instance{
					Name: fmt.Sprintf("%s-%d", fd, n), FailureDomain: fd,
					Service: rapid.SampledFrom([]string{"x", "y"}).Draw(t, "service"),
				})
			}
			doc, err := EncodeInstances(list)
			if err != nil {
				t.Fatal(err)
			}
			before := fmt.Sprint(e.ForService("x"), e.ForService("y"), e.Len())
			next, err := e.With(doc)
			if err != nil {
				t.Fatal(err)
			}
			if after := fmt.Sprint(e.ForService("x"), e.ForService("y"), e.Len()); after != before {
				t.Fatalf("With changed its receiver: %s, was %s", after, before)
			}
			e, last[fd] = next, doc
		}
		var docs []*document.Document
		for _, d := range last {
			docs = append(docs, d)
		}
		whole, err := CompileEndpoints(docs)
		if err != nil {
			t.Fatal(err)
		}
		got, want := fmt.Sprint(e.ForService("x"), e.ForService("y"), e.Len()), fmt.Sprint(whole.ForService("x"), whole.ForService("y"), whole.Len())
		if got != want {
			t.Fatalf("incremental %s, whole %s", got, want)
		}
	})
}
