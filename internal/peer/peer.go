// Package peer provides the gRPC transport between routers: a server for
// calls from other routers and a cache of connections to them.
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
	pingInterval        = 10 * time.Second // on an idle connection
	pingTimeout         = 2 * time.Second
	minPingInterval     = 5 * time.Second // the server disconnects peers that ping more often
	maxBackoff          = time.Second     // between attempts to connect; also the minimum timeout of an attempt
	gracefulStopTimeout = 3 * time.Second // for calls in progress when the server stops
)

// Handlers implement the services that Serve offers to other routers.
type Handlers struct {
	Fleet     peerpb.FleetServer
	Admission peerpb.AdmissionServer
	Orders    peerpb.OrdersServer
}

// Serve handles calls from peers on the listener until the context ends.
func Serve(ctx context.Context, l net.Listener, creds credentials.TransportCredentials, h Handlers) error {
	s := grpc.NewServer(
		grpc.Creds(creds),
		grpc.StatsHandler(trafficStats{}),
		grpc.KeepaliveParams(keepalive.ServerParameters{Time: pingInterval, Timeout: pingTimeout}),
		grpc.KeepaliveEnforcementPolicy(keepalive.EnforcementPolicy{MinTime: minPingInterval, PermitWithoutStream: true}),
	)
	peerpb.RegisterFleetServer(s, h.Fleet)
	peerpb.RegisterAdmissionServer(s, h.Admission)
	peerpb.RegisterOrdersServer(s, h.Orders)
	stopped := make(chan struct{})
	stop := context.AfterFunc(ctx, func() {
		defer close(stopped)
		stopGracefully(s)
	})
	err := s.Serve(countingListener{l})
	if !stop() {
		<-stopped
	}
	return errors.Wrap(err, "peer server")
}

// stopGracefully stops the server after the calls in progress have finished,
// or after gracefulStopTimeout, since admission sessions stay open indefinitely.
func stopGracefully(s *grpc.Server) {
	force := time.AfterFunc(gracefulStopTimeout, s.Stop)
	defer force.Stop()
	s.GracefulStop()
}
