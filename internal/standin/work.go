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

// admit acquires a slot, waiting for one if the queue has free capacity. It reports
// whether it acquired one.
func (s *Server) admit(ctx context.Context) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.running >= s.options.Slots {
		if s.waiting >= s.options.QueueLimit {
			return false
		}
		s.waiting++
		for s.running >= s.options.Slots && ctx.Err() == nil {
			wake := s.slotFreed
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

// notify wakes the requests that wait for a slot and the releases that wait for
// requests. The lock must be held.
func (s *Server) notify() {
	close(s.slotFreed)
	s.slotFreed = make(chan struct{})
}

func (s *Server) serve(w http.ResponseWriter, r *http.Request) {
	call := platform.ReadRequestMeta(r.Header)
	if expected := platform.ExpectedTarget(r.Header); expected != "" && expected != s.options.Name {
		platform.SetResponseMeta(w.Header(), s.options.Name, platform.ResponseMeta{ID: call.ID, TargetReplaced: true, Leaving: s.leaves()})
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	s.mu.Lock()
	s.arrivals = append(s.arrivals, time.Now())
	s.mu.Unlock()
	readDelay, delayErr := time.ParseDuration(r.Header.Get(ReadDelayHeader))
	readsLate := delayErr == nil && readDelay > 0
	var body []byte
	var err error
	if !readsLate {
		body, err = io.ReadAll(r.Body)
	}
	if !s.admit(r.Context()) {
		s.reject(w, call.ID, http.StatusServiceUnavailable)
		return
	}
	index, ok := s.startRun(call, err == nil && !readsLate)
	if !ok {
		s.reject(w, call.ID, http.StatusMisdirectedRequest)
		return
	}
	if r.Header.Get(CrashHeader) != "" {
		s.crash()
		return
	}
	if readsLate {
		sleep(r.Context(), min(readDelay, maxServiceTime))
		body, err = io.ReadAll(r.Body)
		s.setBodyComplete(index, err == nil)
	}
	if !readsLate || err == nil {
		s.simulateServiceTime(r, call)
	}
	disconnected := r.Context().Err() != nil || readsLate && err != nil // the context does not end before the body is read
	s.endRun(call, index, disconnected)
	s.respond(w, r, call.ID, len(body), index)
}

func (s *Server) reject(w http.ResponseWriter, id string, status int) {
	platform.SetResponseMeta(w.Header(), s.options.Name, s.states(platform.ResponseMeta{ID: id, NotExecuted: true}))
	w.WriteHeader(status)
}

// startRun records the start of a run and returns its index. If the server has no
// grant for the key, it frees the slot and returns false.
func (s *Server) startRun(call platform.RequestMeta, bodyComplete bool) (int, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	token, held := s.fencingToken(call.Key)
	if s.options.Keyed && !held {
		s.running--
		s.notify()
		return 0, false
	}
	s.runningByKey[platform.KeyRange{First: call.Key, Last: call.Key}]++
	s.runs = append(s.runs, Run{
		ID: call.ID, Server: s.options.Name, Key: int(call.Key), StartedAt: time.Now(), FencingToken: token, BodyComplete: bodyComplete, Timeout: call.Timeout,
	})
	return len(s.runs) - 1, true
}

// setBodyComplete records whether the body of a request that was read late was complete.
func (s *Server) setBodyComplete(index int, complete bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.runs[index].BodyComplete = complete
}

// endRun records the end of a run and frees its slot. disconnected reports whether
// the sender closed the connection.
func (s *Server) endRun(call platform.RequestMeta, index int, disconnected bool) {
	keys := platform.KeyRange{First: call.Key, Last: call.Key}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.runningByKey[keys]--; s.runningByKey[keys] == 0 {
		delete(s.runningByKey, keys)
	}
	s.runs[index].EndedAt, s.runs[index].SenderDisconnected = time.Now(), disconnected
	s.running--
	s.notify()
}

// simulateServiceTime waits for the requested service time, multiplied by the
// factors of the server's options and faults, but not longer than the caller waits.
func (s *Server) simulateServiceTime(r *http.Request, call platform.RequestMeta) {
	serviceTime := defaultServiceTime
	if d, err := time.ParseDuration(r.Header.Get(ServiceTimeHeader)); err == nil {
		serviceTime = min(d, maxServiceTime)
	}
	serviceTime = time.Duration(float64(serviceTime) * s.options.ServiceTimeFactor * max(1, s.currentFaults().ServiceTimeFactor))
	if call.Timeout > 0 {
		serviceTime = min(serviceTime, call.Timeout)
	}
	sleep(r.Context(), serviceTime)
}

// currentFaults returns the faults that are injected now.
func (s *Server) currentFaults() ServerFaults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// rateLimit returns the limit that the server states.
func (s *Server) rateLimit() platform.RateLimit {
	perSecond := s.currentFaults().RateLimit
	return platform.RateLimit{PerSecond: perSecond, Stated: perSecond > 0}
}

// load returns the load that the server states.
func (s *Server) load() platform.Load {
	if !s.options.StatesLoad {
		return platform.Load{}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return platform.Load{Stated: true, Running: s.running, Waiting: s.waiting, Slots: s.options.Slots, Speed: 100}
}

// respond writes the response, or injects a fault. Faults are assigned by the index
// of the run modulo 20, so that their shares have a resolution of 5%.
func (s *Server) respond(w http.ResponseWriter, r *http.Request, id string, received, index int) {
	f, position := s.currentFaults(), float64(index%20)/20
	if position < f.UnansweredShare+f.ErrorShare+f.TruncatedShare {
		s.mu.Lock()
		s.runs[index].Faulty = true
		s.mu.Unlock()
	}
	if position < f.UnansweredShare {
		<-r.Context().Done()
		return
	}
	platform.SetResponseMeta(w.Header(), s.options.Name, s.states(platform.ResponseMeta{ID: id, Signed: true}))
	if position < f.UnansweredShare+f.ErrorShare {
		http.Error(w, "failed", http.StatusInternalServerError)
		return
	}
	text := fmt.Sprintf("%s of %s took %d bytes from %s\n", s.options.Name, s.options.Service, received, id)
	if size, err := strconv.Atoi(r.Header.Get(ResponseSizeHeader)); err == nil && size > len(text) {
		text = strings.Repeat(".", size-len(text)) + text
	}
	w.Header().Set("Content-Length", strconv.Itoa(len(text)))
	if position < f.UnansweredShare+f.ErrorShare+f.TruncatedShare {
		_, _ = io.WriteString(w, text[:len(text)/2]) // the panic aborts the response
		panic(http.ErrAbortHandler)
	}
	_, _ = io.WriteString(w, text) // the caller may have disconnected
}
