package opsapi

import (
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/cyclamenwinch/cyclamenwinch/core/code"
	"github.com/cyclamenwinch/cyclamenwinch/internal/eventlog"
)

// The number of events in one answer.
const (
	defaultEvents = 2_000
	mostEvents    = 20_000
)

// timeline answers with the newest events that the query chooses.
func (a *API) timeline(w http.ResponseWriter, r *http.Request) {
	filter, err := ParseFilter(r.URL.Query())
	if err != nil {
		refuse(w, r, err)
		return
	}
	writeJSON(w, a.opts.Events.Select(filter))
}

// ParseFilter reads the query of GET /timeline: request, account, endpoint,
// kind, from and to (RFC 3339), limit.
func ParseFilter(q url.Values) (eventlog.Filter, error) {
	f := eventlog.Filter{
		Request:  q.Get("request"),
		Account:  q.Get("account"),
		Endpoint: q.Get("endpoint"),
		Kind:     eventlog.Kind(q.Get("kind")),
		Limit:    defaultEvents,
	}
	var err error
	if f.From, err = instant(q, "from"); err != nil {
		return f, err
	}
	if f.To, err = instant(q, "to"); err != nil {
		return f, err
	}
	if text := q.Get("limit"); text != "" {
		f.Limit, err = strconv.Atoi(text)
		if err != nil || f.Limit < 1 || f.Limit > mostEvents {
			return f, code.Refuse(code.BadRequest, "limit is "+text+": want 1 to "+strconv.Itoa(mostEvents))
		}
	}
	return f, nil
}

// EncodeFilter returns the query that ParseFilter reads.
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

func instant(q url.Values, name string) (time.Time, error) {
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
