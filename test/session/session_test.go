// Package session_test runs a complete session with routers, stand-ins and the
// command line tool as processes, and compares its transcript with a golden
// file.
//
// The result does not depend on the speed of the machine: conditions are
// polled, and timeouts only guard against a hang. After an intended change,
// `go test ./test/session -update` rewrites the golden file.
package session_test

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"strings"
	"syscall"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/onsi/gomega/gbytes"
	"github.com/sebdah/goldie/v2"

	"github.com/cyclamenwinch/cyclamenwinch/core/manifest"
	"github.com/cyclamenwinch/cyclamenwinch/internal/addresses"
	"github.com/cyclamenwinch/cyclamenwinch/load"
)

func TestSession(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Session")
}

const (
	hotelKey = "demo-hurghada-hotels"
	cafeKey  = "demo-alexandria-cafes"
)

func chat(key string, stream bool, tokens int) load.Request {
	body, err := json.Marshal(map[string]any{
		"model": "tender-writer", "stream": stream, "max_tokens": tokens,
		"messages": []map[string]string{{"role": "user", "content": "four hundred bar stools"}},
	})
	Expect(err).NotTo(HaveOccurred())
	return load.Request{APIKey: key, Path: "/v1/chat/completions", Body: body}
}

func placeOrder(idempotencyKey, body string) load.Request {
	return load.Request{APIKey: hotelKey, Path: "/v1/orders", Key: idempotencyKey, Body: json.RawMessage(body)}
}

var _ = Describe("a complete session", Ordered, func() {
	var (
		f *fleet
		t *transcript
	)

	BeforeAll(func() {
		f = startFleet()
		t = &transcript{fleet: f, requests: map[string]string{}}
		f.startRouter(f.plainSettings("router-a", "eg-north-1"))
		f.startRouter(f.plainSettings("router-b", "eg-north-2"))
		f.startRouter(f.plainSettings("router-c", "eg-north-3"))
		f.awaitMembers()
	})

	It("matches the golden file", func() {
		file := f.write("manifest.json", f.manifest)
		t.section("Configuration")
		t.runCLI("check manifest.json", "check", file)
		t.runCLI("submit manifest.json", "submit", file)
		t.awaitGeneration("1")

		t.section("Model requests")
		whole := t.call("stream", "router-b", chat(hotelKey, true, 12))
		setFaults(f.runners["runner-2"], `{"cut_once":true}`)
		resumed := t.call("stream that is cut and goes on", "router-b", chat(hotelKey, true, 12))
		Expect(resumed.Text).To(Equal(whole.Text))
		Expect(runnerStats(f.runners["runner-2"]).Started).To(Equal(3), "one request was sent twice")
		t.call("whole", "router-a", chat(cafeKey, false, 6))

		t.section("Refusals")
		t.call("unknown key", "router-a", chat("nobody", true, 1))
		t.call("unknown model", "router-b", load.Request{APIKey: cafeKey, Path: "/v1/chat/completions", Body: json.RawMessage(`{"model":"none","messages":[{"role":"user","content":"x"}]}`)})
		t.call("unreadable body", "router-c", load.Request{APIKey: cafeKey, Path: "/v1/chat/completions", Body: json.RawMessage(`{`)})
		t.call("unknown path", "router-c", load.Request{APIKey: cafeKey, Path: "/v2", Body: json.RawMessage(`{}`)})
		t.call("order without key", "router-a", placeOrder("", `{"quantity":1}`))
		t.call("large body", "router-a", load.Request{APIKey: cafeKey, Path: "/v1/chat/completions", Body: json.RawMessage(`"` + strings.Repeat("x", 1<<20) + `"`)})

		t.section("Orders")
		first := t.call("order", "router-a", placeOrder("hotel-1", `{"quantity":400}`))
		again := t.call("order sent again elsewhere", "router-b", placeOrder("hotel-1", `{"quantity":400}`))
		Expect(again.Text).To(Equal(first.Text))
		t.call("key with another order", "router-c", placeOrder("hotel-1", `{"quantity":401}`))
		setFaults(f.platform, `{"lose_answer":1}`)
		t.call("order whose records lose their answers", "router-c", placeOrder("hotel-2", `{"quantity":2}`))
		setFaults(f.platform, `{}`)
		t.call("the same sent again", "router-a", placeOrder("hotel-2", `{"quantity":2}`))

		t.runCLI("orders --account hurghada-hotels --key hotel-2", "orders", "--account", "hurghada-hotels", "--key", "hotel-2")

		t.section("An unknown outcome")
		f.manifest.Endpoints[2].Lookup = false
		t.runCLI("submit manifest.json, with an order runner that answers no look-up", "submit", f.write("manifest.json", f.manifest))
		t.awaitGeneration("2")
		setFaults(f.runners["orders-1"], `{"lose_answer":true}`)
		t.call("order whose answer is lost", "router-b", placeOrder("hotel-3", `{"quantity":3}`))
		setFaults(f.runners["orders-1"], `{}`)
		t.runCLI("orders --unknown", "orders", "--unknown")
		t.call("the unknown order sent again", "router-c", placeOrder("hotel-3", `{"quantity":3}`))
		t.runCLI("orders --account hurghada-hotels --key hotel-3 --settle done", "orders", "--account", "hurghada-hotels", "--key", "hotel-3", "--settle", "done")
		t.runCLI("orders --unknown", "orders", "--unknown")
		t.call("the settled order sent again", "router-a", placeOrder("hotel-3", `{"quantity":3}`))

		t.section("A zone goes out and comes back")
		t.submitZone(manifest.Out, "3")
		t.addresses("router-b")
		t.call("while the zone is out", "router-a", chat(hotelKey, true, 3))
		t.submitZone(manifest.In, "4")
		t.addresses("router-b")
		t.call("after it came back", "router-a", chat(hotelKey, true, 3))

		t.addLine("executions of each key at the order runner: %v", f.executions())

		t.section("Time line")
		t.timeline()

		t.section("Stop")
		t.stopDuringStream("router-c")
		t.abortDuringStream("router-b")
		f.routers["router-a"].process.Terminate().Wait(hangTimeout)
		t.addLine("router-a stopped idle: exit %d", f.routers["router-a"].process.ExitCode())

		goldie.New(GinkgoTB()).Assert(GinkgoTB(), "session", []byte(t.String()))
	})
})

func (t *transcript) awaitGeneration(generation string) {
	t.runCLI("wait --generation "+generation, "wait", "--generation", generation, "--routers", "3", "--seconds", "60")
}

// submitZone takes the availability zone eg-north-1 out of service or puts it
// back.
func (t *transcript) submitZone(state manifest.State, generation string) {
	t.fleet.manifest.Zones[0].State = state
	t.runCLI("submit manifest.json, with eg-north-1 "+string(state), "submit", t.fleet.write("manifest.json", t.fleet.manifest))
	t.awaitGeneration(generation)
}

// addresses records the zones of the router addresses that a router returns to
// callers.
func (t *transcript) addresses(router string) {
	resp, err := http.Get(t.fleet.routers[router].callerURL() + "/v1/addresses?zone=eg-north-1")
	Expect(err).NotTo(HaveOccurred())
	defer resp.Body.Close()
	var response addresses.Response
	Expect(json.NewDecoder(resp.Body).Decode(&response)).To(Succeed())
	var zones []string
	for _, a := range response.Addresses {
		zones = append(zones, a.Zone)
	}
	slices.Sort(zones)
	t.addLine("addresses in zones %v", zones)
}

// openStream starts a stream and returns once its first line has arrived.
func (t *transcript) openStream(router string, tokens int) (*bufio.Reader, func()) {
	r := chat(hotelKey, true, tokens)
	ctx, cancel := context.WithTimeout(context.Background(), hangTimeout)
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, t.fleet.routers[router].callerURL()+r.Path, bytes.NewReader(r.Body))
	Expect(err).NotTo(HaveOccurred())
	req.Header.Set("Authorization", "Bearer "+r.APIKey)
	resp, err := http.DefaultClient.Do(req)
	Expect(err).NotTo(HaveOccurred())
	body := bufio.NewReader(resp.Body)
	_, err = body.ReadString('\n')
	Expect(err).NotTo(HaveOccurred())
	return body, func() {
		resp.Body.Close()
		cancel()
	}
}

// stopDuringStream stops a router gracefully while it relays a stream and
// records whether the stream was completed.
func (t *transcript) stopDuringStream(router string) {
	body, done := t.openStream(router, 300)
	defer done()
	process := t.fleet.routers[router].process.Terminate()
	rest, err := io.ReadAll(body)
	Expect(err).NotTo(HaveOccurred())
	completed := strings.HasSuffix(string(rest), "data: [DONE]\n\n")
	process.Wait(hangTimeout)
	t.addLine("%s stopped during a stream: whole=%v exit %d", router, completed, process.ExitCode())
}

// abortDuringStream sends two signals to a router while it relays a stream that
// does not end in time; the second one aborts the graceful stop.
func (t *transcript) abortDuringStream(router string) {
	_, done := t.openStream(router, 1_000_000)
	defer done()
	process := t.fleet.routers[router].process
	process.Signal(syscall.SIGTERM)
	Eventually(process.Err, hangTimeout).Should(gbytes.Say("Stopping"))
	process.Signal(syscall.SIGTERM)
	process.Wait(hangTimeout)
	t.addLine("%s stopped by two signals during a stream: exit %d, says the code: %v", router, process.ExitCode(),
		bytes.Contains(process.Err.Contents(), []byte("5011 WorkCut")))
}
