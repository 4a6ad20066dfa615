package daemon

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing/iotest"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/cyclamenwinch/cyclamenwinch/internal/memory"
)

// deadlineRecorder keeps the read deadline of a connection.
type deadlineRecorder struct {
	http.ResponseWriter
	read time.Time
}

func (d *deadlineRecorder) SetReadDeadline(t time.Time) error {
	d.read = t
	return nil
}

var _ = Describe("the deadline of a request body", func() {
	// Guards against long responses that net/http cancels once a deadline that is left over passes.
	DescribeTable("is cleared once the body was read", func(body string) {
		w := &deadlineRecorder{}
		r := httptest.NewRequest(http.MethodPost, "/", strings.NewReader(body))
		r.Body = io.NopCloser(iotest.DataErrReader(r.Body)) // net/http returns EOF with the last bytes
		held := memory.NewBudget(0).Reserve(memory.RequestBodies, "", 0)
		read, err := memory.ReadBody(withBodyDeadline(w, r), r.ContentLength, 100, held)
		Expect(err).NotTo(HaveOccurred())
		Expect(string(read)).To(Equal(body))
		Expect(w.read).To(BeZero())
	}, Entry("of some bytes", "some"), Entry("of none", ""))
})
