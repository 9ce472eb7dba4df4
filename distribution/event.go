package distribution

import (
	"time"

	"github.com/chervilwell/chervilwell/catalogue"
	"github.com/chervilwell/chervilwell/document"
)

// Event is an input of Core.Step: one of the event types of this package.
type Event interface{ event() }

// Tick signals the passing of time. The caller has to send one about every 100 ms.
type Tick struct{}

// Received is a message from an authenticated peer. From.Name is the authenticated name.
type Received struct {
	From    Address
	Message Message
}

// ManifestRead is the result of a WatchManifest action.
type ManifestRead struct {
	ID       uint64
	Manifest catalogue.Manifest
	Tag      string
	Err      error
}

// ChunkRead is the result of a ReadChunk action.
type ChunkRead struct {
	Digest  document.Digest
	Entries []document.Entry
	Err     error
}

// ListRead is the result of a WatchList action.
type ListRead struct {
	ID            uint64
	FailureDomain string
	Document      *document.Document
	Err           error
}

// Publish floods a notice that originates in this process. Bodies longer than MaxNoticeBytes are dropped.
type Publish struct {
	Kind    string
	Subject string
	Body    []byte
	TTL     time.Duration
}

// Leave announces that this process is about to stop.
type Leave struct{}

// Resumed reports that the process was paused without a gap in the times of its ticks, such as when its machine was
// suspended.
type Resumed struct{}

func (Tick) event()         {}
func (Received) event()     {}
func (ManifestRead) event() {}
func (ChunkRead) event()    {}
func (ListRead) event()     {}
func (Publish) event()      {}
func (Leave) event()        {}
func (Resumed) event()      {}

// Address identifies a peer. Name is empty for a seed whose name is not known yet.
type Address struct {
	Name string
	Addr string
}

// Action is an instruction to the caller of Core.Step: one of the action types of this package.
type Action interface{ action() }

// Send sends a message to a peer. The message may be lost.
type Send struct {
	To      Address
	Message Message
}

// WatchManifest reads the catalogue's manifest as soon as its tag differs from After. The caller returns the result as
// ManifestRead.
type WatchManifest struct {
	ID    uint64
	After string
}

// StopManifest ends the manifest watch with this ID.
type StopManifest struct{ ID uint64 }

// ReadChunk reads one chunk of the catalogue. The caller returns the result as ChunkRead.
type ReadChunk struct{ Digest document.Digest }

// WatchList reads the list of a failure domain as soon as its version exceeds After. The caller returns the result as
// ListRead.
type WatchList struct {
	ID            uint64
	FailureDomain string
	After         uint64
}

// StopList ends the list watch with this ID.
type StopList struct {
	ID            uint64
	FailureDomain string
}

// Applied reports that a document was stored. Previous is the version that it replaced, or nil. A catalogue is already in
// force, since Check accepted it.
type Applied struct {
	Document *document.Document
	Previous *document.Document
}

// Deliver passes a newly received notice to the caller. Each notice is delivered once while it is remembered.
type Deliver struct{ Notice Notice }

// ReportKind is the kind of a Report.
type ReportKind string

// The kinds of reports.
const (
	ReportRefused  ReportKind = "refused"
	ReportOlder    ReportKind = "older"
	ReportConflict ReportKind = "conflict"
	ReportRole     ReportKind = "role"
	ReportSource   ReportKind = "source"
	ReportPeer     ReportKind = "peer"
	ReportPause    ReportKind = "pause"
)

// Report describes a decision for the audit trail. Remedy says what the operator can do, if anything.
type Report struct {
	Kind    ReportKind
	Subject string
	Detail  string
	Remedy  string
	Version document.Version
}

func (Send) action()          {}
func (WatchManifest) action() {}
func (StopManifest) action()  {}
func (ReadChunk) action()     {}
func (WatchList) action()     {}
func (StopList) action()      {}
func (Applied) action()       {}
func (Deliver) action()       {}
func (Report) action()        {}
