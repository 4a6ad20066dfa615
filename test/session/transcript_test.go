package session_test

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"regexp"
	"slices"
	"strings"

	. "github.com/onsi/gomega"

	"github.com/cyclamenwinch/cyclamenwinch/internal/eventlog"
	"github.com/cyclamenwinch/cyclamenwinch/internal/opsclient"
	"github.com/cyclamenwinch/cyclamenwinch/load"
)

// transcript is the text of the golden file. It names requests by the step
// that sent them, and holds no time, port or random id.
type transcript struct {
	strings.Builder
	fleet    *fleet
	requests map[string]string // request id -> name
}

// instants are the dates and times in tables.
var instants = regexp.MustCompile(`\d{4}-\d\d-\d\d \d\d:\d\d:\d\d`)

// hostPorts are the processes' own.
var hostPorts = regexp.MustCompile(`127\.0\.0\.1:\d+`)

func (t *transcript) section(title string) { fmt.Fprintf(t, "\n## %s\n", title) }

func (t *transcript) note(format string, args ...any) { fmt.Fprintf(t, format+"\n", args...) }

// tool runs the tool and notes what it printed.
func (t *transcript) tool(shown string, args ...string) {
	exit, out := t.fleet.tool(args...)
	t.note("$ cyclamenwinch %s", shown)
	t.note("%s[exit %d]", instants.ReplaceAllString(out, "<instant>"), exit)
}

// call sends a request to a router and notes the answer.
func (t *transcript) call(name, router string, r load.Request) load.Reply {
	ctx, cancel := context.WithTimeout(context.Background(), hang)
	defer cancel()
	reply, err := load.NewCaller("", "").Send(ctx, t.fleet.routers[router].callerURL(), r)
	Expect(err).NotTo(HaveOccurred(), name)
	Expect(reply.RequestID).NotTo(BeEmpty(), name)
	t.requests[reply.RequestID] = name
	t.note("%s at %s: status=%d whole=%v replayed=%v", name, router, reply.Status, reply.Complete, reply.Replayed)
	if reply.Problem != nil {
		t.note("  code=%d not_run=%v next=%q", reply.Problem.Code, reply.Problem.NotRun, reply.Problem.Next)
		return reply
	}
	t.note("  %s", t.anonymous(reply.Text))
	return reply
}

// anonymous replaces request ids by names.
func (t *transcript) anonymous(text string) string {
	for id, name := range t.requests {
		text = strings.ReplaceAll(text, id, "<"+name+">")
	}
	return text
}

// timeline notes the merged time line: the events of each request in the
// order of their clocks, by the requests' names, and the set of what the
// routers did by themselves. Membership and ownership are left out, since
// their order at the start is free.
func (t *transcript) timeline() {
	exit, out := t.fleet.tool("timeline", "--json")
	Expect(exit).To(BeZero())
	var line opsclient.Timeline
	Expect(json.Unmarshal([]byte(out), &line)).To(Succeed())
	Expect(line.Unreached).To(BeEmpty())
	Expect(line.Truncated).To(BeEmpty())
	var requests []eventlog.Event
	own := map[string]bool{}
	for _, e := range line.Events {
		switch e.Kind {
		case eventlog.RouterStarted, eventlog.ManifestInForce, eventlog.PartRestarted:
			own[fmt.Sprintf("%s %s %s", e.Router, e.Kind, e.Detail)] = true
		case eventlog.RequestGranted, eventlog.RequestEnded, eventlog.RequestRefused, eventlog.RequestRetried,
			eventlog.OrderClaimed, eventlog.OrderRecorded, eventlog.OrderReplayed:
			requests = append(requests, e)
		}
	}
	var fleetLines []string
	for text := range own {
		fleetLines = append(fleetLines, text)
	}
	slices.Sort(fleetLines)
	for _, text := range fleetLines {
		t.note("%s", text)
	}
	slices.SortStableFunc(requests, func(a, b eventlog.Event) int {
		return cmp.Compare(t.requests[a.Request], t.requests[b.Request])
	})
	for _, e := range requests {
		Expect(e.Request == "" || t.requests[e.Request] != "").To(BeTrue(), "event of a request nobody sent: %v", e)
		t.note("%s: %s %s account=%s endpoint=%s code=%d %s", t.requests[e.Request], e.Router, e.Kind, e.Account, e.Endpoint, e.Code, hostPorts.ReplaceAllString(t.anonymous(e.Detail), "<address>"))
	}
}
