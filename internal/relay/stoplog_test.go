package relay

import (
	"context"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/cyclamenwinch/cyclamenwinch/internal/oplog"
)

// TestRequestsThatAStopCutsAreLoggedBesideManyRefusals guards against requests without a
// trace because the lines on refused ones use up the rate of the log.
func TestRequestsThatAStopCutsAreLoggedBesideManyRefusals(t *testing.T) {
	var out strings.Builder
	log := oplog.New(&out)
	for range 1000 {
		log.Log(oplog.Failure, "refused")
	}
	h := New(Options{Log: log})
	h.ExpectClose()
	(&exchange{h: h, r: httptest.NewRequest("GET", "/", nil)}).recordNoResponse(clientLeft)
	log.Close(context.Background())
	if !strings.Contains(out.String(), `"reason":"router_stopped"`) {
		t.Error("the request is not in the log")
	}
}
