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
	// unacknowledgedTimeout is how long sent data may stay unacknowledged before the kernel drops the connection (TCP_USER_TIMEOUT).
	unacknowledgedTimeout = 3 * time.Second
)

// Network opens and accepts connections. TCP implements it on the operating system; the simulator has its own implementation.
type Network interface {
	Listen(address string) (net.Listener, error)
	DialContext(ctx context.Context, network, address string) (net.Conn, error)
}

var _ Network = (*TCP)(nil)

// TCP is the Network of the operating system.
type TCP struct{ net.Dialer }

// DialContext connects within dialTimeout. The connection fails if the peer leaves sent data unacknowledged for unacknowledgedTimeout.
func (t *TCP) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	conn, err := t.Dialer.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	if err := setSocketOption(conn, unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unacknowledgedTimeout.Milliseconds())); err != nil {
		_ = conn.Close() // the error of setSocketOption is the one to report
		return nil, err
	}
	return conn, nil
}

// Listen listens on a TCP address.
func (*TCP) Listen(address string) (net.Listener, error) {
	listener, err := net.Listen("tcp", address)
	return listener, apierror.Wrap(err, apierror.Settings, "listen on "+address)
}

// BoundSend limits how long sent data may stay unacknowledged (TCP_USER_TIMEOUT) and the size of the kernel's send buffer. Connections that
// are not TCP sockets, such as the simulator's, may have a method SetUserTimeout instead. Any other connection gives apierror.Internal.
func BoundSend(conn net.Conn, unacknowledged time.Duration, buffer int) error {
	if other, ok := conn.(interface{ SetUserTimeout(time.Duration) }); ok {
		other.SetUserTimeout(unacknowledged)
		return nil
	}
	socket, ok := conn.(*net.TCPConn)
	if !ok {
		return apierror.New(apierror.Internal, "cannot set socket options on a connection of type %T", conn)
	}
	if err := socket.SetWriteBuffer(buffer); err != nil {
		return apierror.Wrap(err, apierror.Internal, "send buffer")
	}
	return setSocketOption(socket, unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unacknowledged.Milliseconds()))
}

// setSocketOption sets one integer option of a TCP socket.
func setSocketOption(conn net.Conn, level, name, value int) error {
	raw, err := conn.(*net.TCPConn).SyscallConn()
	if err != nil {
		return apierror.Wrap(err, apierror.Internal, "socket")
	}
	failed := raw.Control(func(fd uintptr) { err = unix.SetsockoptInt(int(fd), level, name, value) })
	return apierror.Wrap(errors.Join(failed, err), apierror.Internal, "socket option")
}
