package server

import (
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/go-chi/chi/v5"
	"github.com/google/uuid"

	"parsleyrelay.example/api/serverapi"
	"parsleyrelay.example/standin/grants"
	"parsleyrelay.example/standin/listen"
)

// Server is a backend server. It is an http.Handler.
type Server struct {
	options Options
	router  chi.Router

	mu       sync.Mutex
	random   *rand.Rand
	current  *instance
	frozen   chan struct{} // closed at the end of a freeze, nil while running
	draining bool
}

// instance is what a restart discards.
type instance struct {
	id      string
	started time.Time
	book    *grants.Tracker
	slots   chan struct{}
	killed  chan struct{}
	ended   chan struct{} // closed and replaced at the end of each request
	running int
	queued  int
	ids     map[string]*remembered
	shown   serverapi.Health
	shownAt time.Time
}

// New returns a started server without a listener.
func New(options Options) *Server {
	s := &Server{options: options.withDefaults(), router: chi.NewRouter()}
	s.random = rand.New(rand.NewPCG(s.options.Seed, 1))
	s.current = s.newInstance()
	s.router.Use(s.untilThawed)
	s.router.Get(serverapi.HealthPath, s.serveHealth)
	if s.options.ChecksGrants {
		s.router.Post(serverapi.GrantPath, s.serveGrant)
		s.router.Post(serverapi.ReleasePath, s.serveRelease)
	}
	s.router.NotFound(s.serveRequest)
	s.router.MethodNotAllowed(s.serveRequest)
	return s
}

// Start serves s on addr.
func (s *Server) Start(addr string) (*listen.Server, error) {
	return listen.Start(addr, s, s.options.Listen)
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.router.ServeHTTP(w, r)
}

// Journal returns the record of accepted work.
func (s *Server) Journal() *Journal { return s.options.Journal }

// InstanceID returns the id of the running instance.
func (s *Server) InstanceID() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.current.id
}

// Pause stops everything that the server does. Its clock goes on, as it does
// for a paused process.
func (s *Server) Pause() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.frozen == nil {
		s.frozen = make(chan struct{})
	}
}

// Resume ends a freeze; the server goes on as if nothing had happened.
func (s *Server) Resume() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.frozen != nil {
		close(s.frozen)
		s.frozen = nil
	}
}

// Restart ends all requests without a response and starts a new instance that
// holds nothing. It also ends a freeze.
func (s *Server) Restart() {
	s.Resume()
	s.mu.Lock()
	defer s.mu.Unlock()
	close(s.current.killed)
	s.current = s.newInstance()
}

// SetDraining sets whether the server says that it drains.
func (s *Server) SetDraining(draining bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.draining = draining
	s.current.book.SetDraining(draining)
}

// Load returns the true load.
func (s *Server) Load() serverapi.Load {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.loadLocked()
}

func (s *Server) newInstance() *instance {
	in := &instance{
		id:      uuid.NewString(),
		started: time.Now(),
		slots:   make(chan struct{}, s.options.Slots),
		killed:  make(chan struct{}),
		ended:   make(chan struct{}),
		ids:     map[string]*remembered{},
	}
	in.book = grants.NewTracker(s.options.ServerName, in.id, func() time.Duration { return time.Since(in.started) })
	in.book.SetDraining(s.draining)
	return in
}

// waitThawed blocks while the server is frozen. It ignores the request's
// context: a frozen process does not notice that a caller has gone.
func (s *Server) waitThawed() {
	for {
		s.mu.Lock()
		frozen := s.frozen
		s.mu.Unlock()
		if frozen == nil {
			return
		}
		<-frozen
	}
}

func (s *Server) untilThawed(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.waitThawed()
		next.ServeHTTP(w, r)
	})
}

func (s *Server) loadLocked() serverapi.Load {
	in := s.current
	return serverapi.Load{
		Running: in.running,
		Queued:  in.queued,
		CPU:     min(1, float64(in.running)/float64(s.options.Slots)),
	}
}

// healthLocked returns what the server reports: late, and changed by Lie.
func (s *Server) healthLocked() serverapi.Health {
	in := s.current
	if in.shownAt.IsZero() || time.Since(in.shownAt) >= s.options.HealthReportInterval {
		in.shown, in.shownAt = serverapi.Health{Status: "ok", Load: s.loadLocked()}, time.Now()
		if s.draining {
			in.shown.Status = "draining"
		}
	}
	health := in.shown
	if s.options.OverrideHealth != nil {
		health = s.options.OverrideHealth(health)
	}
	return health
}

func (s *Server) serveHealth(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	health := s.healthLocked()
	s.mu.Unlock()
	s.respond(w, http.StatusOK, health)
}

func (s *Server) serveGrant(w http.ResponseWriter, r *http.Request) {
	var grant serverapi.Grant
	if !s.decode(w, r, &grant) {
		return
	}
	s.mu.Lock()
	response, err := s.current.book.HandleGrant(grant)
	response.Load = s.healthLocked().Load
	s.mu.Unlock()
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.respond(w, http.StatusOK, response)
}

func (s *Server) serveRelease(w http.ResponseWriter, r *http.Request) {
	var release serverapi.Release
	if !s.decode(w, r, &release) {
		return
	}
	s.mu.Lock()
	in := s.current
	refusal, err := in.book.HandleRelease(release)
	s.mu.Unlock()
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	response := serverapi.ReleaseResponse{Reason: refusal, Instance: in.id}
	if refusal == "" {
		response.Done = s.waitIdle(r, in, release)
	}
	s.respond(w, http.StatusOK, response)
}

// waitIdle waits for the end of the slices' requests, up to the deadline.
func (s *Server) waitIdle(r *http.Request, in *instance, release serverapi.Release) bool {
	timer := time.NewTimer(time.Duration(release.DeadlineMS) * time.Millisecond)
	defer timer.Stop()
	for {
		s.mu.Lock()
		idle, ended := in.book.SlicesIdle(release), in.ended
		s.mu.Unlock()
		if idle {
			return true
		}
		select {
		case <-ended:
		case <-timer.C:
			return false
		case <-r.Context().Done():
			return false
		case <-in.killed:
			panic(http.ErrAbortHandler)
		}
	}
}

func (s *Server) decode(w http.ResponseWriter, r *http.Request, into any) bool {
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, s.options.MaxBodyBytes)).Decode(into); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}

func (s *Server) respond(w http.ResponseWriter, status int, body any) {
	data, err := json.Marshal(body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	s.waitThawed()
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(data)))
	w.WriteHeader(status)
	// An error here means that the client is gone; there is nobody to tell.
	_, _ = w.Write(data)
}
