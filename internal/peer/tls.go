package peer

import (
	"fmt"

	"github.com/quic-go/quic-go"

	"github.com/chervilwell/chervilwell/distribution"
	"github.com/chervilwell/chervilwell/internal/certs"
)

// alpnPrefix precedes the protocol version in the handshake.
const alpnPrefix = "chervilwell-peer/"

// protocols returns the names of the protocol versions spoken, newest first.
func protocols() []string {
	var out []string
	for v := distribution.ProtocolVersion; v >= distribution.MinProtocolVersion; v-- {
		out = append(out, fmt.Sprintf("%s%d", alpnPrefix, v))
	}
	return out
}

// peerIdentity returns the identity of the instance at the other end of a connection.
func peerIdentity(conn *quic.Conn) (certs.Identity, error) {
	state := conn.ConnectionState().TLS
	return certs.PeerIdentity(&state)
}
