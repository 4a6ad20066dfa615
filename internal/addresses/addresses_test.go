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

var _ = Describe("an address response", func() {
	request := func(f fakeFleet) addresses.Response {
		w := httptest.NewRecorder()
		addresses.New(f, 5*time.Second).ServeHTTP(w, httptest.NewRequest("GET", "/v1/addresses?zone=z1", nil))
		Expect(w.Header().Get("Cache-Control")).To(Equal("max-age=5"))
		var response addresses.Response
		Expect(json.Unmarshal(w.Body.Bytes(), &response)).To(Succeed())
		return response
	}

	It("omits leaving routers and zones that are out", func() {
		response := request(fakeFleet{
			routers: []member.Router{
				{Name: "a", Zone: "z1", CallerURL: "http://a"},
				{Name: "b", Zone: "z1", CallerURL: "http://b", Leaving: true},
				{Name: "c", Zone: "z2", CallerURL: "http://c"},
			},
			zones: []manifest.Zone{{Name: "z1", Region: "r", State: manifest.In}, {Name: "z2", Region: "r", State: manifest.Out}},
		})
		Expect(response.Addresses).To(Equal([]addresses.Address{{URL: "http://a", Zone: "z1"}}))
	})

	It("lists at most four addresses", func() {
		var f fakeFleet
		for i := range 450 {
			f.routers = append(f.routers, member.Router{Name: string(rune('a' + i)), Zone: "z1"})
		}
		Expect(request(f).Addresses).To(HaveLen(4))
	})
})
