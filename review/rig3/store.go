package main

import (
	"encoding/json"
	"io"
	"net"
	"net/http"
	"sort"
	"strings"
	"sync"
	"time"

	"github.com/redwingtally/redwingtally/platform"
)

// store is a stand-in for the platform's store. It keeps all history and answers at once.
type store struct {
	mu       sync.Mutex
	revision uint64
	objects  map[string]platform.Object // by kind and name
	changed  chan struct{}
	down     bool // every call gets 503, and watches that wait are cut off
}

// startStore serves a store on a free port of the loopback interface.
func startStore() (*store, string, error) {
	s := &store{revision: 100, objects: map[string]platform.Object{}, changed: make(chan struct{})}
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, "", err
	}
	server := &http.Server{Handler: s, ReadHeaderTimeout: time.Minute}
	go func() { _ = server.Serve(ln) }() // ends with the process
	return s, ln.Addr().String(), nil
}

// setDown makes the store reject all calls, or serve them again.
func (s *store) setDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
	s.notify()
}

func (s *store) isDown() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.down
}

// notify wakes the watches that wait. The caller holds s.mu.
func (s *store) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// put creates or replaces an object without a condition, as the operator and the upstreams do.
func (s *store) put(kind, name string, value json.RawMessage) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.set(platform.Object{Kind: kind, Name: name, Value: value})
}

// remove removes an object, as the platform does with the entry of an upstream that leaves, and returns when that was in force.
func (s *store) remove(kind, name string) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	o := s.objects[kind+"/"+name]
	o.Deleted = true
	s.set(o)
	return time.Now()
}

// set stores an object under the next revision and returns it. The caller holds s.mu.
func (s *store) set(o platform.Object) platform.Object {
	s.revision++
	o.Version = platform.Version(s.revision)
	s.objects[o.Kind+"/"+o.Name] = o
	s.notify()
	return o
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	w.Header().Set(platform.EraHeader, "1") // it is never restored from a copy
	if s.isDown() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	kind, name, named := strings.Cut(strings.TrimPrefix(r.URL.Path, platform.ObjectsPath), "/")
	switch {
	case r.Method != http.MethodGet:
		s.write(w, r, kind, name)
	case named:
		s.get(w, kind, name)
	default:
		s.list(w, r, kind)
	}
}

func respond(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v) // the caller may have left
}

func (s *store) get(w http.ResponseWriter, kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	o, ok := s.objects[kind+"/"+name]
	if !ok || o.Deleted {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	respond(w, http.StatusOK, platform.EncodeObject(o))
}

// since returns the objects of a kind that changed after a revision, oldest first. The caller holds s.mu.
func (s *store) since(kind string, revision uint64, deleted bool) []platform.Object {
	out := []platform.Object{}
	for _, o := range s.objects {
		if o.Kind == kind && o.Version.Revision() > revision && (deleted || !o.Deleted) {
			out = append(out, o)
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Version < out[j].Version })
	return out
}

// list answers a list or a watch. A watch waits for the first change.
func (s *store) list(w http.ResponseWriter, r *http.Request, kind string) {
	q, err := platform.ReadListQuery(r.URL.Query().Get)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	limit := time.After(q.Wait)
	for waited := false; ; {
		s.mu.Lock()
		version := platform.Version(s.revision)
		changes, changed, down := s.since(kind, q.From.Revision(), q.Watch), s.changed, s.down
		s.mu.Unlock()
		switch {
		case down:
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		case !q.Watch:
			respond(w, http.StatusOK, platform.EncodeList(changes, false, version))
			return
		case len(changes) > 0 || waited:
			respond(w, http.StatusOK, platform.EncodeChanges(changes, version))
			return
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		case <-limit:
			waited = true
		}
	}
}

// write handles the creation, the replacement and the removal of an object with their conditions.
func (s *store) write(w http.ResponseWriter, r *http.Request, kind, name string) {
	in, condition := platform.Object{}, platform.ReadCondition(r.URL.Query().Get)
	if r.Method != http.MethodDelete {
		data, err := io.ReadAll(r.Body)
		if err == nil {
			in, err = platform.DecodeObject(kind, data)
		}
		if err != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		condition = platform.Condition{Version: in.Version, Any: in.Version == 0}
	}
	if name == "" {
		name = in.Name
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	have, exists := s.objects[kind+"/"+name]
	exists = exists && !have.Deleted
	switch {
	case r.Method == http.MethodPost && exists, exists && !condition.Any && condition.Version.Revision() != have.Version.Revision():
		respond(w, http.StatusConflict, platform.EncodeObject(have))
	case r.Method != http.MethodPost && !exists:
		w.WriteHeader(http.StatusNotFound)
	case r.Method == http.MethodDelete:
		have.Deleted = true
		s.set(have)
		w.WriteHeader(http.StatusOK)
	default:
		respond(w, http.StatusOK, platform.EncodeObject(s.set(platform.Object{Kind: kind, Name: name, Value: in.Value})))
	}
}
