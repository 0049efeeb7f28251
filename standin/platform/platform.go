// Package platform is an in-memory stand-in for the platform's log service and
// host list, with switches for the faults that the real ones show. One Platform
// can be reached through several gates, each with faults of its own, so that a
// test can cut one availability zone off.
package platform

import (
	"slices"
	"sync"
	"time"

	"parsleyrelay.example/api/platformapi"
	"parsleyrelay.example/standin/listen"
)

// Platform holds the log and the host list.
type Platform struct {
	*Endpoint // the gate without a name, for tests that need only one

	now func() time.Time

	mu        sync.Mutex
	oldest    uint64 // oldest retained offset, head+1 if none is retained
	entries   []storedEntry
	grown     chan struct{} // closed and replaced at each append
	retention time.Duration // 0 keeps everything
	hosts     []publishedHosts
	hostLag   time.Duration
	wrong     map[string]HostOverride
	gates     map[string]*Endpoint
}

type storedEntry struct {
	at   time.Time
	data []byte
}

type publishedHosts struct {
	at    time.Time
	hosts []platformapi.Host
}

// HostOverride replaces what the host list says of one host.
type HostOverride struct {
	Omitted bool // the host is left out
	State   platformapi.HostState
}

// New returns an empty platform. now may be nil for the system clock.
func New(now func() time.Time) *Platform {
	if now == nil {
		now = time.Now
	}
	p := &Platform{
		now:    now,
		oldest: 1,
		grown:  make(chan struct{}),
		wrong:  map[string]HostOverride{},
		gates:  map[string]*Endpoint{},
	}
	p.Endpoint = newGate(p)
	return p
}

// EndpointFor returns the gate of that name, for example of an availability zone. It
// creates the gate on first use.
func (p *Platform) EndpointFor(name string) *Endpoint {
	p.mu.Lock()
	defer p.mu.Unlock()
	gate := p.gates[name]
	if gate == nil {
		gate = newGate(p)
		p.gates[name] = gate
	}
	return gate
}

// Start serves the platform's first gate on addr.
func (p *Platform) Start(addr string) (*listen.Server, error) {
	return listen.Start(addr, p, listen.Options{})
}

// Append adds a record directly, past all gates and faults, and returns its offset.
func (p *Platform) Append(data []byte) uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.entries = append(p.entries, storedEntry{at: p.now(), data: slices.Clone(data)})
	close(p.grown)
	p.grown = make(chan struct{})
	return p.headLocked()
}

// Head returns the offset of the newest record, 0 if there was none.
func (p *Platform) Head() uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.headLocked()
}

// Entries returns the retained records from an offset on.
func (p *Platform) Entries(from uint64) []platformapi.LogEntry {
	response, _ := p.read(from, 0, 0)
	return response.Entries
}

func (p *Platform) headLocked() uint64 {
	return p.oldest + uint64(len(p.entries)) - 1
}

// read returns at most limit records (0 for no limit) from an offset up to the
// head minus lag, and a channel that is closed at the next append.
func (p *Platform) read(from uint64, limit int, lag uint64) (platformapi.ReadResponse, <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.expireLocked()
	response := platformapi.ReadResponse{Oldest: p.oldest, Entries: []platformapi.LogEntry{}}
	end := p.headLocked() + 1 // exclusive
	end -= min(lag, end)
	for offset := max(from, p.oldest); offset < end; offset++ {
		if limit > 0 && len(response.Entries) == limit {
			break
		}
		data := p.entries[offset-p.oldest].data
		response.Entries = append(response.Entries, platformapi.LogEntry{Offset: offset, Data: data})
	}
	return response, p.grown
}

// DropBelow drops the records below an offset, as retention does.
func (p *Platform) DropBelow(offset uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.dropBelowLocked(offset)
}

// DropOlderThan drops the records that were appended longer ago than age.
func (p *Platform) DropOlderThan(age time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.dropOlderLocked(age)
}

// SetRetention keeps records for that long from now on; 0 keeps them for ever.
func (p *Platform) SetRetention(age time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.retention = age
}

func (p *Platform) expireLocked() {
	if p.retention > 0 {
		p.dropOlderLocked(p.retention)
	}
}

func (p *Platform) dropOlderLocked(age time.Duration) {
	limit := p.now().Add(-age)
	keep := slices.IndexFunc(p.entries, func(e storedEntry) bool { return !e.at.Before(limit) })
	if keep < 0 {
		keep = len(p.entries)
	}
	p.dropBelowLocked(p.oldest + uint64(keep))
}

func (p *Platform) dropBelowLocked(offset uint64) {
	offset = min(offset, p.headLocked()+1)
	if offset <= p.oldest {
		return
	}
	p.entries = slices.Clone(p.entries[offset-p.oldest:])
	p.oldest = offset
}

// SetHosts publishes a host list; readers see it after the lag.
func (p *Platform) SetHosts(hosts ...platformapi.Host) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.hosts = append(p.hosts, publishedHosts{at: p.now(), hosts: slices.Clone(hosts)})
}

// SetHostListDelay sets how old the host list is that readers see.
func (p *Platform) SetHostListDelay(lag time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.hostLag = lag
}

// OverrideHost makes the host list say something else of one host; a host that
// is in no published list is added.
func (p *Platform) OverrideHost(name string, override HostOverride) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.wrong[name] = override
}

// ClearHostOverrides ends all wrong entries of the host list.
func (p *Platform) ClearHostOverrides() {
	p.mu.Lock()
	defer p.mu.Unlock()
	clear(p.wrong)
}

// Hosts returns the list that readers see now.
func (p *Platform) Hosts() platformapi.HostList {
	p.mu.Lock()
	defer p.mu.Unlock()
	visible := p.now().Add(-p.hostLag)
	list := platformapi.HostList{Hosts: []platformapi.Host{}}
	added := map[string]bool{}
	for _, published := range slices.Backward(p.hosts) {
		if published.at.After(visible) {
			continue
		}
		for _, host := range published.hosts {
			added[host.Name] = true
			list.Hosts = appendHost(list.Hosts, host, p.wrong)
		}
		break
	}
	for name := range p.wrong {
		if !added[name] {
			list.Hosts = appendHost(list.Hosts, platformapi.Host{Name: name}, p.wrong)
		}
	}
	return list
}

func appendHost(hosts []platformapi.Host, host platformapi.Host, wrong map[string]HostOverride) []platformapi.Host {
	if override, ok := wrong[host.Name]; ok {
		if override.Omitted {
			return hosts
		}
		host.State = override.State
	}
	return append(hosts, host)
}
