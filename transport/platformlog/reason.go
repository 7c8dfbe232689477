package platformlog

import (
	"context"
	"net"

	"github.com/pkg/errors"
)

// Reasons for failed calls, as metric labels.
const (
	reasonDial       = "dial"
	reasonTimeout    = "timeout"
	reasonCancelled  = "cancelled"
	reasonConnection = "connection"
	reasonServer     = "server"
	reasonClient     = "client"
	reasonReply      = "reply"
	reasonCrowded    = "crowded"
)

// dialReason names why no connection was had.
func dialReason(err error) string {
	if errors.Is(err, context.Canceled) {
		return reasonCancelled
	}
	return reasonDial
}

// transportReason names why a round trip broke off.
func transportReason(err error) string {
	var netErr net.Error
	switch {
	case errors.Is(err, context.Canceled):
		return reasonCancelled
	case errors.Is(err, context.DeadlineExceeded):
		return reasonTimeout
	case errors.As(err, &netErr) && netErr.Timeout():
		return reasonTimeout
	}
	return reasonConnection
}
