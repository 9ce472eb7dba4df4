package follow

import (
	"testing"

	"github.com/klauspost/compress/s2"
)

// FuzzDecodeStateUpdate checks that no reply of a peer ends the process, and that what is accepted keeps its meaning.
func FuzzDecodeStateUpdate(f *testing.F) {
	for _, u := range []stateUpdate{
		{Format: format, Revision: 1},
		{Format: format, Revision: 7, Epoch: 2, Full: true, Away: true, Entries: []wireEntry{{Key: "out/x", Revision: 7, Raw: []byte("{}")}, {Key: "out/y", Revision: 3, Removed: true}}},
	} {
		data, err := u.encode()
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
		f.Add(data[:len(data)/2])
	}
	f.Add(s2.Encode(nil, []byte{0x9b, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff}))
	f.Fuzz(func(t *testing.T, data []byte) {
		u, err := decodeStateUpdate(data)
		if err != nil {
			return
		}
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
