package relay_test

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/cyclamenwinch/cyclamenwinch/core/topology"
)

var (
	once       = topology.Route{Kind: topology.AtMostOnce, MaxAttempts: 3, Objective: 100 * time.Millisecond}
	idempotent = topology.Route{Kind: topology.Idempotent, MaxAttempts: 2, Objective: 100 * time.Millisecond}
	stream     = topology.Route{Kind: topology.Stream, MaxAttempts: 1, Objective: 300 * time.Millisecond}
	resumable  = topology.Route{Kind: topology.Stream, MaxAttempts: 2, Resumable: true, Objective: 300 * time.Millisecond}
)

var _ = Describe("Relay", func() {
	It("passes method, path, query, body and fields on unchanged, and says whose request it is", func() {
		f := newFake(func(_ int, s seen) answer { return answer{raw: response(s, 200, "hello")} })
		server, _ := front(once, f)
		resp, body, err := send(server, "PUT", "/p/a%2Fb/?x=%20&y", "data", "Custom", "kept", "Connection", "Extra", "Extra", "dropped")
		Expect(err).NotTo(HaveOccurred())
		Expect(resp.StatusCode).To(Equal(200))
		Expect(body).To(Equal("hello"))
		Expect(resp.Header.Get("Seal")).To(Equal("ok"))
		got := f.requests()[0]
		Expect(got.method + " " + got.uri + " " + got.body).To(Equal("PUT /p/a%2Fb/?x=%20&y data"))
		Expect(got.header).To(HaveKeyWithValue("Custom", []string{"kept"}))
		Expect(got.header).NotTo(HaveKey("Extra"))
		Expect(got.header).NotTo(HaveKey("Test-Key"))
		Expect(got.header.Get("Test-Account")).To(Equal("acc"))
		Expect(got.header.Get("Test-Endpoint")).To(Equal("e0"))
	})

	DescribeTable("refuses truthfully before anything is sent",
		func(path, key string, status int) {
			f := newFake(func(_ int, s seen) answer { return answer{raw: response(s, 200, "")} })
			server, _ := front(once, f)
			resp, _, err := send(server, "GET", path, "", "Test-Key", key)
			Expect(err).NotTo(HaveOccurred())
			Expect(resp.StatusCode).To(Equal(status))
			Expect(f.requests()).To(BeEmpty())
		},
		Entry("no route", "/q/", "key", 404),
		Entry("unknown key", "/p/", "other", 401),
	)

	It("asks clients to come back while it has no endpoint", func() {
		server, _ := front(once)
		resp, _, err := send(server, "POST", "/p/", "x")
		Expect(err).NotTo(HaveOccurred())
		Expect(resp.StatusCode).To(Equal(503))
		Expect(resp.Header.Get("Retry-After")).NotTo(BeEmpty())
	})

	It("refuses new requests when it is about to exit", func() {
		f := newFake(func(_ int, s seen) answer { return answer{raw: response(s, 200, "")} })
		server, h := front(once, f)
		h.DisableKeepAlives()
		resp, _, err := send(server, "GET", "/p/", "")
		Expect(err).NotTo(HaveOccurred())
		Expect(resp.StatusCode).To(Equal(200))
		Expect(resp.Close).To(BeTrue())
		h.RejectRequests()
		resp, _, err = send(server, "GET", "/p/", "")
		Expect(err).NotTo(HaveOccurred())
		Expect(resp.StatusCode).To(Equal(503))
		Expect(f.requests()).To(HaveLen(1))
	})

	It("never repeats a request that may run once, and does not say that it has not run", func() {
		f := newFake(func(int, seen) answer { return answer{close: true} })
		g := newFake(func(int, seen) answer { return answer{close: true} })
		server, _ := front(once, f, g)
		resp, _, err := send(server, "POST", "/p/", "x")
		Expect(err).NotTo(HaveOccurred())
		Expect(resp.StatusCode).To(Equal(502))
		Expect(len(f.requests()) + len(g.requests())).To(Equal(1))
	})

	It("sends a request elsewhere that an endpoint turned away", func() {
		turn := func(_ int, s seen) answer { return answer{raw: response(s, 503, "full", "Test-Not-Run: 1\r\n")} }
		f, g := newFake(turn), newFake(turn)
		server, _ := front(once, f, g)
		resp, _, err := send(server, "POST", "/p/", "x")
		Expect(err).NotTo(HaveOccurred())
		Expect(resp.StatusCode).To(Equal(503), "nothing ran")
		Expect(f.requests()).To(HaveLen(1))
		Expect(g.requests()).To(HaveLen(1))
	})

	It("goes on to another endpoint when one can't be reached", func() {
		f := newFake(func(_ int, s seen) answer { return answer{raw: response(s, 200, "here")} })
		dead := newFake(func(int, seen) answer { return answer{} })
		dead.listener.Close()
		server, _ := front(once, dead, f)
		for range 4 {
			_, body, err := send(server, "POST", "/p/", "x")
			Expect(err).NotTo(HaveOccurred())
			Expect(body).To(Equal("here"))
		}
	})

	It("repeats an idempotent request on another endpoint, and delivers the failure if that fails too", func() {
		fails := func(_ int, s seen) answer { return answer{raw: response(s, 500, "broken")} }
		f, g := newFake(fails), newFake(fails)
		server, _ := front(idempotent, f, g)
		resp, body, err := send(server, "GET", "/p/", "")
		Expect(err).NotTo(HaveOccurred())
		Expect(resp.StatusCode).To(Equal(500))
		Expect(resp.Header.Get("Seal")).To(Equal("ok"))
		Expect(body).To(Equal("broken"))
		Expect(len(f.requests()) + len(g.requests())).To(Equal(2))
	})

	It("tries another endpoint when one is silent on an idempotent request", func() {
		f := newFake(func(int, seen) answer { return answer{hang: true} })
		g := newFake(func(int, seen) answer { return answer{hang: true} })
		server, _ := front(idempotent, f, g)
		_, _, err := send(server, "GET", "/p/", "", "Test-Wait", "1200")
		Expect(err).NotTo(HaveOccurred())
		Expect(f.requests()).To(HaveLen(1))
		Expect(g.requests()).To(HaveLen(1))
	})

	It("passes a late answer to another request over", func() {
		f := newFake(func(n int, s seen) answer {
			late := "HTTP/1.1 200 OK\r\nTest-Id: other\r\nContent-Length: 5\r\n\r\nwrong"
			return answer{raw: late + response(s, 200, "right")}
		})
		server, _ := front(once, f)
		_, body, err := send(server, "POST", "/p/", "x")
		Expect(err).NotTo(HaveOccurred())
		Expect(body).To(Equal("right"))
	})

	It("does not use a connection again that brought more than one answer", func() {
		f := newFake(func(n int, s seen) answer {
			return answer{raw: response(s, 200, "right") + "HTTP/1.1 200 OK\r\nTest-Id: id-1\r\nContent-Length: 5\r\n\r\nextra"}
		})
		server, _ := front(idempotent, f)
		for range 3 {
			_, body, err := send(server, "GET", "/p/", "")
			Expect(err).NotTo(HaveOccurred())
			Expect(body).To(Equal("right"))
		}
	})

	DescribeTable("takes an answer for whole only if it is",
		func(raw func(s seen) string, status int, want string) {
			f := newFake(func(_ int, s seen) answer { return answer{raw: raw(s), close: true} })
			server, _ := front(once, f)
			resp, body, err := send(server, "POST", "/p/", "x")
			Expect(err).NotTo(HaveOccurred())
			Expect(resp.StatusCode).To(Equal(status))
			if want != "" {
				Expect(body).To(Equal(want))
			}
		},
		Entry("without a length", func(s seen) string { return "HTTP/1.1 200 OK\r\nTest-Id: id-1\r\n\r\nall of it" }, 200, "all of it"),
		Entry("too short", func(s seen) string {
			return "HTTP/1.1 200 OK\r\nTest-Id: id-1\r\nContent-Length: 50\r\n\r\npart"
		}, 502, ""),
		Entry("chunked without its end", func(s seen) string { return streamHead(s) + chunk("part") }, 502, ""),
		Entry("encoded", func(s seen) string { return response(s, 200, "zip", "Content-Encoding: gzip\r\n") }, 502, ""),
		Entry("no answer at all", func(s seen) string { return "no answer\r\n\r\n" }, 502, ""),
		Entry("to another request", func(s seen) string {
			return "HTTP/1.1 200 OK\r\nTest-Id: other\r\nContent-Length: 1\r\n\r\nx"
		}, 502, ""),
	)

	It("answers at the deadline of client or route, whichever is first", func() {
		f := newFake(func(int, seen) answer { return answer{hang: true} })
		server, _ := front(once, f)
		began := time.Now()
		resp, _, err := send(server, "POST", "/p/", "x", "Test-Wait", "300")
		Expect(err).NotTo(HaveOccurred())
		Expect(resp.StatusCode).To(Equal(504))
		Expect(time.Since(began)).To(BeNumerically(">=", 300*time.Millisecond))
		left, err := strconv.Atoi(f.requests()[0].header.Get("Test-Left"))
		Expect(err).NotTo(HaveOccurred())
		Expect(left).To(And(BeNumerically(">", 0), BeNumerically("<=", 300)))
	})

	It("ends the run of a client that has left", func() {
		f := newFake(func(int, seen) answer { return answer{hang: true} })
		server, _ := front(stream, f)
		ctx, leave := context.WithCancel(context.Background())
		req, err := http.NewRequestWithContext(ctx, "POST", server.URL+"/p/", strings.NewReader("x"))
		Expect(err).NotTo(HaveOccurred())
		req.Header.Set("Test-Id", "left")
		req.Header.Set("Test-Key", "key")
		go http.DefaultTransport.RoundTrip(req)
		Eventually(f.requests).Should(HaveLen(1))
		leave()
		Eventually(f.gone).Should(Receive(Equal("left")))
	})
})

var _ = Describe("Streams", func() {
	It("are passed on event by event, as they come", func() {
		f := newFake(func(_ int, s seen) answer { return answer{raw: streamHead(s) + chunk(event(1)), hang: true} })
		server, _ := front(stream, f)
		req, _ := http.NewRequest("POST", server.URL+"/p/", strings.NewReader("x"))
		req.Header.Set("Test-Id", "id-1")
		req.Header.Set("Test-Key", "key")
		resp, err := http.DefaultTransport.RoundTrip(req)
		Expect(err).NotTo(HaveOccurred())
		defer resp.Body.Close()
		got := make([]byte, len(event(1)))
		_, err = io.ReadFull(resp.Body, got)
		Expect(err).NotTo(HaveOccurred())
		Expect(string(got)).To(Equal(event(1)))
	})

	It("that break off are never made to look whole", func() {
		f := newFake(func(_ int, s seen) answer {
			return answer{raw: streamHead(s) + chunk(event(1)) + chunk("id: 2\nda"), close: true}
		})
		server, _ := front(stream, f)
		_, body, err := send(server, "POST", "/p/", "x")
		Expect(err).To(HaveOccurred())
		Expect(body).To(Equal(event(1)))
	})

	It("go on at another endpoint after the newest whole event, where they may", func() {
		script := func(_ int, s seen) answer {
			if s.header.Get("Test-Resume") == "" {
				return answer{raw: streamHead(s) + chunk(event(1)+event(2)) + chunk("id: 3\nda"), close: true}
			}
			return answer{raw: streamHead(s) + chunk(event(2)) + chunk(event(3)) + "0\r\n\r\n"}
		}
		f, g := newFake(script), newFake(script)
		server, _ := front(resumable, f, g)
		_, body, err := send(server, "POST", "/p/", "x")
		Expect(err).NotTo(HaveOccurred())
		Expect(body).To(Equal(event(1)+event(2)+event(3)), "an event that comes again is dropped")
		all := append(f.requests(), g.requests()...)
		Expect(all).To(HaveLen(2))
		Expect([]string{all[0].header.Get("Test-Resume"), all[1].header.Get("Test-Resume")}).To(ConsistOf("", "2"))
	})

	It("that can't be resumed end broken", func() {
		script := func(_ int, s seen) answer {
			if s.header.Get("Test-Resume") == "" {
				return answer{raw: streamHead(s) + chunk(event(1)), close: true}
			}
			return answer{raw: response(s, 500, "no")}
		}
		server, _ := front(resumable, newFake(script), newFake(script))
		_, body, err := send(server, "POST", "/p/", "x")
		Expect(err).To(HaveOccurred())
		Expect(body).To(Equal(event(1)))
	})

	It("that the client resumes itself are passed on from where it asks", func() {
		f := newFake(func(_ int, s seen) answer {
			Expect(s.header.Get("Test-Resume")).To(Equal("4"))
			return answer{raw: streamHead(s) + chunk(event(5)) + "0\r\n\r\n"}
		})
		server, _ := front(resumable, f)
		_, body, err := send(server, "POST", "/p/", "x", "Test-Resume", "4")
		Expect(err).NotTo(HaveOccurred())
		Expect(body).To(Equal(event(5)))
	})
})
