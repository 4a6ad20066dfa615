package load

import (
	"bytes"
	"encoding/json"
	"fmt"
	"os"

	"github.com/cockroachdb/errors"
)

// Plan says what callers do in one run and where the fleet is. The same plan
// and seed give the same arrivals, whatever they are sent to.
type Plan struct {
	Seed       uint64    `json:"seed"`
	Seconds    int       `json:"seconds"`     // arrivals end after so long
	MaxSent    int       `json:"max_sent"`    // bound on the requests of a run
	WarmupSecs int       `json:"warmup_secs"` // not counted in the report's measures
	Model      string    `json:"model"`
	Accounts   []Account `json:"accounts"`
	Zones      []string  `json:"zones"`
	Move       *ZoneMove `json:"zone_move,omitempty"`
	Fleet      Fleet     `json:"fleet"`
}

// Account is what the callers of one client account do.
type Account struct {
	Name           string    `json:"name"`
	APIKey         string    `json:"api_key"`
	Share          float64   `json:"share"`
	Rate           float64   `json:"rate"`       // model requests a second
	OrderRate      float64   `json:"order_rate"` // orders a second
	ResendPart     float64   `json:"resend_part"`
	MinTokens      int       `json:"min_tokens"`
	MaxTokens      int       `json:"max_tokens"`
	PatienceMillis int       `json:"patience_millis"` // a caller without a first token leaves
	Spread         []float64 `json:"spread"`          // weight of each zone, in the plan's order
	Flood          bool      `json:"flood"`           // left out of the service of the others
}

// ZoneMove takes an availability zone out and back during a run.
type ZoneMove struct {
	Zone       string `json:"zone"`
	OutAtSecs  int    `json:"out_at_secs"`
	BackAtSecs int    `json:"back_at_secs"`
}

// Fleet is where the parts listen.
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

// Runner is one endpoint of the fleet.
type Runner struct {
	Name  string `json:"name"`
	Zone  string `json:"zone"`
	URL   string `json:"url"`
	Slots int    `json:"slots"`
}

// ReadPlan reads and checks a plan.
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

// Check returns the first fault of the plan.
func (p *Plan) Check() error {
	switch {
	case p.Seconds < 1 || p.MaxSent < 1:
		return errors.New("plan: seconds and max_sent must be 1 or more")
	case p.WarmupSecs < 0 || p.WarmupSecs >= p.Seconds:
		return errors.New("plan: warmup_secs must be under seconds")
	case len(p.Accounts) == 0 || len(p.Zones) == 0:
		return errors.New("plan: accounts and zones must not be empty")
	case p.Move != nil && (p.Move.OutAtSecs >= p.Move.BackAtSecs || p.Move.BackAtSecs >= p.Seconds):
		return errors.New("plan: zone_move must be out before back before seconds")
	}
	for _, a := range p.Accounts {
		if !(a.Share > 0) || a.MinTokens < 1 || a.MaxTokens < a.MinTokens || len(a.Spread) != len(p.Zones) {
			return errors.Newf("plan: account %s needs a share, tokens and one weight for each zone", a.Name)
		}
	}
	return nil
}

// Share returns the share of a client account.
func (p *Plan) Share(account string) float64 {
	for _, a := range p.Accounts {
		if a.Name == account {
			return a.Share
		}
	}
	return 0
}

// WriteJSON writes a value as indented JSON.
func WriteJSON(path string, v any) error {
	data, err := json.MarshalIndent(v, "", "  ")
	if err != nil {
		return errors.Wrap(err, fmt.Sprintf("encode %s", path))
	}
	return errors.Wrap(os.WriteFile(path, append(data, '\n'), 0o644), "write")
}
