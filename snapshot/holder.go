package snapshot

import (
	"sync"
	"sync/atomic"

	"github.com/pkg/errors"

	"github.com/chervilwell/chervilwell/catalogue"
	"github.com/chervilwell/chervilwell/document"
)

// State is what one request pins: the catalogue in force and the instances known, as they stood at one moment.
type State struct {
	Config    *Config
	Endpoints *Endpoints
}

// Typed errors of Holder.Accept.
var (
	// ErrOlder says that the revision offered is below the one in force; publish the content under a higher revision.
	ErrOlder = errors.New("revision is older than the one in force; publish the content under a higher revision")
	// ErrConflict says that one revision was published with two contents; publish the wanted one under a higher revision.
	ErrConflict = errors.New("revision is in force with another digest; publish the content under a higher revision")
)

// Holder keeps the state in force behind one atomic pointer. Readers never block. Writers are serialized.
type Holder struct {
	mu      sync.Mutex
	current atomic.Pointer[State]
	// decoder is guarded by mu.
	decoder catalogue.Decoder
}

// NewHolder returns a holder whose state has neither configuration nor instances.
func NewHolder() *Holder {
	h := &Holder{}
	h.current.Store(&State{})
	return h
}

// Load returns the state in force; its Config is nil before the first catalogue was accepted.
func (h *Holder) Load() *State { return h.current.Load() }

// Accept compiles doc and puts it in force. It returns ErrOlder or ErrConflict (wrapped) for a version that must not
// follow the one in force, and the checker's error for a bad catalogue; in each case the one in force stays.
// The version already in force is accepted again without effect.
func (h *Holder) Accept(doc *document.Document) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	old := h.current.Load()
	if old.Config != nil {
		if err := Follows(old.Config.version, doc.Version()); err != nil {
			return err
		}
		if old.Config.version == doc.Version() {
			return nil
		}
	}
	config, err := compile(&h.decoder, doc)
	if err != nil {
		return err
	}
	h.current.Store(&State{Config: config, Endpoints: old.Endpoints})
	return nil
}

// Follows reports whether next may follow the version in force: it must be the same version or a higher revision.
func Follows(inForce, next document.Version) error {
	switch {
	case next.Revision < inForce.Revision:
		return errors.Wrapf(ErrOlder, "revision %d after %d", next.Revision, inForce.Revision)
	case next.Revision == inForce.Revision && next.Digest != inForce.Digest:
		return errors.Wrapf(ErrConflict, "revision %d", next.Revision)
	}
	return nil
}

// SetEndpoints puts a new set of instances in force beside the catalogue.
func (h *Holder) SetEndpoints(e *Endpoints) {
	h.mu.Lock()
	defer h.mu.Unlock()
	old := h.current.Load()
	h.current.Store(&State{Config: old.Config, Endpoints: e})
}
