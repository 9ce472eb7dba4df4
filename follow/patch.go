package follow

import (
	"bytes"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"
)

// patch describes the change from one version of an entry to the next. It is short, since versions mostly differ in few
// places.
type patch struct {
	// Base is the xxhash of the version to which the patch applies.
	Base uint64 `cbor:"1,keyasint"`
	// Ops build the new version from pieces of the base and new bytes.
	Ops []op `cbor:"2,keyasint"`
	// Sum is the xxhash of the result.
	Sum uint64 `cbor:"3,keyasint"`
}

// op copies Count pieces of the base, starting at index From, or appends New.
type op struct {
	From  int    `cbor:"1,keyasint,omitempty"`
	Count int    `cbor:"2,keyasint,omitempty"`
	New   []byte `cbor:"3,keyasint,omitempty"`
}

// ErrPatch is returned if a patch does not match the version held here. The entry then comes from another peer or the store.
var ErrPatch = errors.New("patch does not match the version held here; polling another peer or reading the store")

// pieces splits an entry after each closing brace, so that a change of one element changes one piece.
func pieces(raw []byte) [][]byte {
	var out [][]byte
	for len(raw) > 0 {
		end := bytes.IndexByte(raw, '}') + 1
		if end == 0 {
			end = len(raw)
		}
		out = append(out, raw[:end])
		raw = raw[end:]
	}
	return out
}

// diff returns the patch from base to target.
func diff(base, target []byte) patch {
	p := patch{Base: xxhash.Sum64(base), Sum: xxhash.Sum64(target)}
	at := map[string]int{}
	old := pieces(base)
	for i, piece := range old {
		if _, ok := at[string(piece)]; !ok {
			at[string(piece)] = i
		}
	}
	for _, piece := range pieces(target) {
		var last *op
		if n := len(p.Ops); n > 0 {
			last = &p.Ops[n-1]
		}
		if last != nil && last.New == nil && last.From+last.Count < len(old) && bytes.Equal(old[last.From+last.Count], piece) {
			last.Count++
			continue
		}
		if i, ok := at[string(piece)]; ok {
			p.Ops = append(p.Ops, op{From: i, Count: 1})
			continue
		}
		if last != nil && last.New != nil {
			last.New = append(last.New, piece...)
			continue
		}
		p.Ops = append(p.Ops, op{New: bytes.Clone(piece)})
	}
	return p
}

// apply returns the result of applying the patch to base. It fails with ErrPatch if the checksum does not match.
func (p patch) apply(base []byte) ([]byte, error) {
	old := pieces(base)
	var out []byte
	for _, o := range p.Ops {
		if o.New != nil {
			out = append(out, o.New...)
			continue
		}
		if o.From < 0 || o.Count < 0 || o.From+o.Count > len(old) {
			return nil, ErrPatch
		}
		for _, piece := range old[o.From : o.From+o.Count] {
			out = append(out, piece...)
		}
	}
	if xxhash.Sum64(out) != p.Sum {
		return nil, ErrPatch
	}
	return out, nil
}
