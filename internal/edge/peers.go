package edge

import (
	"context"
	"net"
	"net/netip"

	"github.com/cockroachdb/errors"

	"github.com/cyclamenwinch/cyclamenwinch/internal/connlimit"
)

// peerLimits are the limits of the listener for peers, once there is one.
type peerLimits struct{ *Edge }

// Call implements mesh.CallLimits.
func (e peerLimits) Call(ctx context.Context) bool {
	conns := e.peerConns.Load()
	return conns == nil || conns.Call(ctx)
}

// Respond implements mesh.CallLimits.
func (e peerLimits) Respond(client net.Addr, bytes int) bool {
	conns := e.peerConns.Load()
	return conns == nil || conns.Respond(client, bytes)
}

func (e *Edge) servePeers(ctx context.Context) error {
	l, err := net.Listen("tcp", netip.AddrPortFrom(e.settings.Address, e.settings.PeerPort).String())
	if err != nil {
		return errors.Wrap(err, "listen for peers")
	}
	conns := connlimit.New(l, connlimit.Limits{Max: int(peerFileFraction * float64(e.settings.MaxFiles)), Memory: e.budget, Server: "peers", MakeRoom: true})
	e.peerConns.Store(conns)
	stop := context.AfterFunc(ctx, e.peerServer.Stop)
	defer stop()
	return e.peerServer.Serve(conns)
}
