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
	"github.com/cyclamenwinch/cyclamenwinch/internal/limitio"
)

const (
	maxEventBytes = 256 << 10
	// maxStreamBytes limits one response that is a stream.
	maxStreamBytes = 64 << 20
	// maxTrailingBytes limits what is read after the end marker.
	maxTrailingBytes = 32 << 20
)

var (
	dataField  = []byte("data:")
	space      = []byte(" ")
	usageField = []byte(`"usage"`)
	nullValue  = []byte(":null")
)

// Header fields for resuming a stream.
const (
	ResumeHeader  = "Resume-From" // in the request: number of events already received
	ResumedHeader = "Resumed"     // in the response: "true" if the stream continues after them
)

// Stream is a streamed chat completion. The caller must call Close.
type Stream struct {
	ctx          context.Context
	watch        *progressWatch
	body         io.ReadCloser
	scanner      *bufio.Scanner
	id           string
	idPrefix     []byte // usual start of an event of this request
	tokens       int    // total tokens reported by the endpoint; 0: not reported yet
	events       int    // received, including those before a resume
	gotEndMarker bool   // [DONE] was received
}

// chunk holds the fields of a stream event that the router reads.
type chunk struct {
	ID    string `json:"id"`
	Usage *struct {
		TotalTokens int `json:"total_tokens"`
	} `json:"usage"`
}

// RejectedError is a complete response that rejects the request itself. It is to
// be returned to the caller, since other endpoints would respond the same.
type RejectedError struct{ Response Response }

// Error implements error.
func (r *RejectedError) Error() string {
	return "the endpoint responded with status " + strconv.Itoa(r.Response.Status)
}

// IsRejection reports whether a status means that the request is invalid, rather
// than that the endpoint can't serve it now.
func IsRejection(status int) bool {
	if code.PromisesNotRun(status) || status == http.StatusTooEarly {
		return false
	}
	return status >= http.StatusBadRequest && status < http.StatusInternalServerError
}

// Open starts a streamed chat completion or, if Call.ResumeFrom is set, resumes
// one after that many events. The error is a *code.Error as for Do, or a
// *RejectedError.
func (c *Client) Open(ctx context.Context, call Call) (*Stream, error) {
	ctx, watch := watchProgress(ctx, c.progressTimeout)
	resp, err := c.send(ctx, call)
	if err != nil {
		defer watch.stop()
		return nil, classifyError(ctx, err)
	}
	s := &Stream{ctx: ctx, watch: watch, body: resp.Body, id: call.RequestID, events: call.ResumeFrom}
	s.idPrefix = []byte(`{"id":"` + call.RequestID + `",`)
	if err := s.checkResponse(resp, call); err != nil {
		s.Close()
		return nil, err
	}
	s.scanner = bufio.NewScanner(&limitio.Reader{R: watch.reader(resp.Body), Remaining: maxStreamBytes})
	s.scanner.Buffer(make([]byte, 0, 4096), maxEventBytes)
	return s, nil
}

// checkResponse returns an error unless the response is a stream, resumed if the
// call asks for it.
func (s *Stream) checkResponse(resp *http.Response, call Call) error {
	if err := checkIdentity(resp, call); err != nil {
		return err
	}
	if IsRejection(resp.StatusCode) {
		rejection, err := readResponse(s.ctx, s.watch, resp, call.Memory)
		if err != nil {
			return err
		}
		return &RejectedError{Response: rejection}
	}
	if resp.StatusCode != http.StatusOK {
		return code.Fail(code.EndpointError, "the endpoint responded with status "+resp.Status)
	}
	if call.ResumeFrom > 0 && resp.Header.Get(ResumedHeader) != "true" {
		return code.Fail(code.Truncated, "the endpoint did not resume the stream")
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
			s.gotEndMarker = true
			return nil, io.EOF
		}
		s.watch.eventReceived()
		return data, s.parseEvent(data)
	}
	if err := s.scanner.Err(); err != nil {
		return nil, classifyError(s.ctx, err)
	}
	return nil, code.Fail(code.Truncated, "the stream ended without its end marker")
}

// parseEvent checks the request ID of an event and reads its usage. An event that
// starts with the ID of this request and reports no usage is not parsed: quotes
// within a JSON string are escaped, so neither match can be generated text.
func (s *Stream) parseEvent(data []byte) error {
	complete := len(data) > 0 && data[len(data)-1] == '}'
	if complete && bytes.HasPrefix(data, s.idPrefix) && !reportsUsage(data) {
		s.events++
		return nil
	}
	var c chunk
	if err := json.Unmarshal(data, &c); err != nil {
		return code.Fail(code.EndpointError, errors.Wrap(err, "invalid event").Error())
	}
	if c.ID != "" && c.ID != s.id {
		return code.Fail(code.CrossedAnswer, "a stream event is for request "+c.ID)
	}
	s.events++
	if c.Usage != nil {
		s.tokens = c.Usage.TotalTokens
	}
	return nil
}

// reportsUsage reports whether an event has a usage field that is not null.
func reportsUsage(data []byte) bool {
	i := bytes.Index(data, usageField)
	return i >= 0 && !bytes.HasPrefix(data[i+len(usageField):], nullValue)
}

// EventCount returns the number of events received, including those before a
// resume.
func (s *Stream) EventCount() int { return s.events }

// Cost returns the number of tokens reported by the endpoint, or the number of
// events received if it has reported none.
func (s *Stream) Cost() int {
	if s.tokens > 0 {
		return s.tokens
	}
	return s.events
}

// Close ends the stream. If the end marker has not been received, the endpoint
// cancels the rest. Otherwise Close waits for the end of the response, within
// maxTrailingBytes and the progress timeout: the endpoint is busy until then, and
// the connection can be reused afterwards.
func (s *Stream) Close() {
	if s.gotEndMarker {
		// After an error the connection is closed, which ends the response too.
		_, _ = io.Copy(io.Discard, io.LimitReader(s.watch.reader(s.body), maxTrailingBytes))
	}
	s.watch.stop()
	s.body.Close()
}
