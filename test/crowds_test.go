package test_test

import (
	"bytes"
	"fmt"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"golang.org/x/net/http2"
	"golang.org/x/net/http2/hpack"

	"github.com/cyclamenwinch/cyclamenwinch/internal/peerpb"
)

// http2Requests returns what an HTTP/2 client sends that begins requests with many fields
// and a body, and ends none of the bodies.
func http2Requests(path, key string, requests, fields int) string {
	var b, head bytes.Buffer
	b.WriteString(http2.ClientPreface)
	f := http2.NewFramer(&b, nil)
	e := hpack.NewEncoder(&head)
	Expect(f.WriteSettings()).To(Succeed())
	for stream := range uint32(requests) {
		head.Reset()
		for _, field := range [][2]string{{":method", "POST"}, {":scheme", "http"}, {":path", path}, {":authority", "h"},
			{"content-type", "application/grpc"}, {"te", "trailers"}, {"authorization", "Bearer " + key}} {
			Expect(e.WriteField(hpack.HeaderField{Name: field[0], Value: field[1]})).To(Succeed())
		}
		for i := range fields {
			Expect(e.WriteField(hpack.HeaderField{Name: fmt.Sprint("x-", i), Value: "v"})).To(Succeed())
		}
		Expect(f.WriteHeaders(http2.HeadersFrameParam{StreamID: 2*stream + 1, BlockFragment: head.Bytes(), EndHeaders: true})).To(Succeed())
	}
	return b.String()
}

// Guards against crowds at each listener of a router.
var _ = Describe("Crowds", Serial, func() {
	var c *cluster
	BeforeEach(func() {
		s := smallSize()
		s.routers, s.requestMemory = 1, untrustedMemory
		c = startCluster(s)
	})

	fields := strings.Builder{}
	for n := range 8000 {
		fmt.Fprintf(&fields, "%x:\r\n", n+0x1000)
	}
	heads := func(string) string { return "GET / HTTP/1.1\r\nHost: h\r\n" + fields.String() }
	for _, kind := range []struct {
		listener, name string
		text           func(key string) string
	}{
		{"callers", "HTTP/2 requests with many fields and no end", func(key string) string { return http2Requests("/v1/chat/completions", key, 100, 500) }},
		{"callers", "as many HTTP/2 requests as a connection may, with heads of the largest size", func(key string) string { return http2Requests("/v1/chat/completions", key, 250, 1400) }},
		{"callers", "HTTP/2 requests with many fields of an unknown account", func(string) string { return http2Requests("/v1/chat/completions", "unknown", 100, 500) }},
		{"operators", "heads of many fields without their end", heads},
		{"operators", "HTTP/2 requests with many fields and no end", func(string) string { return http2Requests("/v1/status", "unknown", 100, 500) }},
		{"peers", "nothing", func(string) string { return "" }},
		{"peers", "calls without their messages", func(string) string { return http2Requests(peerpb.Fleet_Heartbeat_FullMethodName, "", 100, 0) }},
		{"peers", "calls with many fields", func(string) string { return http2Requests(peerpb.Fleet_Heartbeat_FullMethodName, "", 100, 500) }},
		{"peers", "heads of many fields without their end", heads},
	} {
		It("at the listener for "+kind.listener+" that send "+kind.name+" do not use up the memory of a router", func() {
			attacker, ordinary := c.manifest.Accounts[0].Name, c.manifest.Accounts[1].Name
			at := map[string]string{"callers": address(c.Routers[0].CallerURL), "operators": address(c.Routers[0].OpsURL), "peers": c.peers[c.Routers[0].Name]}[kind.listener]
			expectBorne(c, c.routers[0].running().Command.Process.Pid, at, kind.text("demo-"+attacker), ordinary)
		})
	}
})
