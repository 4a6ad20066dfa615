package opsapi

import (
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/cyclamenwinch/cyclamenwinch/core/code"
	"github.com/cyclamenwinch/cyclamenwinch/internal/eventlog"
)

// Default and maximum number of events in a response.
const (
	defaultEvents = 2_000
	maxEvents     = 20_000
)

// timeline responds with the newest events that match the query.
func (a *API) timeline(w http.ResponseWriter, r *http.Request) {
	filter, err := ParseFilter(r.URL.Query())
	if err != nil {
		writeProblem(w, r, err)
		return
	}
	writeJSON(w, a.opts.Events.Select(filter))
}

// ParseFilter parses the query of GET /timeline: request, account, endpoint,
// kind, from and to (RFC 3339), and limit.
func ParseFilter(q url.Values) (eventlog.Filter, error) {
	f := eventlog.Filter{
		Request:  q.Get("request"),
		Account:  q.Get("account"),
		Endpoint: q.Get("endpoint"),
		Kind:     eventlog.Kind(q.Get("kind")),
		Limit:    defaultEvents,
	}
	var err error
	if f.From, err = parseTime(q, "from"); err != nil {
		return f, err
	}
	if f.To, err = parseTime(q, "to"); err != nil {
		return f, err
	}
	if text := q.Get("limit"); text != "" {
		f.Limit, err = strconv.Atoi(text)
		if err != nil || f.Limit < 1 || f.Limit > maxEvents {
			return f, code.Refuse(code.BadRequest, "limit is "+text+": want 1 to "+strconv.Itoa(maxEvents))
		}
	}
	return f, nil
}

// EncodeFilter encodes a filter as a query that ParseFilter parses.
func EncodeFilter(f eventlog.Filter) url.Values {
	q := url.Values{}
	set := func(name, value string) {
		if value != "" {
			q.Set(name, value)
		}
	}
	set("request", f.Request)
	set("account", f.Account)
	set("endpoint", f.Endpoint)
	set("kind", string(f.Kind))
	if !f.From.IsZero() {
		q.Set("from", f.From.Format(time.RFC3339Nano))
	}
	if !f.To.IsZero() {
		q.Set("to", f.To.Format(time.RFC3339Nano))
	}
	if f.Limit > 0 {
		q.Set("limit", strconv.Itoa(f.Limit))
	}
	return q
}

func parseTime(q url.Values, name string) (time.Time, error) {
	text := q.Get(name)
	if text == "" {
		return time.Time{}, nil
	}
	t, err := time.Parse(time.RFC3339Nano, text)
	if err != nil {
		return t, code.Refuse(code.BadRequest, name+" is "+text+": want a time such as 2006-01-02T15:04:05Z")
	}
	return t, nil
}
