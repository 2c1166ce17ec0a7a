package standin

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/redwingtally/redwingtally/platform"
)

// admit takes a slot or says why not.
func (s *Server) admit(ctx context.Context) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.running >= s.o.Slots {
		if s.waiting >= s.o.Queue {
			return false
		}
		s.waiting++
		for s.running >= s.o.Slots && ctx.Err() == nil {
			wake := s.wake
			s.mu.Unlock()
			select {
			case <-wake:
			case <-ctx.Done():
			}
			s.mu.Lock()
		}
		s.waiting--
		if ctx.Err() != nil {
			return false
		}
	}
	s.running++
	return true
}

func (s *Server) notify() {
	close(s.wake)
	s.wake = make(chan struct{})
}

func (s *Server) serve(w http.ResponseWriter, r *http.Request) {
	call := platform.ReadRequestMeta(r.Header)
	if expected := platform.ExpectedTarget(r.Header); expected != "" && expected != s.o.Name {
		platform.SetResponseMeta(w.Header(), s.o.Name, platform.ResponseMeta{ID: call.ID, TargetReplaced: true})
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	body, err := io.ReadAll(r.Body)
	whole := err == nil
	if !s.admit(r.Context()) {
		s.turnAway(w, call.ID, http.StatusServiceUnavailable)
		return
	}
	index, ok := s.begin(call, whole)
	if !ok {
		s.turnAway(w, call.ID, http.StatusMisdirectedRequest)
		return
	}
	if r.Header.Get(CrashHeader) != "" {
		s.crash()
		return
	}
	s.perform(r, call)
	left := r.Context().Err() != nil
	s.end(call, index, left)
	s.answer(w, r, call.ID, len(body), index)
}

func (s *Server) turnAway(w http.ResponseWriter, id string, status int) {
	platform.SetResponseMeta(w.Header(), s.o.Name, platform.ResponseMeta{ID: id, NotExecuted: true})
	w.WriteHeader(status)
}

// begin notes a run, unless the server does not hold its key; then it gives the slot back.
func (s *Server) begin(call platform.RequestMeta, whole bool) (int, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	fence, held := s.holds(call.Key)
	if s.o.Keyed && !held {
		s.running--
		s.notify()
		return 0, false
	}
	s.work[platform.KeyRange{First: call.Key, Last: call.Key}]++
	s.runs = append(s.runs, Run{
		ID: call.ID, Server: s.o.Name, Key: int(call.Key), Begun: time.Now(), Fence: fence, Whole: whole, Patience: call.Timeout,
	})
	return len(s.runs) - 1, true
}

// end notes the end of a run.
func (s *Server) end(call platform.RequestMeta, index int, left bool) {
	span := platform.KeyRange{First: call.Key, Last: call.Key}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.work[span]--; s.work[span] == 0 {
		delete(s.work, span)
	}
	s.runs[index].Ended, s.runs[index].Left = time.Now(), left
	s.running--
	s.notify()
}

// perform takes the time that the caller asks for.
func (s *Server) perform(r *http.Request, call platform.RequestMeta) {
	work := serverWork
	if d, err := time.ParseDuration(r.Header.Get(WorkHeader)); err == nil {
		work = min(d, maxWork)
	}
	work = time.Duration(float64(work) * s.o.Speed * max(1, s.shown().Slow))
	if call.Timeout > 0 {
		work = min(work, call.Timeout)
	}
	pause(r.Context(), work)
}

// shown returns the faults that the server shows now.
func (s *Server) shown() ServerFaults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// answer writes the answer, or spoils it.
func (s *Server) answer(w http.ResponseWriter, r *http.Request, id string, received, index int) {
	f, nth := s.shown(), float64(index%20)/20
	if nth < f.Lose {
		<-r.Context().Done()
		return
	}
	platform.SetResponseMeta(w.Header(), s.o.Name, platform.ResponseMeta{ID: id, Signed: true})
	if nth < f.Lose+f.Fail {
		http.Error(w, "failed", http.StatusInternalServerError)
		return
	}
	text := fmt.Sprintf("%s of %s took %d bytes from %s\n", s.o.Name, s.o.Service, received, id)
	if size, err := strconv.Atoi(r.Header.Get(SizeHeader)); err == nil && size > len(text) {
		text = strings.Repeat(".", size-len(text)) + text
	}
	w.Header().Set("Content-Length", strconv.Itoa(len(text)))
	if nth < f.Lose+f.Fail+f.Cut {
		_, _ = io.WriteString(w, text[:len(text)/2]) // the handler breaks the answer off
		panic(http.ErrAbortHandler)
	}
	_, _ = io.WriteString(w, text) // a caller that left needs no answer
}
