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

// streamEvent is the part of an event that a caller reads.
type streamEvent struct {
	Choices []struct {
		Delta struct {
			Content string `json:"content"`
		} `json:"delta"`
	} `json:"choices"`
	Error *callerapi.Problem `json:"error"`
}

// readStream reads server-sent events up to the end marker.
func (r *Reply) readStream(body io.Reader, start time.Time) error {
	var text strings.Builder
	scanner := bufio.NewScanner(body)
	for scanner.Scan() {
		data, ok := strings.CutPrefix(scanner.Text(), "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			r.Whole = true
			break
		}
		if r.FirstToken == 0 {
			r.FirstToken = time.Since(start)
		}
		var e streamEvent
		if err := json.Unmarshal([]byte(data), &e); err != nil {
			return errors.Wrap(err, "read event")
		}
		if e.Error != nil {
			r.Problem = e.Error
		}
		for _, c := range e.Choices {
			text.WriteString(c.Delta.Content)
		}
	}
	r.Text = strings.TrimSpace(text.String())
	return errors.Wrap(scanner.Err(), "read stream")
}
