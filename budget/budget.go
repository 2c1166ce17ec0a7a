// Package budget implements a retry budget: it limits how often requests are sent
// again.
//
// In each window, all hosts together may retry a fraction of the requests of a
// service plus a fixed number. Each host uses the fraction of its own requests and
// an equal part of the fixed number. A Budget is a state machine without I/O and
// is not safe for concurrent use.
//
// The budget is designed for overload, when targets reject half of the requests
// and far more retries are wanted than allowed. Part of the allowance is reserved
// for caller retries: requests that a caller repeats after a rejection. The caller
// will not repeat them again.
//
// # Usage
//
//	b := budget.New(now, budget.Limits{Ratio: 0.2, Extra: 56, Window: 10 * time.Second})
//	b.RecordRequest(now)
//	if b.AllowRetry(now, hosts, callerRetry) { sendAgain() }
package budget

import "time"

const (
	// bucketsPerWindow is the number of buckets that a window is divided into.
	bucketsPerWindow = 10
	// bucketCount is the number of buckets that are kept; a window that is not aligned overlaps one more.
	bucketCount = bucketsPerWindow + 1
	// usableShare is the fraction of the allowance that is used. The rest covers delayed updates of the number
	// of hosts.
	usableShare = 0.85
	// firstAttemptShare is the fraction of the usable allowance for requests that are not caller retries.
	// When targets reject half of the requests, a retry is worth twice as much to a caller retry.
	firstAttemptShare = 0.4
)

// Limits are the limits of the retries of all hosts together.
type Limits struct {
	// Ratio is the number of retries allowed per request.
	Ratio float64
	// Extra is the number of retries allowed per window in addition to Ratio.
	Extra float64
	// Window is the length of the sliding window.
	Window time.Duration
}

// A Budget counts the requests and the retries of one service on one host.
type Budget struct {
	limits        Limits
	startedAt     time.Time
	requests      [bucketCount]int
	retries       [bucketCount]int
	currentBucket int64
}

// New returns an unused Budget. startedAt is the start time of the process.
func New(startedAt time.Time, l Limits) *Budget { return &Budget{limits: l, startedAt: startedAt} }

// RecordRequest records a request.
func (b *Budget) RecordRequest(now time.Time) {
	b.advance(now)
	b.requests[b.currentBucket%bucketCount]++
}

// AllowRetry reports whether a request may be sent again, and records the retry if so.
// callerRetry reports whether the caller repeats a request that was rejected before.
func (b *Budget) AllowRetry(now time.Time, hosts int, callerRetry bool) bool {
	b.advance(now)
	requests, retries := 0, 0
	for i := range bucketCount {
		requests += b.requests[i]
		retries += b.retries[i]
	}
	// The oldest bucket lies partly outside the window. Its requests are left out and its retries
	// are counted, so that no window exceeds the allowance.
	requests -= b.requests[(b.currentBucket+1)%bucketCount]
	allowed := usableShare * (b.limits.Ratio*float64(requests) + b.hostExtra(now, hosts))
	if !callerRetry {
		allowed *= firstAttemptShare
	}
	if float64(retries+1) > allowed {
		return false
	}
	b.retries[b.currentBucket%bucketCount]++
	return true
}

// hostExtra returns this host's part of Limits.Extra. It is 0 during the first
// window of a process, as a previous process of the host may have used it already.
func (b *Budget) hostExtra(now time.Time, hosts int) float64 {
	if now.Sub(b.startedAt) < b.limits.Window {
		return 0
	}
	return b.limits.Extra / float64(max(1, hosts))
}

// advance makes the bucket of now the current one and clears the buckets that have
// expired.
func (b *Budget) advance(now time.Time) {
	bucketLength := b.limits.Window / bucketsPerWindow
	if bucketLength <= 0 {
		bucketLength = time.Second
	}
	bucket := now.UnixNano() / int64(bucketLength)
	if bucket-b.currentBucket >= bucketCount {
		b.requests, b.retries = [bucketCount]int{}, [bucketCount]int{}
	} else {
		for i := b.currentBucket + 1; i <= bucket; i++ {
			b.requests[i%bucketCount], b.retries[i%bucketCount] = 0, 0
		}
	}
	b.currentBucket = max(b.currentBucket, bucket)
}

// SetLimits changes the limits. The counts are kept unless the window changes.
func (b *Budget) SetLimits(l Limits) {
	if l.Window != b.limits.Window {
		*b = Budget{startedAt: b.startedAt}
	}
	b.limits = l
}
