package daemon

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/cyclamenwinch/cyclamenwinch/internal/settings"
)

// tornConn is a connection whose reads return one byte until the channel is closed.
type tornConn struct {
	*net.TCPConn
	held, read chan struct{}
}

// Read returns a part of a request and waits before the next one.
func (c *tornConn) Read(p []byte) (int, error) {
	n, err := c.TCPConn.Read(p[:1])
	if n > 0 {
		c.read <- struct{}{}
		<-c.held
	}
	return n, err
}

type tornListener struct {
	net.Listener
	held, read chan struct{}
}

func (l tornListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &tornConn{c.(*net.TCPConn), l.held, l.read}, nil
}

const plainRequest = "GET / HTTP/1.1\r\nHost: a\r\n\r\n"

var _ = Describe("a web server that shuts down", func() {
	plain := settings.ServerTLS{Mode: settings.Plain}

	// Guards against requests that are read and dropped, since net/http still counts their connection as idle.
	It("responds to a request of which it has read a part", func() {
		w := newWebServer("test", plain, http.NotFoundHandler())
		l := listenLoopback()
		torn := tornListener{reusable(l), make(chan struct{}, 1000), make(chan struct{}, 1000)}
		go w.serve(context.Background(), torn)
		client, err := net.Dial("tcp", l.Addr().String())
		Expect(err).NotTo(HaveOccurred())
		defer client.Close()
		responses := bufio.NewReader(client)
		for range plainRequest {
			torn.held <- struct{}{}
		}
		_, err = io.WriteString(client, plainRequest)
		Expect(err).NotTo(HaveOccurred())
		resp, err := http.ReadResponse(responses, nil)
		Expect(err).NotTo(HaveOccurred())
		_, err = io.Copy(io.Discard, resp.Body)
		Expect(err).NotTo(HaveOccurred())
		for range plainRequest {
			Eventually(torn.read, hangTimeout).Should(Receive())
		}
		_, err = io.WriteString(client, plainRequest)
		Expect(err).NotTo(HaveOccurred())
		Eventually(torn.read, hangTimeout).Should(Receive())
		down := make(chan error, 1)
		go func() { down <- w.shutDown(context.Background(), l) }()
		Eventually(w.isStopped, hangTimeout).Should(BeTrue())
		Consistently(down, "100ms").ShouldNot(Receive())
		close(torn.held)
		resp, err = http.ReadResponse(responses, nil)
		Expect(err).NotTo(HaveOccurred())
		Expect(resp.StatusCode).To(Equal(http.StatusNotFound))
		Expect(resp.Close).To(BeTrue())
		Eventually(down, hangTimeout).Should(Receive(BeNil()))
	})

	It("completes an open HTTP/2 request in plain text", func() {
		started, release := make(chan struct{}), make(chan struct{})
		w := newWebServer("test", plain, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			close(started)
			<-release
		}))
		l := listenLoopback()
		go w.serve(context.Background(), reusable(l))
		protocols := new(http.Protocols)
		protocols.SetUnencryptedHTTP2(true)
		client := &http.Client{Transport: &http.Transport{Protocols: protocols}}
		type result struct {
			resp *http.Response
			err  error
		}
		answered := make(chan result, 1)
		go func() {
			resp, err := client.Get("http://" + l.Addr().String())
			answered <- result{resp, err}
		}()
		Eventually(started, hangTimeout).Should(BeClosed())
		down := make(chan error, 1)
		go func() { down <- w.shutDown(context.Background(), l) }()
		Eventually(w.isStopped, hangTimeout).Should(BeTrue())
		Consistently(down, "100ms").ShouldNot(Receive())
		close(release)
		var got result
		Eventually(answered, hangTimeout).Should(Receive(&got))
		Expect(got.err).NotTo(HaveOccurred())
		Expect(got.resp.ProtoMajor).To(Equal(2))
		got.resp.Body.Close()
		Eventually(down, hangTimeout).Should(Receive(BeNil()))
	})
})
