package load

import (
	"sync"
	"time"
)

// backlogAge is the time a request must wait for its first token before its
// client account counts as backlogged. It exceeds the time to first token at a
// free slot.
const backlogAge = 100 * time.Millisecond

// meter measures, on the callers' side, the service that each client account
// received and its requests that wait for a first token. It is safe for
// concurrent use.
type meter struct {
	mu      sync.Mutex
	service map[string]float64           // tokens received plus prompt tokens, by account
	waiting map[string]map[int]time.Time // send times by account and request ID
}

func newMeter() *meter {
	return &meter{service: map[string]float64{}, waiting: map[string]map[int]time.Time{}}
}

func (m *meter) recordSent(account string, id int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.waiting[account] == nil {
		m.waiting[account] = map[int]time.Time{}
	}
	m.waiting[account][id] = time.Now()
}

func (m *meter) recordTokens(account string, id int, tokens float64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.service[account] += tokens
	delete(m.waiting[account], id)
}

func (m *meter) recordEnd(account string, id int) { m.recordTokens(account, id, 0) }

// state returns the service of each account so far and the backlogged accounts.
func (m *meter) state(now time.Time) (service map[string]float64, backlogged map[string]bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	service, backlogged = map[string]float64{}, map[string]bool{}
	for account, total := range m.service {
		service[account] = total
	}
	for account, requests := range m.waiting {
		for _, since := range requests {
			if now.Sub(since) >= backlogAge {
				backlogged[account] = true
				break
			}
		}
	}
	return service, backlogged
}
