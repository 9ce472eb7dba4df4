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

func render(t testing.TB, c *Catalogue) (Manifest, []Chunk) {
	t.Helper()
	m, chunks, err := Render(c)
	if err != nil {
		t.Fatal(err)
	}
	return m, chunks
}

func TestRenderAssemble(t *testing.T) {
	for _, n := range []int{1, 2200} {
		c := large(t, n)
		m, chunks := render(t, c)
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
		back, err := Decode(doc)
		if err != nil {
			t.Fatal(err)
		}
		if d := Diff(c, back); len(d.Changes) > 0 || back.Revision != c.Revision {
			t.Fatalf("%d services: came back with %d changes", n, len(d.Changes))
		}
	}
}

func TestChunkCountFollowsContent(t *testing.T) {
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
	c := large(t, 2200)
	m, chunks := render(t, c)
	base, err := Assemble(m, nil, chunks)
	if err != nil {
		t.Fatal(err)
	}
	c.Revision++
	c.Routes[7].Limits.Concurrency++
	next, all := render(t, c)
	missing := next.Missing(base)
	if len(missing) != 1 {
		t.Fatalf("one changed route misses %d chunks", len(missing))
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
		t.Fatalf("without its chunk: %v", err)
	}
}

// Whatever single byte of a publication is damaged, nothing of it is assembled as another content.
func TestAssembleRefusesDamage(t *testing.T) {
	m, chunks := render(t, streusalz(t))
	rapid.Check(t, func(t *rapid.T) {
		damaged := append([]Chunk(nil), chunks...)
		i := rapid.IntRange(0, len(chunks)-1).Draw(t, "chunk")
		data := append([]byte(nil), chunks[i].Data...)
		data[rapid.IntRange(0, len(data)-1).Draw(t, "byte")] ^= byte(rapid.IntRange(1, 255).Draw(t, "mask"))
		damaged[i].Data = data
		doc, err := Assemble(m, nil, damaged)
		if err == nil && doc.Version() != m.Version() {
			t.Fatal("damaged chunk gave another document")
		}
		if err != nil && !errors.Is(err, ErrChunk) {
			t.Fatalf("error %v", err)
		}
	})
	wrong := m
	wrong.Digest[0]++
	if _, err := Assemble(wrong, nil, chunks); !errors.Is(err, ErrManifest) {
		t.Fatalf("wrong digest: %v", err)
	}
	if _, err := ParseManifest([]byte(`{"revision": 4, "chunks": []}`)); !errors.Is(err, ErrManifest) {
		t.Fatalf("manifest without chunks: %v", err)
	}
}

func TestRenderRefusesBad(t *testing.T) {
	c := streusalz(t)
	c.Routes[0].Service = "nothing"
	if _, _, err := Render(c); err == nil {
		t.Fatal("dangling reference rendered")
	}
}

func TestDecodeRefusesRenamed(t *testing.T) {
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

// The difference of two documents is that of their catalogues, whatever changed and however many chunks they have.
func TestDiffDocuments(t *testing.T) {
	base := large(t, 60)
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

// A decoder that follows any series of versions gives what decoding each by itself gives, also after a damaged one.
func TestDecoderFollowsVersions(t *testing.T) {
	damaged, err := document.New(DocumentName, 1, 16, []document.Entry{{Key: "route/x", Value: []byte{0xff}}})
	if err != nil {
		t.Fatal(err)
	}
	base := large(t, 40)
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
				t.Fatalf("decoder and Decode differ: %v", err)
			}
		}
	})
}

func TestDiff(t *testing.T) {
	older, newer := streusalz(t), streusalz(t)
	newer.Revision = 2
	newer.Regions[0].FailureDomains[0].State = Out
	newer.Instances = []InstanceState{{Name: "obb-ro-2", State: Out}}
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
	if same := Diff(older, older); len(same.Changes)+len(same.Organisations) != 0 {
		t.Fatalf("a catalogue differs from itself: %+v", same)
	}
}

// FuzzDecode puts one entry of any content into a good catalogue.
func FuzzDecode(f *testing.F) {
	doc, err := Encode(streusalz(f))
	if err != nil {
		f.Fatal(err)
	}
	good := map[string][]byte{}
	doc.All(func(e document.Entry) bool {
		good[e.Key] = e.Value
		f.Add(e.Key, e.Value)
		return true
	})
	f.Fuzz(func(t *testing.T, key string, value []byte) {
		entries := []document.Entry{{Key: key, Value: value}}
		for k, v := range good {
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
		again, err := Encode(c)
		if err != nil {
			t.Fatal(err)
		}
		back, err := Decode(again)
		if err != nil || len(Diff(c, back).Changes) > 0 {
			t.Fatalf("a good catalogue doesn't survive its encoding: %v", err)
		}
	})
}

func BenchmarkRender(b *testing.B) {
	c := large(b, 2200)
	for b.Loop() {
		m, chunks := render(b, c)
		total := 0
		for _, chunk := range chunks {
			total += len(chunk.Data)
		}
		b.ReportMetric(float64(total), "bytes")
		b.ReportMetric(float64(len(m.Chunks)), "chunks")
	}
}

func BenchmarkDiff(b *testing.B) {
	older, newer := large(b, 2200), large(b, 2200)
	newer.Routes[7].Limits.Concurrency++
	for b.Loop() {
		if d := Diff(older, newer); len(d.Changes) != 1 {
			b.Fatalf("%d changes", len(d.Changes))
		}
	}
}

func BenchmarkDiffDocuments(b *testing.B) {
	older, err := Encode(large(b, 2200))
	if err != nil {
		b.Fatal(err)
	}
	c := large(b, 2200)
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
