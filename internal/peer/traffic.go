package peer

import (
	"context"
	"fmt"
	"net"

	"github.com/VictoriaMetrics/metrics"
	"google.golang.org/grpc/stats"

	"github.com/cyclamenwinch/cyclamenwinch/internal/peerpb"
)

// The kinds of traffic between routers.
const (
	kindHeartbeat = "heartbeat"
	kindView      = "view"
	kindManifest  = "manifest"
	kindAdmission = "admission"
	kindOrders    = "orders"
	kindOther     = "other"
)

// traffic counts messages and their bytes by kind and direction. Frames,
// headers and TLS are counted with the connections only.
type traffic struct{}

type kindKey struct{}

// TagRPC notes the kind of a call.
func (traffic) TagRPC(ctx context.Context, info *stats.RPCTagInfo) context.Context {
	return context.WithValue(ctx, kindKey{}, kindOf(info.FullMethodName))
}

// HandleRPC counts the messages of a call.
func (traffic) HandleRPC(ctx context.Context, s stats.RPCStats) {
	kind, _ := ctx.Value(kindKey{}).(string)
	switch m := s.(type) {
	case *stats.InPayload:
		count(kind, "received", m.WireLength)
	case *stats.OutPayload:
		count(kind, "sent", m.WireLength)
	}
}

// TagConn does nothing.
func (traffic) TagConn(ctx context.Context, _ *stats.ConnTagInfo) context.Context { return ctx }

// HandleConn does nothing.
func (traffic) HandleConn(context.Context, stats.ConnStats) {}

func kindOf(method string) string {
	switch method {
	case peerpb.Fleet_Heartbeat_FullMethodName:
		return kindHeartbeat
	case peerpb.Fleet_SyncView_FullMethodName:
		return kindView
	case peerpb.Fleet_FetchRoot_FullMethodName, peerpb.Fleet_FetchParts_FullMethodName:
		return kindManifest
	case peerpb.Admission_Admit_FullMethodName:
		return kindAdmission
	case peerpb.Orders_PlaceOrder_FullMethodName:
		return kindOrders
	}
	return kindOther
}

func count(kind, direction string, bytes int) {
	labels := fmt.Sprintf(`{kind=%q,direction=%q}`, kind, direction)
	metrics.GetOrCreateCounter("cyclamenwinch_control_messages_total" + labels).Inc()
	metrics.GetOrCreateCounter("cyclamenwinch_control_bytes_total" + labels).Add(bytes)
}

var (
	received = metrics.NewCounter(`cyclamenwinch_peer_bytes_total{direction="received"}`)
	sent     = metrics.NewCounter(`cyclamenwinch_peer_bytes_total{direction="sent"}`)
)

// countedConn counts all bytes of a connection, TLS included.
type countedConn struct{ net.Conn }

// Read counts what it reads.
func (c countedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	received.Add(n)
	return n, err
}

// Write counts what it writes.
func (c countedConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	sent.Add(n)
	return n, err
}

type countedListener struct{ net.Listener }

// Accept returns a connection that counts its bytes.
func (l countedListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return countedConn{conn}, nil
}
