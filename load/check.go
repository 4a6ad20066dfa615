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
	shardHead     = "/head"         // key suffix of the object that starts a shard's chain of segments; it holds no records
	historyWindow = 2 * time.Second // time to read the history; the platform sends it immediately
)

// Evidence is the data about a fleet that is visible from outside.
type Evidence struct {
	Records     []Record            // the callers' log
	Executions  map[string]int      // executions by endpoint key, summed over all order runners
	Ledger      map[string][]string // states of the ledger records by endpoint key
	Generations []int64             // generations of the manifests that the platform accepted, in order
}

// Violation is a guarantee of the fleet that was not kept.
type Violation struct {
	Guarantee string `json:"promise"`
	Detail    string `json:"detail"`
}

// ReadEvidence reads the order runners' execution counts, and the ledger records
// and manifest history from the platform.
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

// readHistory reads the manifest generations that the platform's watch replays.
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
		return nil // the platform no longer has the whole history; the last generation is checked elsewhere
	}
	if ctx.Err() != nil {
		return nil
	}
	return err
}

// Check returns every violation that the evidence shows.
func (e *Evidence) Check() []Violation {
	var found []Violation
	found = append(found, e.checkResponses()...)
	found = append(found, e.checkOrders()...)
	return append(found, e.checkGenerations()...)
}

func (e *Evidence) checkResponses() []Violation {
	var found []Violation
	for _, r := range e.Records {
		if r.Outcome == WrongResponse {
			found = append(found, Violation{"a complete response belongs to its own request", fmt.Sprintf("%s at %d ms through %s", r.Account, r.AtMillis, r.Router)})
		}
		if r.NotRun && r.Tokens > 0 {
			found = append(found, Violation{"a request reported as \"not run\" was not executed", fmt.Sprintf("%s at %d ms received %d tokens", r.Account, r.AtMillis, r.Tokens)})
		}
	}
	return found
}

// keyAttempts counts the attempts to place one order: all requests with the same
// client account and idempotency key.
type keyAttempts struct {
	name      string
	responses map[string]bool // distinct complete responses
	completed int
	notRun    int
	total     int
}

func (e *Evidence) checkOrders() []Violation {
	var found []Violation
	byKey := map[string]*keyAttempts{}
	for _, r := range e.Records {
		if r.Key == "" {
			continue
		}
		key := EndpointKey(r.Account, r.Key)
		if byKey[key] == nil {
			byKey[key] = &keyAttempts{name: r.Account + " " + r.Key, responses: map[string]bool{}}
		}
		byKey[key].add(r)
	}
	for key, n := range e.Executions {
		if n > 1 {
			found = append(found, Violation{"an order runs at most once", fmt.Sprintf("endpoint key %s was executed %d times", key, n)})
		}
		if len(mayHaveRun(e.Ledger[key])) == 0 {
			found = append(found, Violation{"every order is recorded", "endpoint key " + key + " was executed without a record"})
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

// mayHaveRun removes the states of claims that were proved not executed: after
// such a claim, the key can be claimed again.
func mayHaveRun(states []string) []string {
	return slices.DeleteFunc(slices.Clone(states), func(s string) bool { return s == string(order.NotRun) })
}

func (t *keyAttempts) add(r Record) {
	t.total++
	if r.NotRun {
		t.notRun++
	}
	if r.Outcome == Completed {
		t.completed++
		t.responses[r.Response] = true
	}
}

func (t *keyAttempts) check(executed int) []Violation {
	var found []Violation
	if t.completed > 0 && executed == 0 {
		found = append(found, Violation{"no order is lost", t.name + " was answered but never executed"})
	}
	if t.notRun == t.total && executed > 0 {
		found = append(found, Violation{"a request reported as \"not run\" was not executed", t.name + " was refused as not run on every attempt but was executed"})
	}
	if len(t.responses) > 1 {
		found = append(found, Violation{"a resend gets the recorded response", fmt.Sprintf("%s got %d different responses", t.name, len(t.responses))})
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

// EndpointKey returns the idempotency key that an endpoint receives with an
// order, derived from the client account and the caller's key.
func EndpointKey(account, key string) string {
	sum := sha256.Sum256([]byte(account + "\x00" + key))
	return hex.EncodeToString(sum[:16])
}
