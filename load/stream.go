package load

import (
	"bufio"
	"encoding/json"
	"io"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/cyclamenwinch/cyclamenwinch/internal/callerapi"
)

// streamEvent holds the fields of a stream event that a caller reads.
type streamEvent struct {
	Choices []struct {
		Delta struct {
			Content string `json:"content"`
		} `json:"delta"`
	} `json:"choices"`
	Error *callerapi.Problem `json:"error"`
}

// readStream reads server-sent events up to the end marker or the end of the
// body; Complete is set only by the end marker.
func (r *Reply) readStream(body io.Reader, start time.Time, onToken func()) error {
	var text strings.Builder
	scanner := bufio.NewScanner(body)
	for scanner.Scan() {
		data, ok := strings.CutPrefix(scanner.Text(), "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			r.Complete = true
			break
		}
		var e streamEvent
		if err := json.Unmarshal([]byte(data), &e); err != nil {
			return errors.Wrap(err, "read event")
		}
		if e.Error != nil {
			r.Problem = e.Error
		}
		if r.FirstToken == 0 && e.Error == nil {
			r.FirstToken = time.Since(start)
		}
		r.addTokens(e, &text, onToken)
	}
	r.Text = strings.TrimSpace(text.String())
	return errors.Wrap(scanner.Err(), "read stream")
}

func (r *Reply) addTokens(e streamEvent, text *strings.Builder, onToken func()) {
	for _, c := range e.Choices {
		if c.Delta.Content == "" {
			continue
		}
		text.WriteString(c.Delta.Content)
		r.Tokens++
		if onToken != nil {
			onToken()
		}
	}
}
