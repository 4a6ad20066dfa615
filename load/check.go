package load

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"slices"
	"sort"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/cyclamenwinch/cyclamenwinch/core/manifest"
	"github.com/cyclamenwinch/cyclamenwinch/core/order"
	"github.com/cyclamenwinch/cyclamenwinch/internal/fleet"
	"github.com/cyclamenwinch/cyclamenwinch/internal/platform"
)

const (
	ordersPrefix  = "orders/"
	shardHead     = "/head"         // where a chain begins; it holds no records
	historyWindow = 2 * time.Second // a history is sent at once
)

// Evidence is what can be seen of a fleet from outside.
type Evidence struct {
	Records     []Record            // the callers' log
	Executions  map[string]int      // by endpoint key, over all order runners
	Ledger      map[string][]string // endpoint key to the states of its records
	Generations []int64             // of the manifests that the platform accepted, in order
}

// Violation is one broken promise.
type Violation struct {
	Guarantee string `json:"promise"`
	Detail    string `json:"detail"`
}

// ReadEvidence reads the order runners' counts and the platform's objects
// and history.
func ReadEvidence(ctx context.Context, f Fleet, records []Record) (*Evidence, error) {
	e := &Evidence{Records: records, Executions: map[string]int{}, Ledger: map[string][]string{}}
	for _, r := range f.Orders {
		var counts map[string]int
		if err := GetJSON(ctx, r.URL+"/counts", "", &counts); err != nil {
			return nil, err
		}
		for key, n := range counts {
			e.Executions[key] += n
		}
	}
	if err := e.readLedger(ctx, f.Platform); err != nil {
		return nil, err
	}
	return e, e.readHistory(ctx, f.Platform)
}

func (e *Evidence) readLedger(ctx context.Context, base string) error {
	list, err := platform.New(base).List(ctx, ordersPrefix)
	if err != nil {
		return err
	}
	for _, o := range list.Items {
		if strings.HasSuffix(o.Key, shardHead) {
			continue
		}
		segment, err := order.DecodeSegment(o.Value)
		if err != nil {
			return errors.Wrapf(err, "read %s", o.Key)
		}
		for _, r := range segment.Records() {
			key := EndpointKey(r.Account, r.Key)
			e.Ledger[key] = append(e.Ledger[key], string(r.State))
		}
	}
	return nil
}

// readHistory reads the generations that the platform's watch replays.
func (e *Evidence) readHistory(ctx context.Context, base string) error {
	ctx, cancel := context.WithTimeout(ctx, historyWindow)
	defer cancel()
	err := platform.New(base).Watch(ctx, fleet.ManifestKey, 0, func(event platform.Event) {
		var m manifest.Manifest
		if json.Unmarshal(event.Object.Value, &m) == nil {
			e.Generations = append(e.Generations, m.Generation)
		}
	})
	if errors.Is(err, platform.ErrVersionTooOld) {
		return nil // the history was cut; the last generation still counts elsewhere
	}
	if ctx.Err() != nil {
		return nil
	}
	return err
}

// Check returns every broken promise that the evidence shows.
func (e *Evidence) Check() []Violation {
	var found []Violation
	found = append(found, e.checkAnswers()...)
	found = append(found, e.checkOrders()...)
	return append(found, e.checkGenerations()...)
}

func (e *Evidence) checkAnswers() []Violation {
	var found []Violation
	for _, r := range e.Records {
		if r.Outcome == WrongResponse {
			found = append(found, Violation{"whole answer to its own request", fmt.Sprintf("%s at %d ms through %s", r.Account, r.AtMillis, r.Router)})
		}
		if r.NotRun && r.Tokens > 0 {
			found = append(found, Violation{"\"not run\" is true", fmt.Sprintf("%s at %d ms received %d tokens", r.Account, r.AtMillis, r.Tokens)})
		}
	}
	return found
}

// tries are the attempts of all callers under one key.
type tries struct {
	name    string
	answers map[string]bool // different whole answers
	whole   int
	notRun  int
	all     int
}

func (e *Evidence) checkOrders() []Violation {
	var found []Violation
	byKey := map[string]*tries{}
	for _, r := range e.Records {
		if r.Key == "" {
			continue
		}
		key := EndpointKey(r.Account, r.Key)
		if byKey[key] == nil {
			byKey[key] = &tries{name: r.Account + " " + r.Key, answers: map[string]bool{}}
		}
		byKey[key].add(r)
	}
	for key, n := range e.Executions {
		if n > 1 {
			found = append(found, Violation{"an order runs at most once", fmt.Sprintf("endpoint key %s ran %d times", key, n)})
		}
		if len(mayHaveRun(e.Ledger[key])) == 0 {
			found = append(found, Violation{"every order is recorded", "endpoint key " + key + " ran without a record"})
		}
	}
	for key, states := range e.Ledger {
		if len(mayHaveRun(states)) > 1 {
			found = append(found, Violation{"every order is recorded exactly once", fmt.Sprintf("endpoint key %s has records %v", key, states)})
		}
	}
	for key, t := range byKey {
		found = append(found, t.check(e.Executions[key])...)
	}
	sort.Slice(found, func(i, j int) bool { return found[i].Detail < found[j].Detail })
	return found
}

// mayHaveRun drops the records of claims that are proved never executed:
// after one of those the key is free for a new claim.
func mayHaveRun(states []string) []string {
	return slices.DeleteFunc(slices.Clone(states), func(s string) bool { return s == string(order.NotRun) })
}

func (t *tries) add(r Record) {
	t.all++
	if r.NotRun {
		t.notRun++
	}
	if r.Outcome == Completed {
		t.whole++
		t.answers[r.Response] = true
	}
}

func (t *tries) check(executed int) []Violation {
	var found []Violation
	if t.whole > 0 && executed == 0 {
		found = append(found, Violation{"no order is lost", t.name + " was answered and never ran"})
	}
	if t.notRun == t.all && executed > 0 {
		found = append(found, Violation{"\"not run\" is true", t.name + " was refused as not run each time and ran"})
	}
	if len(t.answers) > 1 {
		found = append(found, Violation{"a resend gets the recorded answer", fmt.Sprintf("%s got %d different answers", t.name, len(t.answers))})
	}
	return found
}

func (e *Evidence) checkGenerations() []Violation {
	var found []Violation
	for i := 1; i < len(e.Generations); i++ {
		if e.Generations[i] != e.Generations[i-1]+1 {
			found = append(found, Violation{"an accepted configuration never reverts", fmt.Sprintf("generation %d follows %d", e.Generations[i], e.Generations[i-1])})
		}
	}
	return found
}

// EndpointKey is the idempotency key under which an endpoint sees an order.
func EndpointKey(account, key string) string {
	sum := sha256.Sum256([]byte(account + "\x00" + key))
	return hex.EncodeToString(sum[:16])
}
