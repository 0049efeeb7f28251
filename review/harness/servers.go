package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// server is a backend server. It serves the users' protocol: the ID of the attempt, a
// signature, the load, refusals when its queue is full and, if keyed, grants and releases.
type server struct {
	d        *deployment
	id       string
	service  string
	zone     string
	slots    int
	keyed    bool
	work     func(path string) time.Duration
	listener net.Listener
	born     int64
	sequence int
	// spoil, if set and true for a request, lets the server answer with a head that does
	// not end.
	spoil func(path string) bool
	// failStatus, if set, returns the status with which the server answers a request that it
	// has run, without Not-Executed; 0 for success.
	failStatus func(path string) int

	mu      sync.Mutex
	waiting int
	running int
	slot    chan struct{}
	begun   map[string]int // by attempt
	spoilt  map[string]bool
	holds   [keyCount]time.Time // end of the grant of each key
	fences  [keyCount]uint64
	working map[int]int // requests in execution, by key
}

const keyCount = 65536

func (d *deployment) addServer(id, service, zone string, slots int, keyed bool, work func(string) time.Duration) *server {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	s := &server{d: d, id: id, service: service, zone: zone, slots: slots, keyed: keyed, work: work, listener: l, born: time.Now().UnixMilli(), slot: make(chan struct{}, slots), begun: map[string]int{}, spoilt: map[string]bool{}, working: map[int]int{}}
	go func() { _ = http.Serve(l, http.HandlerFunc(s.serve)) }()
	go func() {
		for {
			s.register("ready")
			time.Sleep(heartbeat)
		}
	}()
	return s
}

// register writes the server's entry to the store.
func (s *server) register(state string) {
	s.sequence++
	s.d.store.Put("keyed.servers", s.id, fmt.Appendf(nil, `{"service":%q,"address":%q,"zone":%q,"version":"v1","slots":%d,"state":%q,"warmupLeftS":0,"sequence":%d,"born":%d}`,
		s.service, s.listener.Addr().String(), s.zone, s.slots, state, s.sequence, s.born))
}

func (s *server) load() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return fmt.Sprintf("%d,%d,%d", s.running, s.waiting, s.slots)
}

// runs returns how often an attempt began to run.
func (s *server) runs(attempt string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.begun[attempt]
}

func (s *server) setFailStatus(f func(path string) int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.failStatus = f
}

func (s *server) failStatusNow() func(path string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.failStatus
}

// spoiled reports whether the answer to an attempt was one without an end.
func (s *server) spoiled(attempt string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.spoilt[attempt]
}

func (s *server) serve(w http.ResponseWriter, r *http.Request) {
	attempt := r.Header.Get("Attempt-Id")
	w.Header().Set("Attempt-Id", attempt)
	if r.URL.Path == "/health" {
		w.Header().Set("Instance-Id", s.id)
		return
	}
	if target := r.Header.Get("Target-Instance"); target != "" && target != s.id {
		w.Header().Set("Instance-Id", s.id)
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if r.URL.Path == "/-/grant" || r.URL.Path == "/-/release" {
		s.carryOut(w, r)
		return
	}
	size, err := io.Copy(io.Discard, r.Body)
	if err != nil {
		return
	}
	s.mu.Lock()
	if s.waiting >= 4*s.slots {
		s.mu.Unlock()
		w.Header().Set("Not-Executed", "1")
		w.Header().Set("Server-Load", s.load())
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	s.waiting++
	s.mu.Unlock()
	select {
	case s.slot <- struct{}{}:
	case <-r.Context().Done():
	}
	s.mu.Lock()
	s.waiting--
	if r.Context().Err() != nil {
		s.mu.Unlock()
		select {
		case <-s.slot:
		default:
		}
		return
	}
	key, held := s.beginKeyLocked(r)
	if !held {
		s.mu.Unlock()
		<-s.slot
		w.Header().Set("Instance-Id", s.id)
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	s.running++
	s.begun[attempt]++
	s.mu.Unlock()
	s.d.record.log("server %s: runs %s, body %d", s.id, attempt, size)
	time.Sleep(s.work(r.URL.Path))
	s.mu.Lock()
	s.running--
	if s.keyed {
		s.working[key]--
	}
	s.mu.Unlock()
	<-s.slot
	if s.spoil != nil && s.spoil(r.URL.Path) {
		s.mu.Lock()
		s.spoilt[attempt] = true
		s.mu.Unlock()
		s.endlessHead(w, attempt)
		return
	}
	w.Header().Set("Server-Load", s.load())
	if fail := s.failStatusNow(); fail != nil {
		if status := fail(r.URL.Path); status != 0 {
			s.d.record.log("server %s: has run %s, answers %d without Not-Executed", s.id, attempt, status)
			w.WriteHeader(status)
			return
		}
	}
	w.Header().Set("Response-Signature", "signed-"+attempt)
	w.Header().Set("Keep-Alive", "timeout=10")
	_, _ = io.WriteString(w, "answer to "+attempt)
}

// beginKeyLocked returns the key of a request and reports whether the server may run it.
// s.mu must be locked.
func (s *server) beginKeyLocked(r *http.Request) (int, bool) {
	if !s.keyed {
		return 0, true
	}
	key, err := strconv.Atoi(r.Header.Get("Shard-Key"))
	if err != nil || key < 0 || key >= keyCount || !s.holds[key].After(time.Now()) {
		return 0, false
	}
	s.working[key]++
	return key, true
}

// carryOut serves a grant or a release.
func (s *server) carryOut(w http.ResponseWriter, r *http.Request) {
	arrived := time.Now()
	var o struct {
		From, Target int
		Fence        uint64
		HoldS        float64
	}
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil || !s.keyed || o.From < 0 || o.From > o.Target || o.Target >= keyCount {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if r.URL.Path == "/-/grant" {
		for k := o.From; k <= o.Target; k++ {
			if o.Fence < s.fences[k] {
				w.WriteHeader(http.StatusConflict)
				return
			}
		}
		for k := o.From; k <= o.Target; k++ {
			s.fences[k], s.holds[k] = o.Fence, arrived.Add(time.Duration(o.HoldS*float64(time.Second)))
		}
		return
	}
	for k := o.From; k <= o.Target; k++ {
		s.holds[k] = time.Time{}
	}
	for s.worksOnLocked(o.From, o.Target) {
		s.mu.Unlock()
		time.Sleep(10 * time.Millisecond)
		s.mu.Lock()
	}
	w.Header().Set("Handover", fmt.Sprintf("h-%s-%d-%d", s.id, o.From, o.Fence))
}

func (s *server) worksOnLocked(from, to int) bool {
	for key, n := range s.working {
		if n > 0 && from <= key && key <= to {
			return true
		}
	}
	return false
}

// link is the time from which a link is free for the next piece.
type link struct {
	mu   sync.Mutex
	next time.Time
}

// await returns when a number of bytes may be sent.
func (l *link) await(bytes int) {
	l.mu.Lock()
	if now := time.Now(); l.next.Before(now) {
		l.next = now
	}
	at := l.next
	l.next = at.Add(time.Duration(float64(bytes) / linkBytes * float64(time.Second)))
	l.mu.Unlock()
	time.Sleep(time.Until(at))
}

// endlessHead writes bytes that are no answer, in a head, until the host closes the
// connection. All such answers to a host together use no more than its link.
func (s *server) endlessHead(w http.ResponseWriter, attempt string) {
	c, _, err := w.(http.Hijacker).Hijack()
	if err != nil {
		return
	}
	defer c.Close()
	h := s.d.hostOf(attempt)
	if h == nil {
		return
	}
	s.d.record.log("server %s: answers %s of %s with a head that does not end", s.id, attempt, h.name)
	if _, err := io.WriteString(c, "HTTP/1.1 200 OK\r\nX-Part: "); err != nil {
		return
	}
	piece := bytes.Repeat([]byte{'x'}, 256<<10)
	for sent, begin := 0, time.Now(); ; {
		h.link.await(len(piece))
		_ = c.SetWriteDeadline(time.Now().Add(20 * time.Second))
		n, err := c.Write(piece)
		sent += n
		if err != nil {
			s.d.record.log("server %s: the connection of %s was closed after %d MB and %.2f s", s.id, attempt, sent>>20, time.Since(begin).Seconds())
			return
		}
	}
}
