package edge

import (
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/redwingtally/redwingtally/quarantine"
)

// maxBufferedBody is the size in bytes up to which a body is buffered before the
// request is sent. Only buffered bodies can be sent again.
const maxBufferedBody = 1 << 20

// A body is a caller's request body. Bytes beyond maxBufferedBody are streamed.
// The length is in bytes, or -1 for a streamed body of unknown length.
type body struct {
	head   []byte    // the buffered bytes
	rest   io.Reader // the bytes after head; nil if the whole body is buffered
	length int64
}

// bufferedBytes returns how many bytes of the body readBody buffers at most.
func bufferedBytes(r *http.Request) int64 {
	if r.ContentLength < 0 || r.ContentLength > maxBufferedBody {
		return maxBufferedBody + 1
	}
	return r.ContentLength
}

// readBody buffers up to maxBufferedBody bytes of the caller's body. The bytes
// must arrive by the deadline. A limit of zero allows any length.
func readBody(w http.ResponseWriter, r *http.Request, limit int64, deadline time.Time) (body, error) {
	b := body{length: r.ContentLength}
	if r.Body == nil || r.Body == http.NoBody {
		b.length = 0
		return b, nil
	}
	if limit > 0 && r.ContentLength > limit {
		return b, &http.MaxBytesError{Limit: limit}
	}
	control := http.NewResponseController(w)
	_ = control.SetReadDeadline(deadline) // on failure a slow caller blocks only its own connection
	source := io.Reader(r.Body)
	if limit > 0 {
		source = http.MaxBytesReader(w, r.Body, limit)
	}
	var err error
	if r.ContentLength > 0 && r.ContentLength <= maxBufferedBody {
		b.head = make([]byte, r.ContentLength)
		_, err = io.ReadFull(source, b.head)
		if err == nil {
			_, err = source.Read(make([]byte, 1)) // reads EOF; the server detects a disconnected caller only after it
			if errors.Is(err, io.EOF) {
				err = nil
			}
		}
	} else {
		b.head, err = io.ReadAll(io.LimitReader(source, maxBufferedBody+1))
	}
	if err != nil {
		return b, err
	}
	_ = control.SetReadDeadline(time.Time{})
	if len(b.head) > maxBufferedBody {
		b.rest = source
	} else {
		b.length = int64(len(b.head))
	}
	return b, nil
}

// fingerprint returns a hash of the method, host, URI and buffered body, which is
// equal for identical requests.
func fingerprint(r *http.Request, b []byte) quarantine.Fingerprint {
	d := xxhash.New()
	for _, s := range []string{r.Method, "\n", r.Host, "\n", r.RequestURI, "\n"} {
		_, _ = d.WriteString(s) // a hash never returns an error
	}
	_, _ = d.Write(b)
	return quarantine.Fingerprint(d.Sum64())
}
