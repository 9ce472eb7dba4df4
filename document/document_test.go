package document

import (
	"fmt"
	"slices"
	"testing"

	"github.com/pkg/errors"
	"pgregory.net/rapid"
)

// drawEntries draws a list of entries with distinct keys.
func drawEntries(t *rapid.T, label string) []Entry {
	m := rapid.MapOf(rapid.StringMatching(`[a-f]{1,3}`), rapid.SliceOfN(rapid.Byte(), 0, 4)).Draw(t, label)
	var out []Entry
	for k, v := range m {
		out = append(out, Entry{Key: k, Value: v})
	}
	return out
}

func TestApplyDiffYieldsTarget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, err := New("d", 1, 4, drawEntries(t, "base"))
		if err != nil {
			t.Fatal(err)
		}
		b, err := New("d", 2, 4, drawEntries(t, "target"))
		if err != nil {
			t.Fatal(err)
		}
		packed, err := Pack(Diff(a, b))
		if err != nil {
			t.Fatal(err)
		}
		var delta Delta
		if err := Unpack(packed, &delta); err != nil {
			t.Fatal(err)
		}
		got, err := Apply(a, delta)
		if err != nil {
			t.Fatal(err)
		}
		if got.Version() != b.Version() || got.Len() != b.Len() {
			t.Fatalf("got %v, want %v", got.Version(), b.Version())
		}
	})
}

func TestApplyRejectsDamagedDelta(t *testing.T) {
	a, _ := New("d", 1, 4, []Entry{{Key: "x", Value: []byte("1")}})
	b, _ := New("d", 2, 4, []Entry{{Key: "x", Value: []byte("2")}})
	delta := Diff(a, b)
	delta.Set[0].Value = []byte("3")
	if _, err := Apply(a, delta); err != ErrDigestMismatch {
		t.Fatalf("damaged delta: got %v", err)
	}
	if _, err := Apply(b, Diff(a, b)); err != ErrBaseMismatch {
		t.Fatalf("wrong base: got %v", err)
	}
}

func ExampleDiff() {
	base, _ := New("colours", 1, 4, []Entry{{Key: "sky", Value: []byte("blue")}})
	next, _ := New("colours", 2, 4, []Entry{{Key: "sky", Value: []byte("grey")}})
	got, _ := Apply(base, Diff(base, next))
	value, _ := got.Get("sky")
	fmt.Println(got.Revision(), string(value))
	// Output: 2 grey
}

func TestAssembleReusesAndVerifiesChunks(t *testing.T) {
	entries := []Entry{{Key: "a", Value: []byte("1")}, {Key: "b", Value: []byte("2")}, {Key: "c", Value: []byte("3")}}
	base, err := New("d", 1, 4, slices.Clone(entries))
	if err != nil {
		t.Fatal(err)
	}
	entries[1].Value = []byte("4")
	want, err := New("d", 2, 4, slices.Clone(entries))
	if err != nil {
		t.Fatal(err)
	}
	contents := map[Digest][]Entry{}
	for i, digest := range want.ChunkDigests() {
		if digest != base.ChunkDigests()[i] {
			contents[digest] = want.ChunkEntries(i)
		}
	}
	if len(contents) != 1 {
		t.Fatalf("one changed entry changed %d chunks, want 1", len(contents))
	}
	got, err := Assemble("d", 2, want.ChunkDigests(), base, contents)
	if err != nil || got.Version() != want.Version() || got.Len() != want.Len() {
		t.Fatalf("got %v, error %v; want %v", got, err, want.Version())
	}
	if _, err := Assemble("d", 2, want.ChunkDigests(), base, nil); err == nil {
		t.Error("missing chunk: no error")
	}
	for digest, chunkEntries := range contents {
		chunkEntries = slices.Clone(chunkEntries)
		chunkEntries[0].Value = []byte("5")
		contents[digest] = chunkEntries
	}
	if _, err := Assemble("d", 2, want.ChunkDigests(), base, contents); !errors.Is(err, ErrDigestMismatch) {
		t.Errorf("damaged chunk: got %v, want ErrDigestMismatch", err)
	}
}
