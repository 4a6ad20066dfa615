package mesh

import (
	"sync/atomic"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cespare/xxhash/v2"
)

// unknownKeys counts entries of heartbeats whose key this router can't look up: its
// copy of the platform's records is older or newer than the sender's.
var unknownKeys = metrics.NewCounter("cyclamenwinch_beats_unknown_keys_total")

// nameKey is the key of a name in compact reports.
func nameKey(name string) uint32 { return uint32(xxhash.Sum64String(name)) }

// nameTable looks up the names that keys stand for. It is safe for concurrent use.
type nameTable struct {
	names atomic.Pointer[map[uint32]string]
}

// set replaces the names. Names with the same key are left out and so are sent in
// full.
func (t *nameTable) set(names []string) {
	table := make(map[uint32]string, len(names))
	ambiguous := map[uint32]bool{}
	for _, name := range names {
		key := nameKey(name)
		if other, ok := table[key]; ok && other != name {
			ambiguous[key] = true
		}
		table[key] = name
	}
	for key := range ambiguous {
		delete(table, key)
	}
	t.names.Store(&table)
}

// name returns the name of a key that a peer sent.
func (t *nameTable) name(key uint32) (string, bool) {
	if table := t.names.Load(); table != nil {
		if name, ok := (*table)[key]; ok {
			return name, true
		}
	}
	unknownKeys.Inc()
	return "", false
}

// key returns the key of a name; false: peers can't look it up.
func (t *nameTable) key(name string) (uint32, bool) {
	table := t.names.Load()
	if table == nil {
		return 0, false
	}
	key := nameKey(name)
	return key, (*table)[key] == name
}

// SetNames sets the names that reports may replace by keys: those of services,
// endpoints and accounts in the platform's records.
func (m *Mesh) SetNames(names []string) { m.names.set(names) }
