package peer

import (
	"context"
	"io"
	"net"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/quic-go/quic-go"
	"github.com/rs/zerolog"

	"github.com/chervilwell/chervilwell/distribution"
	"github.com/chervilwell/chervilwell/internal/certs"
	"github.com/chervilwell/chervilwell/ring"
)

// Limits and timeouts of connections.
const (
	idleTimeout      = 4 * time.Second
	handshakeTimeout = 2 * time.Second
	// messageTimeout limits the time to send one message, including the connection setup, and the time to receive one.
	messageTimeout = 5 * time.Second
	// maxIncomingStreams limits the messages that one peer can send concurrently.
	maxIncomingStreams = 32
	// maxLinks limits the peers with an outgoing queue, maxConns the open connections.
	maxLinks = 256
	maxConns = 256
	// streamWindow and connectionWindow are flow control windows in bytes: the data that a peer may send before it is read.
	streamWindow     = 1 << 20
	connectionWindow = 2 << 20
)

// Config configures the transport of one process.
type Config struct {
	// Addr is the UDP host:port to listen on. Outgoing connections use it as their source address.
	Addr string
	// Certs holds the certificate of this process and the authorities that sign the certificates of its peers.
	Certs *certs.Store
	Log   zerolog.Logger
}

// QUIC is a Transport over QUIC.
type QUIC struct {
	cfg        Config
	transport  *quic.Transport
	listener   *quic.Listener
	inbound    *ring.Ring[Inbound]
	quicConfig *quic.Config

	mu sync.Mutex
	// links is keyed by peer address.
	links map[string]*link
	// conns holds the open connections; closedTraffic counts the bytes of closed ones.
	conns         map[*quic.Conn]struct{}
	closedTraffic Traffic
	ctx           context.Context
	stop          context.CancelFunc
	wg            sync.WaitGroup
}

// link is the outgoing queue and the connection of one peer address. Its fields to and conn are guarded by QUIC.mu.
type link struct {
	to    distribution.Address
	queue *ring.Ring[[]byte]
	// conn is the latest connection, or nil.
	conn *quic.Conn
}

// Listen opens a UDP socket and accepts connections until Close is called.
func Listen(cfg Config) (*QUIC, error) {
	addr, err := net.ResolveUDPAddr("udp", cfg.Addr)
	if err != nil {
		return nil, errors.Wrapf(err, "resolve peer address %q", cfg.Addr)
	}
	socket, err := net.ListenUDP("udp", addr)
	if err != nil {
		return nil, errors.Wrapf(err, "listen on peer address %q", cfg.Addr)
	}
	q := &QUIC{
		cfg: cfg, transport: &quic.Transport{Conn: socket}, links: map[string]*link{}, conns: map[*quic.Conn]struct{}{},
		inbound: ring.New[Inbound](InboundQueue, ring.DropOldest),
		quicConfig: &quic.Config{
			MaxIdleTimeout: idleTimeout, HandshakeIdleTimeout: handshakeTimeout,
			MaxIncomingStreams: -1, MaxIncomingUniStreams: maxIncomingStreams,
			MaxStreamReceiveWindow: streamWindow, MaxConnectionReceiveWindow: connectionWindow,
		},
	}
	q.listener, err = q.transport.Listen(cfg.Certs.PeerServer(alpnProtocols()...), q.quicConfig)
	if err != nil {
		_ = socket.Close()
		return nil, errors.Wrap(err, "listen for QUIC")
	}
	q.ctx, q.stop = context.WithCancel(context.Background())
	q.wg.Go(q.accept)
	return q, nil
}

// Addr returns the address on which the transport listens.
func (q *QUIC) Addr() string { return q.transport.Conn.LocalAddr().String() }

// Receive implements Transport.
func (q *QUIC) Receive() *ring.Ring[Inbound] { return q.inbound }

// Close closes all connections and the socket, and waits until all goroutines of the transport have ended.
func (q *QUIC) Close() error {
	q.stop()
	err := q.listener.Close()
	q.mu.Lock()
	for _, l := range q.links {
		if l.conn != nil {
			_ = l.conn.CloseWithError(0, "closing")
		}
	}
	q.mu.Unlock()
	_ = q.transport.Close()
	q.wg.Wait()
	_ = q.transport.Conn.Close()
	return errors.Wrap(err, "close listener")
}

func (q *QUIC) accept() {
	for {
		conn, err := q.listener.Accept(q.ctx)
		if err != nil {
			return
		}
		id, err := peerIdentity(conn)
		if err != nil {
			_ = conn.CloseWithError(1, err.Error())
			continue
		}
		if q.atConnLimit() {
			_ = conn.CloseWithError(2, "too many connections; retry after a backoff")
			continue
		}
		from := distribution.Address{Name: id.Instance, Addr: conn.RemoteAddr().String()}
		q.useForSending(from, conn)
		q.wg.Go(func() { q.receiveMessages(conn, from, id.FailureDomain) })
	}
}

// atConnLimit reports whether maxConns connections are open.
func (q *QUIC) atConnLimit() bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return len(q.conns) >= maxConns
}

// useForSending makes an incoming connection the one on which messages to its peer are sent. It replaces an older connection,
// which may lead to an earlier incarnation of the peer: messages sent on it would be lost until its idle timeout.
func (q *QUIC) useForSending(from distribution.Address, conn *quic.Conn) {
	q.mu.Lock()
	defer q.mu.Unlock()
	l := q.links[from.Addr]
	if l == nil {
		if l = q.addLink(from); l == nil {
			return
		}
	}
	l.to.Name = from.Name
	l.conn = conn
}

// addLink adds a link and starts its sender. It returns nil if there are maxLinks links or the transport is closing. Must be
// called with q.mu held.
func (q *QUIC) addLink(to distribution.Address) *link {
	if len(q.links) >= maxLinks || q.ctx.Err() != nil {
		return nil
	}
	l := &link{to: to, queue: ring.New[[]byte](OutboundQueue, ring.DropOldest)}
	q.links[to.Addr] = l
	q.wg.Go(func() { q.sendMessages(l) })
	return l
}

// Send implements Transport. A message to a new peer is dropped if there are maxLinks links.
func (q *QUIC) Send(to distribution.Address, m distribution.Message) {
	data, err := distribution.Encode(m)
	if err != nil {
		q.cfg.Log.Error().Err(err).Str("peer", to.Name).Msg("message not sent")
		return
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	l := q.links[to.Addr]
	if l == nil {
		if l = q.addLink(to); l == nil {
			return
		}
	}
	if to.Name != "" && l.to.Name != to.Name {
		// The address now belongs to another instance, so the connection to the previous one must not be used.
		l.to.Name = to.Name
		if l.conn != nil {
			_ = l.conn.CloseWithError(0, "instance replaced")
			l.conn = nil
		}
	}
	l.queue.Put(data)
}

// sendMessages sends the queued messages of a link until the queue has been empty for idleTimeout.
func (q *QUIC) sendMessages(l *link) {
	for {
		ctx, cancel := context.WithTimeout(q.ctx, idleTimeout)
		data, err := l.queue.Get(ctx)
		cancel()
		if err != nil {
			if q.removeIdle(l) {
				return
			}
			continue
		}
		if err := q.sendMessage(l, data); err != nil {
			q.cfg.Log.Debug().Err(err).Str("addr", l.to.Addr).Msg("send failed")
		}
	}
}

// removeIdle removes a link. It returns false if a message has been queued meanwhile and the transport is not closing.
func (q *QUIC) removeIdle(l *link) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	if l.queue.Len() > 0 && q.ctx.Err() == nil {
		return false
	}
	delete(q.links, l.to.Addr)
	return true
}

func (q *QUIC) sendMessage(l *link, data []byte) error {
	ctx, cancel := context.WithTimeout(q.ctx, messageTimeout)
	defer cancel()
	conn, err := q.connect(ctx, l)
	if err != nil {
		return err
	}
	stream, err := conn.OpenUniStreamSync(ctx)
	if err != nil {
		return errors.Wrap(err, "open stream")
	}
	_ = stream.SetWriteDeadline(time.Now().Add(messageTimeout))
	if _, err := stream.Write(data); err != nil {
		stream.CancelWrite(0)
		return errors.Wrap(err, "write message")
	}
	return errors.Wrap(stream.Close(), "close stream")
}

// connect returns the open connection of a link, or dials a new one.
func (q *QUIC) connect(ctx context.Context, l *link) (*quic.Conn, error) {
	q.mu.Lock()
	conn, to := l.conn, l.to
	q.mu.Unlock()
	if conn != nil && conn.Context().Err() == nil {
		return conn, nil
	}
	addr, err := net.ResolveUDPAddr("udp", to.Addr)
	if err != nil {
		return nil, errors.Wrapf(err, "resolve peer address %q", to.Addr)
	}
	conn, err = q.transport.Dial(ctx, addr, q.cfg.Certs.PeerClient(to.Name, alpnProtocols()...), q.quicConfig)
	if err != nil {
		return nil, errors.Wrap(err, "dial")
	}
	id, err := peerIdentity(conn)
	if err != nil {
		_ = conn.CloseWithError(1, err.Error())
		return nil, err
	}
	q.mu.Lock()
	l.conn = conn
	q.mu.Unlock()
	from := distribution.Address{Name: id.Instance, Addr: to.Addr}
	q.wg.Go(func() { q.receiveMessages(conn, from, id.FailureDomain) })
	return conn, nil
}

// receiveMessages receives messages on a connection until it is closed.
func (q *QUIC) receiveMessages(conn *quic.Conn, from distribution.Address, failureDomain string) {
	q.mu.Lock()
	q.conns[conn] = struct{}{}
	q.mu.Unlock()
	defer q.removeConn(conn)
	for {
		stream, err := conn.AcceptUniStream(q.ctx)
		if err != nil {
			return
		}
		q.wg.Go(func() { q.receiveMessage(stream, from, failureDomain) })
	}
}

// removeConn removes a closed connection and adds its traffic to the total.
func (q *QUIC) removeConn(conn *quic.Conn) {
	stats := conn.ConnectionStats()
	q.mu.Lock()
	defer q.mu.Unlock()
	delete(q.conns, conn)
	q.closedTraffic.Sent += stats.BytesSent
	q.closedTraffic.Received += stats.BytesReceived
}

// Traffic counts bytes of QUIC packets. It includes QUIC headers and acknowledgements, but not the headers of UDP and IP.
type Traffic struct{ Sent, Received uint64 }

// Traffic returns the bytes sent and received over all connections since Listen.
func (q *QUIC) Traffic() Traffic {
	q.mu.Lock()
	defer q.mu.Unlock()
	total := q.closedTraffic
	for conn := range q.conns {
		stats := conn.ConnectionStats()
		total.Sent += stats.BytesSent
		total.Received += stats.BytesReceived
	}
	return total
}

// receiveMessage reads one message from a stream and queues it.
func (q *QUIC) receiveMessage(stream *quic.ReceiveStream, from distribution.Address, failureDomain string) {
	_ = stream.SetReadDeadline(time.Now().Add(messageTimeout))
	data, err := io.ReadAll(io.LimitReader(stream, distribution.MaxMessageBytes+1))
	if err != nil {
		stream.CancelRead(0)
		return
	}
	m, err := distribution.Decode(data)
	if err != nil {
		q.cfg.Log.Warn().Err(err).Str("peer", from.Name).Msg("message refused")
		return
	}
	q.inbound.Put(Inbound{From: from, FailureDomain: failureDomain, Message: m})
}
