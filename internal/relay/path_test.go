package relay_test

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/cyclamenwinch/cyclamenwinch/core/topology"
)

var _ = DescribeTable("The path of a request is not changed on its way, nor its route chosen by another one",
	func(path, route string) {
		f := newFakeEndpoint(func(_ int, s receivedRequest) reply { return reply{raw: response(s, 200, s.uri)} })
		server, h := newServer(topology.Route{}, f)
		routes := []topology.Route{{Name: "all", Prefix: "/"}, {Name: "p", Prefix: "/p/"}, {Name: "deep", Prefix: "/p/q/"}}
		for i := range routes {
			routes[i].Host, routes[i].Kind, routes[i].MaxAttempts = "127.0.0.1", topology.Idempotent, 1
			routes[i].Targets = []topology.Target{{Service: "none", Weight: 1}}
			if routes[i].Name == route {
				routes[i].Targets[0].Service = "s"
			}
		}
		h.SetTable(topology.NewTable(topology.Config{Routes: routes, Services: []topology.Service{{Name: "s"}, {Name: "none"}}}))
		resp, body, err := send(server, "GET", path, "")
		Expect(err).NotTo(HaveOccurred())
		Expect(resp.StatusCode).To(Equal(200))
		Expect(body).To(Equal(path))
	},
	Entry("two slashes at its beginning", "//p/x?y=%20&z", "all"),
	Entry("three slashes", "///p//x", "all"),
	Entry("two slashes and an encoded one", "//p%2Fx/?", "all"),
	Entry("a letter in percent-encoding", "/%70/x", "p"),
	Entry("an encoded slash, which doesn't end a segment", "/p/q%2Fx", "p"),
	Entry("an encoded slash in place of one", "/p%2Fq/x", "all"),
)

var _ = It("A request target that can't be forwarded as it is reaches no endpoint changed", func() {
	f := newFakeEndpoint(func(_ int, s receivedRequest) reply { return reply{raw: response(s, 200, s.uri)} })
	server, h := newServer(topology.Route{}, f)
	h.SetTable(topology.NewTable(topology.Config{
		Routes:   []topology.Route{{Host: "a", Prefix: "/", Kind: topology.Idempotent, MaxAttempts: 1, Targets: []topology.Target{{Service: "s", Weight: 1}}}},
		Services: []topology.Service{{Name: "s"}},
	}))
	conn, err := net.Dial("tcp", strings.TrimPrefix(server.URL, "http://"))
	Expect(err).NotTo(HaveOccurred())
	defer conn.Close()
	for target, status := range map[string]int{"//a\"b": http.StatusBadRequest, "/a\"b": http.StatusOK} {
		_, err = fmt.Fprintf(conn, "GET %s HTTP/1.1\r\nHost: a\r\nTest-Id: t\r\n\r\n", target)
		Expect(err).NotTo(HaveOccurred())
		resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
		Expect(err).NotTo(HaveOccurred())
		Expect(resp.StatusCode).To(Equal(status), target)
	}
	Expect(f.requests()).To(HaveLen(1))
	Expect(f.requests()[0].uri).To(Equal("/a\"b"))
})
