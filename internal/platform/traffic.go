package platform

import (
	"context"
	"net"
	"net/http"

	"github.com/VictoriaMetrics/metrics"
)

var (
	received = metrics.NewCounter(`cyclamenwinch_platform_bytes_total{direction="received"}`)
	sent     = metrics.NewCounter(`cyclamenwinch_platform_bytes_total{direction="sent"}`)
)

// countedTransport returns a transport that counts the bytes of its
// connections to the platform.
func countedTransport() *http.Transport {
	t := http.DefaultTransport.(*http.Transport).Clone()
	dial := t.DialContext
	t.DialContext = func(ctx context.Context, network, addr string) (net.Conn, error) {
		conn, err := dial(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		return countedConn{conn}, nil
	}
	return t
}

// countedConn counts all bytes of a connection.
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
