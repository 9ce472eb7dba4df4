package snapshot

import (
	"fmt"
	"testing"

	"github.com/chervilwell/chervilwell/catalogue"
	"github.com/chervilwell/chervilwell/document"
	"github.com/chervilwell/chervilwell/examples"
)

// largeDocument returns the document of a catalogue with n services and n routes. Documents of different revisions differ in one
// route.
func largeDocument(t testing.TB, n int, revision uint64) *document.Document {
	t.Helper()
	c, err := catalogue.Parse("streusalz.jsonc", examples.Streusalz)
	if err != nil {
		t.Fatal(err)
	}
	c.Revision = revision
	service, route := c.Services[0], c.Routes[0]
	c.Services, c.Routes = nil, nil
	for i := range n {
		service.Name = fmt.Sprintf("service-%04d", i)
		route.Name = fmt.Sprintf("route-%04d", i)
		route.Service = service.Name
		route.Match.PathPrefix = fmt.Sprintf("/service-%04d/", i)
		c.Services = append(c.Services, service)
		c.Routes = append(c.Routes, route)
	}
	c.Routes[int(revision)%n].Limits.Concurrency = int(revision)
	doc, err := catalogue.Encode(c)
	if err != nil {
		t.Fatal(err)
	}
	return doc
}

func BenchmarkCompile(b *testing.B) {
	doc := largeDocument(b, 2200, 1)
	b.ReportAllocs()
	for b.Loop() {
		if _, err := Compile(doc); err != nil {
			b.Fatal(err)
		}
	}
}

func BenchmarkMatch(b *testing.B) {
	config, err := Compile(largeDocument(b, 2200, 1))
	if err != nil {
		b.Fatal(err)
	}
	for b.Loop() {
		if config.Match("GET", "/service-1100/depot/7") == nil {
			b.Fatal("no route")
		}
	}
}

func BenchmarkAccept(b *testing.B) {
	h := NewHolder()
	var docs []*document.Document
	for i := range 200 {
		docs = append(docs, largeDocument(b, 2200, uint64(i+1)))
	}
	b.ReportAllocs()
	b.ResetTimer()
	for i := range b.N {
		if i%len(docs) == 0 {
			h = NewHolder()
		}
		if err := h.Accept(docs[i%len(docs)]); err != nil {
			b.Fatal(err)
		}
	}
}
