package frontend

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"

	"github.com/quic-go/quic-go"
	"github.com/quic-go/quic-go/http3"

	"github.com/chervilwell/chervilwell/internal/certs"
)

// NewHTTP1Carrier returns a carrier over HTTP/1.1 with connections kept alive.
func NewHTTP1Carrier(store *certs.Store) *HTTPCarrier {
	const idlePerTarget = 64
	dialer := &net.Dialer{Timeout: dialTimeout}
	return &HTTPCarrier{transport: &http.Transport{
		DialTLSContext: func(ctx context.Context, _, addr string) (net.Conn, error) {
			return dialInstance(ctx, dialer, store, "http/1.1", addr)
		},
		MaxIdleConnsPerHost: idlePerTarget,
		IdleConnTimeout:     idleTimeout,
		DisableCompression:  true,
	}}
}

// NewHTTP3Carrier returns a carrier over QUIC streams.
func NewHTTP3Carrier(store *certs.Store) *HTTPCarrier {
	return &HTTPCarrier{transport: &http3.Transport{
		TLSClientConfig: store.PeerClient("", "h3"),
		QUICConfig:      &quic.Config{MaxIdleTimeout: idleTimeout, KeepAlivePeriod: pingAfter},
		Dial: func(ctx context.Context, addr string, _ *tls.Config, config *quic.Config) (*quic.Conn, error) {
			name, _ := ctx.Value(targetKey{}).(string)
			return quic.DialAddr(ctx, addr, store.PeerClient(name, "h3"), config)
		},
		DisableCompression: true,
	}}
}
