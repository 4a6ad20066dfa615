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
)

// cutOnce streams ten events and cuts the first connection after four. If it
// resumes it goes on from where the caller was, else it begins anew.
func cutOnce(resumes bool, connections *atomic.Int32) http.HandlerFunc {
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

// maxEndpoints is more than a request may be sent to.
const maxEndpoints = 4

// pieces returns the pieces of a streamed answer in their order.
func pieces(body string) string {
	var b strings.Builder
	for _, line := range strings.Split(body, "\n") {
		if _, piece, ok := strings.Cut(line, `"piece":`); ok {
			b.WriteString(strings.TrimSuffix(piece, "}"))
		}
	}
	return b.String()
}

var _ = Describe("an answer on its way to the caller", func() {
	It("is resumed after a cut without a lost or doubled piece", func() {
		var connections atomic.Int32
		w := newOneRouter(hang, cutOnce(true, &connections)).send(chatPath, chatBody)
		Expect(connections.Load()).To(Equal(int32(2)))
		Expect(pieces(w.Body.String())).To(Equal("0123456789"))
		Expect(w.Body.String()).To(HaveSuffix("data: [DONE]\n\n"))
	})

	It("is resumed only after the endpoint had time to notice the closed connection", func() {
		const silence, notice = 20 * time.Millisecond, 200 * time.Millisecond
		var began []time.Time // of each connection's handler; they run one after the other
		handle := func(w http.ResponseWriter, r *http.Request) {
			began = append(began, time.Now())
			w.Header().Set("Resumed", "true")
			fmt.Fprintf(w, "data: {\"id\":%q,\"piece\":%d}\n\n", r.Header.Get("X-Request-Id"), len(began))
			if len(began) == 1 {
				http.NewResponseController(w).Flush()
				<-r.Context().Done()
				return
			}
			io.WriteString(w, "data: [DONE]\n\n")
		}
		w := newRouterWith(hang, silence, 1, handle).send(chatPath, chatBody)
		Expect(pieces(w.Body.String())).To(Equal("12"))
		Expect(began[1].Sub(began[0])).To(BeNumerically(">=", silence+notice))
	})

	It("is never passed as whole if the endpoint does not resume it", func() {
		var connections atomic.Int32
		o := newOneRouter(hang, cutOnce(false, &connections))
		body := ""
		Expect(func() {
			w := &recorder{}
			defer func() { body = w.String() }()
			o.serve(w, chatPath, chatBody)
		}).To(PanicWith(http.ErrAbortHandler), "the connection is cut")
		Expect(pieces(body)).To(Equal("0123"))
		Expect(body).NotTo(ContainSubstring("[DONE]"))
		Expect(body).To(ContainSubstring(fmt.Sprintf(`"code":%d`, code.Truncated)))
		Expect(body).To(ContainSubstring(`"not_run":false`))
	})

	DescribeTable("is waited for at two silent endpoints at most",
		func(path, body string) {
			var tries atomic.Int32
			o := newRouterWith(hang, 20*time.Millisecond, maxEndpoints, func(w http.ResponseWriter, r *http.Request) {
				tries.Add(1)
				io.Copy(io.Discard, r.Body)
				<-r.Context().Done()
			})
			p := problemOf(o.send(path, body))
			Expect(p.Code).To(Equal(int(code.Silent)))
			Expect(p.NotRun).To(BeFalse())
			Expect(tries.Load()).To(Equal(int32(2)))
		},
		Entry("a chat completion", chatPath, chatBody),
		Entry("a plain service", "/stock", `{}`),
	)

	DescribeTable("that rejects the request is passed on as it is",
		func(body string) {
			w := newOneRouter(hang, func(w http.ResponseWriter, r *http.Request) {
				http.Error(w, "context too long", http.StatusUnprocessableEntity)
			}).send(chatPath, body)
			Expect(w.Code).To(Equal(http.StatusUnprocessableEntity))
			Expect(w.Body.String()).To(Equal("context too long\n"))
		},
		Entry("streamed", chatBody),
		Entry("whole", strings.Replace(chatBody, `"stream":true,`, "", 1)),
	)
})

// recorder keeps what was written before a handler's panic.
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

func (o oneRouter) serve(w http.ResponseWriter, path, body string) {
	r, err := http.NewRequest(http.MethodPost, path, strings.NewReader(body))
	Expect(err).NotTo(HaveOccurred())
	r.Header.Set("Authorization", "Bearer secret")
	o.api.Handler().ServeHTTP(w, r)
}
