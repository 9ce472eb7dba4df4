package follow

import (
	"testing"
	"time"

	"github.com/klauspost/compress/s2"

	"github.com/chervilwell/chervilwell/mesh"
)

// FuzzDecodeStateUpdate checks that no reply of a peer ends the process, and that what is accepted keeps its meaning.
func FuzzDecodeStateUpdate(f *testing.F) {
	for _, u := range []stateUpdate{
		{Format: format, Revision: 1},
		{Format: format, Revision: 7, Epoch: 2, Full: true, Away: true, Entries: []wireEntry{{Key: "out/x", Revision: 7, Raw: []byte("{}")}, {Key: "out/y", Revision: 3, Removed: true}}},
		{Format: format, Revision: 7, Packed: s2.Encode(nil, []byte{0x9b, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff})},
	} {
		data, err := u.encode()
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
		f.Add(data[:len(data)/2])
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		u, err := decodeStateUpdate(data)
		if err != nil {
			return
		}
		u.Packed = nil
		again, err := u.encode()
		if err != nil {
			t.Fatal(err)
		}
		v, err := decodeStateUpdate(again)
		if err != nil || v.position() != u.position() || len(v.Entries) != len(u.Entries) {
			t.Fatalf("got %+v, %v after decoding %+v again", v, err, u)
		}
	})
}

// Guards against a full state of an earlier position that is sent again after a change.
func TestFullStateIsThatOfThePosition(t *testing.T) {
	f := New(Config{Source: endpoint{fleet: &fleet{store: newStore()}}, Holder: &mesh.Holder{}, Decode: decode, Region: "r", ApplyWithin: applyWithin})
	for revision := uint64(1); revision <= 3; revision++ {
		e, err := decode(instanceAddr(int(revision)).String(), revision, []byte("{}"))
		if err != nil {
			t.Fatal(err)
		}
		f.commit("test", func(now time.Time) bool { return f.replica.Apply(now, []mesh.Entry{e}, mesh.Position{Revision: revision}) })
		for range 2 {
			u, err := f.updateSince(mesh.Position{})
			if err != nil {
				t.Fatal(err)
			}
			data, err := u.encode()
			if err != nil {
				t.Fatal(err)
			}
			got, err := decodeStateUpdate(data)
			if err != nil || !got.Full || got.Revision != revision || len(got.Entries) != int(revision) {
				t.Errorf("at revision %d: got %+v, %v", revision, got, err)
			}
		}
	}
}
