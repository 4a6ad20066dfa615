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

// trafficStats counts messages and their bytes by kind and direction. Frames,
// headers and TLS overhead are only included in the bytes that countingConn
// counts.
type trafficStats struct{}

type kindKey struct{}

// TagRPC stores the kind of a call in its context.
func (trafficStats) TagRPC(ctx context.Context, info *stats.RPCTagInfo) context.Context {
	return context.WithValue(ctx, kindKey{}, kindOf(info.FullMethodName))
}

// HandleRPC counts the messages of a call.
func (trafficStats) HandleRPC(ctx context.Context, s stats.RPCStats) {
	kind, _ := ctx.Value(kindKey{}).(string)
	switch m := s.(type) {
	case *stats.InPayload:
		countMessage(kind, "received", m.WireLength)
	case *stats.OutPayload:
		countMessage(kind, "sent", m.WireLength)
	}
}

// TagConn does nothing.
func (trafficStats) TagConn(ctx context.Context, _ *stats.ConnTagInfo) context.Context { return ctx }

// HandleConn does nothing.
func (trafficStats) HandleConn(context.Context, stats.ConnStats) {}

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

func countMessage(kind, direction string, bytes int) {
	labels := fmt.Sprintf(`{kind=%q,direction=%q}`, kind, direction)
	metrics.GetOrCreateCounter("cyclamenwinch_control_messages_total" + labels).Inc()
	metrics.GetOrCreateCounter("cyclamenwinch_control_bytes_total" + labels).Add(bytes)
}

var (
	bytesReceived = metrics.NewCounter(`cyclamenwinch_peer_bytes_total{direction="received"}`)
	bytesSent     = metrics.NewCounter(`cyclamenwinch_peer_bytes_total{direction="sent"}`)
)

// countingConn counts all bytes of a connection, including TLS overhead.
type countingConn struct{ net.Conn }

// Read counts the bytes read.
func (c countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	bytesReceived.Add(n)
	return n, err
}

// Write counts the bytes written.
func (c countingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	bytesSent.Add(n)
	return n, err
}

type countingListener struct{ net.Listener }

// Accept returns a connection that counts its bytes.
func (l countingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return countingConn{conn}, nil
}
