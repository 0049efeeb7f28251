// Package commands implements the write operations of the operator API: applying and
// deleting resources, and declaring an availability zone lost. A change is acknowledged
// only after this host has applied its record.
package commands

import (
	"context"
	"time"

	"parsleyrelay.example/api/operatorapi"
	"parsleyrelay.example/core/finding"
	"parsleyrelay.example/core/ownership"
	"parsleyrelay.example/core/record"
	"parsleyrelay.example/core/resource"
)

// DefaultApplyTimeout bounds the time from the proposal of a record until it is applied.
// The append itself takes at most 2 s; the rest allows for a log reader that lags behind.
const DefaultApplyTimeout = 5 * time.Second

// Proposer queues records for appending to the log. Propose returns false when the queue
// is full; the record was then not proposed.
type Proposer interface {
	Propose(r record.Record) bool
}

// Views returns the current view and a channel that is closed when it is replaced.
type Views interface {
	Current() (*ownership.View, <-chan struct{})
}

// Config holds the dependencies and settings of a ChangeHandler.
type Config struct {
	Proposer     Proposer
	Views        Views
	Outcomes     *OutcomeStore
	WallClock    func() time.Time // for the time shown in records
	ApplyTimeout time.Duration    // 0 means DefaultApplyTimeout
}

// ChangeHandler applies changes of resources.
type ChangeHandler struct {
	cfg Config
}

// New returns a ChangeHandler.
func New(cfg Config) *ChangeHandler {
	if cfg.ApplyTimeout == 0 {
		cfg.ApplyTimeout = DefaultApplyTimeout
	}
	return &ChangeHandler{cfg: cfg}
}

// Put creates or replaces a resource. r.Version is the expected current version.
func (c *ChangeHandler) Put(ctx context.Context, r resource.Resource, changeID string) operatorapi.Change {
	expected := r.Version
	r.Version = 0
	out := c.submitAndWait(ctx, changeID, record.ResourcePut{Resource: r, ExpectedVersion: expected, ChangeID: changeID}, &r)
	out.Warning = warningFor(r.Spec)
	return out
}

// Delete removes a resource if it has the expected version.
func (c *ChangeHandler) Delete(ctx context.Context, key resource.Key, expected uint64, changeID string) operatorapi.Change {
	return c.submitAndWait(ctx, changeID, record.ResourceDelete{Key: key, ExpectedVersion: expected, ChangeID: changeID}, nil)
}

// submitAndWait proposes the record of a change, unless its change id is already known, and
// waits until it is applied. put is the resource of a put, for findings about its
// references.
func (c *ChangeHandler) submitAndWait(ctx context.Context, id string, body record.Body, put *resource.Resource) operatorapi.Change {
	ctx, cancel := context.WithTimeout(ctx, c.cfg.ApplyTimeout)
	defer cancel()
	decided, first, unsubscribe := c.cfg.Outcomes.subscribe(id)
	defer unsubscribe()
	if first {
		if reason := c.propose(id, body); reason != "" {
			return operatorapi.Change{ChangeID: id, State: operatorapi.ChangeNotAccepted, Reason: reason}
		}
	}
	select {
	case <-decided:
	case <-ctx.Done():
		return operatorapi.Change{
			ChangeID: id, State: operatorapi.ChangeUnknown, Applied: c.appliedOffset(),
			Reason: "the change was proposed but its record was not read from the log in time; it may still take effect",
		}
	}
	out, _ := c.cfg.Outcomes.Outcome(id)
	if out.ContentDigest != contentDigest(body) {
		var findings finding.List
		findings.Add("header "+operatorapi.HeaderChangeID, "%s was already used for another change of %s at offset %d", id, out.Key, out.Offset)
		return operatorapi.Change{ChangeID: id, State: operatorapi.ChangeInvalid, Findings: toAPIFindings(findings)}
	}
	return c.awaitChangeResult(ctx, id, out, put)
}

// propose returns why the record was not proposed, or "".
func (c *ChangeHandler) propose(id string, body record.Body) string {
	view, _ := c.cfg.Views.Current()
	if !view.LogReachable {
		return "the platform log is unreachable from this host, so no change can be made durable"
	}
	// The change id is also the record id, so that repeated proposals of the change count
	// as the same proposal.
	r := record.Record{ID: id, Proposer: view.SelfIncarnation, WallTimeMS: c.cfg.WallClock().UnixMilli(), Body: body}
	if !c.cfg.Proposer.Propose(r) {
		return "too many proposals are waiting for the platform log"
	}
	return ""
}

// awaitChangeResult describes a change whose record was applied. It waits for a view that
// includes the record, until ctx ends, and checks the references of a refused put. The
// current resource comes from that view, so that of two concurrent changes the refused one is
// reported with the resource that the accepted one wrote.
func (c *ChangeHandler) awaitChangeResult(ctx context.Context, id string, out Outcome, put *resource.Resource) operatorapi.Change {
	change := operatorapi.Change{ChangeID: id, Offset: out.Offset, Reason: out.Reason, State: operatorapi.ChangeAccepted}
	if out.TookEffect && !out.IsDelete {
		change.Version = out.Offset
	}
	view, ok := c.waitForOffset(ctx, out.Offset)
	change.Applied = view.AppliedOffset
	current, exists := view.Resources[out.Key]
	if out.TookEffect {
		if ok && !out.IsDelete && exists && current.Version < out.Offset {
			// The record is a copy of an earlier one whose outcome this host no longer keeps.
			change.Version = current.Version
		}
		return change
	}
	change.State = operatorapi.ChangeRefused
	if exists {
		change.Resource = toAPIResource(current)
	}
	if put != nil && ok {
		var findings finding.List
		addMissingReferences(*put, view, &findings)
		if len(findings) > 0 {
			change.State, change.Findings = operatorapi.ChangeInvalid, toAPIFindings(findings)
		}
	}
	return change
}

// waitForOffset waits until the view includes offset; ok is false when ctx ends first.
func (c *ChangeHandler) waitForOffset(ctx context.Context, offset uint64) (view *ownership.View, ok bool) {
	for {
		view, replaced := c.cfg.Views.Current()
		if view.AppliedOffset >= offset {
			return view, true
		}
		select {
		case <-replaced:
		case <-ctx.Done():
			return view, false
		}
	}
}

// Lookup returns what this host knows about a change.
func (c *ChangeHandler) Lookup(ctx context.Context, id string) operatorapi.Change {
	if out, ok := c.cfg.Outcomes.Outcome(id); ok {
		return c.awaitChangeResult(ctx, id, out, nil)
	}
	if c.cfg.Outcomes.Pending(id) {
		return operatorapi.Change{ChangeID: id, State: operatorapi.ChangePending, Applied: c.appliedOffset()}
	}
	return operatorapi.Change{
		ChangeID: id, State: operatorapi.ChangeNotKnown, Applied: c.appliedOffset(),
		Reason: "this host does not know the change or no longer keeps its outcome; an earlier proposal may still take effect, so repeat the change with the same id",
	}
}

func (c *ChangeHandler) appliedOffset() uint64 {
	view, _ := c.cfg.Views.Current()
	return view.AppliedOffset
}

func warningFor(spec resource.Spec) string {
	switch spec := spec.(type) {
	case *resource.Zone:
		if spec.Lost {
			return "this presumes that no entry host and no backend server of the zone still runs; if one does, keys can have two owners"
		}
	case *resource.Server:
		if spec.Gone {
			return "this presumes that no instance of the server still runs; if one does, its keys can have two owners"
		}
	}
	return ""
}
