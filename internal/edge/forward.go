package edge

import (
	"context"
	"log/slog"
	"math"
	"net"
	"net/http"
	"net/netip"
	"time"

	"github.com/cockroachdb/errors"

	choice "github.com/cyclamenwinch/cyclamenwinch/core/forward"
	"github.com/cyclamenwinch/cyclamenwinch/internal/forward"
	"github.com/cyclamenwinch/cyclamenwinch/internal/mesh"
	"github.com/cyclamenwinch/cyclamenwinch/internal/oplog"
	"github.com/cyclamenwinch/cyclamenwinch/internal/relay"
)

const (
	// maxForwardShare is the share of a core from which a router does not forward. One of
	// 0.8 of a core still reset 22,000 connections in 34 s while others were idle.
	maxForwardShare = 1.0
	// minForwardDelivery is the least bound of an event's delivery for which responses may be
	// read in batches by two routers.
	minForwardDelivery = 200 * time.Millisecond
	// forwardFileFraction limits the forwarded connections in progress by the descriptors,
	// of which each takes two. clientFileFraction is for the others.
	forwardFileFraction = 0.35
	// sharedFileFraction limits the descriptors of forwarded connections and of those of
	// clients together.
	sharedFileFraction = 0.8
)

// forwards reports whether this router may forward connections, and accepts those of
// others, if the fleet is a grid.
func (s Settings) forwards() bool {
	return s.SharesLoad && s.ForwardPort > 0 && s.CPUShare > 0 && s.CPUShare < maxForwardShare && s.MaxDelivery >= minForwardDelivery
}

// newCopier returns what forwards connections.
func (e *Edge) newCopier() (*forward.Copier, error) {
	via, err := netip.ParseAddrPort(e.settings.CallerAddress)
	if err == nil && !via.Addr().Is4() {
		err = errors.New("not an IPv4 address")
	}
	if err != nil {
		return nil, errors.Wrapf(err, "address for clients %q", e.settings.CallerAddress)
	}
	return forward.New(forward.Options{Via: via, Port: e.settings.ForwardPort, MaxOpen: e.maxForwarded, CPUShare: e.settings.CPUShare,
		Memory: e.budget, Targets: e.forwardTargets, Report: e.logForwarded})
}

// maxForwarded returns the limit of forwarded connections in progress. Together with the
// clients' connections they leave enough descriptors for endpoints and other routers.
func (e *Edge) maxForwarded() int {
	if e.settings.MaxFiles <= 0 {
		return math.MaxInt
	}
	files := float64(e.settings.MaxFiles)
	return int(min(forwardFileFraction*files, max(0, sharedFileFraction*files-float64(e.relay.OpenConnections()))/2))
}

// forwardTargets returns the live routers, and whether connections are forwarded.
func (e *Edge) forwardTargets() ([]choice.Target, bool) {
	live, isGrid := e.mesh.SpareCPU()
	targets := make([]choice.Target, 0, len(live))
	for _, r := range live {
		targets = append(targets, target(r, e.settings.Zone))
	}
	return targets, isGrid
}

// target describes a live router to a router of a zone.
func target(r mesh.SpareCPU, zone string) choice.Target {
	return choice.Target{Name: r.Name, Address: r.Address, Near: r.Zone == zone, Spare: r.Thousandths}
}

func (e *Edge) logForwarded(s forward.Sums) {
	targets := make([]slog.Attr, 0, len(s.Targets))
	for name, n := range s.Targets {
		targets = append(targets, slog.Int(name, n))
	}
	e.log.Log(oplog.StateChange, "connections.forwarded", slog.GroupAttrs("targets", targets...), slog.Int("failed", s.Failed),
		slog.Int("rejected", s.Rejected), slog.Int("limited", s.Limited), slog.Int("open", s.Open), slog.Duration("cpu", s.CPU))
}

// forwardServer is the server of connections that other routers forward. It serves them
// as if their clients had connected here, and one request on each, so that the next one
// is decided anew.
func (e *Edge) forwardServer() (webServer, error) {
	address := netip.AddrPortFrom(e.settings.Address, e.settings.ForwardPort).String()
	l, err := listen(address)
	if err != nil {
		return webServer{}, errors.Wrap(err, "listen for forwarded connections")
	}
	s := e.newClientServer("forwarded", &forward.Listener{TCPListener: l.(*net.TCPListener), HeaderTimeout: headerTimeout},
		http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set("Connection", "close")
			e.relay.ServeHTTP(w, r)
		}))
	s.server.ConnContext = func(ctx context.Context, c net.Conn) context.Context {
		ctx = e.relay.ConnContext(ctx, c)
		if f, ok := closingConn(c).(*forward.Conn); ok {
			ctx = relay.WithOrigin(ctx, func() slog.Attr { return e.originAttr(f) })
		}
		return ctx
	}
	return s, nil
}

// closingConn returns the connection that one of package closing wraps.
func closingConn(c net.Conn) net.Conn {
	if w, ok := c.(interface{ Unwrap() net.Conn }); ok {
		return w.Unwrap()
	}
	return c
}

// originAttr names the router that has forwarded a connection.
func (e *Edge) originAttr(c *forward.Conn) slog.Attr {
	o, ok := c.Origin()
	if !ok {
		return slog.Attr{}
	}
	by := e.mesh.NameOf(o.Via.String())
	if by == "" {
		by = o.Via.String()
	}
	return slog.Group("forwarded", slog.String("by", by), slog.String("client", o.Client.String()))
}
