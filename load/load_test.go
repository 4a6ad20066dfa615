package load_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/cyclamenwinch/cyclamenwinch/load"
	"github.com/cyclamenwinch/cyclamenwinch/standin/runner"
)

func smallPlan(seed uint64) *load.Plan {
	account := func(name string, rate float64) load.Account {
		return load.Account{Name: name, Share: 1, Rate: rate, OrderRate: rate / 10, ResendFraction: 0.5, MinTokens: 1, MaxTokens: 5, PatienceMillis: 20_000, ZoneWeights: []float64{1, 0}}
	}
	return &load.Plan{
		Seed: seed, Seconds: 1, MaxRequests: 1000, Model: "m", Zones: []string{"z1", "z2"},
		Accounts: []load.Account{account("a", 40), account("b", 20)},
	}
}

var _ = Describe("arrivals", func() {
	It("are equal for equal seeds and differ for different seeds", func() {
		Expect(smallPlan(7).Arrivals()).To(Equal(smallPlan(7).Arrivals()))
		Expect(smallPlan(7).Arrivals()).NotTo(Equal(smallPlan(8).Arrivals()))
	})

	It("are bounded, ordered by time and distributed over zones by weight", func() {
		p := smallPlan(1)
		p.MaxRequests = 10
		arrivals := p.Arrivals()
		Expect(arrivals).To(HaveLen(10))
		for i, a := range arrivals {
			Expect(a.Zone).To(Equal("z1"))
			if i > 0 {
				Expect(a.At).To(BeNumerically(">=", arrivals[i-1].At))
			}
		}
	})

	It("of one account don't depend on the rate of another account", func() {
		alone, beside := smallPlan(3), smallPlan(3)
		beside.Accounts[1].Rate *= 10
		of := func(p *load.Plan) (prompts []string) {
			for _, a := range p.Arrivals() {
				if a.Account == "a" {
					prompts = append(prompts, a.Prompt)
				}
			}
			return prompts
		}
		Expect(of(beside)).To(Equal(of(alone)))
	})
})

var _ = Describe("a run against a baseline", func() {
	It("reports every request and never exceeds a router's part of a runner's slots", func(ctx SpecContext) {
		model := runner.NewServer("r", runner.Options{TokenInterval: time.Millisecond, WarmupResponses: 2, ColdSlots: 1})
		server := httptest.NewServer(model.Handler())
		DeferCleanup(server.Close)
		p := smallPlan(5)
		p.Accounts[0].OrderRate, p.Accounts[1].OrderRate = 0, 0
		p.Fleet = load.Fleet{
			Routers: []load.Router{{Name: "x", Zone: "z1"}, {Name: "y", Zone: "z2"}},
			Models:  []load.Runner{{Name: "r", Zone: "z1", URL: server.URL, Slots: 4}},
		}
		result, err := load.Run(ctx, p, load.FCFS, io.Discard)
		Expect(err).NotTo(HaveOccurred())
		report := load.NewReport(result)
		Expect(report.Requests).To(Equal(len(p.Arrivals())))
		Expect(report.Outcomes).To(Equal(map[load.Outcome]int{load.Completed: report.Requests}))
		Expect(load.RunnerStats(ctx, p.Fleet.Models)["r"].MaxRunning).To(BeNumerically("<=", 2))
	})
})

var _ = DescribeTable("the outcome of a stream, as its caller sees it",
	func(ctx SpecContext, events []string, want load.Outcome) {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set("Content-Type", "text/event-stream")
			for _, e := range events {
				fmt.Fprintf(w, "data: %s\n\n", e)
			}
		}))
		DeferCleanup(server.Close)
		p := smallPlan(5)
		p.Accounts = p.Accounts[:1]
		p.Accounts[0].Rate, p.Accounts[0].OrderRate = 500, 0
		p.Accounts[0].MinTokens, p.Accounts[0].MaxTokens, p.MaxRequests = 1, 1, 1
		target := load.Fleet{
			Routers: []load.Router{{Name: "x", Zone: "z1", CallerURL: server.URL}},
		}
		reply, err := load.NewCaller(server.URL, "z1").Send(ctx, target.Routers[0].CallerURL, load.Request{Path: "/"})
		Expect(load.OutcomeOf(p.Arrivals()[0], reply, err)).To(Equal(want))
	},
	Entry("the expected response with its end marker", []string{`{"choices":[{"delta":{"content":"a#0"}}]}`, "[DONE]"}, load.Completed),
	Entry("the response to another request", []string{`{"choices":[{"delta":{"content":"b#7"}}]}`, "[DONE]"}, load.WrongResponse),
	Entry("no end marker", []string{`{"choices":[{"delta":{"content":"a#0"}}]}`}, load.Truncated),
	Entry("an error within the stream", []string{`{"choices":[{"delta":{"content":"a#0"}}]}`, `{"error":{"code":3002}}`}, load.Truncated),
)

var _ = Describe("evidence", func() {
	key := load.EndpointKey("a", "k")
	answered := load.Record{Account: "a", Key: "k", Outcome: load.Completed, Status: 200, Response: "r1"}
	refused := load.Record{Account: "a", Key: "k", Outcome: load.Refused, NotRun: true}
	clean := func() *load.Evidence {
		return &load.Evidence{
			Records:     []load.Record{answered, refused, {Account: "a", Outcome: load.Completed, Tokens: 3}},
			Executions:  map[string]int{key: 1},
			Ledger:      map[string][]string{key: {"done"}},
			Generations: []int64{1, 2, 3},
		}
	}

	It("of a correct fleet shows no violation", func() {
		Expect(clean().Check()).To(BeEmpty())
	})

	It("accepts a claim that was proved not run and a later claim that was executed", func() {
		e := clean()
		e.Ledger[key] = []string{"not_run", "done"}
		Expect(e.Check()).To(BeEmpty())
	})

	DescribeTable("shows each violation", func(corrupt func(*load.Evidence), guarantee string) {
		e := clean()
		corrupt(e)
		found := e.Check()
		Expect(found).To(HaveLen(1))
		Expect(found[0].Guarantee).To(ContainSubstring(guarantee))
	},
		Entry("an order that was executed twice", func(e *load.Evidence) { e.Executions[key] = 2 }, "at most once"),
		Entry("an order that was answered but never executed", func(e *load.Evidence) { delete(e.Executions, key) }, "lost"),
		Entry("an order without a record", func(e *load.Evidence) { delete(e.Ledger, key) }, "recorded"),
		Entry("an order that was executed although its record says not run", func(e *load.Evidence) { e.Ledger[key] = []string{"not_run"} }, "recorded"),
		Entry("an order with two records", func(e *load.Evidence) { e.Ledger[key] = []string{"done", "claimed"} }, "exactly once"),
		Entry("an executed order that was refused as not run on every attempt", func(e *load.Evidence) { e.Records = []load.Record{refused, refused} }, "not run"),
		Entry("a resend with a different response", func(e *load.Evidence) {
			other := answered
			other.Response = "r2"
			e.Records = append(e.Records, other)
		}, "recorded response"),
		Entry("a response to another request", func(e *load.Evidence) { e.Records = append(e.Records, load.Record{Outcome: load.WrongResponse}) }, "its own request"),
		Entry("tokens of a request that was not run", func(e *load.Evidence) {
			e.Records = append(e.Records, load.Record{Outcome: load.Refused, NotRun: true, Tokens: 1})
		}, "not run"),
		Entry("a generation that decreases", func(e *load.Evidence) { e.Generations = []int64{1, 2, 1} }, "never reverts"),
	)
})

var _ = Describe("a comparison", func() {
	It("names the account whose time to first token increased by the largest ratio", func() {
		report := func(gap, p95 float64) *load.Report {
			return &load.Report{
				Gap:      load.Gap{Cost: gap},
				Accounts: []load.AccountService{{Account: "a", FirstMs: load.Percentiles{P95: 10}}, {Account: "b", FirstMs: load.Percentiles{P95: p95}}},
			}
		}
		c := load.Compare(report(5, 30), report(50, 20))
		Expect(c.Gap.Ratio).To(Equal(0.1))
		Expect(c.WorstAccount.Account).To(Equal("b"))
		Expect(c.WorstAccount.Ratio).To(Equal(1.5))
	})
})

var _ = Describe("a caller", func() {
	It("caches an address list for its lifetime and fetches it again once it is invalidated", func(ctx SpecContext) {
		fetches := 0
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			fetches++
			fmt.Fprint(w, `{"addresses":[{"url":"http://one"}],"lifetime_sec":60}`)
		}))
		DeferCleanup(server.Close)
		c := load.NewCaller(server.URL, "z1")
		for range 3 {
			Expect(c.Address(context.WithoutCancel(ctx))).To(Equal("http://one"))
		}
		Expect(fetches).To(Equal(1))
		c.InvalidateAddresses()
		Expect(c.Address(context.WithoutCancel(ctx))).To(Equal("http://one"))
		Expect(fetches).To(Equal(2))
	})
})
