package relay_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/cyclamenwinch/cyclamenwinch/core/dispatch"
	"github.com/cyclamenwinch/cyclamenwinch/core/topology"
	"github.com/cyclamenwinch/cyclamenwinch/internal/relay"
)

var (
	atMostOnce = topology.Route{Kind: topology.AtMostOnce, MaxAttempts: 3, Objective: 100 * time.Millisecond}
	idempotent = topology.Route{Kind: topology.Idempotent, MaxAttempts: 2, Objective: 100 * time.Millisecond}
	stream     = topology.Route{Kind: topology.Stream, MaxAttempts: 1, Objective: 300 * time.Millisecond}
	resumable  = topology.Route{Kind: topology.Stream, MaxAttempts: 2, Resumable: true, Objective: 300 * time.Millisecond}
)

var _ = Describe("Relay", func() {
	It("forwards method, path, query, body and end-to-end header fields unchanged and adds account and endpoint", func() {
		f := newFakeEndpoint(func(_ int, s receivedRequest) reply { return reply{raw: response(s, 200, "hello")} })
		server, _ := newServer(atMostOnce, f)
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

	DescribeTable("refuses a request with the right status before anything is sent",
		func(path, key string, status int) {
			f := newFakeEndpoint(func(_ int, s receivedRequest) reply { return reply{raw: response(s, 200, "")} })
			server, _ := newServer(atMostOnce, f)
			resp, _, err := send(server, "GET", path, "", "Test-Key", key)
			Expect(err).NotTo(HaveOccurred())
			Expect(resp.StatusCode).To(Equal(status))
			Expect(f.requests()).To(BeEmpty())
		},
		Entry("no route", "/q/", "key", 404),
		Entry("unknown key", "/p/", "other", 401),
	)

	It("asks clients to retry later while there is no endpoint", func() {
		server, _ := newServer(atMostOnce)
		resp, _, err := send(server, "POST", "/p/", "x")
		Expect(err).NotTo(HaveOccurred())
		Expect(resp.StatusCode).To(Equal(503))
		Expect(resp.Header.Get("Retry-After")).NotTo(BeEmpty())
	})

	It("closes connections after a response while shutting down, then refuses new requests", func() {
		f := newFakeEndpoint(func(_ int, s receivedRequest) reply { return reply{raw: response(s, 200, "")} })
		server, h := newServer(atMostOnce, f)
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

	It("never retries an at-most-once request that may have run, and does not report it as not run", func() {
		f := newFakeEndpoint(func(int, receivedRequest) reply { return reply{close: true} })
		g := newFakeEndpoint(func(int, receivedRequest) reply { return reply{close: true} })
		server, _ := newServer(atMostOnce, f, g)
		resp, _, err := send(server, "POST", "/p/", "x")
		Expect(err).NotTo(HaveOccurred())
		Expect(resp.StatusCode).To(Equal(502))
		Expect(len(f.requests()) + len(g.requests())).To(Equal(1))
	})

	It("tries another endpoint when one rejects the request without running it", func() {
		reject := func(_ int, s receivedRequest) reply {
			return reply{raw: response(s, 503, "full", "Test-Not-Run: 1\r\n")}
		}
		f, g := newFakeEndpoint(reject), newFakeEndpoint(reject)
		server, _ := newServer(atMostOnce, f, g)
		resp, _, err := send(server, "POST", "/p/", "x")
		Expect(err).NotTo(HaveOccurred())
		Expect(resp.StatusCode).To(Equal(503), "nothing ran")
		Expect(f.requests()).To(HaveLen(1))
		Expect(g.requests()).To(HaveLen(1))
	})

	It("tries another endpoint when one is unreachable", func() {
		f := newFakeEndpoint(func(_ int, s receivedRequest) reply { return reply{raw: response(s, 200, "here")} })
		dead := newFakeEndpoint(func(int, receivedRequest) reply { return reply{} })
		dead.listener.Close()
		server, _ := newServer(atMostOnce, dead, f)
		for range 4 {
			_, body, err := send(server, "POST", "/p/", "x")
			Expect(err).NotTo(HaveOccurred())
			Expect(body).To(Equal("here"))
		}
	})

	It("retries an idempotent request on another endpoint and delivers the error response if that fails too", func() {
		fails := func(_ int, s receivedRequest) reply { return reply{raw: response(s, 500, "broken")} }
		f, g := newFakeEndpoint(fails), newFakeEndpoint(fails)
		server, _ := newServer(idempotent, f, g)
		resp, body, err := send(server, "GET", "/p/", "")
		Expect(err).NotTo(HaveOccurred())
		Expect(resp.StatusCode).To(Equal(500))
		Expect(resp.Header.Get("Seal")).To(Equal("ok"))
		Expect(body).To(Equal("broken"))
		Expect(len(f.requests()) + len(g.requests())).To(Equal(2))
	})

	It("tries another endpoint when one does not respond to an idempotent request", func() {
		f := newFakeEndpoint(func(int, receivedRequest) reply { return reply{hang: true} })
		g := newFakeEndpoint(func(int, receivedRequest) reply { return reply{hang: true} })
		server, _ := newServer(idempotent, f, g)
		_, _, err := send(server, "GET", "/p/", "", "Test-Wait", "1200")
		Expect(err).NotTo(HaveOccurred())
		Expect(f.requests()).To(HaveLen(1))
		Expect(g.requests()).To(HaveLen(1))
	})

	It("skips a late response to another request", func() {
		f := newFakeEndpoint(func(n int, s receivedRequest) reply {
			late := "HTTP/1.1 200 OK\r\nTest-Id: other\r\nContent-Length: 5\r\n\r\nwrong"
			return reply{raw: late + response(s, 200, "right")}
		})
		server, _ := newServer(atMostOnce, f)
		_, body, err := send(server, "POST", "/p/", "x")
		Expect(err).NotTo(HaveOccurred())
		Expect(body).To(Equal("right"))
	})

	It("without an ID is refused, and gets no late response to another request", func() {
		for _, route := range []topology.Route{idempotent, resumable} {
			f := newFakeEndpoint(func(n int, s receivedRequest) reply {
				if n == 1 {
					return reply{raw: response(s, 200, event(1))}
				}
				late := fmt.Sprintf("HTTP/1.1 200 OK\r\nTest-Id: id-1\r\nContent-Length: %d\r\n\r\n%s", len(event(1)), event(1))
				return reply{raw: late + response(s, 400, "", "Test-Not-Run: 1\r\n")}
			})
			server, _ := newServer(route, f)
			_, body, err := send(server, "POST", "/p/", "x")
			Expect(err).NotTo(HaveOccurred())
			Expect(body).To(Equal(event(1)))
			resp, body, err := send(server, "POST", "/p/", "y", "Test-Id", "")
			Expect(err).NotTo(HaveOccurred())
			Expect(body).NotTo(ContainSubstring(event(1)))
			Expect(resp.StatusCode).To(Equal(http.StatusBadRequest))
			Expect(f.requests()).To(HaveLen(1), "no endpoint would run it")
		}
	})

	It("gets no late response to an earlier request with the same ID", func() {
		var f *fakeEndpoint
		f = newFakeEndpoint(func(n int, s receivedRequest) reply {
			switch {
			case n == 1:
				return reply{raw: response(s, 200, "first")}
			case f.accepted.Load() == 1: // a late copy on the connection of the first request
				return reply{raw: response(s, 200, "first") + response(s, 200, "second")}
			}
			return reply{raw: response(s, 200, "second")}
		})
		server, _ := newServer(idempotent, f)
		for _, want := range []string{"first", "second"} {
			_, body, err := send(server, "POST", "/p/", "x")
			Expect(err).NotTo(HaveOccurred())
			Expect(body).To(Equal(want))
		}
		By("using a connection again for another ID")
		_, _, err := send(server, "POST", "/p/", "x", "Test-Id", "id-2")
		Expect(err).NotTo(HaveOccurred())
		Expect(f.accepted.Load()).To(BeEquivalentTo(2))
	})

	It("whose prompt exceeds the memory of every endpoint is refused for good", func() {
		f := newFakeEndpoint(func(_ int, s receivedRequest) reply { return reply{raw: response(s, 200, event(1))} })
		server, _, dispatcher := newServerWithDispatcher(relay.Options{}, stream, f)
		dispatcher.Update(func(_ time.Time, d *dispatch.Dispatcher) {
			d.SetTable(topology.NewTable(topology.Config{Services: []topology.Service{{Name: "s", Engine: &topology.Engine{MemoryTokens: 250}}}}))
		})
		for parts, status := range map[string]int{"1 2": http.StatusOK, "1 2 3": http.StatusBadRequest} {
			resp, _, err := send(server, "POST", "/p/", "x", "Test-Parts", parts)
			Expect(err).NotTo(HaveOccurred())
			Expect(resp.StatusCode).To(Equal(status), parts)
			Expect(resp.Header.Get("Retry-After")).To(BeEmpty())
		}
		Expect(f.requests()).To(HaveLen(1))
	})

	It("is not said not to have run because of the copy of an earlier rejection", func() {
		var f *fakeEndpoint
		f = newFakeEndpoint(func(n int, s receivedRequest) reply {
			rejection := response(s, 503, "", "Test-Not-Run: 1\r\n")
			switch {
			case n == 1:
				return reply{raw: rejection}
			case f.accepted.Load() == 1:
				return reply{raw: rejection + response(s, 200, event(1))}
			}
			return reply{raw: response(s, 200, event(1))}
		})
		server, _ := newServer(topology.Route{Kind: topology.Stream, MaxAttempts: 1}, f)
		for _, status := range []int{http.StatusServiceUnavailable, http.StatusOK} {
			resp, _, err := send(server, "POST", "/p/", "x")
			Expect(err).NotTo(HaveOccurred())
			Expect(resp.StatusCode).To(Equal(status))
			time.Sleep(100 * time.Millisecond) // the end of the pause of an endpoint that rejected a request
		}
	})

	It("does not reuse a connection that delivered more than one response", func() {
		f := newFakeEndpoint(func(n int, s receivedRequest) reply {
			return reply{raw: response(s, 200, "right") + "HTTP/1.1 200 OK\r\nTest-Id: id-1\r\nContent-Length: 5\r\n\r\nextra"}
		})
		server, _ := newServer(idempotent, f)
		for range 3 {
			_, body, err := send(server, "GET", "/p/", "")
			Expect(err).NotTo(HaveOccurred())
			Expect(body).To(Equal("right"))
		}
	})

	DescribeTable("treats a response as complete only if it is",
		func(raw func(s receivedRequest) string, status int, want string) {
			f := newFakeEndpoint(func(_ int, s receivedRequest) reply { return reply{raw: raw(s), close: true} })
			server, _ := newServer(atMostOnce, f)
			resp, body, err := send(server, "POST", "/p/", "x")
			Expect(err).NotTo(HaveOccurred())
			Expect(resp.StatusCode).To(Equal(status))
			if want != "" {
				Expect(body).To(Equal(want))
			}
		},
		Entry("without a length", func(s receivedRequest) string { return "HTTP/1.1 200 OK\r\nTest-Id: id-1\r\n\r\nall of it" }, 200, "all of it"),
		Entry("too short", func(s receivedRequest) string {
			return "HTTP/1.1 200 OK\r\nTest-Id: id-1\r\nContent-Length: 50\r\n\r\npart"
		}, 502, ""),
		Entry("half a head", func(s receivedRequest) string { return "HTTP/1.1 200 OK\r\nTest-Id: id-1\r\nContent-Le" }, 502, ""),
		Entry("a head without its end", func(s receivedRequest) string { return "HTTP/1.1 200 OK\r\nTest-Id: id-1\r\n" }, 502, ""),
		Entry("half a status line", func(s receivedRequest) string { return "HTTP/1.1 20" }, 502, ""),
		Entry("chunked without its end", func(s receivedRequest) string { return streamHead(s) + chunk("part") }, 502, ""),
		Entry("encoded", func(s receivedRequest) string { return response(s, 200, "zip", "Content-Encoding: gzip\r\n") }, 502, ""),
		Entry("not an HTTP response", func(s receivedRequest) string { return "no answer\r\n\r\n" }, 502, ""),
		Entry("for another request", func(s receivedRequest) string {
			return "HTTP/1.1 200 OK\r\nTest-Id: other\r\nContent-Length: 1\r\n\r\nx"
		}, 502, ""),
	)

	It("responds at the timeout of client or route, whichever is shorter", func() {
		f := newFakeEndpoint(func(int, receivedRequest) reply { return reply{hang: true} })
		server, _ := newServer(atMostOnce, f)
		began := time.Now()
		resp, _, err := send(server, "POST", "/p/", "x", "Test-Wait", "300")
		Expect(err).NotTo(HaveOccurred())
		Expect(resp.StatusCode).To(Equal(504))
		Expect(time.Since(began)).To(BeNumerically(">=", 300*time.Millisecond))
		left, err := strconv.Atoi(f.requests()[0].header.Get("Test-Left"))
		Expect(err).NotTo(HaveOccurred())
		Expect(left).To(And(BeNumerically(">", 0), BeNumerically("<=", 300)))
	})

	It("cancels the request of a client that has disconnected", func() {
		f := newFakeEndpoint(func(int, receivedRequest) reply { return reply{hang: true} })
		server, _ := newServer(stream, f)
		ctx, disconnect := context.WithCancel(context.Background())
		req, err := http.NewRequestWithContext(ctx, "POST", server.URL+"/p/", strings.NewReader("x"))
		Expect(err).NotTo(HaveOccurred())
		req.Header.Set("Test-Id", "left")
		req.Header.Set("Test-Key", "key")
		go http.DefaultTransport.RoundTrip(req)
		Eventually(f.requests).Should(HaveLen(1))
		disconnect()
		Eventually(f.disconnected).Should(Receive(Equal("left")))
	})
})

var _ = Describe("Streams", func() {
	It("are forwarded event by event as they arrive", func() {
		f := newFakeEndpoint(func(_ int, s receivedRequest) reply { return reply{raw: streamHead(s) + chunk(event(1)), hang: true} })
		server, _ := newServer(stream, f)
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

	It("that are truncated are never passed off as complete", func() {
		f := newFakeEndpoint(func(_ int, s receivedRequest) reply {
			return reply{raw: streamHead(s) + chunk(event(1)) + chunk("id: 2\nda"), close: true}
		})
		server, _ := newServer(stream, f)
		_, body, err := send(server, "POST", "/p/", "x")
		Expect(err).To(HaveOccurred())
		Expect(body).To(Equal(event(1)))
	})

	It("are resumed at another endpoint after the last complete event if the route allows it", func() {
		script := func(_ int, s receivedRequest) reply {
			if s.header.Get("Test-Resume") == "" {
				return reply{raw: streamHead(s) + chunk(event(1)+event(2)) + chunk("id: 3\nda"), close: true}
			}
			return reply{raw: streamHead(s) + chunk(event(2)) + chunk(event(3)) + "0\r\n\r\n"}
		}
		f, g := newFakeEndpoint(script), newFakeEndpoint(script)
		server, _ := newServer(resumable, f, g)
		_, body, err := send(server, "POST", "/p/", "x")
		Expect(err).NotTo(HaveOccurred())
		Expect(body).To(Equal(event(1)+event(2)+event(3)), "a duplicate event is dropped")
		all := append(f.requests(), g.requests()...)
		Expect(all).To(HaveLen(2))
		Expect([]string{all[0].header.Get("Test-Resume"), all[1].header.Get("Test-Resume")}).To(ConsistOf("", "2"))
	})

	DescribeTable("never contain what another endpoint responds instead of resuming them",
		func(answer func(s receivedRequest) string) {
			const secret = "overloaded"
			first := true
			script := func(_ int, s receivedRequest) reply {
				if first {
					first = false
					return reply{raw: streamHead(s) + chunk(event(1)), close: true}
				}
				return reply{raw: answer(s), close: true}
			}
			server, _ := newServer(resumable, newFakeEndpoint(script), newFakeEndpoint(script))
			_, body, err := send(server, "POST", "/p/", "x")
			Expect(err).To(HaveOccurred(), "the stream must not look complete")
			Expect(body).NotTo(ContainSubstring(secret))
			Expect(body).To(ContainSubstring("piece 1"))
		},
		Entry("an error", func(s receivedRequest) string { return response(s, 500, "overloaded") }),
		Entry("a rejection", func(s receivedRequest) string { return response(s, 503, "overloaded", "Test-Not-Run: 1\r\n") }),
		Entry("a document with status 200", func(s receivedRequest) string {
			return response(s, 200, "<p>overloaded</p>\n\n", "Content-Type: text/html\r\n")
		}),
		Entry("text with status 200 and no type", func(s receivedRequest) string { return response(s, 200, "overloaded\n\n") }),
		Entry("text declared as a stream", func(s receivedRequest) string { return streamHead(s) + chunk("overloaded\n\n") + "0\r\n\r\n" }),
		Entry("half a head", func(s receivedRequest) string { return "HTTP/1.1 200 OK\r\nTest-Id: id-1\r\nX: overloaded" }),
		Entry("an empty response", func(s receivedRequest) string { return response(s, 200, "") }),
		Entry("an empty stream that ends with its connection", func(s receivedRequest) string {
			return "HTTP/1.1 200 OK\r\nTest-Id: id-1\r\n\r\n"
		}),
		Entry("half an event and the end of the connection", func(s receivedRequest) string {
			return "HTTP/1.1 200 OK\r\nTest-Id: id-1\r\n\r\nid: 2\ndata: overloa"
		}),
		Entry("no bytes", func(s receivedRequest) string { return "" }),
	)

	It("may begin with a comment when they are resumed, and end with an event without ID", func() {
		script := func(_ int, s receivedRequest) reply {
			if s.header.Get("Test-Resume") == "" {
				return reply{raw: streamHead(s) + chunk(event(1)), close: true}
			}
			return reply{raw: streamHead(s) + chunk(": ping\n\n\n") + chunk(event(2)) + chunk("data: done\n\n") + "0\r\n\r\n", close: true}
		}
		server, _ := newServer(resumable, newFakeEndpoint(script), newFakeEndpoint(script))
		_, body, err := send(server, "POST", "/p/", "x")
		Expect(err).NotTo(HaveOccurred())
		Expect(body).To(ContainSubstring("piece 2"))
		Expect(body).To(HaveSuffix("data: done\n\n"))
	})

	It("that can't be resumed are aborted", func() {
		script := func(_ int, s receivedRequest) reply {
			if s.header.Get("Test-Resume") == "" {
				return reply{raw: streamHead(s) + chunk(event(1)), close: true}
			}
			return reply{raw: response(s, 500, "no")}
		}
		server, _ := newServer(resumable, newFakeEndpoint(script), newFakeEndpoint(script))
		_, body, err := send(server, "POST", "/p/", "x")
		Expect(err).To(HaveOccurred())
		Expect(body).To(Equal(event(1)))
	})

	It("resumed by the client are forwarded from the requested event", func() {
		f := newFakeEndpoint(func(_ int, s receivedRequest) reply {
			Expect(s.header.Get("Test-Resume")).To(Equal("4"))
			return reply{raw: streamHead(s) + chunk(event(5)) + "0\r\n\r\n"}
		})
		server, _ := newServer(resumable, f)
		_, body, err := send(server, "POST", "/p/", "x", "Test-Resume", "4")
		Expect(err).NotTo(HaveOccurred())
		Expect(body).To(Equal(event(5)))
	})
})
