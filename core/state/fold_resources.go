package state

import (
	"parsleyrelay.example/core/record"
	"parsleyrelay.example/core/resource"
)

func (s *State) putResource(offset uint64, b record.ResourcePut) Outcome {
	key := b.Resource.Key()
	if out, ok := s.checkVersion(key, b.ExpectedVersion, b.ChangeID); !ok {
		return out
	}
	if findings := b.Resource.Validate(); len(findings) > 0 {
		return refused("%s", findings.Error())
	}
	if out, ok := s.checkReferences(b.Resource); !ok {
		return out
	}
	r := b.Resource
	r.Version = offset
	s.resources[key] = r
	s.changes[key] = b.ChangeID
	return Outcome{Applied: true, Current: &r}
}

// checkVersion refuses a change that was made against another version. A repeat
// of the change that won counts as applied, so that a lost answer followed by
// the same change is one change.
func (s *State) checkVersion(key resource.Key, expected uint64, changeID string) (Outcome, bool) {
	current, exists := s.resources[key]
	if current.Version == expected {
		return Outcome{}, true
	}
	if changeID != "" && s.changes[key] == changeID {
		out := Outcome{Applied: true}
		if exists {
			out.Current = &current
		}
		return out, false
	}
	out := refused("%s has version %d, the change expects version %d", key, current.Version, expected)
	if exists {
		out.Current = &current
	}
	return out, false
}

func (s *State) checkReferences(r resource.Resource) (Outcome, bool) {
	place := r.Key().String()
	switch spec := r.Spec.(type) {
	case *resource.Service:
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
		if _, ok := s.Service(spec.Service); !ok {
			return refused("%s: spec.service: Service/%s does not exist", place, spec.Service), false
		}
	}
	return Outcome{}, true
}

func (s *State) deleteResource(b record.ResourceDelete) Outcome {
	if _, exists := s.resources[b.Key]; !exists {
		if s.changes[b.Key] == b.ChangeID && b.ChangeID != "" {
			return Outcome{Applied: true}
		}
		return refused("%s does not exist", b.Key)
	}
	if out, ok := s.checkVersion(b.Key, b.ExpectedVersion, b.ChangeID); !ok {
		return out
	}
	if out, ok := s.checkUnused(b.Key); !ok {
		return out
	}
	delete(s.resources, b.Key)
	s.changes[b.Key] = b.ChangeID
	if b.Key.Kind == resource.KindService {
		delete(s.tables, b.Key.Name)
	}
	return Outcome{Applied: true}
}

func (s *State) checkUnused(key resource.Key) (Outcome, bool) {
	if key.Kind == resource.KindServer && s.owned[key.Name] > 0 {
		return refused("%s owns %d slices; set spec.drain: true first", key, s.owned[key.Name]), false
	}
	for other, r := range s.resources {
		if refersTo(r.Spec, key) {
			return refused("%s is used by %s", key, other), false
		}
	}
	return Outcome{}, true
}

func refersTo(spec resource.Spec, key resource.Key) bool {
	switch spec := spec.(type) {
	case *resource.Service:
		if key.Kind != resource.KindRank {
			return false
		}
		for _, rank := range spec.Ranks {
			if rank == key.Name {
				return true
			}
		}
	case *resource.Server:
		return key.Kind == resource.KindService && key.Name == spec.Service
	case *resource.Route:
		return key.Kind == resource.KindService && key.Name == spec.Service
	}
	return false
}
