// Package once keeps the request ids of once-only requests, which run at most
// once.
//
// Such a request carries an id that contains its time of issue. A Table holds
// the ids of one group for a retention window. It is complete from some point in
// time; an id that was issued earlier and is not in the table has an unknown
// outcome, and its request is never run.
//
// # Usage
//
//	id, err := once.NewID(now, nil)
//	t := once.New(now)
//	switch d := t.Admit(now, id); d.Verdict { case once.VerdictRun: ... }
//	t.Finish(id, response) // or t.RemoveStarted(id) when it did not run
package once

import (
	"crypto/rand"
	"encoding/hex"
	"io"
	"strconv"
	"strings"
	"time"

	"github.com/rotisserie/eris"
)

// ErrMalformedID is returned for a malformed request id, and by NewID when its source of
// random bytes fails.
var ErrMalformedID = eris.New("once: request id is not <milliseconds in base 36>-<8 to 64 of a-z, 0-9>")

const (
	// timestampBase is the numeric base of the timestamp of an id.
	timestampBase = 36
	// randomBytes is the number of random bytes of an id, written in hexadecimal.
	randomBytes = 8
	// minSuffixLength and maxSuffixLength bound the part after the timestamp, in bytes.
	minSuffixLength = 8
	maxSuffixLength = 64
)

// NewID returns a new id with now as its time of issue. It reads from random, or
// from crypto/rand.Reader if random is nil.
func NewID(now time.Time, random io.Reader) (string, error) {
	if random == nil {
		random = rand.Reader
	}
	var b [randomBytes]byte
	if _, err := io.ReadFull(random, b[:]); err != nil {
		return "", eris.Wrapf(ErrMalformedID, "%v", err)
	}
	return strconv.FormatInt(now.UnixMilli(), timestampBase) + "-" + hex.EncodeToString(b[:]), nil
}

// IssuedAt returns the time of issue of an id, or ErrMalformedID if the id is malformed.
func IssuedAt(id string) (time.Time, error) {
	timestamp, suffix, ok := strings.Cut(id, "-")
	if !ok || len(suffix) < minSuffixLength || len(suffix) > maxSuffixLength {
		return time.Time{}, ErrMalformedID
	}
	for _, c := range suffix {
		if (c < 'a' || c > 'z') && (c < '0' || c > '9') {
			return time.Time{}, ErrMalformedID
		}
	}
	ms, err := strconv.ParseInt(timestamp, timestampBase, 64)
	if err != nil || ms <= 0 {
		return time.Time{}, ErrMalformedID
	}
	return time.UnixMilli(ms), nil
}
