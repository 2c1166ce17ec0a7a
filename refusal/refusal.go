// Package refusal writes the answers that the system itself gives to callers.
//
// Each carries a machine-readable code and says whether the request ran.
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

// A NotRun says whether the request ran.
type NotRun string

// The values of NotRun.
const (
	// NotRunTrue means that the request truly was not run.
	NotRunTrue NotRun = "true"
	// NotRunUnknown means that the request may have run.
	NotRunUnknown NotRun = "unknown"
	// NotRunFalse means that the request ran.
	NotRunFalse NotRun = "false"
)

// A Code is a machine-readable reason.
type Code string

// The codes of refusals. Reasons of package dispatch are codes too.
const (
	CodeUnknownService  Code = "unknown_service"
	CodeNoRoute         Code = "no_route"
	CodeKeyRequired     Code = "key_required"
	CodeKeyTooLong      Code = "key_too_long"
	CodeBadBudget       Code = "bad_budget"
	CodeNoRecords       Code = "no_records"
	CodeNoHolder        Code = "no_holder"
	CodeNotHolder       Code = "not_holder"
	CodeTooManyHops     Code = "too_many_hops"
	CodeNoOwner         Code = "no_owner"
	CodeUnreachable     Code = "target_unreachable"
	CodeTargetRefused   Code = "target_refused"
	CodeOutcomeUnknown  Code = "outcome_unknown"
	CodeDeadline        Code = "deadline_passed"
	CodeCanceled        Code = "canceled"
	CodeIDRequired      Code = "request_id_required"
	CodeIDMalformed     Code = "request_id_malformed"
	CodeIDTooOld        Code = "request_id_too_old"
	CodeIDFuture        Code = "request_id_in_future"
	CodeIDRunning       Code = "request_running"
	CodeIDAnswered      Code = "request_answered"
	CodeEvidence        Code = "ownership_not_proved"
	CodeNotesUnkept     Code = "request_id_not_kept"
	CodeForwardFailed   Code = "forward_failed"
	CodeMalformed       Code = "malformed_request"
	CodeTooManyRequests Code = "too_many_requests"
)

// A Refusal is an answer of the system itself.
type Refusal struct {
	Status     int
	Code       Code
	Message    string
	NotRun     NotRun
	RetryAfter time.Duration
}

// body is a refusal's form on the wire.
type body struct {
	Code    Code   `json:"code"`
	Message string `json:"message"`
	NotRun  NotRun `json:"not_run"`
}

// Write answers the request with r.
func Write(c *app.RequestContext, r Refusal) {
	c.Response.Reset()
	c.Header(target.NotRunHeader, string(r.NotRun))
	c.Header(target.ReasonHeader, string(r.Code))
	if r.RetryAfter > 0 {
		c.Header("Retry-After", strconv.Itoa(int(math.Ceil(r.RetryAfter.Seconds()))))
	}
	c.JSON(r.Status, body{Code: r.Code, Message: r.Message, NotRun: r.NotRun})
}
