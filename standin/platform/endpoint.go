package platform

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/go-chi/chi/v5"

	"parsleyrelay.example/api/platformapi"
)

// Bounds of requests.
const (
	MaxRecordBytes = 1 << 20 // larger records are refused with status 413
	MaxReadRecords = 10_000  // records in one response
	MaxReadBytes   = 8 << 20 // record bytes in one response, but at least one record
	MaxReadWait    = 30 * time.Second
)

// Outage is a way in which the platform is unreachable.
type Outage int

// The outages.
const (
	OutageNone   Outage = iota
	OutageRefuse        // status 503
	OutageAbort         // the connection is closed without a response
	OutageHang          // no response until the outage ends or the client gives up
)

// Faults are the switches of a gate. The zero value has none.
type Faults struct {
	Outage         Outage
	HostListOutage Outage        // of the host list
	AppendDelay    time.Duration // before an append takes effect
	ReadDelay      time.Duration
	// AppendsWithoutResponse is the number of coming appends that take effect without a
	// response; the connection is closed instead. Negative for all.
	AppendsWithoutResponse int
	ReadLimit              int    // most records in one response, 0 for MaxReadRecords
	ReadLagRecords         uint64 // newest records that reads do not reach
}

// Endpoint is one way to reach a platform.
type Endpoint struct {
	platform *Platform
	router   chi.Router

	mu      sync.Mutex
	faults  Faults
	changed chan struct{} // closed and replaced when the faults change
	appends int
	reads   int
}

func newGate(p *Platform) *Endpoint {
	g := &Endpoint{platform: p, router: chi.NewRouter(), changed: make(chan struct{})}
	g.router.Post(platformapi.RecordsPath, g.serveAppend)
	g.router.Get(platformapi.RecordsPath, g.serveRead)
	g.router.Get(platformapi.HostsPath, g.serveHosts)
	return g
}

// ServeHTTP implements http.Handler.
func (g *Endpoint) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	g.router.ServeHTTP(w, r)
}

// SetFaults replaces the faults.
func (g *Endpoint) SetFaults(f Faults) {
	g.UpdateFaults(func(current *Faults) { *current = f })
}

// UpdateFaults changes some of the faults.
func (g *Endpoint) UpdateFaults(update func(*Faults)) {
	g.mu.Lock()
	defer g.mu.Unlock()
	update(&g.faults)
	close(g.changed)
	g.changed = make(chan struct{})
}

// RequestCounts returns the number of append and read requests that arrived.
func (g *Endpoint) RequestCounts() (appends, reads int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.appends, g.reads
}

func (g *Endpoint) current() (Faults, <-chan struct{}) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.faults, g.changed
}

func (g *Endpoint) serveAppend(w http.ResponseWriter, r *http.Request) {
	g.mu.Lock()
	g.appends++
	g.mu.Unlock()
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, MaxRecordBytes))
	if err != nil {
		http.Error(w, "record too large or cut", http.StatusRequestEntityTooLarge)
		return
	}
	if len(data) == 0 {
		http.Error(w, "empty record", http.StatusBadRequest)
		return
	}
	faults, _ := g.current()
	sleep(r.Context(), faults.AppendDelay)
	if !g.admit(w, r, func(f Faults) Outage { return f.Outage }) {
		return
	}
	offset := g.platform.Append(data)
	if g.takeLostResponse() {
		panic(http.ErrAbortHandler)
	}
	respond(w, platformapi.AppendResponse{Offset: offset})
}

func (g *Endpoint) takeLostResponse() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.faults.AppendsWithoutResponse > 0 {
		g.faults.AppendsWithoutResponse--
		return true
	}
	return g.faults.AppendsWithoutResponse < 0
}

func (g *Endpoint) serveRead(w http.ResponseWriter, r *http.Request) {
	g.mu.Lock()
	g.reads++
	g.mu.Unlock()
	from, limit, wait, err := readParameters(r)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	faults, _ := g.current()
	sleep(r.Context(), faults.ReadDelay)
	if !g.admit(w, r, func(f Faults) Outage { return f.Outage }) {
		return
	}
	response, ok := g.longPoll(r.Context(), from, limit, wait)
	if !ok {
		g.admit(w, r, func(f Faults) Outage { return f.Outage })
		return
	}
	respond(w, response)
}

// longPoll waits for a record at from or later. It returns false when an outage
// began while it waited.
func (g *Endpoint) longPoll(ctx context.Context, from uint64, limit int, wait time.Duration) (platformapi.ReadResponse, bool) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		faults, changed := g.current()
		if faults.Outage != OutageNone {
			return platformapi.ReadResponse{}, false
		}
		bounded := limit
		if faults.ReadLimit > 0 {
			bounded = min(limit, faults.ReadLimit)
		}
		response, grown := g.platform.read(from, bounded, faults.ReadLagRecords)
		if len(response.Entries) > 0 {
			response.Entries = boundBytes(response.Entries)
			return response, true
		}
		select {
		case <-grown:
		case <-changed:
		case <-timer.C:
			return response, true
		case <-ctx.Done():
			return response, true
		}
	}
}

func boundBytes(entries []platformapi.LogEntry) []platformapi.LogEntry {
	total := 0
	for i, entry := range entries {
		total += len(entry.Data)
		if i > 0 && total > MaxReadBytes {
			return entries[:i]
		}
	}
	return entries
}

func (g *Endpoint) serveHosts(w http.ResponseWriter, r *http.Request) {
	if !g.admit(w, r, func(f Faults) Outage { return f.HostListOutage }) {
		return
	}
	respond(w, g.platform.Hosts())
}

// admit applies an outage. It returns false when the request ends with it.
func (g *Endpoint) admit(w http.ResponseWriter, r *http.Request, kind func(Faults) Outage) bool {
	for {
		faults, changed := g.current()
		switch kind(faults) {
		case OutageNone:
			return true
		case OutageRefuse:
			http.Error(w, "log service unavailable", http.StatusServiceUnavailable)
			return false
		case OutageAbort:
			panic(http.ErrAbortHandler)
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			panic(http.ErrAbortHandler)
		}
	}
}

func readParameters(r *http.Request) (from uint64, limit int, wait time.Duration, err error) {
	query := r.URL.Query()
	if from, err = strconv.ParseUint(query.Get("from"), 10, 64); err != nil {
		return 0, 0, 0, err
	}
	if limit, err = strconv.Atoi(query.Get("max")); err != nil {
		return 0, 0, 0, err
	}
	waitMS, err := strconv.ParseInt(query.Get("wait_ms"), 10, 64)
	if err != nil {
		return 0, 0, 0, err
	}
	if limit < 1 || limit > MaxReadRecords {
		limit = MaxReadRecords
	}
	return from, limit, min(MaxReadWait, time.Duration(max(0, waitMS))*time.Millisecond), nil
}

func respond(w http.ResponseWriter, body any) {
	w.Header().Set("Content-Type", "application/json")
	// An error here means that the client is gone; there is nobody to tell.
	_ = json.NewEncoder(w).Encode(body)
}

func sleep(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
