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

// Server is a fake backend server. It is an http.Handler.
type Server struct {
	options Options
	router  chi.Router

	mu              sync.Mutex
	serviceTimeRand *rand.Rand
	currentInstance *instance
	resumed         chan struct{} // closed by Resume, nil unless paused
	draining        bool
}

// instance is the state that a restart discards.
type instance struct {
	id                        string
	startedAt                 time.Time
	tracker                   *grants.Tracker
	slots                     chan struct{}
	terminated                chan struct{} // closed by Restart
	requestEnded              chan struct{} // closed and replaced at the end of each execution
	running                   int
	queued                    int
	responsesByIdempotencyKey map[string]*savedResponse
	reportedHealth            serverapi.Health
	reportedAt                time.Time
}

// New returns a server that serves requests but does not listen on an address.
func New(options Options) *Server {
	s := &Server{options: options.withDefaults(), router: chi.NewRouter()}
	s.serviceTimeRand = rand.New(rand.NewPCG(s.options.Seed, 1))
	s.currentInstance = s.newInstance()
	s.router.Use(s.pauseMiddleware)
	s.router.Get(serverapi.HealthPath, s.serveHealth)
	if s.options.ChecksGrants {
		s.router.Post(serverapi.GrantPath, s.serveGrant)
		s.router.Post(serverapi.ReleasePath, s.serveRelease)
	}
	// All other paths and methods are requests for the backend service.
	s.router.NotFound(s.serveRequest)
	s.router.MethodNotAllowed(s.serveRequest)
	return s
}

// Start listens on addr and serves s there.
func (s *Server) Start(addr string) (*listen.Server, error) {
	return listen.Start(addr, s, s.options.Listen)
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.router.ServeHTTP(w, r)
}

// Journal returns the journal in which the server records its executions.
func (s *Server) Journal() *Journal { return s.options.Journal }

// InstanceID returns the id of the current instance, which changes at each restart.
func (s *Server) InstanceID() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.currentInstance.id
}

// Pause stops all activity of the server, like a paused process. The clock of the
// server keeps running, so that grants expire during the pause.
func (s *Server) Pause() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.resumed == nil {
		s.resumed = make(chan struct{})
	}
}

// Resume ends a pause; all requests continue where they stopped.
func (s *Server) Resume() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.resumed != nil {
		close(s.resumed)
		s.resumed = nil
	}
}

// Restart aborts all requests without a response and starts a new instance without
// grants or saved responses. It also ends a pause.
func (s *Server) Restart() {
	s.Resume()
	s.mu.Lock()
	defer s.mu.Unlock()
	close(s.currentInstance.terminated)
	s.currentInstance = s.newInstance()
}

// SetDraining sets whether the server reports that it is draining.
func (s *Server) SetDraining(draining bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.draining = draining
	s.currentInstance.tracker.SetDraining(draining)
}

// Load returns the actual load, which may differ from the reported one.
func (s *Server) Load() serverapi.Load {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.loadLocked()
}

func (s *Server) newInstance() *instance {
	inst := &instance{
		id:                        uuid.NewString(),
		startedAt:                 time.Now(),
		slots:                     make(chan struct{}, s.options.Slots),
		terminated:                make(chan struct{}),
		requestEnded:              make(chan struct{}),
		responsesByIdempotencyKey: map[string]*savedResponse{},
	}
	inst.tracker = grants.NewTracker(s.options.ServerName, inst.id, func() time.Duration { return time.Since(inst.startedAt) })
	inst.tracker.SetDraining(s.draining)
	return inst
}

// waitWhilePaused blocks while the server is paused. It ignores the request's
// context: a paused process does not notice that a client has disconnected.
func (s *Server) waitWhilePaused() {
	for {
		s.mu.Lock()
		resumed := s.resumed
		s.mu.Unlock()
		if resumed == nil {
			return
		}
		<-resumed
	}
}

func (s *Server) pauseMiddleware(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.waitWhilePaused()
		next.ServeHTTP(w, r)
	})
}

func (s *Server) loadLocked() serverapi.Load {
	inst := s.currentInstance
	return serverapi.Load{
		Running: inst.running,
		Queued:  inst.queued,
		CPU:     min(1, float64(inst.running)/float64(s.options.Slots)),
	}
}

// reportedHealthLocked returns the health that the server reports: the last value of
// its report interval, changed by OverrideHealth.
func (s *Server) reportedHealthLocked() serverapi.Health {
	inst := s.currentInstance
	if inst.reportedAt.IsZero() || time.Since(inst.reportedAt) >= s.options.HealthReportInterval {
		inst.reportedHealth, inst.reportedAt = serverapi.Health{Status: "ok", Load: s.loadLocked()}, time.Now()
		if s.draining {
			inst.reportedHealth.Status = "draining"
		}
	}
	health := inst.reportedHealth
	if s.options.OverrideHealth != nil {
		health = s.options.OverrideHealth(health)
	}
	return health
}

func (s *Server) serveHealth(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	health := s.reportedHealthLocked()
	s.mu.Unlock()
	s.writeJSON(w, http.StatusOK, health)
}

func (s *Server) serveGrant(w http.ResponseWriter, r *http.Request) {
	var grant serverapi.Grant
	if !s.decodeBody(w, r, &grant) {
		return
	}
	s.mu.Lock()
	response, err := s.currentInstance.tracker.HandleGrant(grant)
	response.Load = s.reportedHealthLocked().Load
	s.mu.Unlock()
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.writeJSON(w, http.StatusOK, response)
}

func (s *Server) serveRelease(w http.ResponseWriter, r *http.Request) {
	var release serverapi.Release
	if !s.decodeBody(w, r, &release) {
		return
	}
	s.mu.Lock()
	inst := s.currentInstance
	refusal, err := inst.tracker.HandleRelease(release)
	s.mu.Unlock()
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	response := serverapi.ReleaseResponse{Reason: refusal, Instance: inst.id}
	if refusal == "" {
		response.Done = s.waitSlicesIdle(r, inst, release)
	}
	s.writeJSON(w, http.StatusOK, response)
}

// waitSlicesIdle waits until the slices of a release have no active requests. It
// returns false if the release's deadline passes or its request is cancelled first.
func (s *Server) waitSlicesIdle(r *http.Request, inst *instance, release serverapi.Release) bool {
	timer := time.NewTimer(time.Duration(release.DeadlineMS) * time.Millisecond)
	defer timer.Stop()
	for {
		s.mu.Lock()
		idle, requestEnded := inst.tracker.SlicesIdle(release), inst.requestEnded
		s.mu.Unlock()
		if idle {
			return true
		}
		select {
		case <-requestEnded:
		case <-timer.C:
			return false
		case <-r.Context().Done():
			return false
		case <-inst.terminated:
			panic(http.ErrAbortHandler)
		}
	}
}

func (s *Server) decodeBody(w http.ResponseWriter, r *http.Request, target any) bool {
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, s.options.MaxBodyBytes)).Decode(target); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}

func (s *Server) writeJSON(w http.ResponseWriter, status int, body any) {
	data, err := json.Marshal(body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	s.waitWhilePaused()
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(data)))
	w.WriteHeader(status)
	// A write error means that the client has disconnected.
	_, _ = w.Write(data)
}
