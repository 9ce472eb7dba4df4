// Package peer carries messages between processes over QUIC with mutual TLS.
//
// A message travels on a unidirectional stream of its own. Loss is tolerated by the protocol above, so every queue is
// bounded and drops rather than waits.
package peer

import (
	"github.com/chervilwell/chervilwell/distribution"
	"github.com/chervilwell/chervilwell/ring"
)

// Inbound is one message received from an authenticated peer.
type Inbound struct {
	From distribution.Address
	// FailureDomain is the failure domain that the peer's certificate names.
	FailureDomain string
	Message       distribution.Message
}

// Transport sends and receives messages. Send never blocks; a message that finds no room is dropped and counted.
type Transport interface {
	Send(to distribution.Address, m distribution.Message)
	Receive() *ring.Ring[Inbound]
}

// Bounds of queues.
const (
	// InboundQueue is the number of messages received and not yet handled; the oldest are dropped beyond it.
	InboundQueue = 1024
	// OutboundQueue is the number of messages that wait for one peer; the oldest are dropped beyond it.
	OutboundQueue = 64
)
