// Package socket gives access to the sockets of connections.
package socket

import (
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// ResetOnClose makes Close of a plain or TLS connection reset it and discard the bytes that have not been sent. Connections of other
// kinds are not changed.
func ResetOnClose(nc net.Conn) {
	if wrapped, ok := nc.(interface{ NetConn() net.Conn }); ok {
		nc = wrapped.NetConn()
	}
	if tcp, ok := nc.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // fails only on a closed connection
	}
}

// Raw returns access to the socket of a plain or TLS connection, or nil if it has none.
func Raw(nc net.Conn) syscall.RawConn {
	if wrapped, ok := nc.(interface{ NetConn() net.Conn }); ok {
		nc = wrapped.NetConn()
	}
	sc, ok := nc.(syscall.Conn)
	if !ok {
		return nil
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return nil
	}
	return raw
}

// AckedBytes returns the number of bytes sent on a TCP connection that the other side has acknowledged, and false if it is not known. It
// stops rising soon after the other side stops reading.
func AckedBytes(nc net.Conn) (uint64, bool) {
	raw := Raw(nc)
	if raw == nil {
		return 0, false
	}
	var info *unix.TCPInfo
	var optErr error
	err := raw.Control(func(fd uintptr) { info, optErr = unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO) })
	if err != nil || optErr != nil {
		return 0, false
	}
	return info.Bytes_acked, true
}
