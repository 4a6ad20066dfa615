// Package peer connects routers: a gRPC server for the calls of others and
// a cache of connections to them.
package peer

import (
	"context"
	"net"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/keepalive"

	"github.com/cyclamenwinch/cyclamenwinch/internal/peerpb"
)

const (
	pingEvery   = 10 * time.Second // on an idle connection
	pingTimeout = 2 * time.Second
	minPing     = 5 * time.Second
	backoffMax  = time.Second
	stopLongest = 3 * time.Second // for calls in progress at a stop
)

// Handlers answer the calls of other routers.
type Handlers struct {
	Fleet     peerpb.FleetServer
	Admission peerpb.AdmissionServer
	Orders    peerpb.OrdersServer
}

// Serve answers peers on the listener until the context ends.
func Serve(ctx context.Context, l net.Listener, creds credentials.TransportCredentials, h Handlers) error {
	s := grpc.NewServer(
		grpc.Creds(creds),
		grpc.StatsHandler(traffic{}),
		grpc.KeepaliveParams(keepalive.ServerParameters{Time: pingEvery, Timeout: pingTimeout}),
		grpc.KeepaliveEnforcementPolicy(keepalive.EnforcementPolicy{MinTime: minPing, PermitWithoutStream: true}),
	)
	peerpb.RegisterFleetServer(s, h.Fleet)
	peerpb.RegisterAdmissionServer(s, h.Admission)
	peerpb.RegisterOrdersServer(s, h.Orders)
	stopped := make(chan struct{})
	stop := context.AfterFunc(ctx, func() {
		defer close(stopped)
		stopGently(s)
	})
	err := s.Serve(countedListener{l})
	if !stop() {
		<-stopped
	}
	return errors.Wrap(err, "peer server")
}

// stopGently lets calls in progress end. Admission sessions don't end by
// themselves, so the wait is bounded.
func stopGently(s *grpc.Server) {
	force := time.AfterFunc(stopLongest, s.Stop)
	defer force.Stop()
	s.GracefulStop()
}
