package manifest

import (
	"cmp"
	"maps"
	"slices"
	"strings"

	"parsleyrelay.example/core/finding"
	"parsleyrelay.example/core/resource"
)

// CheckConsistency reports what is wrong with documents although each of them is valid and all
// references exist: routes that can never match, limits that contradict each other, and
// changes that the log refuses. inForce are the resources that the documents would be applied
// to; those that no document replaces stay in force.
func CheckConsistency(docs []*Document, inForce map[resource.Key]resource.Resource) finding.List {
	c := &consistency{all: maps.Clone(inForce)}
	if c.all == nil {
		c.all = map[resource.Key]resource.Resource{}
	}
	for _, d := range docs {
		c.all[d.Resource.Key()] = d.Resource
	}
	for _, d := range docs {
		if old, ok := inForce[d.Resource.Key()]; ok {
			c.checkChange(d, old)
		}
		switch spec := d.Resource.Spec.(type) {
		case *resource.Rank:
			c.checkRank(d, spec)
		case *resource.Service:
			c.checkService(d, spec)
		case *resource.Server:
			c.checkServer(d, spec)
		case *resource.Route:
			c.checkRoute(d, spec)
		}
	}
	return c.findings
}

type consistency struct {
	all      map[resource.Key]resource.Resource // after the documents are applied
	findings finding.List
}

// others returns the other resources of the kind of a document, by name.
func others[S resource.Spec](c *consistency, d *Document) (list []resource.Resource, specs []S) {
	for _, r := range c.all {
		if _, ok := r.Spec.(S); ok && r.Key() != d.Resource.Key() {
			list = append(list, r)
		}
	}
	slices.SortFunc(list, func(a, b resource.Resource) int { return strings.Compare(a.Name, b.Name) })
	for _, r := range list {
		specs = append(specs, r.Spec.(S))
	}
	return list, specs
}

func (c *consistency) checkChange(d *Document, old resource.Resource) {
	if d.Resource.Version != 0 && old.Version != 0 && d.Resource.Version != old.Version {
		c.findings.Add(d.Location("metadata.version"), "expects version %d, but version %d is in force", d.Resource.Version, old.Version)
	}
	before, ok := old.Spec.(*resource.Server)
	if !ok {
		return
	}
	after := d.Resource.Spec.(*resource.Server)
	if before.Service != after.Service {
		c.findings.Add(d.Location("spec.service"), "cannot change; %q is in force", before.Service)
	}
	if before.Zone != after.Zone {
		c.findings.Add(d.Location("spec.zone"), "cannot change; %q is in force", before.Zone)
	}
}

func (c *consistency) checkRank(d *Document, spec *resource.Rank) {
	queue, deadline := cmp.Or(spec.MaxQueueMS, resource.DefaultMaxQueueMS), cmp.Or(spec.DefaultDeadlineMS, resource.DefaultRankDeadlineMS)
	if queue < deadline {
		return
	}
	path := "spec.maxQueueMs"
	if spec.MaxQueueMS == 0 {
		path = "spec.defaultDeadlineMs"
	}
	c.findings.Add(d.Location(path), "a request may wait in the queue for %d ms, but its default deadline is %d ms", queue, deadline)
}

func (c *consistency) checkService(d *Document, spec *resource.Service) {
	sum, ranks := 0, make([]*resource.Rank, 0, len(spec.Ranks))
	for _, name := range spec.Ranks {
		if rank, ok := c.all[resource.Key{Kind: resource.KindRank, Name: name}].Spec.(*resource.Rank); ok {
			ranks = append(ranks, rank)
		}
	}
	slices.SortStableFunc(ranks, func(a, b *resource.Rank) int { return cmp.Compare(a.Level, b.Level) })
	for i, rank := range ranks {
		sum += max(0, cmp.Or(rank.FloorPercent, resource.DefaultFloorPercent(i, len(ranks))))
	}
	if sum > 100 {
		c.findings.Add(d.Location("spec.ranks"), "the floors of the ranks reserve %d%% of the slots of a server", sum)
	}
	servers, usable := 0, 0
	_, specs := others[*resource.Server](c, d)
	for _, s := range specs {
		if s.Service != d.Resource.Name {
			continue
		}
		servers++
		if !s.Drain && !s.Gone {
			usable++
		}
	}
	switch {
	case servers > 0 && usable == 0:
		c.findings.Add(d.Location(""), "all %d servers are drained or gone, so that no request can be served", servers)
	case usable > spec.EffectiveSlices():
		c.findings.Add(d.Location("spec.slices"), "%d slices leave some of the %d servers without keys", spec.EffectiveSlices(), usable)
	}
}

func (c *consistency) checkServer(d *Document, spec *resource.Server) {
	list, specs := others[*resource.Server](c, d)
	for i, other := range specs {
		if other.Address == spec.Address && !other.Gone && !spec.Gone {
			c.findings.Add(d.Location("spec.address"), "is also the address of %s", list[i].Key())
		}
	}
}

func (c *consistency) checkRoute(d *Document, spec *resource.Route) {
	// Prefixes are compared with the decoded path, which has none of these characters unless
	// a caller escapes them.
	if i := strings.IndexAny(spec.PathPrefix, "%?# "); i >= 0 {
		c.findings.Add(d.Location("spec.pathPrefix"), "%q never matches: it is compared with the unescaped path without its query, and holds %q", spec.PathPrefix, spec.PathPrefix[i])
	}
	list, specs := others[*resource.Route](c, d)
	for i, other := range specs {
		if other.PathPrefix == spec.PathPrefix {
			c.findings.Add(d.Location("spec.pathPrefix"), "%q never matches: %s has it already", spec.PathPrefix, list[i].Key())
		}
	}
	if service, ok := c.all[resource.Key{Kind: resource.KindService, Name: spec.Service}].Spec.(*resource.Service); ok && spec.Rank != "" && !slices.Contains(service.Ranks, spec.Rank) {
		c.findings.Add(d.Location("spec.rank"), "Service/%s does not list rank %q", spec.Service, spec.Rank)
	}
}
