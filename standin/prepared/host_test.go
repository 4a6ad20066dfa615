package prepared_test

import (
	"io"
	"net/http"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/cyclamenwinch/cyclamenwinch/standin/prepared"
)

var _ = Describe("A host", func() {
	var host *prepared.Host
	BeforeEach(func() {
		var err error
		host, err = prepared.NewHost(&prepared.Runner{ID: "e1", EventCount: 3}, "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(host.Crash)
	})
	// send returns the status and the body; the status is 0 if there was no response.
	send := func(header ...string) (int, string, error) {
		req, err := http.NewRequest("POST", "http://"+host.Address()+"/x", strings.NewReader("hello"))
		Expect(err).NotTo(HaveOccurred())
		req.Close = true
		req.Header.Set("X-Attempt-Id", "a1")
		for i := 0; i+1 < len(header); i += 2 {
			req.Header.Set(header[i], header[i+1])
		}
		resp, err := http.DefaultTransport.RoundTrip(req)
		if err != nil {
			return 0, "", err
		}
		defer resp.Body.Close()
		body, err := io.ReadAll(resp.Body)
		return resp.StatusCode, string(body), err
	}

	It("refuses connections after a crash until it is started at the same address", func() {
		host.Crash()
		_, _, err := send()
		Expect(err).To(MatchError(ContainSubstring("connection refused")))
		address := host.Address()
		Expect(host.Start()).To(Succeed())
		Expect(host.Address()).To(Equal(address))
		status, body, err := send()
		Expect(err).NotTo(HaveOccurred())
		Expect(status).To(Equal(200))
		Expect(body).To(Equal("done hello"))
	})

	It("does not run requests for another version of the weights", func() {
		host.SetVersion(2)
		status, _, _ := send("X-Expected-Version", "1")
		Expect(status).To(Equal(421))
		Expect(host.Runner.Requests()).To(BeEmpty())
		status, _, _ = send("X-Expected-Version", "2")
		Expect(status).To(Equal(200))
	})

	It("crashes after the first event and does not end the response", func() {
		host.SetHandler(host.CrashAfterFirstEvent())
		status, body, err := send("X-Model", "m")
		Expect(status).To(Equal(200))
		Expect(err).To(HaveOccurred())
		Expect(body).To(Equal("id: 1\ndata: piece 1 of a1\n\n"))
		Expect(host.Running()).To(BeFalse())
	})

	It("does not end the responses that a crash interrupts", func() {
		host.Runner.EventCount = 1_000_000
		ended := make(chan error, 1)
		go func() { defer GinkgoRecover(); _, _, err := send("X-Model", "m"); ended <- err }()
		Eventually(host.Runner.Requests).Should(HaveLen(1))
		host.Crash()
		Eventually(ended).Should(Receive(HaveOccurred()))
	})

	It("runs a request before it fails with a status", func() {
		host.SetHandler(host.Runner.FailAfterRun(503))
		status, _, err := send()
		Expect(err).NotTo(HaveOccurred())
		Expect(status).To(Equal(503))
		Expect(host.Runner.Requests()).To(HaveLen(1))
	})

	It("sends a complete response before bytes that belong to no request", func() {
		host.SetHandler(host.Runner.FloodAfterResponse())
		status, body, err := send()
		Expect(err).NotTo(HaveOccurred())
		Expect(status).To(Equal(200))
		Expect(body).To(Equal("done hello"))
	})
})

var _ = Describe("The list of a runner's cached parts", func() {
	It("holds those of model requests since its start", func() {
		host, err := prepared.NewHost(&prepared.Runner{ID: "e1", EventCount: 1}, "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(host.Crash)
		list := func() (int, string) {
			resp, err := http.Get("http://" + host.Address() + "/v1/kv-list")
			Expect(err).NotTo(HaveOccurred())
			defer resp.Body.Close()
			body, err := io.ReadAll(resp.Body)
			Expect(err).NotTo(HaveOccurred())
			return resp.StatusCode, string(body)
		}
		_, body := list()
		Expect(body).To(Equal(`{"epoch":1,"held":null,"next":0}`))
		for _, parts := range []string{"5c:800,91:410", "5c:800,92:10"} {
			req, err := http.NewRequest("POST", "http://"+host.Address()+"/x", strings.NewReader("hello"))
			Expect(err).NotTo(HaveOccurred())
			req.Header.Set("X-Model", "m")
			req.Header.Set("X-Prefix-Hash", parts)
			resp, err := http.DefaultTransport.RoundTrip(req)
			Expect(err).NotTo(HaveOccurred())
			_, err = io.Copy(io.Discard, resp.Body)
			Expect(err).NotTo(HaveOccurred())
			resp.Body.Close()
		}
		_, body = list()
		Expect(body).To(Equal(`{"epoch":1,"held":[["","5c",800,"m"],["","91",410,"m"],["","92",10,"m"]],"next":3}`))
		Expect(host.Runner.CacheLists()).To(Equal(2))
		host.Crash()
		Expect(host.Start()).To(Succeed())
		_, body = list()
		Expect(body).To(ContainSubstring(`"held":null`))
		host.Runner.NoCacheList = true
		status, _ := list()
		Expect(status).To(Equal(404))
	})
})
