package mesh

import "cmp"

// Position identifies a state of the store: a revision within an epoch. A restore of the store from a copy starts the next epoch, in which
// revisions of the former one are given out again for other changes.
type Position struct {
	Epoch, Revision uint64
}

// Compare returns -1 if p is before other, 1 if it is after it, and 0 if they are equal. A later epoch is after all revisions of an
// earlier one.
func (p Position) Compare(other Position) int {
	return cmp.Or(cmp.Compare(p.Epoch, other.Epoch), cmp.Compare(p.Revision, other.Revision))
}

// After reports whether p is after other.
func (p Position) After(other Position) bool { return p.Compare(other) > 0 }
