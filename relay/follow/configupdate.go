package follow

import (
	"bytes"
	"compress/flate"
	"encoding/json"
	"fmt"
	"io"
	"slices"

	"parsleyrelay.example/api/followv1"
	"parsleyrelay.example/core/event"
	"parsleyrelay.example/core/routes"
)

// maxHistoryRoutes limits the routes of all configurations that a configHistory keeps beside the
// newest one, and so its memory.
const maxHistoryRoutes = 16384

// configHistory keeps the newest configurations, so that followers get the difference from the one
// that they have: the whole one, at each change and for each of them, is more than the link of a
// leader carries.
type configHistory struct {
	configs []routes.Config // by version, the newest last
	// Of the newest one, and made when a follower needs it first.
	updates   map[uint64]*followv1.ConfigUpdate // by the version of the base
	wholeJSON []byte
}

// add adds a configuration that is newer than all others.
func (h *configHistory) add(c routes.Config) {
	h.configs, h.updates, h.wholeJSON = append(h.configs, c), map[uint64]*followv1.ConfigUpdate{}, nil
	kept := 0
	for i, former := range slices.Backward(h.configs[:len(h.configs)-1]) {
		if kept += len(former.Routes); kept > maxHistoryRoutes {
			h.configs = slices.Clone(h.configs[i+1:])
			break
		}
	}
}

// newestVersion returns the version of the newest configuration, 0 for none.
func (h *configHistory) newestVersion() uint64 {
	if len(h.configs) == 0 {
		return 0
	}
	return h.configs[len(h.configs)-1].Version
}

// whole returns the newest configuration for followers that do not accept updates.
func (h *configHistory) whole() ([]byte, error) {
	if h.wholeJSON == nil {
		data, err := json.Marshal(h.configs[len(h.configs)-1])
		if err != nil {
			return nil, fmt.Errorf("encode configuration version %d: %w", h.newestVersion(), err)
		}
		h.wholeJSON = data
	}
	return h.wholeJSON, nil
}

// update returns the update from a version to the newest one. It is whole if the history does not
// contain that version.
func (h *configHistory) update(version uint64) (*followv1.ConfigUpdate, error) {
	var base routes.Config
	if i := slices.IndexFunc(h.configs, func(c routes.Config) bool { return c.Version == version }); i >= 0 {
		base = h.configs[i]
	}
	if u, ok := h.updates[base.Version]; ok {
		return u, nil
	}
	newest := h.configs[len(h.configs)-1]
	change, err := compressChange(routes.Diff(base, newest))
	if err != nil {
		return nil, fmt.Errorf("encode the change from configuration version %d to %d: %w", base.Version, newest.Version, err)
	}
	u := &followv1.ConfigUpdate{BaseVersion: base.Version, Version: newest.Version, Digest: newest.Digest(), Change: change}
	h.updates[base.Version] = u
	return u, nil
}

func compressChange(c routes.Change) ([]byte, error) {
	var b bytes.Buffer
	w, err := flate.NewWriter(&b, flate.BestSpeed)
	if err != nil {
		return nil, err
	}
	if err := json.NewEncoder(w).Encode(c); err != nil {
		return nil, err
	}
	if err := w.Close(); err != nil {
		return nil, err
	}
	return b.Bytes(), nil
}

// decompressChange reads a change. Its length is limited as if it were not compressed.
func decompressChange(compressed []byte) (c routes.Change, err error) {
	limited := &io.LimitedReader{R: flate.NewReader(bytes.NewReader(compressed)), N: maxMessageBytes + 1}
	err = json.NewDecoder(limited).Decode(&c)
	if limited.N <= 0 {
		err = fmt.Errorf("the change has more than %d bytes", maxMessageBytes)
	}
	return c, err
}

// ConfigUpdateError reports an update that does not result in the configuration of the host that
// sent it.
type ConfigUpdateError struct {
	Version, BaseVersion uint64
	Err                  error
}

// Error implements error.
func (e *ConfigUpdateError) Error() string {
	return fmt.Sprintf("update of configuration version %d to %d: %v", e.BaseVersion, e.Version, e.Err)
}

// Unwrap returns the cause.
func (e *ConfigUpdateError) Unwrap() error { return e.Err }

// applyConfig applies what a response says of the configuration.
func (f *Follower) applyConfig(r *followv1.FollowResponse, origin Origin) (applied bool, err error) {
	applied, err = f.applyConfigUpdate(r, origin)
	if applied && r.ConfigOffset > 0 {
		f.hostState.RecordConfigOffset(r.ConfigOffset)
	}
	return applied, err
}

// applyConfigUpdate applies the configuration of a response, or its update. It returns false without an
// error if the update has another base than the configuration in force, which this host has read
// from the store meanwhile; the next poll gets another update. After an error the next poll asks
// for the whole configuration.
func (f *Follower) applyConfigUpdate(r *followv1.FollowResponse, origin Origin) (applied bool, err error) {
	if len(r.Config) > 0 {
		var c routes.Config
		if err := json.Unmarshal(r.Config, &c); err != nil {
			return false, fmt.Errorf("decode configuration from the leader: %w", err)
		}
		origin.Bytes = len(r.Config)
		f.hostState.ApplyConfig(c, origin)
	}
	u := r.ConfigUpdate
	if u == nil {
		return true, nil
	}
	base := routes.Config{}
	if u.BaseVersion > 0 {
		if base = f.hostState.Config(); base.Version != u.BaseVersion {
			return base.Version >= u.Version, nil
		}
	}
	c, err := resultOf(u, base)
	if f.wantsWholeConfig = err != nil; err != nil {
		err = &ConfigUpdateError{Version: u.Version, BaseVersion: u.BaseVersion, Err: err}
		f.journal.LogRoutineEvent(event.AdapterFailed, "operation", "apply a configuration update", "host_called", r.Host, "error", err)
		return false, err
	}
	origin.Bytes = len(u.Change)
	f.hostState.ApplyConfig(c, origin)
	return true, nil
}

// resultOf returns the configuration that an update makes of its base.
func resultOf(u *followv1.ConfigUpdate, base routes.Config) (routes.Config, error) {
	change, err := decompressChange(u.Change)
	if err != nil {
		return routes.Config{}, err
	}
	c, err := change.Apply(base)
	if err != nil {
		return routes.Config{}, err
	}
	if found := c.Digest(); found != u.Digest || c.Version != u.Version {
		return routes.Config{}, fmt.Errorf("the result, version %d, has digest %x in place of %x", c.Version, found, u.Digest)
	}
	return c, nil
}
