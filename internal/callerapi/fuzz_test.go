package callerapi_test

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"testing"

	"github.com/cyclamenwinch/cyclamenwinch/core/code"
	"github.com/cyclamenwinch/cyclamenwinch/core/fair"
	"github.com/cyclamenwinch/cyclamenwinch/core/manifest"
	"github.com/cyclamenwinch/cyclamenwinch/core/member"
	"github.com/cyclamenwinch/cyclamenwinch/internal/callerapi"
	"github.com/cyclamenwinch/cyclamenwinch/internal/eventlog"
	"github.com/cyclamenwinch/cyclamenwinch/internal/pool"
)

// staticFleet is a fleet of one router with a fixed manifest.
type staticFleet struct{ m *manifest.Manifest }

func (f staticFleet) Self() member.Router               { return member.Router{Name: "router-a"} }
func (f staticFleet) View() member.View                 { return member.NewView([]member.Router{f.Self()}) }
func (f staticFleet) Manifest() *manifest.Manifest      { return f.m }
func (f staticFleet) RemoteUsage() map[string]fair.Cost { return nil }
func (f staticFleet) Subscribe(func())                  {}

// FuzzCallerBody checks that every combination of path, key and body is refused
// with a result code and not_run set, since the pools have no endpoint that
// could run anything.
func FuzzCallerBody(f *testing.F) {
	for _, file := range []string{"../../examples/nile-perch/requests.json", "../../examples/annex/requests.json"} {
		data, err := os.ReadFile(file)
		if err != nil {
			f.Fatal(err)
		}
		var requests []struct {
			Path string          `json:"path"`
			Body json.RawMessage `json:"body"`
		}
		if err := json.Unmarshal(data, &requests); err != nil {
			f.Fatal(err)
		}
		for _, r := range requests {
			f.Add(r.Path, "key", []byte(r.Body))
		}
	}
	f.Add("/v1/chat/completions", "", []byte(`{"model":"tender-writer","messages":[{}],"max_tokens":-9223372036854775808}`))
	f.Add("/v1/chat/completions", "", []byte(`{"model":"tender-writer","messages":[{"content":"\ud800"}],"max_tokens":1e400}`))
	f.Add("/v1/orders/..//x", strings.Repeat("k", 300), []byte(nil))

	m := &manifest.Manifest{
		Generation: 1,
		Accounts:   []manifest.Account{{Name: "hotels", Share: 1, KeyDigests: []string{manifest.KeyDigest("secret")}, MaxQueue: 1, MaxWaitMillis: 1}},
		Pools:      []manifest.Pool{{Name: "drafting", Kind: manifest.Model, Models: []string{"tender-writer"}}, {Name: "stock", Kind: manifest.Service, Path: "/v1/orders"}},
		Orders:     manifest.Orders{Shards: 1, RetentionHours: 1},
	}
	fleet := staticFleet{m}
	events := eventlog.New("router-a", 100)
	client := pool.NewClient(fleet, pool.NewHost(fleet, events), nil)
	f.Cleanup(client.Close)
	h := callerapi.New(callerapi.Options{Fleet: fleet, Pools: client, Events: events, Addresses: http.NotFoundHandler(), MaxBodyBytes: 4096, MaxAccountRequests: 1}).Handler()

	f.Fuzz(func(t *testing.T, path, key string, body []byte) {
		r := httptest.NewRequest(http.MethodPost, "/", strings.NewReader(string(body)))
		r.URL.Path = "/" + strings.TrimPrefix(path, "/")
		r.Header.Set("Authorization", "Bearer secret")
		r.Header.Set("Idempotency-Key", key)
		w := httptest.NewRecorder()
		h.ServeHTTP(w, r)
		if w.Code == http.StatusMovedPermanently || w.Code == http.StatusTemporaryRedirect {
			return // the HTTP mux redirects paths that are not clean
		}
		var p code.Problem
		if err := json.Unmarshal(w.Body.Bytes(), &p); err != nil {
			t.Fatalf("response with status %d has no problem details: %v", w.Code, err)
		}
		if !p.NotRun || p.Code == int(code.Internal) || p.RequestID == "" {
			t.Fatalf("got problem %+v, want not_run, a request id and a code other than Internal", p)
		}
	})
}
