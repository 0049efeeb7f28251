// Package commands holds the operators' write operations: apply and delete
// resources, and declare an availability zone lost. A change is acknowledged
// only after its record was folded on this host.
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

// DefaultApplyTimeout bounds the time from a proposal to its fold. The append itself is
// bounded by 2 s; the rest covers a reader that lags.
const DefaultApplyTimeout = 5 * time.Second

// Proposer appends records. Propose returns false when the record was not
// proposed because the ring of the log appender is full.
type Proposer interface {
	Propose(r record.Record) bool
}

// Views returns the current view and a channel that is closed when it is replaced.
type Views interface {
	Current() (*ownership.View, <-chan struct{})
}

// Config holds what Changes needs.
type Config struct {
	Proposer     Proposer
	Views        Views
	Outcomes     *OutcomeStore
	WallClock    func() time.Time // wall clock, for display in records
	ApplyTimeout time.Duration    // 0 means DefaultWait
}

// ChangeHandler carries out changes of resources.
type ChangeHandler struct {
	cfg Config
}

// New returns Changes.
func New(cfg Config) *ChangeHandler {
	if cfg.ApplyTimeout == 0 {
		cfg.ApplyTimeout = DefaultApplyTimeout
	}
	return &ChangeHandler{cfg: cfg}
}

// Put creates or replaces a resource; its Version is the expected one.
func (c *ChangeHandler) Put(ctx context.Context, r resource.Resource, changeID string) operatorapi.Change {
	expected := r.Version
	r.Version = 0
	out := c.change(ctx, changeID, record.ResourcePut{Resource: r, ExpectedVersion: expected, ChangeID: changeID}, &r)
	out.Warning = warningFor(r.Spec)
	return out
}

// Delete removes a resource of the expected version.
func (c *ChangeHandler) Delete(ctx context.Context, key resource.Key, expected uint64, changeID string) operatorapi.Change {
	return c.change(ctx, changeID, record.ResourceDelete{Key: key, ExpectedVersion: expected, ChangeID: changeID}, nil)
}

// change proposes a record, unless its change id is known, and waits for its
// fold. put is the resource of a put, for findings about its references.
func (c *ChangeHandler) change(ctx context.Context, id string, body record.Body, put *resource.Resource) operatorapi.Change {
	ctx, cancel := context.WithTimeout(ctx, c.cfg.ApplyTimeout)
	defer cancel()
	folded, first, done := c.cfg.Outcomes.wait(id)
	defer done()
	if first {
		if reason := c.propose(id, body); reason != "" {
			return operatorapi.Change{ChangeID: id, State: operatorapi.ChangeNotAccepted, Reason: reason}
		}
	}
	select {
	case <-folded:
	case <-ctx.Done():
		return operatorapi.Change{
			ChangeID: id, State: operatorapi.ChangeUnknown, Applied: c.applied(),
			Reason: "the change was proposed but not seen in the log in time; it may still take effect",
		}
	}
	out, _ := c.cfg.Outcomes.Outcome(id)
	if out.ContentDigest != digest(body) {
		var findings finding.List
		findings.Add("header "+operatorapi.HeaderChangeID, "%s was used for another change of %s at offset %d", id, out.Key, out.Offset)
		return operatorapi.Change{ChangeID: id, State: operatorapi.ChangeInvalid, Findings: wireFindings(findings)}
	}
	return c.result(ctx, id, out, put)
}

// propose returns why the record was not proposed, or "".
func (c *ChangeHandler) propose(id string, body record.Body) string {
	view, _ := c.cfg.Views.Current()
	if !view.LogReachable {
		return "the platform log is unreachable from this host, so no change can be made durable"
	}
	// The change id serves as the record id, so that every proposal of the change
	// is the same proposal.
	r := record.Record{ID: id, Proposer: view.SelfIncarnation, WallTimeMS: c.cfg.WallClock().UnixMilli(), Body: body}
	if !c.cfg.Proposer.Propose(r) {
		return "too many proposals wait for the platform log"
	}
	return ""
}

// result describes a folded change. The current resource comes from a view that
// includes the record, so that the loser of a race sees the winner's change.
func (c *ChangeHandler) result(ctx context.Context, id string, out Outcome, put *resource.Resource) operatorapi.Change {
	change := operatorapi.Change{ChangeID: id, Offset: out.Offset, Reason: out.Reason, State: operatorapi.ChangeAccepted}
	if out.TookEffect && !out.IsDelete {
		change.Version = out.Offset
	}
	view, ok := c.viewAt(ctx, out.Offset)
	change.Applied = view.AppliedOffset
	current, exists := view.Resources[out.Key]
	if out.TookEffect {
		if ok && !out.IsDelete && exists && current.Version < out.Offset {
			// The record repeats one whose outcome this host no longer keeps.
			change.Version = current.Version
		}
		return change
	}
	change.State = operatorapi.ChangeRefused
	if exists {
		change.Resource = wireResource(current)
	}
	if put != nil && ok {
		var findings finding.List
		missingReferences(*put, view, &findings)
		if len(findings) > 0 {
			change.State, change.Findings = operatorapi.ChangeInvalid, wireFindings(findings)
		}
	}
	return change
}

// viewAt waits until the view includes offset; ok is false when ctx ends first.
func (c *ChangeHandler) viewAt(ctx context.Context, offset uint64) (view *ownership.View, ok bool) {
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

// Lookup tells what this host knows of a change.
func (c *ChangeHandler) Lookup(ctx context.Context, id string) operatorapi.Change {
	if out, ok := c.cfg.Outcomes.Outcome(id); ok {
		return c.result(ctx, id, out, nil)
	}
	if c.cfg.Outcomes.Pending(id) {
		return operatorapi.Change{ChangeID: id, State: operatorapi.ChangePending, Applied: c.applied()}
	}
	return operatorapi.Change{
		ChangeID: id, State: operatorapi.ChangeNotKnown, Applied: c.applied(),
		Reason: "this host has not seen the change or keeps it no longer; a lost proposal may still arrive, so send it again with the same id",
	}
}

func (c *ChangeHandler) applied() uint64 {
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
