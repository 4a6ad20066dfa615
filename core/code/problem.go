package code

import (
	"strconv"

	"github.com/cockroachdb/errors"
)

// ProblemType is the media type of a Problem.
const ProblemType = "application/problem+json"

// typeBase is the start of a problem's type; the code's number follows.
const typeBase = "https://cyclamenwinch.example/codes#"

// Problem is the body of a refusal or failure: problem details (RFC 9457)
// with the numbered code.
type Problem struct {
	Type      string `json:"type"`
	Title     string `json:"title"`
	Status    int    `json:"status"` // HTTP status
	Detail    string `json:"detail,omitempty"`
	Code      int    `json:"code"`
	NotRun    bool   `json:"not_run"` // true: no endpoint ran any part of it
	RequestID string `json:"request_id,omitempty"`
	Next      string `json:"next"`
}

// NewProblem describes a failure of the given request.
func NewProblem(failure *Error, requestID string) Problem {
	info := failure.Code.Info()
	return Problem{
		Type:      typeBase + strconv.Itoa(int(failure.Code)),
		Title:     info.Text,
		Status:    info.Status,
		Detail:    failure.Detail,
		Code:      int(failure.Code),
		NotRun:    failure.NotRun,
		RequestID: requestID,
		Next:      info.Next,
	}
}

// Failure returns the error that a Problem describes.
func (p Problem) Failure() *Error {
	return &Error{Code: Code(p.Code), NotRun: p.NotRun, Detail: p.Detail}
}

// As returns err as an *Error; an error without a code is Internal.
func As(err error) *Error {
	var failure *Error
	if errors.As(err, &failure) {
		return failure
	}
	return Fail(Internal, err.Error())
}
