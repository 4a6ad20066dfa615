package load

import (
	"sync"
	"time"
)

// backlogAge is how long a request must wait for its client account to count
// as backlogged: longer than a free slot takes to give the first token.
const backlogAge = 100 * time.Millisecond

// meter counts, at the callers, the service of each client account and the
// requests that wait for their first token. It is safe for concurrent use.
type meter struct {
	mu      sync.Mutex
	service map[string]float64 // tokens received, the prompt's among them
	waiting map[string]map[int]time.Time
}

func newMeter() *meter {
	return &meter{service: map[string]float64{}, waiting: map[string]map[int]time.Time{}}
}

func (m *meter) sent(account string, id int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.waiting[account] == nil {
		m.waiting[account] = map[int]time.Time{}
	}
	m.waiting[account][id] = time.Now()
}

func (m *meter) served(account string, id int, tokens float64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.service[account] += tokens
	delete(m.waiting[account], id)
}

func (m *meter) ended(account string, id int) { m.served(account, id, 0) }

// state returns the service of each account and whether it is backlogged.
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
