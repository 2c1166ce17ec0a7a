package main

import (
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// object is one object of the store.
type object struct {
	kind, name string
	rev        uint64
	created    uint64
	deleted    bool
	spec       json.RawMessage
	status     json.RawMessage
}

// store is a stand-in for the platform's metadata store. It keeps all history and answers at once.
type store struct {
	mu      sync.Mutex
	rev     uint64
	objects map[string]*object
	changed chan struct{}
	down    bool // every call gets 503, and watches that wait are cut off
}

// setDown makes the store reject all calls, or serve them again.
func (s *store) setDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) isDown() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.down
}

// remove removes an object, as the platform does with the entry of an upstream that leaves. It returns when the removal
// was in force.
func (s *store) remove(kind, name string) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	o := s.objects[kind+"/"+name]
	s.set(kind, name, o.spec, o.status).deleted = true
	return time.Now()
}

// wireMetadata is the JSON form of an object's metadata.
type wireMetadata struct {
	Name       string   `json:"name"`
	Rev        uint64   `json:"rev,omitempty"`
	CreatedRev uint64   `json:"createdRev,omitempty"`
	Finalizers []string `json:"finalizers"`
}

// wireObject is the JSON form of an object.
type wireObject struct {
	Metadata wireMetadata    `json:"metadata"`
	Spec     json.RawMessage `json:"spec,omitempty"`
	Status   json.RawMessage `json:"status,omitempty"`
}

// startStore serves a store on a free port of the loopback interface.
func startStore() (*store, string, error) {
	s := &store{rev: 100, objects: map[string]*object{}, changed: make(chan struct{})}
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, "", err
	}
	server := &http.Server{Handler: s, ReadHeaderTimeout: time.Minute}
	go func() { _ = server.Serve(ln) }() // ends with the process
	return s, ln.Addr().String(), nil
}

// put creates or replaces an object without a condition, as the operator and the upstreams do.
func (s *store) put(kind, name string, spec, status any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.set(kind, name, encode(spec), encode(status))
}

// set stores an object under the next revision. The caller holds s.mu.
func (s *store) set(kind, name string, spec, status json.RawMessage) *object {
	s.rev++
	o := s.objects[kind+"/"+name]
	if o == nil || o.deleted {
		o = &object{kind: kind, name: name, created: s.rev}
		s.objects[kind+"/"+name] = o
	}
	o.rev, o.spec = s.rev, spec
	if status != nil {
		o.status = status
	}
	close(s.changed)
	s.changed = make(chan struct{})
	return o
}

func encode(v any) json.RawMessage {
	if v == nil {
		return nil
	}
	b, err := json.Marshal(v)
	if err != nil {
		panic(err) // the values are plain maps
	}
	return b
}

func (o *object) wire() wireObject {
	return wireObject{Metadata: wireMetadata{Name: o.name, Rev: o.rev, CreatedRev: o.created, Finalizers: []string{}}, Spec: o.spec, Status: o.status}
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	path := strings.Split(strings.TrimPrefix(r.URL.Path, "/redwingtally/objects/"), "/")
	w.Header().Set("Store-Era", "1")
	s.mu.Lock()
	down := s.down
	s.mu.Unlock()
	switch {
	case down:
		w.WriteHeader(http.StatusServiceUnavailable)
	case r.Method == http.MethodGet && len(path) == 1 && r.URL.Query().Has("watch"):
		s.watch(w, r, path[0])
	case r.Method == http.MethodGet && len(path) == 1:
		s.list(w, path[0])
	case r.Method == http.MethodGet:
		s.get(w, path[0], path[1])
	default:
		s.write(w, r, path)
	}
}

func respond(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(encode(v)) // the caller may have left
}

func (s *store) get(w http.ResponseWriter, kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	o := s.objects[kind+"/"+name]
	if o == nil || o.deleted {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	respond(w, http.StatusOK, o.wire())
}

// since returns the objects of a kind that changed after a revision, oldest first. The caller holds s.mu.
func (s *store) since(kind string, rev uint64) []*object {
	var out []*object
	for _, o := range s.objects {
		if o.kind == kind && o.rev > rev {
			out = append(out, o)
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].rev < out[j].rev })
	return out
}

func (s *store) list(w http.ResponseWriter, kind string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	items := []wireObject{}
	for _, o := range s.since(kind, 0) {
		if !o.deleted {
			items = append(items, o.wire())
		}
	}
	respond(w, http.StatusOK, map[string]any{"items": items, "hasMore": false, "storeRevision": s.rev})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request, kind string) {
	from, _ := strconv.ParseUint(r.URL.Query().Get("watch"), 10, 64) // 0 if malformed
	wait, _ := strconv.Atoi(r.URL.Query().Get("waitMs"))
	limit := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		changes, rev, changed, down := s.since(kind, from), s.rev, s.changed, s.down
		events := make([]map[string]any, 0, len(changes))
		for _, o := range changes {
			events = append(events, map[string]any{"object": o.wire(), "deleted": o.deleted})
		}
		s.mu.Unlock()
		if down {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		if len(events) > 0 {
			respond(w, http.StatusOK, map[string]any{"events": events, "storeRevision": rev})
			return
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		case <-limit:
			respond(w, http.StatusOK, map[string]any{"events": events, "storeRevision": rev})
			return
		}
	}
}

// write handles POST, PUT and DELETE with their conditions.
func (s *store) write(w http.ResponseWriter, r *http.Request, path []string) {
	var in wireObject
	if r.Method != http.MethodDelete {
		if err := json.NewDecoder(r.Body).Decode(&in); err != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
	}
	name, rev := in.Metadata.Name, in.Metadata.Rev
	if len(path) > 1 {
		name = path[1]
	}
	if stated := r.URL.Query().Get("rev"); stated != "" {
		rev, _ = strconv.ParseUint(stated, 10, 64) // 0 if malformed
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	o := s.objects[path[0]+"/"+name]
	exists := o != nil && !o.deleted
	switch {
	case r.Method == http.MethodPost && exists, exists && rev != 0 && rev != o.rev:
		respond(w, http.StatusConflict, o.wire())
	case r.Method != http.MethodPost && !exists:
		w.WriteHeader(http.StatusNotFound)
	case r.Method == http.MethodDelete:
		s.set(path[0], name, o.spec, o.status).deleted = true
		w.WriteHeader(http.StatusOK)
	case len(path) > 2:
		respond(w, http.StatusOK, s.set(path[0], name, o.spec, in.Status).wire())
	default:
		respond(w, http.StatusOK, s.set(path[0], name, in.Spec, nil).wire())
	}
}
