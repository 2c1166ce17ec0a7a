// Package once keeps requests that may not be repeated from running twice.
//
// Such a request carries an id that tells when it was issued. A Table remembers
// the ids of one group for a window. Ids that were issued before the table was
// complete, and that it does not know, have an unknown outcome: they are never run.
//
// # Usage
//
//	id := once.NewID(now, random)
//	t := once.New(now)
//	switch d := t.Admit(now, id); d.Verdict { case once.VerdictRun: ... }
//	t.Finish(id, answer) // or t.Forget(id) when it did not run
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

// ErrID reports a malformed request id.
var ErrID = eris.New("once: request id is not <milliseconds in base 36>-<8 to 64 of a-z, 0-9>")

const (
	// timeBase is the base in which the time of an id is written.
	timeBase = 36
	// randomBytes is the number of random bytes of an id.
	randomBytes = 8
	minRandom   = 8
	maxRandom   = 64
)

// NewID returns a new id that was issued now; random is usually crypto/rand.Reader.
func NewID(now time.Time, random io.Reader) (string, error) {
	if random == nil {
		random = rand.Reader
	}
	var b [randomBytes]byte
	if _, err := io.ReadFull(random, b[:]); err != nil {
		return "", eris.Wrapf(ErrID, "%v", err)
	}
	return strconv.FormatInt(now.UnixMilli(), timeBase) + "-" + hex.EncodeToString(b[:]), nil
}

// Issued returns when an id was issued, or ErrID.
func Issued(id string) (time.Time, error) {
	stamp, random, ok := strings.Cut(id, "-")
	if !ok || len(random) < minRandom || len(random) > maxRandom {
		return time.Time{}, ErrID
	}
	for _, c := range random {
		if (c < 'a' || c > 'z') && (c < '0' || c > '9') {
			return time.Time{}, ErrID
		}
	}
	ms, err := strconv.ParseInt(stamp, timeBase, 64)
	if err != nil || ms <= 0 {
		return time.Time{}, ErrID
	}
	return time.UnixMilli(ms), nil
}
