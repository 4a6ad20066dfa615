package load

import (
	"bytes"
	"encoding/json"
	"fmt"
	"os"

	"github.com/cockroachdb/errors"
)

// Plan describes the load of one run and the fleet's addresses. The same plan
// and seed give the same arrivals, whatever target they are sent to.
type Plan struct {
	Seed        uint64    `json:"seed"`
	Seconds     int       `json:"seconds"`     // time over which requests arrive
	MaxRequests int       `json:"max_sent"`    // upper bound on the requests of a run
	WarmupSecs  int       `json:"warmup_secs"` // excluded from the report's measures
	Model       string    `json:"model"`
	Accounts    []Account `json:"accounts"`
	Zones       []string  `json:"zones"`
	Move        *ZoneMove `json:"zone_move,omitempty"`
	Fleet       Fleet     `json:"fleet"`
}

// Account describes the load from the callers of one client account.
type Account struct {
	Name           string    `json:"name"`
	APIKey         string    `json:"api_key"`
	Share          float64   `json:"share"`
	Rate           float64   `json:"rate"`       // model requests a second
	OrderRate      float64   `json:"order_rate"` // orders a second
	ResendFraction float64   `json:"resend_part"`
	MinTokens      int       `json:"min_tokens"`
	MaxTokens      int       `json:"max_tokens"`
	PatienceMillis int       `json:"patience_millis"` // a caller cancels if no token has arrived by then
	ZoneWeights    []float64 `json:"spread"`          // weight of each zone, in the plan's order
	Flood          bool      `json:"flood"`           // sends more than its share; reported apart from the others
}

// ZoneMove takes an availability zone out of service during a run and puts it
// back later.
type ZoneMove struct {
	Zone       string `json:"zone"`
	OutAtSecs  int    `json:"out_at_secs"`
	BackAtSecs int    `json:"back_at_secs"`
}

// Fleet lists the addresses of the fleet's routers, endpoints and platform.
type Fleet struct {
	Routers  []Router `json:"routers"`
	Models   []Runner `json:"models"`
	Orders   []Runner `json:"orders"`
	Platform string   `json:"platform"` // base URL
	OpsToken string   `json:"ops_token"`
}

// Router is one router of the fleet.
type Router struct {
	Name      string `json:"name"`
	Zone      string `json:"zone"`
	CallerURL string `json:"caller_url"`
	OpsURL    string `json:"ops_url"`
}

// Runner is one endpoint of the fleet: a stand-in for a model or order back
// end.
type Runner struct {
	Name  string `json:"name"`
	Zone  string `json:"zone"`
	URL   string `json:"url"`
	Slots int    `json:"slots"`
}

// ReadPlan reads and validates a plan.
func ReadPlan(path string) (*Plan, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "read plan")
	}
	var p Plan
	dec := json.NewDecoder(bytes.NewReader(data))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&p); err != nil {
		return nil, errors.Wrap(err, "read plan")
	}
	return &p, p.Check()
}

// Check returns an error for the first invalid field of the plan.
func (p *Plan) Check() error {
	switch {
	case p.Seconds < 1 || p.MaxRequests < 1:
		return errors.New("plan: seconds and max_sent must be 1 or more")
	case p.WarmupSecs < 0 || p.WarmupSecs >= p.Seconds:
		return errors.New("plan: warmup_secs must be at least 0 and less than seconds")
	case len(p.Accounts) == 0 || len(p.Zones) == 0:
		return errors.New("plan: accounts and zones must not be empty")
	case p.Move != nil && (p.Move.OutAtSecs >= p.Move.BackAtSecs || p.Move.BackAtSecs >= p.Seconds):
		return errors.New("plan: zone_move needs out_at_secs < back_at_secs < seconds")
	}
	for _, a := range p.Accounts {
		if !(a.Share > 0) || a.MinTokens < 1 || a.MaxTokens < a.MinTokens || len(a.ZoneWeights) != len(p.Zones) {
			return errors.Newf("plan: account %s needs share > 0, 1 <= min_tokens <= max_tokens and one weight in spread for each zone", a.Name)
		}
	}
	return nil
}

// Share returns the share of a client account, or 0 if the plan doesn't list it.
func (p *Plan) Share(account string) float64 {
	for _, a := range p.Accounts {
		if a.Name == account {
			return a.Share
		}
	}
	return 0
}

// WriteJSON writes a value to a file as indented JSON.
func WriteJSON(path string, v any) error {
	data, err := json.MarshalIndent(v, "", "  ")
	if err != nil {
		return errors.Wrap(err, fmt.Sprintf("encode %s", path))
	}
	return errors.Wrap(os.WriteFile(path, append(data, '\n'), 0o644), "write JSON file")
}
