package callerapi

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cyclamenwinch/cyclamenwinch/core/fair"
	"github.com/cyclamenwinch/cyclamenwinch/internal/endpoint"
	"github.com/cyclamenwinch/cyclamenwinch/internal/eventlog"
)

// testSlot is a slot of a process that has stalled since the grant, or not.
type testSlot struct{ stalled bool }

func (testSlot) RecordBegun()                            {}
func (testSlot) UpdateProgress(fair.Cost, time.Duration) {}
func (s testSlot) Stalled() bool                         { return s.stalled }

// TestNoResumeAfterStall guards against a router that was stopped while an endpoint
// restarted, and then resumes all the streams that it had there at once.
func TestNoResumeAfterStall(t *testing.T) {
	for stalled, wanted := range map[bool]int32{false: 2, true: 1} {
		var connections atomic.Int32
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set(endpoint.ResumedHeader, "true")
			fmt.Fprintf(w, "data: {\"id\":%q}\n\n", r.Header.Get(endpoint.RequestIDHeader))
			if connections.Add(1) > 1 {
				io.WriteString(w, "data: [DONE]\n\n")
			}
		}))
		api := New(Options{Endpoints: endpoint.New(time.Minute), Events: eventlog.New("router-a", 10)})
		run := &chatRun{api: api, w: httptest.NewRecorder(), r: httptest.NewRequest(http.MethodPost, "/", nil), slot: testSlot{stalled}}
		err := run.relayStream(endpoint.Call{URL: server.URL, Method: http.MethodPost, RequestID: "x"})
		server.Close()
		if n := connections.Load(); n != wanted || (err != nil) != stalled {
			t.Errorf("stalled %v: %d connections to the endpoint, error %v", stalled, n, err)
		}
	}
}
