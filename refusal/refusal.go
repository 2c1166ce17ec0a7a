// Package refusal writes the error responses that the router itself sends to
// callers.
//
// Each response carries a machine-readable code and reports whether a target ran
// the request.
//
// # Usage
//
//	refusal.Write(c, refusal.Refusal{Status: 503, Code: refusal.CodeNoHolder, NotRun: refusal.NotRunTrue})
package refusal

import (
	"math"
	"strconv"
	"time"

	"github.com/cloudwego/hertz/pkg/app"

	"github.com/redwingtally/redwingtally/target"
)

// A NotRun is the value of the header target.NotRunHeader. It tells the caller
// whether a target ran the request.
type NotRun string

// The values of NotRun.
const (
	// NotRunTrue means that the request did not run.
	NotRunTrue NotRun = "true"
	// NotRunUnknown means that the request may have run.
	NotRunUnknown NotRun = "unknown"
	// NotRunFalse means that the request ran.
	NotRunFalse NotRun = "false"
)

// A Code is the machine-readable reason for a refusal.
type Code string

// The codes of refusals. The reasons of package dispatch are also used as codes.
const (
	CodeUnknownService     Code = "unknown_service"
	CodeNoRoute            Code = "no_route"
	CodeKeyRequired        Code = "key_required"
	CodeKeyTooLong         Code = "key_too_long"
	CodeBadBudget          Code = "bad_budget"
	CodeNoRecords          Code = "no_records"
	CodeNoHolder           Code = "no_holder"
	CodeNotHolder          Code = "not_holder"
	CodeTooManyHops        Code = "too_many_hops"
	CodeNoOwner            Code = "no_owner"
	CodeTargetUnreachable  Code = "target_unreachable"
	CodeTargetRejected     Code = "target_refused"
	CodeOutcomeUnknown     Code = "outcome_unknown"
	CodeDeadlinePassed     Code = "deadline_passed"
	CodeCanceled           Code = "canceled"
	CodeIDRequired         Code = "request_id_required"
	CodeIDMalformed        Code = "request_id_malformed"
	CodeIDTooOld           Code = "request_id_too_old"
	CodeIDInFuture         Code = "request_id_in_future"
	CodeRequestRunning     Code = "request_running"
	CodeRequestAnswered    Code = "request_answered"
	CodeOwnershipNotProved Code = "ownership_not_proved"
	CodeIDNotRecorded      Code = "request_id_not_kept"
	CodeForwardFailed      Code = "forward_failed"
	CodeMalformedRequest   Code = "malformed_request"
	CodeTooManyRequests    Code = "too_many_requests"
)

// A Refusal is an error response from the router to a caller.
type Refusal struct {
	// Status is the HTTP status.
	Status  int
	Code    Code
	Message string
	NotRun  NotRun
	// RetryAfter is sent in the header Retry-After, rounded up to whole seconds, if
	// it is positive.
	RetryAfter time.Duration
}

// body is the JSON body of a refusal.
type body struct {
	Code    Code   `json:"code"`
	Message string `json:"message"`
	NotRun  NotRun `json:"not_run"`
}

// Write replaces the response in c with r.
func Write(c *app.RequestContext, r Refusal) {
	c.Response.Reset()
	c.Header(target.NotRunHeader, string(r.NotRun))
	c.Header(target.ReasonHeader, string(r.Code))
	if r.RetryAfter > 0 {
		c.Header("Retry-After", strconv.Itoa(int(math.Ceil(r.RetryAfter.Seconds()))))
	}
	c.JSON(r.Status, body{Code: r.Code, Message: r.Message, NotRun: r.NotRun})
}
