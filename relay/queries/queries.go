// Package queries implements the read operations of the operator API: resources with their
// status, watches, the state of all hosts, the owner of a key and the timeline.
package queries

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/go-chi/chi/v5"

	"parsleyrelay.example/api/operatorapi"
	"parsleyrelay.example/api/peerv1"
	"parsleyrelay.example/core/finding"
	"parsleyrelay.example/core/ownership"
	"parsleyrelay.example/core/state"
	"parsleyrelay.example/relay/bearer"
)

// Views returns the current view and a channel that is closed when it is replaced.
type Views interface {
	Current() (*ownership.View, <-chan struct{})
}

// PeerClient queries the daemon of one member, which may be this daemon itself.
type PeerClient interface {
	Status(ctx context.Context, member state.Member) (*peerv1.StatusResponse, error)
	Timeline(ctx context.Context, member state.Member, req *peerv1.TimelineRequest) (*peerv1.TimelineResponse, error)
}

// WitnessSetReader returns the witness sets by scope.
type WitnessSetReader interface {
	WitnessSets() map[string]state.WitnessSet
}

// Config holds the dependencies and settings of a QueryHandler.
type Config struct {
	Views     Views
	Peers     PeerClient
	Witnesses WitnessSetReader
	History   *ChangeHistory
	WallClock func() time.Time
	// PeerTimeout bounds the call to each host; 0 means 1 s.
	PeerTimeout time.Duration
	// ProgressInterval is the interval of progress events in an idle watch; 0 means 5 s.
	ProgressInterval time.Duration
	// Stop ends all watches when closed, so that they do not delay a shutdown.
	// It may be nil.
	Stop <-chan struct{}
}

// QueryHandler serves the read operations.
type QueryHandler struct {
	cfg     Config
	members memberCaller
}

// New returns a QueryHandler.
func New(cfg Config) *QueryHandler {
	if cfg.PeerTimeout == 0 {
		cfg.PeerTimeout = time.Second
	}
	if cfg.ProgressInterval == 0 {
		cfg.ProgressInterval = 5 * time.Second
	}
	return &QueryHandler{cfg: cfg, members: memberCaller{wallClock: cfg.WallClock, timeout: cfg.PeerTimeout, silentSinceMS: map[string]int64{}}}
}

// Mount adds the routes of the read operations to r.
func (q *QueryHandler) Mount(r chi.Router, policy bearer.Policy) {
	r.Group(func(r chi.Router) {
		r.Use(policy.RequireTokenForReads)
		r.Get("/v1/status", q.serveStatus)
		r.Get("/v1/timeline", q.serveTimeline)
		r.Group(func(r chi.Router) {
			r.Use(q.requireCompleteState)
			r.Get("/v1/resources", q.serveList)
			r.Get("/v1/resources/{kind}", q.serveList)
			r.Get("/v1/resources/{kind}/{name}", q.serveGet)
			r.Get("/v1/watch", q.serveWatch)
			r.Get("/v1/ownership/{service}/{key}", q.serveOwnership)
			r.Get("/v1/ownership/{service}/{key}/history", q.serveOwnershipHistory)
		})
	})
}

// requireCompleteState refuses queries while the state of this host is incomplete, since
// missing resources would look as if they had been deleted.
func (q *QueryHandler) requireCompleteState(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !q.view().StateComplete {
			writeJSON(w, http.StatusServiceUnavailable, operatorapi.Problem{
				Message: "this host has not read the complete state yet; query another host",
			})
			return
		}
		next.ServeHTTP(w, r)
	})
}

func (q *QueryHandler) view() *ownership.View {
	view, _ := q.cfg.Views.Current()
	return view
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body) // fails only when the connection to the operator is lost
}

func writeFindings(w http.ResponseWriter, findings finding.List) {
	problem := operatorapi.Problem{Message: "the request is invalid; see the findings"}
	for _, f := range findings {
		problem.Findings = append(problem.Findings, operatorapi.Finding(f))
	}
	writeJSON(w, http.StatusUnprocessableEntity, problem)
}

func writeNotFound(w http.ResponseWriter, message string) {
	writeJSON(w, http.StatusNotFound, operatorapi.Problem{Message: message})
}
