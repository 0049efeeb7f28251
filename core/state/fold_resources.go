package state

import (
	"slices"

	"parsleyrelay.example/core/record"
	"parsleyrelay.example/core/resource"
)

func (s *State) putResource(p record.LogEntry, b record.ResourcePut) ApplyResult {
	if b.Resource.Spec == nil {
		return refused("resource %q has no spec", b.Resource.Name)
	}
	key := b.Resource.Key()
	id := changeID(p.Record, b.ChangeID)
	if out, ok := s.checkVersion(key, b.ExpectedVersion, id); !ok {
		return out
	}
	if findings := b.Resource.Validate(); len(findings) > 0 {
		return refused("%s", findings.Error())
	}
	if out, ok := s.checkReferences(b.Resource); !ok {
		return out
	}
	r := b.Resource
	r.Version = p.Offset
	ids := changeIDs{Last: id, Created: s.changes[key].Created}
	if b.ExpectedVersion == 0 {
		ids.Created = id
	}
	s.resources[key] = r
	s.changes[key] = ids
	return ApplyResult{Applied: true, CurrentResource: &r}
}

// changeID returns the id by which copies of a change are recognised.
func changeID(r record.Record, id string) string {
	if id == "" {
		return r.ID
	}
	return id
}

// checkVersion refuses a change that was made against another version. A repeat
// of the change that won counts as applied, so that a lost answer followed by
// the same change is one change. This holds for a resource that was deleted, too.
func (s *State) checkVersion(key resource.Key, expected uint64, changeID string) (ApplyResult, bool) {
	current, exists := s.resources[key]
	if !exists && s.departed.changes[changeID] {
		return ApplyResult{Applied: true}, false
	}
	if current.Version == expected {
		return ApplyResult{}, true
	}
	if changeID != "" && s.changes[key].Last == changeID {
		out := ApplyResult{Applied: true}
		if exists {
			out.CurrentResource = &current
		}
		return out, false
	}
	out := refused("%s has version %d, the change expects version %d", key, current.Version, expected)
	if exists {
		out.CurrentResource = &current
	}
	return out, false
}

func (s *State) checkReferences(r resource.Resource) (ApplyResult, bool) {
	place := r.Key().String()
	switch spec := r.Spec.(type) {
	case *resource.Service:
		if old, ok := s.Service(r.Name); ok && s.tables[r.Name].Len() > 0 && old.EffectiveScope() != spec.EffectiveScope() {
			// The witnesses of the old scope have not confirmed anything for the
			// new one, so a daemon that lags could go on under the old scope.
			return refused("%s: spec.scope cannot change while the service has slices", place), false
		}
		for _, rank := range spec.Ranks {
			if _, ok := s.Rank(rank); !ok {
				return refused("%s: spec.ranks: Rank/%s does not exist", place, rank), false
			}
		}
		// Daemons that know only the old scope would keep leases from its witnesses.
		if old, ok := s.Service(r.Name); ok && s.tables[r.Name].Len() > 0 && old.EffectiveScope() != spec.EffectiveScope() {
			return refused("%s: spec.scope cannot change once the service has slices", place), false
		}
	case *resource.Server:
		if _, ok := s.Service(spec.Service); !ok {
			return refused("%s: spec.service: Service/%s does not exist", place, spec.Service), false
		}
		if old, ok := s.Server(r.Name); ok && (old.Service != spec.Service || old.Zone != spec.Zone) {
			return refused("%s: spec.service and spec.zone cannot change", place), false
		}
	case *resource.Route:
		return s.checkRoute(r.Name, spec)
	}
	return ApplyResult{}, true
}

// checkRoute also refuses a prefix that another route has: which of the two a
// request takes would depend on the order in which a daemon looks at them.
func (s *State) checkRoute(name string, spec *resource.Route) (ApplyResult, bool) {
	if _, ok := s.Service(spec.Service); !ok {
		return refused("Route/%s: spec.service: Service/%s does not exist", name, spec.Service), false
	}
	if _, ok := s.Rank(spec.Rank); spec.Rank != "" && !ok {
		return refused("Route/%s: spec.rank: Rank/%s does not exist", name, spec.Rank), false
	}
	for _, other := range s.Resources(resource.KindRoute) {
		if route, ok := other.Spec.(*resource.Route); ok && other.Name != name && route.PathPrefix == spec.PathPrefix {
			return refused("Route/%s: spec.pathPrefix: Route/%s has %q already", name, other.Name, spec.PathPrefix), false
		}
	}
	return ApplyResult{}, true
}

func (s *State) deleteResource(p record.LogEntry, b record.ResourceDelete) ApplyResult {
	id := changeID(p.Record, b.ChangeID)
	if _, exists := s.resources[b.Key]; !exists {
		if s.changes[b.Key].Last == id && id != "" {
			return ApplyResult{Applied: true}
		}
		return refused("%s does not exist", b.Key)
	}
	if out, ok := s.checkVersion(b.Key, b.ExpectedVersion, id); !ok {
		return out
	}
	if out, ok := s.checkUnused(b.Key); !ok {
		return out
	}
	delete(s.resources, b.Key)
	s.departed.add(departure{Offset: p.Offset, Key: b.Key, Created: s.changes[b.Key].Created})
	s.changes[b.Key] = changeIDs{Last: id}
	if b.Key.Kind == resource.KindService {
		delete(s.tables, b.Key.Name)
	}
	return ApplyResult{Applied: true}
}

func (s *State) checkUnused(key resource.Key) (ApplyResult, bool) {
	if key.Kind == resource.KindServer && s.OwnedSliceCount(key.Name) > 0 {
		return refused("%s owns %d slices; set spec.drain: true first", key, s.OwnedSliceCount(key.Name)), false
	}
	var users []resource.Key
	for other, r := range s.resources {
		if refersTo(r.Spec, key) {
			users = append(users, other)
		}
	}
	if len(users) > 0 {
		return refused("%s is used by %s", key, slices.MinFunc(users, compareKeys)), false
	}
	return ApplyResult{}, true
}

func refersTo(spec resource.Spec, key resource.Key) bool {
	switch spec := spec.(type) {
	case *resource.Service:
		if key.Kind != resource.KindRank {
			return false
		}
		return slices.Contains(spec.Ranks, key.Name)
	case *resource.Server:
		return key.Kind == resource.KindService && key.Name == spec.Service
	case *resource.Route:
		return key.Kind == resource.KindService && key.Name == spec.Service || key.Kind == resource.KindRank && key.Name == spec.Rank
	}
	return false
}
