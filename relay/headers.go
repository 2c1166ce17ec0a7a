package relay

import (
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/rotisserie/eris"
)

// ErrHeader reports a header that is missing, repeated or malformed.
var ErrHeader = eris.New("relay: invalid header")

// Headers between hosts.
const (
	headerConfiguration = "Relay-Configuration"
	headerAttempts      = "Relay-Attempts" // allowed attempts of a request, or those that may have run
	headerElapsed       = "Relay-Elapsed-Ms"
	headerCounted       = "Relay-Counted"
	headerUnavailable   = "Relay-Unavailable"
	headerIDAdded       = "Relay-Id-Added"
	headerCallerRetry   = "Relay-Caller-Retry"
	headerResult        = "Relay-Result"
	headerRetryTaken    = "Relay-Retry-Taken"
	headerService       = "Relay-Service"
	headerCheck         = "Relay-Check"
)

// headers holds the names of all headers between hosts.
var headers = []string{headerConfiguration, headerAttempts, headerElapsed, headerCounted, headerCallerRetry, headerResult, headerUnavailable, headerIDAdded,
	headerRetryTaken, headerService, headerCheck}

const (
	// maxAttempts and maxElapsed bound the values that are accepted.
	maxAttempts = 1000
	maxElapsed  = time.Hour
	// maxService bounds the encoded name of a service. Longer ones are not passed on.
	maxService = 256
	// flagSet is the value of a flag that is set. The header is absent otherwise.
	flagSet = "1"
)

// Request is what the sender states with a request.
type Request struct {
	// Configuration is the version of the sender's configuration. A relay with an older one does not take the request.
	Configuration uint64
	// Attempts is the number of attempts that may run.
	Attempts int
	// Elapsed is the time since the arrival of the request at the sender.
	Elapsed time.Duration
	// Counted reports whether a host has counted the request for its load and its retry budget.
	Counted bool
	// Service is the service that the sender has chosen for the request, or empty.
	Service string
	// CallerRetry reports whether the caller repeats a request that was rejected before.
	CallerRetry bool
}

// Set replaces the headers between hosts in h.
func (r Request) Set(h http.Header) {
	Strip(h)
	h.Set(headerConfiguration, strconv.FormatUint(r.Configuration, 10))
	h.Set(headerAttempts, strconv.Itoa(r.Attempts))
	h.Set(headerElapsed, strconv.FormatInt(r.Elapsed.Milliseconds(), 10))
	setFlag(h, headerCounted, r.Counted)
	setFlag(h, headerCallerRetry, r.CallerRetry)
	if service := url.QueryEscape(r.Service); service != "" && len(service) <= maxService {
		h.Set(headerService, service)
	}
}

// SetCheck marks a request as a check of whether the relay answers.
func SetCheck(h http.Header) { setFlag(h, headerCheck, true) }

// IsCheck reports whether a request is a check of whether the relay answers.
func IsCheck(h http.Header) bool { return len(h[headerCheck]) > 0 }

// ReadRequest decodes the headers of a request. It returns ErrHeader.
func ReadRequest(h http.Header) (Request, error) {
	var d decoder
	r := Request{
		Configuration: d.number(h, headerConfiguration, 0, 1<<64-1),
		Attempts:      int(d.number(h, headerAttempts, 1, maxAttempts)),
		Elapsed:       time.Duration(d.number(h, headerElapsed, 0, uint64(maxElapsed.Milliseconds()))) * time.Millisecond,
		Counted:       d.flag(h, headerCounted),
		Service:       d.service(h),
		CallerRetry:   d.flag(h, headerCallerRetry),
	}
	if d.err != nil {
		return Request{}, d.err
	}
	return r, nil
}

// Kind is the kind of a relay's response.
type Kind string

// Kinds of responses.
const (
	// Response is the response of a target, unchanged.
	Response Kind = "response"
	// Failed is a response of the relay to a request that may have run.
	Failed Kind = "failed"
	// Rejected is a response of the relay to a request that has not run and that no other relay is to take.
	Rejected Kind = "rejected"
	// NotTaken is a response of the relay to a request that has not run and that another relay may take.
	NotTaken Kind = "not_taken"
)

// Result is what a relay states with its response.
type Result struct {
	Kind Kind
	// Runs is the number of attempts that may have run; at least 1 for Response and Failed, and 0 otherwise.
	Runs int
	// Counted reports whether the relay has counted the request for its load and its retry budget.
	Counted bool
	// Unavailable reports whether the relay takes no requests at all for now.
	Unavailable bool
	// RetryTaken reports whether the relay has taken a retry from its budget and has not used it.
	RetryTaken bool
	// IDAdded reports whether the relay has added the request ID to a response without one.
	IDAdded bool
}

// Set replaces the headers between hosts in h.
func (r Result) Set(h http.Header) {
	Strip(h)
	h.Set(headerResult, string(r.Kind))
	h.Set(headerAttempts, strconv.Itoa(r.Runs))
	setFlag(h, headerCounted, r.Counted)
	setFlag(h, headerUnavailable, r.Unavailable)
	setFlag(h, headerRetryTaken, r.RetryTaken)
	setFlag(h, headerIDAdded, r.IDAdded)
}

// ReadResult decodes the headers of a response. It returns ErrHeader.
func ReadResult(h http.Header) (Result, error) {
	var d decoder
	r := Result{
		Kind: Kind(d.value(h, headerResult)), Runs: int(d.number(h, headerAttempts, 0, maxAttempts)), Counted: d.flag(h, headerCounted),
		Unavailable: d.flag(h, headerUnavailable), RetryTaken: d.flag(h, headerRetryTaken), IDAdded: d.flag(h, headerIDAdded),
	}
	switch r.Kind {
	case Response, Failed:
		if r.Runs == 0 {
			d.fail(headerAttempts, "0")
		}
	case Rejected, NotTaken:
		if r.Runs > 0 {
			d.fail(headerAttempts, strconv.Itoa(r.Runs))
		}
	default:
		d.fail(headerResult, string(r.Kind))
	}
	if d.err != nil {
		return Result{}, d.err
	}
	return r, nil
}

// Strip removes the headers between hosts from h.
func Strip(h http.Header) {
	for _, name := range headers {
		delete(h, name)
	}
}

func setFlag(h http.Header, name string, set bool) {
	if set {
		h.Set(name, flagSet)
	}
}

// decoder decodes headers and keeps the first error.
type decoder struct{ err error }

func (d *decoder) fail(name, value string) {
	if d.err == nil {
		d.err = eris.Wrapf(ErrHeader, "%s: %.40q", name, value)
	}
}

// value returns the value of a header that must occur once.
func (d *decoder) value(h http.Header, name string) string {
	if len(h[name]) != 1 {
		d.fail(name, strconv.Itoa(len(h[name]))+" values")
		return ""
	}
	return h[name][0]
}

// number returns the value of a header that must be a number between low and high.
func (d *decoder) number(h http.Header, name string, low, high uint64) uint64 {
	value := d.value(h, name)
	n, err := strconv.ParseUint(value, 10, 64)
	if err != nil || n < low || n > high {
		d.fail(name, value)
		return 0
	}
	return n
}

// service returns the name of the service, or an empty string if there is none.
func (d *decoder) service(h http.Header) string {
	if len(h[headerService]) == 0 {
		return ""
	}
	value := d.value(h, headerService)
	service, err := url.QueryUnescape(value)
	if err != nil || service == "" || len(value) > maxService {
		d.fail(headerService, value)
	}
	return service
}

// flag reports whether a flag is set.
func (d *decoder) flag(h http.Header, name string) bool {
	if len(h[name]) == 0 {
		return false
	}
	if value := d.value(h, name); value != flagSet {
		d.fail(name, value)
	}
	return true
}
