package dispatch_test

import (
	"testing"
	"time"

	"github.com/cyclamenwinch/cyclamenwinch/core/dispatch"
)

// delivery is a report on its way to another router.
type delivery struct {
	at     time.Time
	to     int
	accept func(to *dispatch.Dispatcher, now time.Time)
}

// exchangeReports lets routers report to each other until the end, each at its own
// phase of the interval. The first half of them is one row, the others are another.
func exchangeReports(all []*dispatch.Dispatcher, end time.Time, interval, transit time.Duration) {
	var sent []delivery
	for now := start; now.Before(end); now = now.Add(time.Millisecond) {
		for i, d := range all {
			if now.Sub(start)%interval != time.Duration(i)*interval/time.Duration(len(all)) {
				continue
			}
			from := string(rune('a' + i))
			own, row := d.Report(now), d.RowReport(now, nil)
			for j := range all {
				if j == i {
					continue
				}
				accept := func(to *dispatch.Dispatcher, now time.Time) { to.SetPeerReport(now, from, own) }
				if rowOf(i, all) != rowOf(j, all) {
					accept = func(to *dispatch.Dispatcher, now time.Time) { to.SetRowReport(now, rowOf(i, all), row) }
				}
				sent = append(sent, delivery{now.Add(transit), j, accept})
			}
		}
		for len(sent) > 0 && !sent[0].at.After(now) {
			sent[0].accept(all[sent[0].to], now)
			sent = sent[1:]
		}
	}
}

func rowOf(i int, all []*dispatch.Dispatcher) string {
	if i < len(all)/2 {
		return "row 1"
	}
	return "row 2"
}

// TestRelayedColdMarkExpires guards against routers that keep an endpoint cold by
// reporting to each other what they heard from each other.
func TestRelayedColdMarkExpires(t *testing.T) {
	const cold, margin = 3 * time.Second, time.Second // margin: transit, intervals and the dispatcher's own margin
	all := newRouters(20, endpoint("e1", model, "a"))
	unreachable := all[0].Submit(start, chatRequest(start, "x", 10))
	all[0].Finish(start, unreachable, dispatch.Unreachable)
	end := start.Add(cold + margin)
	exchangeReports(all, end, 100*time.Millisecond, 15*time.Millisecond)
	for i, d := range all {
		first, second := d.Submit(end, chatRequest(end, "x", 20)), d.Submit(end, chatRequest(end, "x", 30))
		if first.State != dispatch.Granted || second.State != dispatch.Granted {
			t.Errorf("router %d still limits the endpoint %s after its cold time", i, margin)
		}
	}
}

// TestColdMarkReachesOtherRows guards against a cold endpoint that routers of
// another row send more than it bears.
func TestColdMarkReachesOtherRows(t *testing.T) {
	all := newRouters(20, endpoint("e1", model, "a"))
	unreachable := all[0].Submit(start, chatRequest(start, "x", 10))
	all[0].Finish(start, unreachable, dispatch.Unreachable)
	end := start.Add(2 * time.Second)
	exchangeReports(all, end, 100*time.Millisecond, 15*time.Millisecond)
	granted := 0
	for _, d := range all {
		for i := range uint64(5) {
			if d.Submit(end, chatRequest(end, "x", 20+i)).State == dispatch.Granted {
				granted++
			}
		}
	}
	if granted > 8 {
		t.Errorf("20 routers sent %d requests at once to a cold endpoint, more than one each of 8", granted)
	}
}
