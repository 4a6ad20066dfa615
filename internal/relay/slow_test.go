package relay_test

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/cyclamenwinch/cyclamenwinch/core/topology"
	"github.com/cyclamenwinch/cyclamenwinch/internal/relay"
)

// dial opens a connection to a server and writes to it.
func dial(server *httptest.Server, first string) (net.Conn, *bufio.Reader) {
	c, err := net.Dial("tcp", strings.TrimPrefix(server.URL, "http://"))
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(c.Close)
	Expect(c.SetDeadline(time.Now().Add(20 * time.Second))).To(Succeed())
	_, err = fmt.Fprint(c, first)
	Expect(err).NotTo(HaveOccurred())
	return c, bufio.NewReader(c)
}

func rawRequest(id, body string, length int) string {
	return fmt.Sprintf("POST /p/ HTTP/1.1\r\nHost: 127.0.0.1\r\nTest-Id: %s\r\nTest-Key: key\r\nContent-Length: %d\r\n\r\n%s", id, length, body)
}

func expectStatus(r *bufio.Reader, status int) *http.Response {
	GinkgoHelper()
	resp, err := http.ReadResponse(r, nil)
	Expect(err).NotTo(HaveOccurred())
	Expect(resp.StatusCode).To(Equal(status))
	_, err = resp.Body.Read(make([]byte, 1<<10))
	Expect(err).To(Or(BeNil(), MatchError("EOF")))
	return resp
}

var _ = Describe("A client that sends slowly", func() {
	var (
		f      *fakeEndpoint
		server *httptest.Server
		h      *relay.Relay
	)
	BeforeEach(func() {
		f = newFakeEndpoint(func(_ int, s receivedRequest) reply { return reply{raw: response(s, 200, "ok")} })
		server, h = newServer(atMostOnce, f)
	})
	It("is refused at the end of a stop, since its request would be cut", func() {
		_, r := dial(server, rawRequest("id", "half", 8))
		Eventually(h.OpenRequests).WithTimeout(20 * time.Second).Should(BeEquivalentTo(1))
		time.Sleep(50 * time.Millisecond) // until the body is being read, which the test can't see
		h.RejectRequests()
		h.RefuseWaiting()
		resp := expectStatus(r, http.StatusServiceUnavailable)
		Expect(resp.Header.Get("Retry-After")).NotTo(BeEmpty())
		Expect(f.requests()).To(BeEmpty())
	})
	It("gets a response if it sends the rest before that", func() {
		c, r := dial(server, rawRequest("id", "half", 8))
		Eventually(h.OpenRequests).WithTimeout(20 * time.Second).Should(BeEquivalentTo(1))
		time.Sleep(50 * time.Millisecond)
		h.DisableKeepAlives()
		h.RejectRequests()
		_, err := fmt.Fprint(c, "half")
		Expect(err).NotTo(HaveOccurred())
		Expect(expectStatus(r, http.StatusOK).Close).To(BeTrue())
	})
	It("gets a response though its route leaves the configuration meanwhile", func() {
		c, r := dial(server, rawRequest("id", "half", 8))
		Eventually(h.OpenRequests).WithTimeout(20 * time.Second).Should(BeEquivalentTo(1))
		time.Sleep(50 * time.Millisecond)
		h.SetTable(topology.NewTable(topology.Config{Version: 2, HasAccounts: true, Services: []topology.Service{{Name: "s"}}}))
		_, err := fmt.Fprint(c, "half")
		Expect(err).NotTo(HaveOccurred())
		expectStatus(r, http.StatusOK)
	})
})

var _ = Describe("A client that sends several requests at once", func() {
	It("gets their responses in order, beside a change of the configuration too", func() {
		release := make(chan struct{})
		f := newFakeEndpoint(func(_ int, s receivedRequest) reply {
			<-release
			return reply{raw: response(s, 200, "ok")}
		})
		server, h := newServer(atMostOnce, f)
		_, r := dial(server, rawRequest("1", "body", 4)+rawRequest("2", "body", 4)+rawRequest("3", "body", 4))
		Eventually(f.requests).WithTimeout(20 * time.Second).Should(HaveLen(1))
		h.SetTable(topology.NewTable(topology.Config{Version: 2, HasAccounts: true, Services: []topology.Service{{Name: "s"}},
			Accounts: []topology.Account{{Name: "acc", Keys: []string{"key"}}}}))
		close(release)
		Expect(expectStatus(r, http.StatusOK).Header.Get("Test-Id")).To(Equal("1"))
		expectStatus(r, http.StatusNotFound)
		expectStatus(r, http.StatusNotFound)
	})
})
