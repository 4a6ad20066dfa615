package runner_test

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/cyclamenwinch/cyclamenwinch/standin/runner"
)

func TestRunner(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Model runner stand-in")
}

var _ = Describe("a cold runner", func() {
	post := func(s *httptest.Server) error {
		r, err := http.Post(s.URL+"/v1/chat/completions", "application/json", strings.NewReader(`{"messages":[{"content":"a"}],"max_tokens":50}`))
		if err == nil {
			r.Body.Close()
		}
		return err
	}

	It("crashes above its cold limit, and counts the requests of each incarnation separately", func() {
		s := httptest.NewServer(runner.NewServer("r", runner.Options{TokenInterval: time.Millisecond, WarmupResponses: 4, ColdSlots: 2, StartDuration: time.Hour}).Handler())
		defer s.Close()
		ended := make(chan error, 3)
		for range 3 {
			go func() { ended <- post(s) }()
		}
		for range 3 {
			Expect(<-ended).To(HaveOccurred())
		}
		Expect(post(s)).To(HaveOccurred(), "the runner is still starting")
		r, err := http.Get(s.URL + "/stats")
		Expect(err).NotTo(HaveOccurred())
		defer r.Body.Close()
		Expect(r.Body).NotTo(BeNil())
		stats := make([]byte, 4096)
		n, _ := r.Body.Read(stats)
		Expect(string(stats[:n])).To(And(ContainSubstring(`"crashes":1`), ContainSubstring(`"max_when_cold":3`)))
	})
})
