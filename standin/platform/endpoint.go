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

// Limits of requests.
const (
	MaxRecordBytes = 1 << 20          // larger records are rejected with status 413
	MaxReadRecords = 10_000           // maximum number of records in one response
	MaxReadBytes   = 8 << 20          // maximum total size of the records in one response, which has at least one
	MaxReadWait    = 30 * time.Second // longer waits for a record are shortened to it
)

// Outage is the way in which an endpoint fails all requests.
type Outage int

const (
	OutageNone   Outage = iota
	OutageRefuse        // status 503
	OutageAbort         // the connection is closed without a response
	OutageHang          // no response until the outage ends or the client cancels the request
)

// Faults are the injected faults of an endpoint. The zero value has none.
type Faults struct {
	Outage         Outage        // of appends and reads
	HostListOutage Outage        // of requests for the host list
	AppendDelay    time.Duration // before an append takes effect
	ReadDelay      time.Duration
	// AppendsWithoutResponse is the number of following appends that take effect but
	// get no response; the connection is closed instead. Negative for all.
	AppendsWithoutResponse int
	ReadLimit              int    // maximum number of records in one response, 0 for MaxReadRecords
	ReadLagRecords         uint64 // number of newest records that reads do not return yet
}

// Endpoint serves the HTTP API of a platform with its own set of faults.
type Endpoint struct {
	platform *Platform
	router   chi.Router

	mu            sync.Mutex
	faults        Faults
	faultsChanged chan struct{} // closed and replaced when the faults change
	appendCount   int
	readCount     int
}

func newEndpoint(p *Platform) *Endpoint {
	e := &Endpoint{platform: p, router: chi.NewRouter(), faultsChanged: make(chan struct{})}
	e.router.Post(platformapi.RecordsPath, e.serveAppend)
	e.router.Get(platformapi.RecordsPath, e.serveRead)
	e.router.Get(platformapi.HostsPath, e.serveHosts)
	return e
}

// ServeHTTP implements http.Handler.
func (e *Endpoint) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	e.router.ServeHTTP(w, r)
}

func (e *Endpoint) SetFaults(f Faults) {
	e.UpdateFaults(func(current *Faults) { *current = f })
}

// UpdateFaults calls update to modify the faults in place.
func (e *Endpoint) UpdateFaults(update func(*Faults)) {
	e.mu.Lock()
	defer e.mu.Unlock()
	update(&e.faults)
	close(e.faultsChanged)
	e.faultsChanged = make(chan struct{})
}

// RequestCounts returns the number of append and read requests received, including
// failed ones.
func (e *Endpoint) RequestCounts() (appends, reads int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.appendCount, e.readCount
}

func (e *Endpoint) currentFaults() (Faults, <-chan struct{}) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.faults, e.faultsChanged
}

func (e *Endpoint) serveAppend(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	e.appendCount++
	e.mu.Unlock()
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, MaxRecordBytes))
	if err != nil {
		http.Error(w, "record is too large or incomplete", http.StatusRequestEntityTooLarge)
		return
	}
	if len(data) == 0 {
		http.Error(w, "record is empty", http.StatusBadRequest)
		return
	}
	faults, _ := e.currentFaults()
	sleepContext(r.Context(), faults.AppendDelay)
	if !e.applyOutage(w, r, func(f Faults) Outage { return f.Outage }) {
		return
	}
	offset := e.platform.Append(data)
	if e.consumeLostResponse() {
		panic(http.ErrAbortHandler)
	}
	writeJSON(w, platformapi.AppendResponse{Offset: offset})
}

// consumeLostResponse reports whether the response of an append is to be lost, and
// counts it.
func (e *Endpoint) consumeLostResponse() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.faults.AppendsWithoutResponse > 0 {
		e.faults.AppendsWithoutResponse--
		return true
	}
	return e.faults.AppendsWithoutResponse < 0
}

func (e *Endpoint) serveRead(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	e.readCount++
	e.mu.Unlock()
	from, limit, wait, err := parseReadParameters(r)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	faults, _ := e.currentFaults()
	sleepContext(r.Context(), faults.ReadDelay)
	if !e.applyOutage(w, r, func(f Faults) Outage { return f.Outage }) {
		return
	}
	for deadline := time.Now().Add(wait); ; {
		response, ok := e.longPoll(r.Context(), from, limit, time.Until(deadline))
		if ok {
			writeJSON(w, response)
			return
		}
		if !e.applyOutage(w, r, func(f Faults) Outage { return f.Outage }) {
			return
		}
		// The outage has ended before it could be applied.
	}
}

// longPoll waits for a record at offset from or later. It returns false if an outage
// started during the wait.
func (e *Endpoint) longPoll(ctx context.Context, from uint64, limit int, wait time.Duration) (platformapi.ReadResponse, bool) {
	waitTimer := time.NewTimer(wait)
	defer waitTimer.Stop()
	for {
		faults, changed := e.currentFaults()
		if faults.Outage != OutageNone {
			return platformapi.ReadResponse{}, false
		}
		maxRecords := limit
		if faults.ReadLimit > 0 {
			maxRecords = min(limit, faults.ReadLimit)
		}
		response, appended := e.platform.readRecords(from, maxRecords, faults.ReadLagRecords)
		if len(response.Entries) > 0 {
			response.Entries = limitBytes(response.Entries)
			return response, true
		}
		select {
		case <-appended:
		case <-changed:
		case <-waitTimer.C:
			return response, true
		case <-ctx.Done():
			return response, true
		}
	}
}

// limitBytes returns the first entries up to MaxReadBytes, but at least one.
func limitBytes(entries []platformapi.LogEntry) []platformapi.LogEntry {
	total := 0
	for i, entry := range entries {
		total += len(entry.Data)
		if i > 0 && total > MaxReadBytes {
			return entries[:i]
		}
	}
	return entries
}

func (e *Endpoint) serveHosts(w http.ResponseWriter, r *http.Request) {
	if !e.applyOutage(w, r, func(f Faults) Outage { return f.HostListOutage }) {
		return
	}
	writeJSON(w, e.platform.Hosts())
}

// applyOutage applies the outage that outageOf selects. It returns true if there is
// none or it has ended, and false if the request was answered with an error. For
// OutageHang it blocks until the outage ends. It panics with http.ErrAbortHandler, which
// closes the connection, for OutageAbort and if the client cancels the request.
func (e *Endpoint) applyOutage(w http.ResponseWriter, r *http.Request, outageOf func(Faults) Outage) bool {
	for {
		faults, changed := e.currentFaults()
		switch outageOf(faults) {
		case OutageNone:
			return true
		case OutageRefuse:
			http.Error(w, "platform is unavailable (injected outage)", http.StatusServiceUnavailable)
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

func parseReadParameters(r *http.Request) (from uint64, limit int, wait time.Duration, err error) {
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

func writeJSON(w http.ResponseWriter, body any) {
	w.Header().Set("Content-Type", "application/json")
	// A write error means that the client has disconnected.
	_ = json.NewEncoder(w).Encode(body)
}

func sleepContext(ctx context.Context, d time.Duration) {
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
