package prepared

import (
	"encoding/json"
	"net/http"
	"strconv"
	"strings"
)

// cacheListPath is the path of the list of cached parts.
const cacheListPath = "/v1/kv-list"

// cachedParts are the prompt parts that a runner has cached: all of the model requests
// since its start.
type cachedParts struct {
	entries []any           // as in the list
	known   map[string]bool // IDs
	lists   int             // lists served
}

func (c *cachedParts) add(model, parts string) {
	if model == "" || parts == "" {
		return
	}
	for _, part := range strings.Split(parts, ",") {
		id, count, _ := strings.Cut(part, ":")
		tokens, err := strconv.Atoi(count)
		if err != nil || c.known[id] {
			continue // a part without tokens takes no memory
		}
		if c.known == nil {
			c.known = map[string]bool{}
		}
		c.known[id] = true
		c.entries = append(c.entries, []any{"", id, tokens, model})
	}
}

// dropCache forgets the cached parts, as a runner does that starts again.
func (r *Runner) dropCache() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cache.entries, r.cache.known = nil, nil
}

// CacheLists returns how often the runner was asked for the list of its cached parts.
func (r *Runner) CacheLists() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.cache.lists
}

// serveCacheList responds with the list of the cached parts.
func (r *Runner) serveCacheList(w http.ResponseWriter) {
	r.mu.Lock()
	r.cache.lists++
	id, entries := r.ID, r.cache.entries
	if r.servedID != "" {
		id = r.servedID
	}
	r.mu.Unlock()
	w.Header().Set("X-Instance-Id", id)
	if r.NoCacheList {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	body, err := json.Marshal(map[string]any{"epoch": 1, "next": len(entries), "held": entries})
	if err != nil {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Write(body)
}
