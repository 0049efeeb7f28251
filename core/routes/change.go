package routes

import (
	"cmp"
	"encoding/binary"
	"fmt"
	"maps"
	"reflect"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Change is the difference between two configurations. The zero Config as its base makes it a
// whole configuration.
type Change struct {
	Version uint64
	// Routes are the routes of the result, in their order.
	Routes []Segment
	// Services and Limits are nil if they are those of the base.
	Services map[string]Service `json:",omitempty"`
	Limits   *Limits            `json:",omitempty"`
}

// Segment stands for Count routes of the base, from the index From on, followed by New.
type Segment struct {
	From, Count int
	New         []Route `json:",omitempty"`
}

// InvalidChangeError reports a change that does not fit the configuration to which it is applied.
type InvalidChangeError struct {
	Version     uint64 // of the result
	BaseVersion uint64
	Problem     string
}

// Error implements error.
func (e *InvalidChangeError) Error() string {
	return fmt.Sprintf("change to configuration version %d does not fit version %d: %s", e.Version, e.BaseVersion, e.Problem)
}

// Diff returns the change that makes base into c.
func Diff(base, c Config) Change {
	change := Change{Version: c.Version}
	indexes := make(map[string]int, len(base.Routes))
	for i, r := range base.Routes {
		indexes[r.Name] = i
	}
	next := 0 // index in base after the segment's last route
	var segment Segment
	for _, r := range c.Routes {
		if len(segment.New) == 0 && next < len(base.Routes) && reflect.DeepEqual(base.Routes[next], r) {
			segment.Count++
			next++
			continue
		}
		if i, ok := indexes[r.Name]; ok && reflect.DeepEqual(base.Routes[i], r) {
			change.Routes = append(change.Routes, segment)
			segment, next = Segment{From: i, Count: 1}, i+1
			continue
		}
		segment.New = append(segment.New, r)
	}
	change.Routes = append(change.Routes, segment)
	if !maps.Equal(base.Services, c.Services) {
		change.Services = c.Services
	}
	if base.Limits != c.Limits {
		change.Limits = &c.Limits
	}
	return change
}

// Apply returns the configuration that the change makes of base, which it does not modify. The
// error is an *InvalidChangeError.
func (c Change) Apply(base Config) (Config, error) {
	result := Config{Version: c.Version, Services: base.Services, Limits: base.Limits}
	size := 0
	for _, s := range c.Routes {
		if s.From < 0 || s.Count < 0 || s.From > len(base.Routes) || s.Count > len(base.Routes)-s.From {
			return Config{}, &InvalidChangeError{Version: c.Version, BaseVersion: base.Version, Problem: fmt.Sprintf("it takes over %d routes from %d on, of %d", s.Count, s.From, len(base.Routes))}
		}
		if size += s.Count + len(s.New); size > maxChangedRoutes {
			return Config{}, &InvalidChangeError{Version: c.Version, BaseVersion: base.Version, Problem: fmt.Sprintf("it has more than %d routes", maxChangedRoutes)}
		}
	}
	result.Routes = make([]Route, 0, size)
	for _, s := range c.Routes {
		result.Routes = append(append(result.Routes, base.Routes[s.From:s.From+s.Count]...), s.New...)
	}
	if c.Services != nil {
		result.Services = c.Services
	}
	if c.Limits != nil {
		result.Limits = *c.Limits
	}
	return result, nil
}

// maxChangedRoutes limits the routes of a result, since a short change can name those of its base
// again and again.
const maxChangedRoutes = 1 << 20

// Digest returns a hash of the whole configuration, the same at all hosts.
func (c *Config) Digest() uint64 {
	d := digest{Digest: xxhash.New()}
	d.numbers(c.Version, uint64(len(c.Routes)))
	for i := range c.Routes {
		r := &c.Routes[i]
		d.texts(r.Name, r.Host, r.Prefix)
		d.flags(r.Idempotent, r.Download)
		d.times(r.Timeout, r.TargetLatency)
		d.numbers(uint64(r.Rank), uint64(r.Attempts), uint64(len(r.Targets)))
		for _, t := range r.Targets {
			d.texts(t.Service)
			d.numbers(uint64(t.Weight))
		}
	}
	for _, name := range slices.SortedFunc(maps.Keys(c.Services), cmp.Compare[string]) {
		s := c.Services[name]
		d.texts(name, s.Name, s.HealthPath)
		d.flags(s.Keyed)
		d.times(s.WarmupTime)
		d.numbers(uint64(s.MaxConns))
		d.texts(fmt.Sprint(s.WarmupRate))
	}
	d.numbers(uint64(c.Limits.HeaderBytes), uint64(c.Limits.BodyBytes))
	d.times(c.Limits.HeaderTimeout, c.Limits.IdleTimeout)
	return d.Sum64()
}

// digest writes values so that no two sequences of them are written alike.
type digest struct{ *xxhash.Digest }

func (d digest) numbers(list ...uint64) {
	for _, n := range list {
		var b [8]byte
		binary.BigEndian.PutUint64(b[:], n)
		_, _ = d.Write(b[:])
	}
}

func (d digest) texts(list ...string) {
	for _, text := range list {
		d.numbers(uint64(len(text)))
		_, _ = d.WriteString(text)
	}
}

func (d digest) times(list ...time.Duration) {
	for _, t := range list {
		d.numbers(uint64(t))
	}
}

func (d digest) flags(list ...bool) {
	for _, set := range list {
		n := uint64(0)
		if set {
			n = 1
		}
		d.numbers(n)
	}
}
