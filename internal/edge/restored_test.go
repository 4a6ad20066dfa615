package edge

import (
	"testing"
	"time"

	"github.com/cyclamenwinch/cyclamenwinch/core/topology"
	"github.com/cyclamenwinch/cyclamenwinch/internal/replica"
)

// TestRegistersAgainInANewerEra guards against an entry that a restored store lacks.
func TestRegistersAgainInANewerEra(t *testing.T) {
	for _, c := range []struct {
		registered, seen int64
		want             bool
	}{{notRegistered, 1, false}, {1, 1, false}, {1, 2, true}, {2, 1, false}, {0, 1, true}} {
		e := &Edge{restored: make(chan struct{}, 1)}
		e.registeredEra.Store(c.registered)
		e.registerAfterRestoration(c.seen)
		e.registerAfterRestoration(c.seen)
		if got := len(e.restored) > 0; got != c.want {
			t.Errorf("registered in era %d, records of era %d: registers again: %v", c.registered, c.seen, got)
		}
	}
}

func listedOnce(era int64, addresses ...string) listedEndpoints {
	l := listedEndpoints{era: era, byID: map[string]topology.Endpoint{}}
	for _, a := range addresses {
		l.byID["e"] = topology.Endpoint{ID: "e", Address: a, StartMillis: 5}
	}
	return l
}

// TestDepartedEndpointIsWithheld guards against an endpoint that a restored copy brings
// back into use.
func TestDepartedEndpointIsWithheld(t *testing.T) {
	var r decodedRecords
	now := time.Unix(1, 0)
	r.setEndpoints(now, replica.View{}, listedOnce(1, "a"))
	r.setEndpoints(now, replica.View{}, listedOnce(1))
	c := r.setEndpoints(now, replica.View{Unconfirmed: []string{"e"}}, listedOnce(2, "a"))
	if len(c.current) != 0 || len(c.withheld) != 1 || r.usesAddress("a") {
		t.Errorf("change %+v", c)
	}
	if c = r.setEndpoints(now, replica.View{}, listedOnce(2, "a")); len(c.current) != 1 || !r.usesAddress("a") {
		t.Errorf("confirmed: change %+v", c)
	}
}

// decoder takes a record's data as an endpoint's address.
type decoder struct{ Decoder }

func (decoder) Endpoint(r replica.Record) (topology.Endpoint, error) {
	return topology.Endpoint{ID: r.Name, Address: string(r.Data)}, nil
}

// TestRecordsAreDecodedAgainInEachEra guards against other content under a revision that
// was given out again.
func TestRecordsAreDecodedAgainInEachEra(t *testing.T) {
	e := &Edge{platform: Platform{Decoder: decoder{}}}
	apply := func(era int64, data string, retained ...string) string {
		v := replica.View{Position: replica.Position{Era: era}, Records: []replica.Record{{Name: "e", Revision: 7, Data: []byte(data)}}, Retained: retained}
		return e.decoded.setEndpoints(time.Unix(1, 0), v, e.decodeEndpoints(v)).current["e"].Address
	}
	apply(1, "a")
	if got := apply(2, "b"); got != "b" {
		t.Errorf("address %s in the new era", got)
	}
	apply(3, "c", "e")
	if got := apply(3, "d"); got != "d" {
		t.Errorf("address %s after a retained record of an older era", got)
	}
}
