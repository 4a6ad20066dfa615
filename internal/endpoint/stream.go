package endpoint

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"

	"github.com/cockroachdb/errors"

	"github.com/cyclamenwinch/cyclamenwinch/core/code"
)

const maxEventBytes = 256 << 10

var (
	dataField  = []byte("data:")
	space      = []byte(" ")
	usageField = []byte(`"usage"`)
	noUsage    = []byte(":null")
)

// The header fields of a resumed stream.
const (
	ResumeHeader  = "Resume-From" // request: events already received
	ResumedHeader = "Resumed"     // answer: "true" if the stream goes on from there
)

// Stream is a streamed chat completion. Close must be called.
type Stream struct {
	ctx     context.Context
	watch   *progressWatch
	body    io.ReadCloser
	scanner *bufio.Scanner
	id      string
	start   []byte // how an event of this request usually begins
	tokens  int    // total tokens that the endpoint reported; 0: not yet
	events  int    // received, those before a resume among them
	ended   bool   // the end marker was read
}

// chunk is the part of a stream's event that the router reads.
type chunk struct {
	ID    string `json:"id"`
	Usage *struct {
		TotalTokens int `json:"total_tokens"`
	} `json:"usage"`
}

// RejectedError is an endpoint's whole answer that is a fault of the request: it
// is the caller's, and another endpoint would say the same.
type RejectedError struct{ Response Response }

// Error returns the status.
func (r *RejectedError) Error() string {
	return "the endpoint answered " + strconv.Itoa(r.Response.Status)
}

// IsRejection reports whether a status is a fault of the request, and not one
// of the endpoint's state.
func IsRejection(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusTooEarly, http.StatusTooManyRequests:
		return false
	}
	return status >= http.StatusBadRequest && status < http.StatusInternalServerError
}

// Open sends a chat completion that is to be streamed, or resumed after
// Call.ResumeFrom events. The error is a *code.Error as for Do, or a
// *Rejected.
func (c *Client) Open(ctx context.Context, call Call) (*Stream, error) {
	ctx, watch := watchProgress(ctx, c.progress)
	resp, err := c.send(ctx, call)
	if err != nil {
		defer watch.stop()
		return nil, failure(ctx, err)
	}
	s := &Stream{ctx: ctx, watch: watch, body: resp.Body, id: call.RequestID, events: call.ResumeFrom}
	s.start = []byte(`{"id":"` + call.RequestID + `",`)
	if err := s.accept(resp, call); err != nil {
		s.Close()
		return nil, err
	}
	s.scanner = bufio.NewScanner(watch.reader(resp.Body))
	s.scanner.Buffer(make([]byte, 0, 4096), maxEventBytes)
	return s, nil
}

func (s *Stream) accept(resp *http.Response, call Call) error {
	if err := checkIdentity(resp, call); err != nil {
		return err
	}
	if IsRejection(resp.StatusCode) {
		answer, err := readWhole(s.ctx, s.watch, resp)
		if err != nil {
			return err
		}
		return &RejectedError{Response: answer}
	}
	if resp.StatusCode != http.StatusOK {
		return code.Fail(code.EndpointError, "the endpoint answered "+resp.Status)
	}
	if call.ResumeFrom > 0 && resp.Header.Get(ResumedHeader) != "true" {
		return code.Fail(code.Truncated, "the endpoint does not resume the stream")
	}
	return nil
}

// Next returns the data of the next event. It returns io.EOF after the end
// marker, and a *code.Error if the stream ends without it.
func (s *Stream) Next() ([]byte, error) {
	for s.scanner.Scan() {
		data, ok := bytes.CutPrefix(s.scanner.Bytes(), dataField)
		if !ok {
			continue
		}
		data = bytes.TrimPrefix(data, space)
		if string(data) == "[DONE]" {
			s.ended = true
			return nil, io.EOF
		}
		return data, s.check(data)
	}
	if err := s.scanner.Err(); err != nil {
		return nil, failure(s.ctx, err)
	}
	return nil, code.Fail(code.Truncated, "the stream ended without its end marker")
}

// check reads what the router needs from an event. An event that begins with
// the request's id and reports no usage needs no parsing: a quote within a
// JSON string is escaped, so the two can't be part of the answer's text.
func (s *Stream) check(data []byte) error {
	whole := len(data) > 0 && data[len(data)-1] == '}'
	if whole && bytes.HasPrefix(data, s.start) && !reportsUsage(data) {
		s.events++
		return nil
	}
	var c chunk
	if err := json.Unmarshal(data, &c); err != nil {
		return code.Fail(code.EndpointError, errors.Wrap(err, "unreadable event").Error())
	}
	if c.ID != "" && c.ID != s.id {
		return code.Fail(code.CrossedAnswer, "an event is for request "+c.ID)
	}
	s.events++
	if c.Usage != nil {
		s.tokens = c.Usage.TotalTokens
	}
	return nil
}

func reportsUsage(data []byte) bool {
	i := bytes.Index(data, usageField)
	return i >= 0 && !bytes.HasPrefix(data[i+len(usageField):], noUsage)
}

// EventCount returns the events received, those before a resume among them.
func (s *Stream) EventCount() int { return s.events }

// Cost returns the tokens reported, or the events seen if there is no report.
func (s *Stream) Cost() int {
	if s.tokens > 0 {
		return s.tokens
	}
	return s.events
}

// Close ends the stream; the endpoint cancels what is left of it. After the
// end marker it waits until the endpoint has ended the response: the endpoint
// is busy until then, and the connection can be used again.
func (s *Stream) Close() {
	if s.ended {
		io.Copy(io.Discard, s.watch.reader(s.body))
	}
	s.watch.stop()
	s.body.Close()
}
