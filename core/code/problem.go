package code

import (
	"strconv"

	"github.com/cockroachdb/errors"
)

// ProblemType is the media type of an encoded Problem.
const ProblemType = "application/problem+json"

// typeBase is the URI of a problem type without the number of the code, which
// follows.
const typeBase = "https://cyclamenwinch.example/codes#"

// Problem is the response body of a refused or failed request: problem details
// (RFC 9457) with the result code.
type Problem struct {
	Type      string `json:"type"`
	Title     string `json:"title"`
	Status    int    `json:"status"` // HTTP status
	Detail    string `json:"detail,omitempty"`
	Code      int    `json:"code"`
	NotRun    bool   `json:"not_run"` // true: no endpoint ran any part of the request
	RequestID string `json:"request_id,omitempty"`
	Next      string `json:"next"`
}

// NewProblem returns the problem details for the error of a request.
func NewProblem(err *Error, requestID string) Problem {
	info := err.Code.Info()
	return Problem{
		Type:      typeBase + strconv.Itoa(int(err.Code)),
		Title:     info.Text,
		Status:    info.Status,
		Detail:    err.Detail,
		Code:      int(err.Code),
		NotRun:    err.NotRun,
		RequestID: requestID,
		Next:      info.Next,
	}
}

// Err returns the error that a Problem describes. RetryAfter is not set: it is
// sent in the Retry-After header, not in the body.
func (p Problem) Err() *Error {
	return &Error{Code: Code(p.Code), NotRun: p.NotRun, Detail: p.Detail}
}

// As returns the *Error in err's chain. Without one, it returns an Internal
// error with the text of err.
func As(err error) *Error {
	var coded *Error
	if errors.As(err, &coded) {
		return coded
	}
	return Fail(Internal, err.Error())
}
