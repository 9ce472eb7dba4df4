package catalogue

import (
	"encoding/json"
	"errors"
	"fmt"
	"reflect"
	"strings"
	"testing"

	"github.com/sebdah/goldie/v2"
	"pgregory.net/rapid"

	"github.com/chervilwell/chervilwell/document"
	"github.com/chervilwell/chervilwell/examples"
)

func mustRender(t testing.TB, c *Catalogue) (Manifest, []Chunk) {
	t.Helper()
	m, chunks, err := Render(c)
	if err != nil {
		t.Fatal(err)
	}
	return m, chunks
}

func TestAssembleReversesRender(t *testing.T) {
	for _, n := range []int{1, 2200} {
		c := largeCatalogue(t, n)
		m, chunks := mustRender(t, c)
		for _, chunk := range chunks {
			if len(chunk.Data) > MaxChunkBytes {
				t.Errorf("%d services: chunk of %d bytes", n, len(chunk.Data))
			}
		}
		data, err := json.Marshal(m)
		if err != nil || len(data) > MaxChunkBytes {
			t.Fatalf("manifest of %d bytes, error %v", len(data), err)
		}
		parsed, err := ParseManifest(data)
		if err != nil {
			t.Fatal(err)
		}
		doc, err := Assemble(parsed, nil, chunks)
		if err != nil {
			t.Fatal(err)
		}
		decoded, err := Decode(doc)
		if err != nil {
			t.Fatal(err)
		}
		if d := Diff(c, decoded); len(d.Changes) > 0 || decoded.Revision != c.Revision {
			t.Fatalf("%d services: decoded catalogue has %d changes", n, len(d.Changes))
		}
	}
}

func TestChunkCountDependsOnContentSize(t *testing.T) {
	for _, tt := range []struct{ entries, chunks int }{{0, 1}, {3, 1}, {4, 16}, {32, 16}, {400, 64}, {1200, 256}} {
		var entries []document.Entry
		for i := range tt.entries {
			entries = append(entries, document.Entry{Key: fmt.Sprintf("route/%d", i), Value: make([]byte, 16<<10)})
		}
		doc, err := newDocument(1, entries)
		if err != nil || doc.Chunks() != tt.chunks || largestChunk(doc) > chunkContentBytes {
			t.Errorf("%d entries: %d chunks, the largest of %d bytes, error %v", tt.entries, doc.Chunks(), largestChunk(doc), err)
		}
	}
}

func TestAssembleUsesBase(t *testing.T) {
	c := largeCatalogue(t, 2200)
	m, chunks := mustRender(t, c)
	base, err := Assemble(m, nil, chunks)
	if err != nil {
		t.Fatal(err)
	}
	c.Revision++
	c.Routes[7].Limits.Concurrency++
	next, all := mustRender(t, c)
	missing := next.Missing(base)
	if len(missing) != 1 {
		t.Fatalf("one changed route: %d chunks are missing, want 1", len(missing))
	}
	var fetched []Chunk
	for _, chunk := range all {
		if chunk.Digest == missing[0] {
			fetched = append(fetched, chunk)
		}
	}
	doc, err := Assemble(next, base, fetched)
	if err != nil || doc.Version() != next.Version() {
		t.Fatalf("error %v", err)
	}
	if _, err := Assemble(next, base, nil); !errors.Is(err, ErrIncomplete) {
		t.Fatalf("missing chunk: got %v, want ErrIncomplete", err)
	}
}

// If any single byte of a chunk is damaged, Assemble returns an error or the original document, never other content.
func TestAssembleRejectsDamagedChunk(t *testing.T) {
	m, chunks := mustRender(t, streusalz(t))
	rapid.Check(t, func(t *rapid.T) {
		damaged := append([]Chunk(nil), chunks...)
		i := rapid.IntRange(0, len(chunks)-1).Draw(t, "chunk")
		data := append([]byte(nil), chunks[i].Data...)
		data[rapid.IntRange(0, len(data)-1).Draw(t, "byte")] ^= byte(rapid.IntRange(1, 255).Draw(t, "mask"))
		damaged[i].Data = data
		doc, err := Assemble(m, nil, damaged)
		if err == nil && doc.Version() != m.Version() {
			t.Fatal("damaged chunk was assembled into another document")
		}
		if err != nil && !errors.Is(err, ErrChunk) {
			t.Fatalf("error %v", err)
		}
	})
	wrong := m
	wrong.Digest[0]++
	if _, err := Assemble(wrong, nil, chunks); !errors.Is(err, ErrManifest) {
		t.Fatalf("wrong digest: got %v, want ErrManifest", err)
	}
	if _, err := ParseManifest([]byte(`{"revision": 4, "chunks": []}`)); !errors.Is(err, ErrManifest) {
		t.Fatalf("manifest without chunks: got %v, want ErrManifest", err)
	}
}

func TestRenderRejectsDanglingReference(t *testing.T) {
	c := streusalz(t)
	c.Routes[0].Service = "nothing"
	if _, _, err := Render(c); err == nil {
		t.Fatal("Render accepted a dangling reference")
	}
}

func TestDecodeRejectsKeyMismatch(t *testing.T) {
	value, _ := document.Marshal(Route{Name: "a"})
	for _, key := range []string{"route/b", "route", "colour/a"} {
		doc, err := document.New(DocumentName, 1, 1, []document.Entry{{Key: key, Value: value}})
		if err != nil {
			t.Fatal(err)
		}
		if _, err := Decode(doc); err == nil {
			t.Errorf("key %q accepted", key)
		}
	}
}

// DiffDocuments gives the same result as Diff of the catalogues for any changes, also if the numbers of chunks differ.
func TestDiffDocumentsMatchesDiff(t *testing.T) {
	base := largeCatalogue(t, 60)
	rapid.Check(t, func(t *rapid.T) {
		next := *base
		next.Revision++
		next.Routes = append([]Route(nil), base.Routes...)
		next.Organisations = append([]Organisation(nil), base.Organisations...)
		next.Organisations[0].ChangesPerDay = rapid.IntRange(0, 3).Draw(t, "budget")
		for range rapid.IntRange(0, 4).Draw(t, "changes") {
			next.Routes[rapid.IntRange(0, len(next.Routes)-1).Draw(t, "changed")].Limits.Concurrency++
		}
		next.Routes = next.Routes[rapid.IntRange(0, 2).Draw(t, "removed"):]
		older, err := Encode(base)
		if err != nil {
			t.Fatal(err)
		}
		newer, err := Encode(&next)
		if err != nil {
			t.Fatal(err)
		}
		if rapid.Bool().Draw(t, "other chunks") {
			var entries []document.Entry
			newer.All(func(e document.Entry) bool { entries = append(entries, e); return true })
			if newer, err = document.New(DocumentName, newer.Revision(), 4*newer.Chunks(), entries); err != nil {
				t.Fatal(err)
			}
		}
		got, err := DiffDocuments(older, newer)
		if want := Diff(base, &next); err != nil || !reflect.DeepEqual(got, want) {
			t.Fatalf("got %+v, want %+v, error %v", got, want, err)
		}
	})
}

// A Decoder gives the same catalogues as Decode for any sequence of versions, also after it failed on a damaged document.
func TestDecoderMatchesDecode(t *testing.T) {
	damaged, err := document.New(DocumentName, 1, 16, []document.Entry{{Key: "route/x", Value: []byte{0xff}}})
	if err != nil {
		t.Fatal(err)
	}
	base := largeCatalogue(t, 40)
	rapid.Check(t, func(t *rapid.T) {
		var decoder Decoder
		c := *base
		for range 5 {
			c.Revision++
			c.Routes = append([]Route(nil), c.Routes...)
			c.Routes[rapid.IntRange(0, len(c.Routes)-1).Draw(t, "changed")].Limits.Concurrency++
			if rapid.Bool().Draw(t, "remove") {
				i := rapid.IntRange(0, len(c.Routes)-2).Draw(t, "removed")
				c.Routes = append(c.Routes[:i], c.Routes[i+1:]...)
			}
			doc, err := Encode(&c)
			if err != nil {
				t.Fatal(err)
			}
			if rapid.Bool().Draw(t, "damaged") {
				if _, err := decoder.Decode(damaged); err == nil {
					t.Fatal("damaged document decoded")
				}
			}
			got, err := decoder.Decode(doc)
			if err != nil {
				t.Fatal(err)
			}
			want, err := Decode(doc)
			if err != nil || !reflect.DeepEqual(got, want) {
				t.Fatalf("Decoder and Decode differ, error %v", err)
			}
		}
	})
}

func TestDiff(t *testing.T) {
	older, newer := streusalz(t), streusalz(t)
	newer.Revision = 2
	newer.Regions[0].FailureDomains[0].State = OutOfService
	newer.Instances = []InstanceState{{Name: "obb-ro-2", State: OutOfService}}
	newer.Routes[0].Limits.Timeout *= 2
	newer.Routes[0].Match.Methods = []string{"GET"}
	newer.Routes[1].Name = "order-list"
	newer.Organisations[0].ChangesPerDay = 1
	newer.Services[0].Limits.Queue = 10
	text, err := json.MarshalIndent(Diff(older, newer), "", "  ")
	if err != nil {
		t.Fatal(err)
	}
	goldie.New(t).Assert(t, "diff", append(text, '\n'))
	if unchanged := Diff(older, older); len(unchanged.Changes)+len(unchanged.Organisations) != 0 {
		t.Fatalf("a catalogue differs from itself: %+v", unchanged)
	}
}

// FuzzDecode replaces or adds one entry with arbitrary content in a valid catalogue.
func FuzzDecode(f *testing.F) {
	doc, err := Encode(streusalz(f))
	if err != nil {
		f.Fatal(err)
	}
	valid := map[string][]byte{}
	doc.All(func(e document.Entry) bool {
		valid[e.Key] = e.Value
		f.Add(e.Key, e.Value)
		return true
	})
	f.Fuzz(func(t *testing.T, key string, value []byte) {
		entries := []document.Entry{{Key: key, Value: value}}
		for k, v := range valid {
			if k != key {
				entries = append(entries, document.Entry{Key: k, Value: v})
			}
		}
		doc, err := document.New(DocumentName, 1, document.DefaultChunks, entries)
		if err != nil {
			t.Fatal(err)
		}
		c, err := Decode(doc)
		if err != nil || Check(c) != nil {
			return
		}
		Warnings(c)
		encoded, err := Encode(c)
		if err != nil {
			t.Fatal(err)
		}
		decoded, err := Decode(encoded)
		if err != nil || len(Diff(c, decoded).Changes) > 0 {
			t.Fatalf("valid catalogue changed by encoding and decoding, error %v", err)
		}
	})
}

func BenchmarkRender(b *testing.B) {
	c := largeCatalogue(b, 2200)
	for b.Loop() {
		m, chunks := mustRender(b, c)
		total := 0
		for _, chunk := range chunks {
			total += len(chunk.Data)
		}
		b.ReportMetric(float64(total), "bytes")
		b.ReportMetric(float64(len(m.Chunks)), "chunks")
	}
}

func BenchmarkDiff(b *testing.B) {
	older, newer := largeCatalogue(b, 2200), largeCatalogue(b, 2200)
	newer.Routes[7].Limits.Concurrency++
	for b.Loop() {
		if d := Diff(older, newer); len(d.Changes) != 1 {
			b.Fatalf("%d changes", len(d.Changes))
		}
	}
}

func BenchmarkDiffDocuments(b *testing.B) {
	older, err := Encode(largeCatalogue(b, 2200))
	if err != nil {
		b.Fatal(err)
	}
	c := largeCatalogue(b, 2200)
	c.Routes[7].Limits.Concurrency++
	newer, err := Encode(c)
	if err != nil {
		b.Fatal(err)
	}
	for b.Loop() {
		if d, err := DiffDocuments(older, newer); err != nil || len(d.Changes) != 1 {
			b.Fatal(err)
		}
	}
}

func ExampleParse() {
	c, err := Parse("streusalz.jsonc", examples.Streusalz)
	fmt.Println(len(c.Services), err)
	_, err = Parse("bad.jsonc", []byte(strings.Replace(string(examples.Streusalz), `"class": "critical"`, `"class": "urgent"`, 1)))
	fmt.Println(err)
	// Output:
	// 3 <nil>
	// bad.jsonc:25: service "disposition": services[1].class: class "urgent" is unknown; use "critical", "interactive" or "background"
}
