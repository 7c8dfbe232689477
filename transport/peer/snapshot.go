package peer

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/status"

	"github.com/shallotstep/shallotstep/protocol/core"
	"github.com/shallotstep/shallotstep/protocol/core/corepb"
)

// SnapshotSource is implemented by an AgentHandler that answers entries which start without the
// store.
type SnapshotSource interface {
	// Snapshot returns what the agent finds out about the store's partitions, by itself or from
	// others. It works before Ready.
	Snapshot(ctx context.Context, p *corepb.SnapshotRequest) (*corepb.StoreSnapshot, error)
}

// Snapshot implements corepb.CoreServer.
func (s *Server) Snapshot(ctx context.Context, p *corepb.SnapshotRequest) (*corepb.StoreSnapshot, error) {
	source, ok := s.handler.(SnapshotSource)
	if !ok {
		return nil, status.Error(codes.Unimplemented, "no snapshots here")
	}
	return source.Snapshot(ctx, p)
}

// SnapshotClient asks one agent for snapshots.
type SnapshotClient struct {
	Addr string
	conn *grpc.ClientConn
}

// snapshotConnectTimeout bounds an attempt to connect to an agent that may be down or start at
// the same moment.
const snapshotConnectTimeout = 300 * time.Millisecond

// NewSnapshotClient returns a client for the agent at an address. It connects with the first call.
func NewSnapshotClient(addr string) (*SnapshotClient, error) {
	conn, err := grpc.NewClient("passthrough:///"+addr,
		grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(core.MaxSnapshotBytes)),
		grpc.WithConnectParams(grpc.ConnectParams{
			Backoff:           backoff.Config{BaseDelay: minRedialDelay, Multiplier: 1.5, MaxDelay: maxRedialDelay},
			MinConnectTimeout: snapshotConnectTimeout,
		}))
	if err != nil {
		return nil, errors.Wrapf(err, "create the client for %s", addr)
	}
	return &SnapshotClient{Addr: addr, conn: conn}, nil
}

// Ask asks the agent once.
func (c *SnapshotClient) Ask(ctx context.Context, p *corepb.SnapshotRequest) (*corepb.StoreSnapshot, error) {
	return corepb.NewCoreClient(c.conn).Snapshot(ctx, p)
}

// Close closes the connection.
func (c *SnapshotClient) Close() error {
	return errors.Wrapf(c.conn.Close(), "close the client for %s", c.Addr)
}
