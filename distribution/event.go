package distribution

import (
	"time"

	"github.com/chervilwell/chervilwell/catalogue"
	"github.com/chervilwell/chervilwell/document"
)

// Event is what happened: one of the event types of this package.
type Event interface{ event() }

// Tick says that time went on. It is due about every 100 ms.
type Tick struct{}

// Received is a message from a peer whose name was authenticated.
type Received struct {
	From    Address
	Message Message
}

// ManifestRead is the outcome of a WatchManifest action.
type ManifestRead struct {
	ID       uint64
	Manifest catalogue.Manifest
	Tag      string
	Err      error
}

// ChunkRead is the outcome of a ReadChunk action.
type ChunkRead struct {
	Digest  document.Digest
	Entries []document.Entry
	Err     error
}

// ListRead is the outcome of a WatchList action.
type ListRead struct {
	ID            uint64
	FailureDomain string
	Document      *document.Document
	Err           error
}

// Publish floods a notice of this process.
type Publish struct {
	Kind    string
	Subject string
	Body    []byte
	TTL     time.Duration
}

// Leave says that this process is about to stop.
type Leave struct{}

// Woken says that the process was paused, where the clock of the ticks doesn't show it, as after a suspended machine.
type Woken struct{}

func (Tick) event()         {}
func (Received) event()     {}
func (ManifestRead) event() {}
func (ChunkRead) event()    {}
func (ListRead) event()     {}
func (Publish) event()      {}
func (Leave) event()        {}
func (Woken) event()        {}

// Address names a peer. Name is empty for a seed that has not been heard yet.
type Address struct {
	Name string
	Addr string
}

// Action is what the caller has to do: one of the action types of this package.
type Action interface{ action() }

// Send sends a message to a peer. Loss is tolerated.
type Send struct {
	To      Address
	Message Message
}

// WatchManifest reads the catalogue's manifest as soon as its tag differs from After, and answers with ManifestRead.
type WatchManifest struct {
	ID    uint64
	After string
}

// StopManifest ends the watch of the manifest.
type StopManifest struct{ ID uint64 }

// ReadChunk reads one chunk of the catalogue and answers with ChunkRead.
type ReadChunk struct{ Digest document.Digest }

// WatchList reads the list of a failure domain as soon as its version exceeds After, and answers with ListRead.
type WatchList struct {
	ID            uint64
	FailureDomain string
	After         uint64
}

// StopList ends the watch of a list.
type StopList struct {
	ID            uint64
	FailureDomain string
}

// Applied says that a document is now held. Previous is what was held before, or nil. A catalogue is in force already,
// since Check accepted it.
type Applied struct {
	Document *document.Document
	Previous *document.Document
}

// Deliver hands over a notice that has not been seen before.
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

// Report describes a decision for the audit trail.
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
