// Package platform is an in-memory fake of the platform's log service and host list
// for tests and local deployments, with injected faults. A Platform has several
// endpoints, each with its own faults, so that a test can isolate one availability
// zone.
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
	*Endpoint // the default endpoint, for tests that need only one

	now func() time.Time

	mu            sync.Mutex
	oldestOffset  uint64 // oldest retained offset, head+1 if none is retained
	records       []storedRecord
	appended      chan struct{} // closed and replaced by each append
	retention     time.Duration // 0 for unlimited
	hostLists     []publishedHostList
	hostListDelay time.Duration
	hostOverrides map[string]HostOverride
	endpoints     map[string]*Endpoint
}

type storedRecord struct {
	appendedAt time.Time
	data       []byte
}

type publishedHostList struct {
	publishedAt time.Time
	hosts       []platformapi.Host
}

// HostOverride replaces the entry of one host in the host list.
type HostOverride struct {
	Omitted bool // the host is not listed
	State   platformapi.HostState
}

// New returns an empty platform. now may be nil for the system clock.
func New(now func() time.Time) *Platform {
	if now == nil {
		now = time.Now
	}
	p := &Platform{
		now:           now,
		oldestOffset:  1,
		appended:      make(chan struct{}),
		hostOverrides: map[string]HostOverride{},
		endpoints:     map[string]*Endpoint{},
	}
	p.Endpoint = newEndpoint(p)
	return p
}

// EndpointFor returns the endpoint with the given name, for example that of an
// availability zone. It creates the endpoint on first use.
func (p *Platform) EndpointFor(name string) *Endpoint {
	p.mu.Lock()
	defer p.mu.Unlock()
	endpoint := p.endpoints[name]
	if endpoint == nil {
		endpoint = newEndpoint(p)
		p.endpoints[name] = endpoint
	}
	return endpoint
}

// Start serves the default endpoint on addr.
func (p *Platform) Start(addr string) (*listen.Server, error) {
	return listen.Start(addr, p, listen.Options{})
}

// Append adds a record directly, without applying any faults, and returns its offset.
func (p *Platform) Append(data []byte) uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.records = append(p.records, storedRecord{appendedAt: p.now(), data: slices.Clone(data)})
	close(p.appended)
	p.appended = make(chan struct{})
	return p.headLocked()
}

// Head returns the offset of the newest record, 0 if none was ever appended.
func (p *Platform) Head() uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.headLocked()
}

// Records returns the retained records at offset from and later.
func (p *Platform) Records(from uint64) []platformapi.LogEntry {
	response, _ := p.readRecords(from, 0, 0)
	return response.Entries
}

func (p *Platform) headLocked() uint64 {
	return p.oldestOffset + uint64(len(p.records)) - 1
}

// readRecords returns at most limit records (0 for no limit) at offset from and
// later, without the newest lagRecords, and a channel that the next append closes.
func (p *Platform) readRecords(from uint64, limit int, lagRecords uint64) (platformapi.ReadResponse, <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.applyRetentionLocked()
	response := platformapi.ReadResponse{Oldest: p.oldestOffset, Entries: []platformapi.LogEntry{}}
	end := p.headLocked() + 1 // exclusive
	end -= min(lagRecords, end)
	for offset := max(from, p.oldestOffset); offset < end; offset++ {
		if limit > 0 && len(response.Entries) == limit {
			break
		}
		data := p.records[offset-p.oldestOffset].data
		response.Entries = append(response.Entries, platformapi.LogEntry{Offset: offset, Data: data})
	}
	return response, p.appended
}

// DropRecordsBelow removes the records before an offset, as retention does.
func (p *Platform) DropRecordsBelow(offset uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.dropRecordsBelowLocked(offset)
}

// DropRecordsOlderThan removes the records that were appended longer ago than age.
func (p *Platform) DropRecordsOlderThan(age time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.dropRecordsOlderThanLocked(age)
}

// SetRetention sets the retention time, which each read applies; 0 for unlimited.
func (p *Platform) SetRetention(retention time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.retention = retention
}

func (p *Platform) applyRetentionLocked() {
	if p.retention > 0 {
		p.dropRecordsOlderThanLocked(p.retention)
	}
}

func (p *Platform) dropRecordsOlderThanLocked(age time.Duration) {
	cutoff := p.now().Add(-age)
	firstKept := slices.IndexFunc(p.records, func(e storedRecord) bool { return !e.appendedAt.Before(cutoff) })
	if firstKept < 0 {
		firstKept = len(p.records)
	}
	p.dropRecordsBelowLocked(p.oldestOffset + uint64(firstKept))
}

func (p *Platform) dropRecordsBelowLocked(offset uint64) {
	offset = min(offset, p.headLocked()+1)
	if offset <= p.oldestOffset {
		return
	}
	p.records = slices.Clone(p.records[offset-p.oldestOffset:])
	p.oldestOffset = offset
}

// SetHosts publishes a host list, which is visible after the host list delay.
func (p *Platform) SetHosts(hosts ...platformapi.Host) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.hostLists = append(p.hostLists, publishedHostList{publishedAt: p.now(), hosts: slices.Clone(hosts)})
}

// SetHostListDelay sets the time until a published host list becomes visible.
func (p *Platform) SetHostListDelay(delay time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.hostListDelay = delay
}

// OverrideHost replaces the entry of one host in the visible host list. A host that
// the published list does not contain is added.
func (p *Platform) OverrideHost(name string, override HostOverride) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.hostOverrides[name] = override
}

// ClearHostOverrides removes the overrides of all hosts.
func (p *Platform) ClearHostOverrides() {
	p.mu.Lock()
	defer p.mu.Unlock()
	clear(p.hostOverrides)
}

// Hosts returns the visible host list with its overrides.
func (p *Platform) Hosts() platformapi.HostList {
	p.mu.Lock()
	defer p.mu.Unlock()
	latestVisible := p.now().Add(-p.hostListDelay)
	list := platformapi.HostList{Hosts: []platformapi.Host{}}
	listed := map[string]bool{}
	for _, published := range slices.Backward(p.hostLists) {
		if published.publishedAt.After(latestVisible) {
			continue
		}
		for _, host := range published.hosts {
			listed[host.Name] = true
			list.Hosts = appendHost(list.Hosts, host, p.hostOverrides)
		}
		break
	}
	for name := range p.hostOverrides {
		if !listed[name] {
			list.Hosts = appendHost(list.Hosts, platformapi.Host{Name: name}, p.hostOverrides)
		}
	}
	return list
}

// appendHost appends a host after applying its override, if any.
func appendHost(hosts []platformapi.Host, host platformapi.Host, overrides map[string]HostOverride) []platformapi.Host {
	if override, ok := overrides[host.Name]; ok {
		if override.Omitted {
			return hosts
		}
		host.State = override.State
	}
	return append(hosts, host)
}
