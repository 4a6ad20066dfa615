package callerapi_test

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/cyclamenwinch/cyclamenwinch/core/code"
	"github.com/cyclamenwinch/cyclamenwinch/internal/endpoint"
	"github.com/cyclamenwinch/cyclamenwinch/internal/eventlog"
)

// interruptOnce streams ten events and aborts the first connection after four.
// If resumes is set, the next connection continues after the last event that
// was received; otherwise it starts from the first event again.
func interruptOnce(resumes bool, connections *atomic.Int32) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		first := connections.Add(1) == 1
		from, _ := strconv.Atoi(r.Header.Get("Resume-From"))
		if from > 0 && resumes {
			w.Header().Set("Resumed", "true")
		} else {
			from = 0
		}
		for i := from; i < 10; i++ {
			if first && i == 4 {
				http.NewResponseController(w).Flush()
				panic(http.ErrAbortHandler)
			}
			fmt.Fprintf(w, "data: {\"id\":%q,\"piece\":%d}\n\n", r.Header.Get("X-Request-Id"), i)
		}
		io.WriteString(w, "data: [DONE]\n\n")
	}
}

// manyEndpoints is more than the number of endpoints that one request may be
// sent to.
const manyEndpoints = 4

// pieces returns the pieces of a streamed response in order.
func pieces(body string) string {
	var b strings.Builder
	for _, line := range strings.Split(body, "\n") {
		if _, piece, ok := strings.Cut(line, `"piece":`); ok {
			b.WriteString(strings.TrimSuffix(piece, "}"))
		}
	}
	return b.String()
}

var _ = Describe("a response relayed to the caller", func() {
	It("is resumed after an interruption without lost or duplicate events", func() {
		var connections atomic.Int32
		w := newTestRouter(testTimeout, interruptOnce(true, &connections)).send(chatPath, chatBody)
		Expect(connections.Load()).To(Equal(int32(2)))
		Expect(pieces(w.Body.String())).To(Equal("0123456789"))
		Expect(w.Body.String()).To(HaveSuffix("data: [DONE]\n\n"))
	})

	It("is resumed only after the endpoint had time to notice the closed connection", func() {
		const resumeDelay = 200 * time.Millisecond
		var startTimes []time.Time // of each connection's handler; the handlers run one after the other
		handle := func(w http.ResponseWriter, r *http.Request) {
			startTimes = append(startTimes, time.Now())
			w.Header().Set("Resumed", "true")
			fmt.Fprintf(w, "data: {\"id\":%q,\"piece\":%d}\n\n", r.Header.Get("X-Request-Id"), len(startTimes))
			if len(startTimes) == 1 {
				http.NewResponseController(w).Flush()
				<-r.Context().Done()
				return
			}
			io.WriteString(w, "data: [DONE]\n\n")
		}
		w := newTestRouterWith(testTimeout, silence, 1, handle).send(chatPath, chatBody)
		Expect(pieces(w.Body.String())).To(Equal("12"))
		Expect(startTimes[1].Sub(startTimes[0])).To(BeNumerically(">=", silence+resumeDelay))
	})

	It("is not reported as complete if the endpoint does not resume it", func() {
		var connections atomic.Int32
		router := newTestRouter(testTimeout, interruptOnce(false, &connections))
		body := ""
		Expect(func() {
			w := &recorder{}
			defer func() { body = w.String() }()
			router.serve(w, chatPath, chatBody)
		}).To(PanicWith(http.ErrAbortHandler), "the connection is aborted")
		Expect(pieces(body)).To(Equal("0123"))
		Expect(body).NotTo(ContainSubstring("[DONE]"))
		Expect(body).To(ContainSubstring(fmt.Sprintf(`"code":%d`, code.Truncated)))
		Expect(body).To(ContainSubstring(`"not_run":false`))
	})

	DescribeTable("is awaited from at most two silent endpoints",
		func(path, body string) {
			router := newTestRouterWith(testTimeout, silence, manyEndpoints, func(w http.ResponseWriter, r *http.Request) {
				io.Copy(io.Discard, r.Body)
				<-r.Context().Done()
			})
			w := router.send(path, body)
			p := decodeProblem(w)
			Expect(p.Code).To(Equal(int(code.Silent)))
			Expect(p.NotRun).To(BeFalse())
			grants := 0
			for _, kind := range router.eventKinds(w.Header().Get(endpoint.RequestIDHeader)) {
				if kind == eventlog.RequestGranted {
					grants++
				}
			}
			Expect(grants).To(Equal(2), "not counted at the endpoints, where a handler may begin after the attempt's end")
		},
		Entry("a chat completion", chatPath, chatBody),
		Entry("a plain service", "/stock", `{}`),
	)

	DescribeTable("that rejects the request is passed on unchanged",
		func(body string) {
			w := newTestRouter(testTimeout, func(w http.ResponseWriter, r *http.Request) {
				http.Error(w, "context too long", http.StatusUnprocessableEntity)
			}).send(chatPath, body)
			Expect(w.Code).To(Equal(http.StatusUnprocessableEntity))
			Expect(w.Body.String()).To(Equal("context too long\n"))
		},
		Entry("streamed", chatBody),
		Entry("not streamed", strings.Replace(chatBody, `"stream":true,`, "", 1)),
	)
})

// recorder is a response writer that keeps what a handler wrote before it
// panicked.
type recorder struct {
	strings.Builder
	header http.Header
}

func (r *recorder) Header() http.Header {
	if r.header == nil {
		r.header = http.Header{}
	}
	return r.header
}

func (r *recorder) WriteHeader(int) {}

func (router testRouter) serve(w http.ResponseWriter, path, body string) {
	r, err := http.NewRequest(http.MethodPost, path, strings.NewReader(body))
	Expect(err).NotTo(HaveOccurred())
	r.Header.Set("Authorization", "Bearer secret")
	router.api.Handler().ServeHTTP(w, r)
}
