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

// transcript collects the text that is compared with the golden file. It names
// requests after the step that sent them and contains no times, ports or random
// IDs, so that it is the same in every run.
type transcript struct {
	strings.Builder
	fleet    *fleet
	requests map[string]string // name of the step by request ID
}

// timestamps matches the dates and times in the tables of the tool.
var timestamps = regexp.MustCompile(`\d{4}-\d\d-\d\d \d\d:\d\d:\d\d`)

// hostPorts matches the addresses of the processes.
var hostPorts = regexp.MustCompile(`127\.0\.0\.1:\d+`)

func (t *transcript) section(title string) { fmt.Fprintf(t, "\n## %s\n", title) }

func (t *transcript) addLine(format string, args ...any) { fmt.Fprintf(t, format+"\n", args...) }

// runCLI runs the command line tool and records its output and exit code;
// the transcript shows display in place of the arguments.
func (t *transcript) runCLI(display string, args ...string) {
	exit, out := t.fleet.runCLI(args...)
	t.addLine("$ cyclamenwinch %s", display)
	t.addLine("%s[exit %d]", timestamps.ReplaceAllString(out, "<instant>"), exit)
}

// call sends a request to a router and records the response.
func (t *transcript) call(name, router string, r load.Request) load.Reply {
	ctx, cancel := context.WithTimeout(context.Background(), hangTimeout)
	defer cancel()
	reply, err := load.NewCaller("", "").Send(ctx, t.fleet.routers[router].callerURL(), r)
	Expect(err).NotTo(HaveOccurred(), name)
	Expect(reply.RequestID).NotTo(BeEmpty(), name)
	t.requests[reply.RequestID] = name
	t.addLine("%s at %s: status=%d whole=%v replayed=%v", name, router, reply.Status, reply.Complete, reply.Replayed)
	if reply.Problem != nil {
		t.addLine("  code=%d not_run=%v next=%q", reply.Problem.Code, reply.Problem.NotRun, reply.Problem.Next)
		return reply
	}
	t.addLine("  %s", t.replaceIDs(reply.Text))
	return reply
}

// replaceIDs replaces request IDs with the names of the requests.
func (t *transcript) replaceIDs(text string) string {
	for id, name := range t.requests {
		text = strings.ReplaceAll(text, id, "<"+name+">")
	}
	return text
}

// timeline records the merged timeline: the set of the routers' own events,
// then the events of the requests, sorted by the name of the request and within
// one request by time. Events of membership and ownership are left out, since
// their order at the start varies.
func (t *transcript) timeline() {
	exit, out := t.fleet.runCLI("timeline", "--json")
	Expect(exit).To(BeZero())
	var merged opsclient.Timeline
	Expect(json.Unmarshal([]byte(out), &merged)).To(Succeed())
	Expect(merged.Unreached).To(BeEmpty())
	Expect(merged.Truncated).To(BeEmpty())
	var requests []eventlog.Event
	routerEvents := map[string]bool{}
	for _, e := range merged.Events {
		switch e.Kind {
		case eventlog.RouterStarted, eventlog.ManifestInForce, eventlog.PartRestarted:
			routerEvents[fmt.Sprintf("%s %s %s", e.Router, e.Kind, e.Detail)] = true
		case eventlog.RequestGranted, eventlog.RequestEnded, eventlog.RequestRefused, eventlog.RequestRetried,
			eventlog.OrderClaimed, eventlog.OrderRecorded, eventlog.OrderReplayed:
			requests = append(requests, e)
		}
	}
	var routerLines []string
	for text := range routerEvents {
		routerLines = append(routerLines, text)
	}
	slices.Sort(routerLines)
	for _, text := range routerLines {
		t.addLine("%s", text)
	}
	slices.SortStableFunc(requests, func(a, b eventlog.Event) int {
		return cmp.Compare(t.requests[a.Request], t.requests[b.Request])
	})
	for _, e := range requests {
		Expect(e.Request == "" || t.requests[e.Request] != "").To(BeTrue(), "event of a request that the session did not send: %v", e)
		t.addLine("%s: %s %s account=%s endpoint=%s code=%d %s", t.requests[e.Request], e.Router, e.Kind, e.Account, e.Endpoint, e.Code, hostPorts.ReplaceAllString(t.replaceIDs(e.Detail), "<address>"))
	}
}
