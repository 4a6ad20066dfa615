package prepared_test

import (
	"bytes"
	"fmt"
	"net"
	"net/http/httptest"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/pires/go-proxyproto"
	"golang.org/x/net/http2"
	"golang.org/x/net/http2/hpack"
	"google.golang.org/protobuf/proto"

	"github.com/cyclamenwinch/cyclamenwinch/internal/peerpb"
	"github.com/cyclamenwinch/cyclamenwinch/internal/replica"
	"github.com/cyclamenwinch/cyclamenwinch/standin/prepared"
)

// frames returns what an HTTP/2 client sends: the preface, its settings and further frames.
func frames(write func(*http2.Framer)) string {
	var b bytes.Buffer
	b.WriteString(http2.ClientPreface)
	f := http2.NewFramer(&b, nil)
	_ = f.WriteSettings() // to a buffer
	write(f)
	return b.String()
}

// callHead is the head of a gRPC call.
func callHead(path string, fields int) []byte {
	var b bytes.Buffer
	e := hpack.NewEncoder(&b)
	for _, f := range []hpack.HeaderField{{Name: ":method", Value: "POST"}, {Name: ":scheme", Value: "http"}, {Name: ":path", Value: path},
		{Name: ":authority", Value: "h"}, {Name: "content-type", Value: "application/grpc"}, {Name: "te", Value: "trailers"}} {
		_ = e.WriteField(f)
	}
	for i := range fields {
		_ = e.WriteField(hpack.HeaderField{Name: fmt.Sprint("x-", i), Value: "v"})
	}
	return b.Bytes()
}

// callPath is a method that routers call at each other.
const callPath = peerpb.CachedParts_Estimates_FullMethodName

// largeConfigAccounts is the number of accounts in the configuration, which then has some
// 250 KB.
const largeConfigAccounts = 2000

// peerClients are kinds of clients of the listener for other routers.
var peerClients = []untrustedClient{
	{"nothing", func(int) (string, string, int) { return "", "", 0 }},
	{"the preface of HTTP/2 alone", func(int) (string, string, int) { return frames(func(*http2.Framer) {}), "", 0 }},
	{"calls without their messages", func(int) (string, string, int) {
		return frames(func(f *http2.Framer) {
			for stream := range uint32(100) {
				_ = f.WriteHeaders(http2.HeadersFrameParam{StreamID: 2*stream + 1, BlockFragment: callHead(callPath, 0), EndHeaders: true})
			}
		}), "", 0
	}},
	{"calls with heads of many fields", func(int) (string, string, int) {
		return frames(func(f *http2.Framer) {
			for stream := range uint32(100) {
				_ = f.WriteHeaders(http2.HeadersFrameParam{StreamID: 2*stream + 1, BlockFragment: callHead(callPath, 500), EndHeaders: true})
			}
		}), "", 0
	}},
	{"calls with large messages without their last byte", func(int) (string, string, int) {
		return frames(func(f *http2.Framer) {
			for stream := range uint32(4) {
				_ = f.WriteHeaders(http2.HeadersFrameParam{StreamID: 2*stream + 1, BlockFragment: callHead(callPath, 0), EndHeaders: true})
				message := append([]byte{0, 0, 0x3f, 0xff, 0xff}, make([]byte, 15_000)...) // announces 4 MB
				_ = f.WriteData(2*stream+1, false, message)
			}
		}), "", 0
	}},
	{"calls whose large responses they do not read", func(int) (string, string, int) {
		request, err := proto.Marshal(&peerpb.FetchRequest{Kind: string(replica.Config)})
		Expect(err).NotTo(HaveOccurred())
		message := append([]byte{0, 0, 0, 0, byte(len(request))}, request...)
		return frames(func(f *http2.Framer) {
			_ = f.WriteSettings(http2.Setting{ID: http2.SettingInitialWindowSize, Val: 0})
			for stream := range uint32(8) {
				_ = f.WriteHeaders(http2.HeadersFrameParam{StreamID: 2*stream + 1, BlockFragment: callHead(peerpb.Records_Fetch_FullMethodName, 0), EndHeaders: true})
				_ = f.WriteData(2*stream+1, true, message)
			}
		}), "", 0
	}},
	{"HTTP/1.1 heads of many fields", func(n int) (string, string, int) {
		var fields strings.Builder
		for f := range 8000 {
			fmt.Fprintf(&fields, "%x:\r\n", f+0x1000)
		}
		return untrustedHead("/x", "key-large", n) + fields.String(), "", 0
	}},
}

// controlClients are kinds of clients of the listeners that serve no client requests.
var controlClients = []untrustedClient{
	{"nothing", func(int) (string, string, int) { return "", "", 0 }},
	peerClients[len(peerClients)-1],
	{"requests with large bodies", func(n int) (string, string, int) {
		return untrustedHead("/v1/readyz", "key-large", n) + fmt.Sprintf("Content-Length: %d\r\n\r\n", 64<<20), strings.Repeat("x", 64<<10), 1 << 10
	}},
	{"pipelined requests whose responses they do not read", func(n int) (string, string, int) {
		return "", "GET /v1/resolve?name=h.example&zone=a HTTP/1.1\r\nHost: h\r\n\r\n", 5000
	}},
}

// forwardedClients are kinds of clients of the listener for forwarded connections.
var forwardedClients = []untrustedClient{
	{"nothing", func(int) (string, string, int) { return "", "", 0 }},
	{"no header of a forwarding router", peerClients[len(peerClients)-1].send},
	{"the header of a forwarding router and nothing", func(int) (string, string, int) { return forwardHeader(), "", 0 }},
	{"bodies of two accounts just short of the limit", func(n int) (string, string, int) {
		start, chunk, times := chunkedBodies(90_000, 1000, "key-large", "key-small")(n)
		return forwardHeader() + start, chunk, times
	}},
}

// forwardHeader is what a forwarding router sends before the bytes of a client.
func forwardHeader() string {
	h := proxyproto.HeaderProxyFromAddrs(2, &net.TCPAddr{IP: net.IPv4(127, 0, 0, 9), Port: 1}, &net.TCPAddr{IP: net.IPv4(127, 0, 0, 8), Port: 2})
	text, err := h.Format()
	Expect(err).NotTo(HaveOccurred())
	return string(text)
}

// Guards against a router that crowds at its other listeners end: those of other routers,
// of the platform's checks and of clients that ask for addresses.
var _ = Describe("Crowds at the other listeners", Serial, func() {
	var r *router
	var addresses map[string]string
	BeforeEach(func() {
		store := prepared.NewStore()
		server := httptest.NewServer(store)
		DeferCleanup(func() { server.CloseClientConnections(); server.Close() })
		orders := newRunner(store, "o1", "orders", "a")
		orders.record["slots"] = 64
		orders.publish()
		c := config(1, []string{"key-small"})
		for n := range largeConfigAccounts {
			c["tenants"] = append(c["tenants"].([]any), map[string]any{"name": fmt.Sprintf("account-%040d", n), "api-keys": []string{fmt.Sprintf("key-%040d", n)}})
		}
		store.Put("config", "main", c)
		peerPort := freePort()
		r = newRouter("r1", "127.0.0.1", "a", strings.TrimPrefix(server.URL, "http://"), peerPort)
		r.settings["limits"] = map[string]any{"memory-mb": untrustedMemoryMB, "max-fds": untrustedMaxFDs}
		r.setForwarding()
		r.write()
		r.start()
		DeferCleanup(func() { r.session.Kill().Wait(hangTimeout) })
		Eventually(r.ready).Should(Equal(200))
		Eventually(func() int { return small(r, "first") }).Should(Equal(200))
		addresses = map[string]string{"peers": fmt.Sprint("127.0.0.1:", peerPort), "forwarded": fmt.Sprint("127.0.0.1:", peerPort+1),
			"ready": r.listenAddress("ready"), "directory": r.listenAddress("directory")}
	})

	check := func(listener string, kind untrustedClient) {
		It("that send "+kind.name+" at the listener "+listener+" do not use up the memory of a router", func() {
			expectBorne(r, addresses[listener], kind, untrustedConns, untrustedMemoryMB, untrustedMaxFDs)
		})
	}
	for _, kind := range peerClients {
		check("peers", kind)
	}
	for _, kind := range forwardedClients {
		check("forwarded", kind)
	}
	for _, kind := range controlClients {
		check("ready", kind)
		check("directory", kind)
	}
})
