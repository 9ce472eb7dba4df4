package snapshot

import (
	"sync"
	"sync/atomic"

	"github.com/pkg/errors"

	"github.com/chervilwell/chervilwell/catalogue"
	"github.com/chervilwell/chervilwell/document"
)

// State is a consistent pair of catalogue and instances. A request loads one State and uses it until it ends.
type State struct {
	// Config is the catalogue in force, or nil if none has been accepted yet.
	Config *Config
	// Endpoints are the known instances; nil means none.
	Endpoints *Endpoints
}

// Errors returned by Holder.Accept and CheckSuccessor.
var (
	// ErrOlder is returned if the new revision is lower than the one in force. The operator should publish the content under a
	// higher revision.
	ErrOlder = errors.New("revision is older than the one in force; publish the content under a higher revision")
	// ErrConflict is returned if the revision in force was published again with other content. The operator should publish the
	// wanted content under a higher revision.
	ErrConflict = errors.New("revision is already in force with another digest; publish the content under a higher revision")
)

// Holder holds the state in force behind an atomic pointer. It is safe for concurrent use: readers never block, and writers are
// serialized.
type Holder struct {
	// mu serializes the writers of current.
	mu      sync.Mutex
	current atomic.Pointer[State]
	// decoder is guarded by mu.
	decoder catalogue.Decoder
}

// NewHolder returns a holder of an empty state: no catalogue and no instances.
func NewHolder() *Holder {
	h := &Holder{}
	h.current.Store(&State{})
	return h
}

// Load returns the state in force. It is never nil, but its Config is nil until the first catalogue is accepted.
func (h *Holder) Load() *State { return h.current.Load() }

// Accept compiles doc and puts it in force. It returns ErrOlder or ErrConflict (wrapped) if the version must not replace the one
// in force, and the error of Compile if the catalogue is invalid. After an error the catalogue in force is unchanged.
// Accepting the version in force again has no effect.
func (h *Holder) Accept(doc *document.Document) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	old := h.current.Load()
	if old.Config != nil {
		if err := CheckSuccessor(old.Config.version, doc.Version()); err != nil {
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

// CheckSuccessor checks that next may replace the version in force: it must be the same version or have a higher revision.
// Otherwise it returns ErrOlder or ErrConflict (wrapped).
func CheckSuccessor(inForce, next document.Version) error {
	switch {
	case next.Revision < inForce.Revision:
		return errors.Wrapf(ErrOlder, "revision %d after %d", next.Revision, inForce.Revision)
	case next.Revision == inForce.Revision && next.Digest != inForce.Digest:
		return errors.Wrapf(ErrConflict, "revision %d", next.Revision)
	}
	return nil
}

// SetEndpoints replaces the instances and keeps the catalogue in force.
func (h *Holder) SetEndpoints(e *Endpoints) {
	h.mu.Lock()
	defer h.mu.Unlock()
	old := h.current.Load()
	h.current.Store(&State{Config: old.Config, Endpoints: e})
}
