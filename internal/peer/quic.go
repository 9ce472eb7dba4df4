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

// Bounds of connections.
const (
	idleTimeout      = 4 * time.Second
	handshakeTimeout = 2 * time.Second
	sendTimeout      = 5 * time.Second
	// incomingStreams bounds the messages that one peer sends at once.
	incomingStreams = 32
	// maxLinks bounds the peers that messages are sent to at once, and maxConns the connections.
	maxLinks = 256
	maxConns = 256
	// streamWindow and connectionWindow bound what a peer may send before it is read, in bytes.
	streamWindow     = 1 << 20
	connectionWindow = 2 << 20
)

// Config describes the transport of one process.
type Config struct {
	// Addr is the UDP host:port to listen on; it is the source of outgoing connections as well.
	Addr string
	// Certs holds the certificate of this process and the authorities that sign its peers'.
	Certs *certs.Store
	Log   zerolog.Logger
}

// Quic is a Transport over QUIC.
type Quic struct {
	cfg       Config
	transport *quic.Transport
	listener  *quic.Listener
	inbound   *ring.Ring[Inbound]
	settings  *quic.Config

	mu    sync.Mutex
	links map[string]*link
	// conns holds the connections that live; ended counts the bytes of those that ended.
	conns map[*quic.Conn]struct{}
	ended Traffic
	ctx   context.Context
	stop  context.CancelFunc
	wait  sync.WaitGroup
}

// link is the outgoing side of one peer, by address.
type link struct {
	to    distribution.Address
	queue *ring.Ring[[]byte]
	conn  *quic.Conn
}

// Listen opens the socket and accepts connections until Close.
func Listen(cfg Config) (*Quic, error) {
	addr, err := net.ResolveUDPAddr("udp", cfg.Addr)
	if err != nil {
		return nil, errors.Wrapf(err, "peer address %q", cfg.Addr)
	}
	socket, err := net.ListenUDP("udp", addr)
	if err != nil {
		return nil, errors.Wrapf(err, "listen on peer address %q", cfg.Addr)
	}
	q := &Quic{
		cfg: cfg, transport: &quic.Transport{Conn: socket}, links: map[string]*link{}, conns: map[*quic.Conn]struct{}{},
		inbound: ring.New[Inbound](InboundQueue, ring.DropOldest),
		settings: &quic.Config{
			MaxIdleTimeout: idleTimeout, HandshakeIdleTimeout: handshakeTimeout,
			MaxIncomingStreams: -1, MaxIncomingUniStreams: incomingStreams,
			MaxStreamReceiveWindow: streamWindow, MaxConnectionReceiveWindow: connectionWindow,
		},
	}
	q.listener, err = q.transport.Listen(cfg.Certs.PeerServer(protocols()...), q.settings)
	if err != nil {
		_ = socket.Close()
		return nil, errors.Wrap(err, "listen for QUIC")
	}
	q.ctx, q.stop = context.WithCancel(context.Background())
	q.wait.Go(q.accept)
	return q, nil
}

// Addr returns the address that the transport listens on.
func (q *Quic) Addr() string { return q.transport.Conn.LocalAddr().String() }

// Receive returns the ring of messages received.
func (q *Quic) Receive() *ring.Ring[Inbound] { return q.inbound }

// Close ends all connections and waits for its goroutines.
func (q *Quic) Close() error {
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
	q.wait.Wait()
	_ = q.transport.Conn.Close()
	return errors.Wrap(err, "close the listener")
}

func (q *Quic) accept() {
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
		if q.crowded() {
			_ = conn.CloseWithError(2, "too many connections; retry after a backoff")
			continue
		}
		from := distribution.Address{Name: id.Instance, Addr: conn.RemoteAddr().String()}
		q.adopt(from, conn)
		q.wait.Go(func() { q.read(conn, from, id.FailureDomain) })
	}
}

// crowded reports whether there is no room for a further connection.
func (q *Quic) crowded() bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return len(q.conns) >= maxConns
}

// adopt uses an incoming connection for messages to its peer too. It replaces an older one, which may lead to an earlier
// life of the peer and would swallow messages until it is found idle.
func (q *Quic) adopt(from distribution.Address, conn *quic.Conn) {
	q.mu.Lock()
	defer q.mu.Unlock()
	l := q.links[from.Addr]
	if l == nil {
		if l = q.newLink(from); l == nil {
			return
		}
	}
	l.to.Name = from.Name
	l.conn = conn
}

// newLink adds a peer and starts its sender. It returns nil if too many peers are connected or the transport is closing.
// The caller holds the lock.
func (q *Quic) newLink(to distribution.Address) *link {
	if len(q.links) >= maxLinks || q.ctx.Err() != nil {
		return nil
	}
	l := &link{to: to, queue: ring.New[[]byte](OutboundQueue, ring.DropOldest)}
	q.links[to.Addr] = l
	q.wait.Go(func() { q.write(l) })
	return l
}

// Send queues a message for a peer.
func (q *Quic) Send(to distribution.Address, m distribution.Message) {
	data, err := distribution.Encode(m)
	if err != nil {
		q.cfg.Log.Error().Err(err).Str("peer", to.Name).Msg("message not sent")
		return
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	l := q.links[to.Addr]
	if l == nil {
		if l = q.newLink(to); l == nil {
			return
		}
	}
	if to.Name != "" && l.to.Name != to.Name {
		// Another instance lives at the address now: the connection to the former one is of no use.
		l.to.Name = to.Name
		if l.conn != nil {
			_ = l.conn.CloseWithError(0, "instance replaced")
			l.conn = nil
		}
	}
	l.queue.Put(data)
}

// write sends the queue of one peer until it has been idle for a while.
func (q *Quic) write(l *link) {
	for {
		ctx, cancel := context.WithTimeout(q.ctx, idleTimeout)
		data, err := l.queue.Get(ctx)
		cancel()
		if err != nil {
			if q.retire(l) {
				return
			}
			continue
		}
		if err := q.writeOne(l, data); err != nil {
			q.cfg.Log.Debug().Err(err).Str("addr", l.to.Addr).Msg("send failed")
		}
	}
}

// retire removes an idle peer. It reports false if a message arrived meanwhile.
func (q *Quic) retire(l *link) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	if l.queue.Len() > 0 && q.ctx.Err() == nil {
		return false
	}
	delete(q.links, l.to.Addr)
	return true
}

func (q *Quic) writeOne(l *link, data []byte) error {
	ctx, cancel := context.WithTimeout(q.ctx, sendTimeout)
	defer cancel()
	conn, err := q.connect(ctx, l)
	if err != nil {
		return err
	}
	stream, err := conn.OpenUniStreamSync(ctx)
	if err != nil {
		return errors.Wrap(err, "open stream")
	}
	_ = stream.SetWriteDeadline(time.Now().Add(sendTimeout))
	if _, err := stream.Write(data); err != nil {
		stream.CancelWrite(0)
		return errors.Wrap(err, "write")
	}
	return errors.Wrap(stream.Close(), "close stream")
}

// connect returns the working connection of a peer, or dials one.
func (q *Quic) connect(ctx context.Context, l *link) (*quic.Conn, error) {
	q.mu.Lock()
	conn, to := l.conn, l.to
	q.mu.Unlock()
	if conn != nil && conn.Context().Err() == nil {
		return conn, nil
	}
	addr, err := net.ResolveUDPAddr("udp", to.Addr)
	if err != nil {
		return nil, errors.Wrapf(err, "peer address %q", to.Addr)
	}
	conn, err = q.transport.Dial(ctx, addr, q.cfg.Certs.PeerClient(to.Name, protocols()...), q.settings)
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
	q.wait.Go(func() { q.read(conn, from, id.FailureDomain) })
	return conn, nil
}

// read takes messages from a connection until it ends.
func (q *Quic) read(conn *quic.Conn, from distribution.Address, failureDomain string) {
	q.mu.Lock()
	q.conns[conn] = struct{}{}
	q.mu.Unlock()
	defer q.forget(conn)
	for {
		stream, err := conn.AcceptUniStream(q.ctx)
		if err != nil {
			return
		}
		q.wait.Go(func() { q.readOne(stream, from, failureDomain) })
	}
}

// forget adds what a connection that ended has carried to the totals.
func (q *Quic) forget(conn *quic.Conn) {
	stats := conn.ConnectionStats()
	q.mu.Lock()
	defer q.mu.Unlock()
	delete(q.conns, conn)
	q.ended.Sent += stats.BytesSent
	q.ended.Received += stats.BytesReceived
}

// Traffic counts bytes of QUIC packets, headers and acknowledgements included, without those of UDP and IP.
type Traffic struct{ Sent, Received uint64 }

// Traffic returns the bytes sent and received over all connections.
func (q *Quic) Traffic() Traffic {
	q.mu.Lock()
	defer q.mu.Unlock()
	total := q.ended
	for conn := range q.conns {
		stats := conn.ConnectionStats()
		total.Sent += stats.BytesSent
		total.Received += stats.BytesReceived
	}
	return total
}

func (q *Quic) readOne(stream *quic.ReceiveStream, from distribution.Address, failureDomain string) {
	_ = stream.SetReadDeadline(time.Now().Add(sendTimeout))
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
