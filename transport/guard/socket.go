package guard

import (
	"net"
	"syscall"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"
	"k8s.io/klog/v2"
)

// setReceiveBuffer sets the size of a listener's receive buffer.
func setReceiveBuffer(l net.Listener, size int) error {
	return setOption(l, unix.SOL_SOCKET, unix.SO_RCVBUF, size)
}

// setUserTimeout sets userTimeout. The gRPC server does so only for connections that it knows the type of.
func setUserTimeout(c net.Conn) {
	if err := setOption(c, unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout.Milliseconds())); err != nil {
		klog.V(1).InfoS("Could not set the user timeout of a connection", "err", err)
	}
}

// setOption sets a socket option with an integer value, if s is a socket.
func setOption(s any, level, option, value int) error {
	conn, ok := s.(syscall.Conn)
	if !ok {
		return nil
	}
	raw, err := conn.SyscallConn()
	if err != nil {
		return errors.WithStack(err)
	}
	var optionErr error
	if err := raw.Control(func(fd uintptr) { optionErr = unix.SetsockoptInt(int(fd), level, option, value) }); err != nil {
		return errors.WithStack(err)
	}
	return errors.WithStack(optionErr)
}
