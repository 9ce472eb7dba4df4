// Package peer transports messages between processes over QUIC with mutual TLS.
//
// Each message is sent on its own unidirectional stream. The protocol above tolerates loss, so all queues are bounded and drop
// messages instead of blocking.
package peer

import (
	"github.com/chervilwell/chervilwell/distribution"
	"github.com/chervilwell/chervilwell/ring"
)

// Inbound is one message received from an authenticated peer.
type Inbound struct {
	// From is the sender: the name in its certificate and the address of the connection.
	From distribution.Address
	// FailureDomain is the failure domain in the peer's certificate.
	FailureDomain string
	Message       distribution.Message
}

// Transport sends and receives messages.
type Transport interface {
	// Send queues a message for a peer. It never blocks: a message that cannot be queued is dropped, and if the
	// queue of the peer is full, its oldest message is dropped and counted.
	Send(to distribution.Address, m distribution.Message)
	// Receive returns the queue of received messages.
	Receive() *ring.Ring[Inbound]
}

// Capacities of queues.
const (
	// InboundQueue is the number of received messages that wait to be handled; beyond it the oldest are dropped.
	InboundQueue = 1024
	// OutboundQueue is the number of messages that wait to be sent to one peer; beyond it the oldest are dropped.
	OutboundQueue = 64
)
