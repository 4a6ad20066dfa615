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

// newCountingTransport returns a transport that counts the bytes of its
// connections in the metrics.
func newCountingTransport() *http.Transport {
	t := http.DefaultTransport.(*http.Transport).Clone()
	t.MaxResponseHeaderBytes = maxHeadBytes
	dial := t.DialContext
	t.DialContext = func(ctx context.Context, network, addr string) (net.Conn, error) {
		conn, err := dial(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		return countingConn{conn}, nil
	}
	return t
}

// countingConn counts the bytes that a connection receives and sends.
type countingConn struct{ net.Conn }

// Read reads from the connection and counts the bytes.
func (c countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	received.Add(n)
	return n, err
}

// Write writes to the connection and counts the bytes.
func (c countingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	sent.Add(n)
	return n, err
}
