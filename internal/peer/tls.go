package peer

import (
	"fmt"

	"github.com/quic-go/quic-go"

	"github.com/chervilwell/chervilwell/distribution"
	"github.com/chervilwell/chervilwell/internal/certs"
)

// alpnPrefix precedes the protocol version in ALPN protocol names.
const alpnPrefix = "chervilwell-peer/"

// alpnProtocols returns the ALPN names of the supported protocol versions, newest first.
func alpnProtocols() []string {
	var out []string
	for v := distribution.ProtocolVersion; v >= distribution.MinProtocolVersion; v-- {
		out = append(out, fmt.Sprintf("%s%d", alpnPrefix, v))
	}
	return out
}

// peerIdentity returns the identity in the certificate of a connection's peer.
func peerIdentity(conn *quic.Conn) (certs.Identity, error) {
	state := conn.ConnectionState().TLS
	return certs.PeerIdentity(&state)
}
