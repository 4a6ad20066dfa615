package callerapi

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/cyclamenwinch/cyclamenwinch/core/code"
	"github.com/cyclamenwinch/cyclamenwinch/core/fair"
	"github.com/cyclamenwinch/cyclamenwinch/internal/endpoint"
)

const (
	// maxResumes is how often one stream is resumed after a cut.
	maxResumes = 1
	// resumeAfter is the time that an endpoint gets to notice that the old
	// connection is closed: until then it may run the stream twice, which a
	// cold one does not bear.
	resumeAfter = 200 * time.Millisecond
)

// relayStream passes a streamed answer to the caller, event by event. A
// stream that is cut after the caller has received a part is resumed at the
// same endpoint over a new connection, if the endpoint goes on from there: no
// event is lost or passed twice. A resume counts as a retry.
func (c *chatRun) relayStream(out endpoint.Call) error {
	for resumes := 0; ; resumes++ {
		s, err := c.api.opts.Endpoints.Open(c.r.Context(), out)
		if err != nil {
			return c.rejected(err)
		}
		err = c.passEvents(s)
		events := s.EventCount()
		s.Close()
		if err == nil || events == 0 || resumes == maxResumes || !retryable(err) || !c.api.mayRetry(c.call, c.pool.Name, err) {
			return err
		}
		select {
		case <-c.r.Context().Done():
			return err
		case <-time.After(resumeAfter):
		}
		out.NewConnection, out.ResumeFrom = true, events
	}
}

// passEvents passes events until the stream ends.
func (c *chatRun) passEvents(s *endpoint.Stream) error {
	flush := http.NewResponseController(c.w)
	var line []byte
	for {
		data, err := s.Next()
		c.tokens = s.Cost()
		if err == io.EOF {
			c.beginStream()
			io.WriteString(c.w, "data: [DONE]\n\n")
			return flush.Flush()
		}
		if err != nil {
			return err
		}
		c.beginStream()
		line = append(line[:0], "data: "...)
		line = append(line, data...)
		line = append(line, "\n\n"...)
		if _, err := c.w.Write(line); err != nil {
			return code.Fail(code.CallerLeft, "")
		}
		flush.Flush()
		c.slot.UpdateProgress(fair.Cost(c.tokens), c.first)
	}
}

// beginStream notes the first event and sets the answer's header.
func (c *chatRun) beginStream() {
	if c.begun {
		return
	}
	c.begun = true
	c.first = time.Since(c.start)
	c.w.Header().Set("Content-Type", "text/event-stream")
	c.w.Header().Set("Cache-Control", "no-store")
}

// relayWhole passes an answer that is not streamed.
func (c *chatRun) relayWhole(out endpoint.Call) error {
	answer, err := c.api.opts.Endpoints.Do(c.r.Context(), out)
	switch {
	case err != nil:
		return err
	case endpoint.IsRejection(answer.Status):
		c.pass(answer)
		return nil
	case answer.Status >= http.StatusBadRequest:
		return code.Fail(code.EndpointError, fmt.Sprintf("the endpoint answered %d", answer.Status))
	}
	var body struct {
		Usage struct {
			TotalTokens int `json:"total_tokens"`
		} `json:"usage"`
	}
	if err := json.Unmarshal(answer.Body, &body); err != nil {
		return code.Fail(code.Truncated, err.Error())
	}
	c.tokens = body.Usage.TotalTokens
	c.pass(answer)
	return nil
}

// rejected passes on an endpoint's rejection of the request; any other error
// is returned. A resume that is rejected leaves the stream cut.
func (c *chatRun) rejected(err error) error {
	var r *endpoint.RejectedError
	if !errors.As(err, &r) {
		return err
	}
	if c.begun {
		return code.Fail(code.Truncated, "resume: "+r.Error())
	}
	c.pass(r.Response)
	return nil
}

func (c *chatRun) pass(answer endpoint.Response) {
	c.begun = true
	writeAnswer(c.w, answer.Status, answer.ContentType, answer.Body)
}
