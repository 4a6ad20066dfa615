// Package peer provides the gRPC transport between routers: a server for
// calls from other routers and a cache of connections to them.
package peer

import (
	"context"
	"net"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/keepalive"
	"google.golang.org/grpc/status"
	"google.golang.org/grpc/tap"

	"github.com/cyclamenwinch/cyclamenwinch/internal/connlimit"
	"github.com/cyclamenwinch/cyclamenwinch/internal/peerpb"
)

const (
	pingInterval        = 10 * time.Second // on an idle connection
	pingTimeout         = 2 * time.Second
	minPingInterval     = 5 * time.Second // the server disconnects peers that ping more often
	maxBackoff          = time.Second     // between attempts to connect; also the minimum timeout of an attempt
	gracefulStopTimeout = 3 * time.Second // for calls in progress when the server stops

	// Limits of a connection from a peer, most of whose calls are forwarded orders.
	maxCallHeadBytes  = 8 << 10
	maxCallsPerConn   = 1000
	connectionTimeout = 5 * time.Second // until the connection is set up
)

// errNoMemoryForCall is the status of a call that exceeds the memory that is left.
var errNoMemoryForCall = status.Error(codes.ResourceExhausted, "no memory is left for the call")

// Handlers implement the services that Serve offers to other routers.
type Handlers struct {
	Fleet     peerpb.FleetServer
	Admission peerpb.AdmissionServer
	Orders    peerpb.OrdersServer
}

// Serve handles calls from peers on the listener, within limits, until the context ends.
func Serve(ctx context.Context, l net.Listener, creds credentials.TransportCredentials, h Handlers, limits connlimit.Limits) error {
	limits.Server = "peers"
	conns := connlimit.New(countingListener{l}, limits)
	begin := func(ctx context.Context, _ *tap.Info) (context.Context, error) {
		if !conns.Call(ctx) {
			return ctx, errNoMemoryForCall
		}
		return ctx, nil
	}
	s := grpc.NewServer(
		grpc.Creds(creds),
		grpc.InTapHandle(begin),
		grpc.MaxHeaderListSize(maxCallHeadBytes),
		grpc.MaxConcurrentStreams(maxCallsPerConn),
		grpc.ConnectionTimeout(connectionTimeout),
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
	err := s.Serve(conns)
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
