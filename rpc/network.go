package rpc

import (
	"context"
	"errors"
	"net"
	"time"

	"golang.org/x/sys/unix"

	"asterridge/apierror"
)

const (
	dialTimeout = time.Second
	// unacknowledgedTimeout is how long the kernel waits for an acknowledgement of what it has sent before it drops the connection.
	unacknowledgedTimeout = 3 * time.Second
)

// Network is what a process needs of the network. TCP is the machine's; the simulator has one of its own.
type Network interface {
	Listen(address string) (net.Listener, error)
	DialContext(ctx context.Context, network, address string) (net.Conn, error)
}

var _ Network = (*TCP)(nil)

// TCP is the machine's own network.
type TCP struct{ net.Dialer }

// DialContext connects within a second. A peer that no longer acknowledges what is sent is noticed within unacknowledgedTimeout.
func (t *TCP) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	conn, err := t.Dialer.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	if err := setSocketOption(conn, unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unacknowledgedTimeout.Milliseconds())); err != nil {
		_ = conn.Close() // the first error counts
		return nil, err
	}
	return conn, nil
}

// Listen opens a TCP port.
func (*TCP) Listen(address string) (net.Listener, error) {
	listener, err := net.Listen("tcp", address)
	return listener, apierror.Wrap(err, apierror.Settings, "listen on "+address)
}

// BoundSend limits how long the kernel tries to deliver what it has taken, and how many bytes it takes. Connections that are no sockets of
// this machine may offer a method SetUserTimeout instead. The error is apierror.Internal for any other connection.
func BoundSend(conn net.Conn, unacknowledged time.Duration, buffer int) error {
	if other, ok := conn.(interface{ SetUserTimeout(time.Duration) }); ok {
		other.SetUserTimeout(unacknowledged)
		return nil
	}
	socket, ok := conn.(*net.TCPConn)
	if !ok {
		return apierror.New(apierror.Internal, "a connection of type %T", conn)
	}
	if err := socket.SetWriteBuffer(buffer); err != nil {
		return apierror.Wrap(err, apierror.Internal, "send buffer")
	}
	return setSocketOption(socket, unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unacknowledged.Milliseconds()))
}

// setSocketOption sets one of a TCP socket's options.
func setSocketOption(conn net.Conn, level, name, value int) error {
	raw, err := conn.(*net.TCPConn).SyscallConn()
	if err != nil {
		return apierror.Wrap(err, apierror.Internal, "socket")
	}
	failed := raw.Control(func(fd uintptr) { err = unix.SetsockoptInt(int(fd), level, name, value) })
	return apierror.Wrap(errors.Join(failed, err), apierror.Internal, "socket option")
}
