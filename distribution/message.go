package distribution

import (
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"github.com/chervilwell/chervilwell/document"
	"github.com/chervilwell/chervilwell/origin"
)

// Sizes of encoded messages in bytes.
const (
	// MaxMessageBytes bounds a message that carries documents.
	MaxMessageBytes = 8 << 20
	// MaxControlBytes bounds every other message.
	MaxControlBytes = 64 << 10
	// MaxNoticeBytes bounds the body of a notice.
	MaxNoticeBytes = 4 << 10
	// maxListed bounds the elements of the lists within a control message.
	maxListed = 1024
)

// Typed errors of the codec.
var (
	// ErrTooLarge says that a message exceeds its bound; the sender is faulty or of an incompatible version.
	ErrTooLarge = errors.New("message exceeds the size bound of its type; check the sender's version")
	// ErrMalformed says that a message can't be decoded; the sender is faulty or of an incompatible version.
	ErrMalformed = errors.New("message is malformed; check the sender's version")
)

// Message is one message between processes. Exactly one of the pointers is set; unknown fields are ignored, so that a
// later version may add some.
type Message struct {
	Protocol uint16 `cbor:"1,keyasint"`
	// Sender describes the sender where the receiver may not know it.
	Sender    *Sender    `cbor:"2,keyasint,omitempty"`
	Heartbeat *Heartbeat `cbor:"3,keyasint,omitempty"`
	Ack       *Ack       `cbor:"4,keyasint,omitempty"`
	Push      *Push      `cbor:"5,keyasint,omitempty"`
	Pull      *Pull      `cbor:"6,keyasint,omitempty"`
	Ask       *Ask       `cbor:"7,keyasint,omitempty"`
	Offer     *Offer     `cbor:"8,keyasint,omitempty"`
	Busy      *Busy      `cbor:"9,keyasint,omitempty"`
	Notices   []Notice   `cbor:"10,keyasint,omitempty"`
}

// Sender is a process's description of itself.
type Sender struct {
	Instance    origin.Instance `cbor:"1,keyasint"`
	Incarnation uint64          `cbor:"2,keyasint"`
}

// DocumentVersion names a version of a document compactly: Digest is the beginning of the document's digest.
type DocumentVersion struct {
	Name     string `cbor:"1,keyasint"`
	Revision uint64 `cbor:"2,keyasint"`
	Digest   uint64 `cbor:"3,keyasint"`
}

// versionOf returns the compact version of a document.
func versionOf(d *document.Document) DocumentVersion {
	digest := d.Digest()
	return DocumentVersion{Name: d.Name(), Revision: d.Revision(), Digest: binary.BigEndian.Uint64(digest[:8])}
}

// Heartbeat renews the sender's subscription to pushes and says which versions it holds.
type Heartbeat struct {
	// Vector is the hash over the versions of all documents held.
	Vector uint64 `cbor:"1,keyasint"`
	// IntervalMs is the longest time to the next heartbeat in milliseconds; 0 ends the subscription.
	IntervalMs uint32 `cbor:"2,keyasint"`
	// Versions lists the documents held with the first heartbeat of a subscription.
	Versions []DocumentVersion `cbor:"3,keyasint,omitempty"`
}

// Ack answers a heartbeat.
type Ack struct {
	// Versions lists the documents held where the vectors differ.
	Versions []DocumentVersion `cbor:"2,keyasint,omitempty"`
	// Pulling says that the sender pulls from another region, which was heard LinkAgeMs milliseconds ago.
	Pulling   bool   `cbor:"3,keyasint,omitempty"`
	LinkAgeMs uint32 `cbor:"4,keyasint,omitempty"`
	// Joining says that the sender holds nothing yet and relays nothing.
	Joining bool `cbor:"5,keyasint,omitempty"`
	// Introduce asks the receiver to describe itself with its next heartbeat.
	Introduce bool `cbor:"6,keyasint,omitempty"`
	// Full says that the sender has no room for a further child: it answers heartbeats and pulls but pushes nothing.
	Full bool `cbor:"7,keyasint,omitempty"`
	// SourceFailing says that the reader above fails to read the platform.
	SourceFailing bool `cbor:"8,keyasint,omitempty"`
}

// Push carries deltas.
type Push struct {
	Deltas []Delta `cbor:"1,keyasint"`
}

// Delta is a packed document.Delta whose base is named compactly beside it instead of within, to spare bytes.
type Delta struct {
	// BaseRevision and BaseDigest name the base as DocumentVersion does; a full delta has none.
	BaseRevision uint64 `cbor:"1,keyasint,omitempty"`
	BaseDigest   uint64 `cbor:"2,keyasint,omitempty"`
	Packed       []byte `cbor:"3,keyasint"`
}

// Pull asks for documents. Each element names the version held, which may serve as base; revision 0 means none.
type Pull struct {
	Held []DocumentVersion `cbor:"1,keyasint"`
}

// Ask asks a peer what it holds.
type Ask struct{}

// Offer answers Ask.
type Offer struct {
	// Holding says that the sender holds a catalogue.
	Holding bool `cbor:"1,keyasint,omitempty"`
	// Region is the sender's region.
	Region   string            `cbor:"2,keyasint,omitempty"`
	Versions []DocumentVersion `cbor:"3,keyasint,omitempty"`
	// Refer names peers to ask instead.
	Refer []Address `cbor:"4,keyasint,omitempty"`
}

// Busy refuses a pull for a while.
type Busy struct {
	RetryAfterMs uint32    `cbor:"1,keyasint"`
	Refer        []Address `cbor:"2,keyasint,omitempty"`
}

// Notice is a small message flooded to all processes. It is identified by (Origin, Sequence).
type Notice struct {
	Kind     string `cbor:"1,keyasint"`
	Subject  string `cbor:"2,keyasint,omitempty"`
	Origin   string `cbor:"3,keyasint"`
	Sequence uint64 `cbor:"4,keyasint"`
	// TTLMs is the remaining life in milliseconds; it falls while the notice travels.
	TTLMs uint32 `cbor:"5,keyasint"`
	Body  []byte `cbor:"6,keyasint,omitempty"`
}

// TTL returns the remaining life.
func (n Notice) TTL() time.Duration { return time.Duration(n.TTLMs) * time.Millisecond }

// Encode encodes a message within its size bound.
func Encode(m Message) ([]byte, error) {
	data, err := document.Marshal(m)
	if err != nil {
		return nil, err
	}
	return data, checkSize(m, len(data))
}

// Decode decodes a message and checks its bounds.
func Decode(data []byte) (Message, error) {
	if len(data) > MaxMessageBytes {
		return Message{}, errors.Wrapf(ErrTooLarge, "%d bytes", len(data))
	}
	var m Message
	if err := document.Unmarshal(data, &m); err != nil {
		return Message{}, errors.Wrap(ErrMalformed, err.Error())
	}
	if err := checkSize(m, len(data)); err != nil {
		return Message{}, err
	}
	return m, m.check()
}

func checkSize(m Message, size int) error {
	bound := MaxControlBytes
	if m.Push != nil {
		bound = MaxMessageBytes
	}
	if size > bound {
		return errors.Wrapf(ErrTooLarge, "%d bytes, bound %d", size, bound)
	}
	return nil
}

// check verifies that exactly one part is set and that lists are within bounds.
func (m Message) check() error {
	parts := 0
	for _, set := range []bool{
		m.Heartbeat != nil, m.Ack != nil, m.Push != nil, m.Pull != nil,
		m.Ask != nil, m.Offer != nil, m.Busy != nil, len(m.Notices) > 0,
	} {
		if set {
			parts++
		}
	}
	if parts != 1 {
		return errors.Wrapf(ErrMalformed, "%d parts", parts)
	}
	long := (m.Heartbeat != nil && len(m.Heartbeat.Versions) > maxListed) ||
		(m.Ack != nil && len(m.Ack.Versions) > maxListed) ||
		(m.Push != nil && len(m.Push.Deltas) > maxListed) ||
		(m.Pull != nil && len(m.Pull.Held) > maxListed) ||
		(m.Offer != nil && (len(m.Offer.Versions) > maxListed || len(m.Offer.Refer) > maxListed)) ||
		(m.Busy != nil && len(m.Busy.Refer) > maxListed) || len(m.Notices) > maxListed
	if long {
		return errors.Wrap(ErrMalformed, "list too long")
	}
	for _, n := range m.Notices {
		if len(n.Body) > MaxNoticeBytes {
			return errors.Wrap(ErrMalformed, "notice too long")
		}
	}
	return nil
}

// vectorOf hashes versions in their order.
func vectorOf(versions []DocumentVersion) uint64 {
	var h xxhash.Digest
	h.Reset()
	var n [16]byte
	for _, v := range versions {
		_, _ = h.WriteString(v.Name)
		binary.BigEndian.PutUint64(n[:8], v.Revision)
		binary.BigEndian.PutUint64(n[8:], v.Digest)
		_, _ = h.Write(n[:])
	}
	return h.Sum64()
}
