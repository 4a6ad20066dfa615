package load

import (
	"fmt"
	"math/rand/v2"
	"sort"
	"strings"
	"time"
)

// Arrival is one request that a caller sends at a time, whether or not the
// earlier ones were answered.
type Arrival struct {
	At       time.Duration // since the start of the run
	Account  string
	Zone     string // where the caller is
	Key      string // idempotency key; empty for a model request
	Resend   bool   // sent again under the same key, through another router
	Prompt   string
	Tokens   int
	Patience time.Duration
}

var nouns = strings.Fields("stool walnut brass crepe band hotel cafe parish quote reply linen stock")

// Arrivals returns the arrivals of a plan in order of time: a Poisson process
// for each account, drawn from the plan's seed alone.
func (p *Plan) Arrivals() []Arrival {
	var all []Arrival
	for i, a := range p.Accounts {
		all = append(all, p.draw(a, rand.New(rand.NewPCG(p.Seed, uint64(2*i+1))), a.Rate, false)...)
		all = append(all, p.draw(a, rand.New(rand.NewPCG(p.Seed, uint64(2*i+2))), a.OrderRate, true)...)
	}
	sort.SliceStable(all, func(i, j int) bool { return all[i].At < all[j].At })
	if len(all) > p.MaxSent {
		all = all[:p.MaxSent]
	}
	return all
}

func (p *Plan) draw(a Account, rng *rand.Rand, rate float64, orders bool) []Arrival {
	if rate <= 0 {
		return nil
	}
	var out []Arrival
	at := 0.0
	for n := 0; ; n++ {
		at += rng.ExpFloat64() / rate
		if at >= float64(p.Seconds) || n >= p.MaxSent {
			return out
		}
		arrival := Arrival{
			At:       time.Duration(at * float64(time.Second)),
			Account:  a.Name,
			Zone:     p.Zones[pick(rng, a.Spread)],
			Tokens:   a.MinTokens + rng.IntN(a.MaxTokens-a.MinTokens+1),
			Patience: time.Duration(a.PatienceMillis) * time.Millisecond,
			Prompt:   prompt(rng, a.Name, n),
		}
		if orders {
			arrival.Key = fmt.Sprintf("%s-%d-%d", a.Name, p.Seed, n)
			arrival.Resend = rng.Float64() < a.ResendPart
		}
		out = append(out, arrival)
	}
}

// largestCost is the most that a request of the plan costs or is estimated
// at, in tokens.
func (p *Plan) largestCost() float64 {
	largest := 0
	for _, a := range p.Arrivals() {
		largest = max(largest, a.Tokens+max(promptTokens(a.Prompt), len(a.Prompt)/charsPerToken+1))
	}
	return float64(largest)
}

// charsPerToken is the routers' rule for the cost of a prompt.
const charsPerToken = 4

// prompt returns text that no other request has, so that an answer proves
// which request it belongs to.
func prompt(rng *rand.Rand, account string, n int) string {
	words := []string{fmt.Sprintf("%s#%d", account, n)}
	for range 3 + rng.IntN(12) {
		words = append(words, nouns[rng.IntN(len(nouns))])
	}
	return strings.Join(words, " ")
}

func pick(rng *rand.Rand, weights []float64) int {
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

// Answer returns the text that a stand-in model runner generates for a
// prompt.
func ExpectedResponse(prompt string, tokens int) string {
	words := strings.Fields(prompt)
	out := make([]string, tokens)
	for i := range out {
		out[i] = words[i%len(words)]
	}
	return strings.Join(out, " ")
}
