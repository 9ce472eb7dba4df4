package distribution

import (
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"github.com/chervilwell/chervilwell/document"
	"github.com/chervilwell/chervilwell/origin"
)

// Size limits of encoded messages in bytes, and of the lists within them.
const (
	// MaxMessageBytes is the maximum size of a Push message.
	MaxMessageBytes = 8 << 20
	// MaxControlBytes is the maximum size of any other message.
	MaxControlBytes = 64 << 10
	// MaxNoticeBytes is the maximum size of the body of a notice.
	MaxNoticeBytes = 4 << 10
	// maxListLen is the maximum number of elements of a list within a message.
	maxListLen = 1024
)

// Errors of Encode and Decode.
var (
	// ErrTooLarge is returned if a message exceeds its size limit; the sender is faulty or runs an incompatible version.
	ErrTooLarge = errors.New("message exceeds the size limit of its type; check the sender's version")
	// ErrMalformed is returned if a message cannot be decoded; the sender is faulty or runs an incompatible version.
	ErrMalformed = errors.New("message is malformed; check the sender's version")
)

// Message is one message between processes. Exactly one of the parts Heartbeat to Notices is set. Unknown fields are
// ignored, so that later versions can add fields.
type Message struct {
	Protocol uint16 `cbor:"1,keyasint"`
	// Sender describes the sender if the receiver may not know it.
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

// Sender is the description that a process sends of itself.
type Sender struct {
	Instance    origin.Instance `cbor:"1,keyasint"`
	Incarnation uint64          `cbor:"2,keyasint"`
}

// DocumentVersion is the compact form of a document's version: Digest holds the first 8 bytes of the document's digest in
// big-endian order.
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

// Heartbeat renews the sender's subscription to pushes and reports which versions it has.
type Heartbeat struct {
	// VersionsHash is the hash over the versions of all documents that the sender has; see hashVersions.
	VersionsHash uint64 `cbor:"1,keyasint"`
	// IntervalMs is the longest time until the next heartbeat in milliseconds; 0 ends the subscription.
	IntervalMs uint32 `cbor:"2,keyasint"`
	// Versions lists the sender's documents in the first heartbeats of a subscription, until one is acknowledged.
	Versions []DocumentVersion `cbor:"3,keyasint,omitempty"`
}

// Ack answers a heartbeat.
type Ack struct {
	// Versions lists the sender's documents if the receiver has to compare them with its own.
	Versions []DocumentVersion `cbor:"2,keyasint,omitempty"`
	// Pulling reports that the sender pulls from another region; its last contact with that region was LinkAgeMs
	// milliseconds ago.
	Pulling   bool   `cbor:"3,keyasint,omitempty"`
	LinkAgeMs uint32 `cbor:"4,keyasint,omitempty"`
	// Joining reports that the sender has nothing to relay yet.
	Joining bool `cbor:"5,keyasint,omitempty"`
	// WantSender asks the receiver to set Message.Sender in its next heartbeat.
	WantSender bool `cbor:"6,keyasint,omitempty"`
	// Full reports that the sender accepts no further child: it answers heartbeats and pulls but pushes nothing.
	Full bool `cbor:"7,keyasint,omitempty"`
	// SourceFailing reports that the reader upstream of the sender fails to read the platform.
	SourceFailing bool `cbor:"8,keyasint,omitempty"`
}

// Push carries deltas.
type Push struct {
	Deltas []Delta `cbor:"1,keyasint"`
}

// Delta is a packed document.Delta. Its base is given in compact form beside the packed data instead of inside it, to
// save bytes.
type Delta struct {
	// BaseRevision and BaseDigest identify the base as in DocumentVersion; they are 0 for a full delta.
	BaseRevision uint64 `cbor:"1,keyasint,omitempty"`
	BaseDigest   uint64 `cbor:"2,keyasint,omitempty"`
	Packed       []byte `cbor:"3,keyasint"`
}

// Pull requests documents. Each element of Have names a requested document and the sender's version of it, which can
// serve as base of a delta; revision 0 means that the sender does not have the document.
type Pull struct {
	Have []DocumentVersion `cbor:"1,keyasint"`
}

// Ask requests an Offer from a peer.
type Ask struct{}

// Offer answers Ask with the versions that the sender has.
type Offer struct {
	// HasCatalogue reports that the sender has a catalogue.
	HasCatalogue bool `cbor:"1,keyasint,omitempty"`
	// Region is the sender's region.
	Region   string            `cbor:"2,keyasint,omitempty"`
	Versions []DocumentVersion `cbor:"3,keyasint,omitempty"`
	// Refer names other peers to ask.
	Refer []Address `cbor:"4,keyasint,omitempty"`
}

// Busy refuses a pull because the sender's rate limit of full documents is exhausted. Refer names other peers to ask.
type Busy struct {
	RetryAfterMs uint32    `cbor:"1,keyasint"`
	Refer        []Address `cbor:"2,keyasint,omitempty"`
}

// Notice is a small message that is flooded to all processes. It is identified by Origin and Sequence.
type Notice struct {
	Kind     string `cbor:"1,keyasint"`
	Subject  string `cbor:"2,keyasint,omitempty"`
	Origin   string `cbor:"3,keyasint"`
	Sequence uint64 `cbor:"4,keyasint"`
	// TTLMs is the remaining time to live in milliseconds; it decreases with each hop.
	TTLMs uint32 `cbor:"5,keyasint"`
	Body  []byte `cbor:"6,keyasint,omitempty"`
}

// TTL returns the remaining time to live.
func (n Notice) TTL() time.Duration { return time.Duration(n.TTLMs) * time.Millisecond }

// Encode encodes a message. It returns ErrTooLarge if the message exceeds the size limit of its type.
func Encode(m Message) ([]byte, error) {
	data, err := document.Marshal(m)
	if err != nil {
		return nil, err
	}
	return data, checkSize(m, len(data))
}

// Decode decodes a message and checks its size and structure. It returns ErrTooLarge or ErrMalformed.
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
	limit := MaxControlBytes
	if m.Push != nil {
		limit = MaxMessageBytes
	}
	if size > limit {
		return errors.Wrapf(ErrTooLarge, "%d bytes, limit %d", size, limit)
	}
	return nil
}

// check verifies that exactly one part is set and that lists and notice bodies are within their limits.
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
	tooLong := (m.Heartbeat != nil && len(m.Heartbeat.Versions) > maxListLen) ||
		(m.Ack != nil && len(m.Ack.Versions) > maxListLen) ||
		(m.Push != nil && len(m.Push.Deltas) > maxListLen) ||
		(m.Pull != nil && len(m.Pull.Have) > maxListLen) ||
		(m.Offer != nil && (len(m.Offer.Versions) > maxListLen || len(m.Offer.Refer) > maxListLen)) ||
		(m.Busy != nil && len(m.Busy.Refer) > maxListLen) || len(m.Notices) > maxListLen
	if tooLong {
		return errors.Wrap(ErrMalformed, "list has more than the allowed number of elements")
	}
	for _, n := range m.Notices {
		if len(n.Body) > MaxNoticeBytes {
			return errors.Wrap(ErrMalformed, "notice body exceeds its size limit")
		}
	}
	return nil
}

// hashVersions returns a hash over versions, which must be sorted by name.
func hashVersions(versions []DocumentVersion) uint64 {
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
