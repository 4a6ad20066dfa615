package addresses_test

import (
	"encoding/json"
	"net/http/httptest"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/cyclamenwinch/cyclamenwinch/core/manifest"
	"github.com/cyclamenwinch/cyclamenwinch/core/member"
	"github.com/cyclamenwinch/cyclamenwinch/internal/addresses"
)

func TestAddresses(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Addresses")
}

type fakeFleet struct {
	routers []member.Router
	zones   []manifest.Zone
}

func (f fakeFleet) View() member.View { return member.NewView(f.routers) }

func (f fakeFleet) Manifest() *manifest.Manifest { return &manifest.Manifest{Zones: f.zones} }

var _ = Describe("an address answer", func() {
	ask := func(f fakeFleet) addresses.Response {
		w := httptest.NewRecorder()
		addresses.New(f, 5*time.Second).ServeHTTP(w, httptest.NewRequest("GET", "/v1/addresses?zone=z1", nil))
		Expect(w.Header().Get("Cache-Control")).To(Equal("max-age=5"))
		var answer addresses.Response
		Expect(json.Unmarshal(w.Body.Bytes(), &answer)).To(Succeed())
		return answer
	}

	It("leaves out leaving routers and zones that are out", func() {
		answer := ask(fakeFleet{
			routers: []member.Router{
				{Name: "a", Zone: "z1", CallerURL: "http://a"},
				{Name: "b", Zone: "z1", CallerURL: "http://b", Leaving: true},
				{Name: "c", Zone: "z2", CallerURL: "http://c"},
			},
			zones: []manifest.Zone{{Name: "z1", Region: "r", State: manifest.In}, {Name: "z2", Region: "r", State: manifest.Out}},
		})
		Expect(answer.Addresses).To(Equal([]addresses.Address{{URL: "http://a", Zone: "z1"}}))
	})

	It("is bounded", func() {
		var f fakeFleet
		for i := range 450 {
			f.routers = append(f.routers, member.Router{Name: string(rune('a' + i)), Zone: "z1"})
		}
		Expect(ask(f).Addresses).To(HaveLen(4))
	})
})
