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
	// maxResumes is how often one stream may be resumed after an
	// interruption.
	maxResumes = 1
	// resumeDelay gives the endpoint time to notice that the old connection
	// is closed. Until then it may run the stream twice, which a cold endpoint
	// can't handle.
	resumeDelay = 200 * time.Millisecond
)

// relayStream passes a streamed response to the caller, event by event. If
// the stream is interrupted after at least one event, it is resumed at the
// same endpoint over a new connection. If the endpoint supports resuming, no
// event is lost or passed twice. A resume is charged to the retry budget.
func (c *chatRun) relayStream(out endpoint.Call) error {
	for resumes := 0; ; resumes++ {
		s, err := c.api.opts.Endpoints.Open(c.r.Context(), out)
		if err != nil {
			return c.handleOpenError(err)
		}
		err = c.relayEvents(s)
		events := s.EventCount()
		s.Close()
		if err == nil || events == 0 || resumes == maxResumes || !retryable(err) || !c.api.mayRetry(c.call, c.pool.Name, err) {
			return err
		}
		select {
		case <-c.r.Context().Done():
			return err
		case <-time.After(resumeDelay):
		}
		out.NewConnection, out.ResumeFrom = true, events
	}
}

// relayEvents passes events to the caller until the stream ends.
func (c *chatRun) relayEvents(s *endpoint.Stream) error {
	flush := http.NewResponseController(c.w)
	var line []byte
	for {
		data, err := s.Next()
		c.tokens = s.Cost()
		if err == io.EOF {
			c.recordBegun()
			io.WriteString(c.w, "data: [DONE]\n\n")
			return flush.Flush()
		}
		if err != nil {
			return err
		}
		c.recordBegun()
		line = append(line[:0], "data: "...)
		line = append(line, data...)
		line = append(line, "\n\n"...)
		if _, err := c.w.Write(line); err != nil {
			return code.Fail(code.CallerLeft, "")
		}
		flush.Flush()
		c.slot.UpdateProgress(fair.Cost(c.tokens), c.ttft)
	}
}

// recordBegun records that the response has begun. Later calls do nothing.
func (c *chatRun) recordBegun() {
	if !c.started {
		c.slot.RecordBegun()
		c.startStream()
	}
}

// startStream records the time to the first event, unless this process delays it,
// and sets the headers of the response. Later calls do nothing.
func (c *chatRun) startStream() {
	if c.started {
		return
	}
	c.started = true
	if c.api.timesEndpoints() {
		c.ttft = time.Since(c.startedAt)
	}
	c.w.Header().Set("Content-Type", "text/event-stream")
	c.w.Header().Set("Cache-Control", "no-store")
}

// relayResponse passes a response that is not streamed to the caller.
func (c *chatRun) relayResponse(out endpoint.Call) error {
	resp, err := c.api.opts.Endpoints.Do(c.r.Context(), out)
	if err == nil {
		c.slot.RecordBegun()
	}
	switch {
	case err != nil:
		return err
	case endpoint.IsRejection(resp.Status):
		c.writeResponse(resp)
		return nil
	case resp.Status >= http.StatusBadRequest:
		return code.Fail(code.EndpointError, fmt.Sprintf("the endpoint responded with status %d", resp.Status))
	}
	var body struct {
		Usage struct {
			TotalTokens int `json:"total_tokens"`
		} `json:"usage"`
	}
	if err := json.Unmarshal(resp.Body, &body); err != nil {
		return code.Fail(code.Truncated, err.Error())
	}
	c.tokens = body.Usage.TotalTokens
	c.writeResponse(resp)
	return nil
}

// handleOpenError handles an error of opening a stream. If the endpoint
// rejected the request, its response is passed to the caller. If it rejected
// a resume, the stream remains truncated. Other errors are returned as they
// are.
func (c *chatRun) handleOpenError(err error) error {
	var r *endpoint.RejectedError
	if !errors.As(err, &r) {
		return err
	}
	if c.started {
		return code.Fail(code.Truncated, "resume rejected: "+r.Error())
	}
	c.writeResponse(r.Response)
	return nil
}

func (c *chatRun) writeResponse(resp endpoint.Response) {
	c.started = true
	writeResponse(c.w, resp.Status, resp.ContentType, resp.Body)
}
