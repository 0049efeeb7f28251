package state

import (
	"slices"

	"parsleyrelay.example/core/record"
	"parsleyrelay.example/core/resource"
)

func (s *State) putResource(entry record.LogEntry, b record.ResourcePut) ApplyResult {
	if b.Resource.Spec == nil {
		return refused("resource %q has no spec", b.Resource.Name)
	}
	key := b.Resource.Key()
	id := effectiveChangeID(entry.Record, b.ChangeID)
	if out, ok := s.checkVersionOrCopy(key, b.ExpectedVersion, id); !ok {
		return out
	}
	if findings := b.Resource.Validate(); len(findings) > 0 {
		return refused("%s", findings.Error())
	}
	if out, ok := s.checkReferences(b.Resource); !ok {
		return out
	}
	r := b.Resource
	r.Version = entry.Offset
	ids := changeIDs{Last: id, Creation: s.changes[key].Creation}
	if b.ExpectedVersion == 0 {
		ids.Creation = id
	}
	s.resources[key] = r
	s.changes[key] = ids
	return ApplyResult{TookEffect: true, CurrentResource: &r}
}

// effectiveChangeID returns the id that all copies of a change share: the one that the
// change states or else that of its record.
func effectiveChangeID(r record.Record, statedID string) string {
	if statedID == "" {
		return r.ID
	}
	return statedID
}

// checkVersionOrCopy returns true if a change is new and expects the current version of the
// resource. Otherwise the change must not be applied, and the result of its record is
// returned: it is refused if it expects another version, but counts as having taken effect
// if it is a copy of the last accepted change or of the change that created a resource
// which was deleted since. An operator whose response was lost can thus repeat the change.
func (s *State) checkVersionOrCopy(key resource.Key, expected uint64, changeID string) (ApplyResult, bool) {
	current, exists := s.resources[key]
	if !exists && s.removals.creationChanges[changeID] {
		return ApplyResult{TookEffect: true}, false
	}
	if current.Version == expected {
		return ApplyResult{}, true
	}
	if changeID != "" && s.changes[key].Last == changeID {
		out := ApplyResult{TookEffect: true}
		if exists {
			out.CurrentResource = &current
		}
		return out, false
	}
	out := refused("%s has version %d; the change expects version %d", key, current.Version, expected)
	if exists {
		out.CurrentResource = &current
	}
	return out, false
}

// checkReferences refuses a resource that refers to one that does not exist, or that
// changes a field which must stay the same.
func (s *State) checkReferences(r resource.Resource) (ApplyResult, bool) {
	qualifiedName := r.Key().String()
	switch spec := r.Spec.(type) {
	case *resource.Service:
		if old, ok := s.Service(r.Name); ok && s.tables[r.Name].Len() > 0 && old.EffectiveScope() != spec.EffectiveScope() {
			// The witnesses of the old scope have confirmed nothing for the new one, so
			// a daemon that has not applied the change could continue under its lease
			// from the old scope.
			return refused("%s: spec.scope cannot change while the service has slices", qualifiedName), false
		}
		for _, rank := range spec.Ranks {
			if _, ok := s.Rank(rank); !ok {
				return refused("%s: spec.ranks: Rank/%s does not exist", qualifiedName, rank), false
			}
		}
		// Repeats the check above: daemons that know only the old scope would keep
		// leases from its witnesses.
		if old, ok := s.Service(r.Name); ok && s.tables[r.Name].Len() > 0 && old.EffectiveScope() != spec.EffectiveScope() {
			return refused("%s: spec.scope cannot change once the service has slices", qualifiedName), false
		}
	case *resource.Server:
		if _, ok := s.Service(spec.Service); !ok {
			return refused("%s: spec.service: Service/%s does not exist", qualifiedName, spec.Service), false
		}
		if old, ok := s.Server(r.Name); ok && (old.Service != spec.Service || old.Zone != spec.Zone) {
			return refused("%s: spec.service and spec.zone cannot change", qualifiedName), false
		}
	case *resource.Route:
		return s.checkRoute(r.Name, spec)
	}
	return ApplyResult{}, true
}

// checkRoute also refuses a path prefix that another route has: which route matches a
// request would depend on the order in which a daemon tries them.
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

func (s *State) deleteResource(entry record.LogEntry, b record.ResourceDelete) ApplyResult {
	id := effectiveChangeID(entry.Record, b.ChangeID)
	if _, exists := s.resources[b.Key]; !exists {
		if s.changes[b.Key].Last == id && id != "" {
			return ApplyResult{TookEffect: true}
		}
		return refused("%s does not exist", b.Key)
	}
	if out, ok := s.checkVersionOrCopy(b.Key, b.ExpectedVersion, id); !ok {
		return out
	}
	if out, ok := s.checkDeletable(b.Key); !ok {
		return out
	}
	delete(s.resources, b.Key)
	s.removals.add(removal{Offset: entry.Offset, Key: b.Key, CreationChange: s.changes[b.Key].Creation})
	s.changes[b.Key] = changeIDs{Last: id}
	if b.Key.Kind == resource.KindService {
		delete(s.tables, b.Key.Name)
	}
	return ApplyResult{TookEffect: true}
}

// checkDeletable refuses to delete a server that owns slices or a resource that
// others refer to.
func (s *State) checkDeletable(key resource.Key) (ApplyResult, bool) {
	if key.Kind == resource.KindServer && s.OwnedSliceCount(key.Name) > 0 {
		return refused("%s owns %d slices; set spec.drain: true and delete it once it owns none", key, s.OwnedSliceCount(key.Name)), false
	}
	var users []resource.Key
	for other, r := range s.resources {
		if references(r.Spec, key) {
			users = append(users, other)
		}
	}
	if len(users) > 0 {
		return refused("%s is used by %s", key, slices.MinFunc(users, compareKeys)), false
	}
	return ApplyResult{}, true
}

func references(spec resource.Spec, key resource.Key) bool {
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
