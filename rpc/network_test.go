package rpc

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"
	"golang.org/x/sys/unix"
)

// BoundSend sets TCP_USER_TIMEOUT and the send buffer size on the socket.
func TestBoundSendSetsSocketOptions(t *testing.T) {
	is, network := is.New(t), &TCP{}
	l, err := network.Listen("127.0.0.1:0")
	is.NoErr(err)
	defer l.Close()
	c, err := network.DialContext(context.Background(), "tcp", l.Addr().String())
	is.NoErr(err)
	defer c.Close()
	is.NoErr(BoundSend(c, 700*time.Millisecond, 256<<10))
	raw, err := c.(*net.TCPConn).SyscallConn()
	is.NoErr(err)
	is.NoErr(raw.Control(func(fd uintptr) {
		ms, err := unix.GetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT)
		is.NoErr(err)
		is.Equal(ms, 700)
		size, err := unix.GetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_SNDBUF)
		is.NoErr(err)
		is.True(size <= 2*256<<10) // the kernel doubles the value to allow for its own overhead
	}))
}
