package callerapi

import (
	"encoding/json"

	"github.com/cockroachdb/errors"

	"github.com/cyclamenwinch/cyclamenwinch/internal/jsonscan"
)

const (
	prefixBytes    = 256 // of the prompt, for prefix affinity
	maxPromptParts = 32  // messages looked at for the quarantine; instructions come first
)

// prompt is what the router needs to know of the messages of a request. They are decoded
// one at a time, since many small ones would take several times the memory of the body
// that holds them.
type prompt struct {
	maxCount int      // 0: no limit
	count    int      // messages
	chars    int      // bytes of their contents
	prefix   []byte   // of the contents, one after the other
	parts    []uint64 // identify the first messages
}

type chatMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// UnmarshalJSON implements json.Unmarshaler.
func (p *prompt) UnmarshalJSON(data []byte) error {
	*p = prompt{maxCount: p.maxCount}
	if string(data) == "null" {
		return nil
	}
	err := jsonscan.Elements(data, func(raw json.RawMessage) error {
		if p.maxCount > 0 && p.count == p.maxCount {
			return errors.Newf("more than %d, see max_messages", p.maxCount)
		}
		var m chatMessage
		if err := json.Unmarshal(raw, &m); err != nil {
			return err
		}
		p.add(m)
		return nil
	})
	return errors.Wrap(err, "messages")
}

func (p *prompt) add(m chatMessage) {
	p.count++
	p.chars += len(m.Content)
	p.prefix = append(p.prefix, m.Content[:min(len(m.Content), prefixBytes-len(p.prefix))]...)
	if len(p.parts) < maxPromptParts {
		p.parts = append(p.parts, fingerprint([]byte(m.Role), []byte(m.Content)))
	}
}

// sharedParts identifies the messages that other requests may have: all but the last.
func (p *prompt) sharedParts() []uint64 { return p.parts[:min(p.count-1, maxPromptParts)] }
