package load

import (
	"fmt"
	"math/rand/v2"
	"sort"
	"strings"
	"time"
)

// Arrival is one request of an open-loop load: it is sent at its time, whether
// or not earlier requests have completed.
type Arrival struct {
	At       time.Duration // since the start of the run
	Account  string
	Zone     string // zone of the caller
	Key      string // idempotency key; empty for a model request
	Resend   bool   // send a duplicate with the same key through another router
	Prompt   string
	Tokens   int
	Patience time.Duration
}

var nouns = strings.Fields("stool walnut brass crepe band hotel cafe parish quote reply linen stock")

// Arrivals returns the arrivals of a plan in order of time: one Poisson process
// each for the model requests and the orders of an account. They depend only
// on the plan and its seed; each process has its own random stream.
func (p *Plan) Arrivals() []Arrival {
	var all []Arrival
	for i, a := range p.Accounts {
		all = append(all, p.drawArrivals(a, rand.New(rand.NewPCG(p.Seed, uint64(2*i+1))), a.Rate, false)...)
		all = append(all, p.drawArrivals(a, rand.New(rand.NewPCG(p.Seed, uint64(2*i+2))), a.OrderRate, true)...)
	}
	sort.SliceStable(all, func(i, j int) bool { return all[i].At < all[j].At })
	if len(all) > p.MaxRequests {
		all = all[:p.MaxRequests]
	}
	return all
}

func (p *Plan) drawArrivals(a Account, rng *rand.Rand, rate float64, orders bool) []Arrival {
	if rate <= 0 {
		return nil
	}
	var out []Arrival
	at := 0.0
	for n := 0; ; n++ {
		at += rng.ExpFloat64() / rate
		if at >= float64(p.Seconds) || n >= p.MaxRequests {
			return out
		}
		arrival := Arrival{
			At:       time.Duration(at * float64(time.Second)),
			Account:  a.Name,
			Zone:     p.Zones[pickWeighted(rng, a.ZoneWeights)],
			Tokens:   a.MinTokens + rng.IntN(a.MaxTokens-a.MinTokens+1),
			Patience: time.Duration(a.PatienceMillis) * time.Millisecond,
			Prompt:   prompt(rng, a.Name, n),
		}
		if orders {
			arrival.Key = fmt.Sprintf("%s-%d-%d", a.Name, p.Seed, n)
			arrival.Resend = rng.Float64() < a.ResendFraction
		}
		out = append(out, arrival)
	}
}

// largestCost returns the largest actual or estimated cost of a request of the
// plan, in tokens.
func (p *Plan) largestCost() float64 {
	largest := 0
	for _, a := range p.Arrivals() {
		largest = max(largest, a.Tokens+max(promptTokens(a.Prompt), len(a.Prompt)/charsPerToken+1))
	}
	return float64(largest)
}

// charsPerToken is the ratio by which routers estimate the cost of a prompt.
const charsPerToken = 4

// prompt returns a text that is unique to its request, so that a response shows
// which request it belongs to.
func prompt(rng *rand.Rand, account string, n int) string {
	words := []string{fmt.Sprintf("%s#%d", account, n)}
	for range 3 + rng.IntN(12) {
		words = append(words, nouns[rng.IntN(len(nouns))])
	}
	return strings.Join(words, " ")
}

// pickWeighted returns a random index with probability proportional to its
// weight.
func pickWeighted(rng *rand.Rand, weights []float64) int {
	total := 0.0
	for _, w := range weights {
		total += w
	}
	x := rng.Float64() * total
	for i, w := range weights {
		if x -= w; x < 0 {
			return i
		}
	}
	return len(weights) - 1
}

// ExpectedResponse returns the text that a stand-in model runner generates for
// a prompt.
func ExpectedResponse(prompt string, tokens int) string {
	words := strings.Fields(prompt)
	out := make([]string, tokens)
	for i := range out {
		out[i] = words[i%len(words)]
	}
	return strings.Join(out, " ")
}
