// Package record defines the records of the platform log and their codec.
//
// All daemons apply the records in the order of their offsets (see package state). A
// record that was appended twice takes effect once: either its effect makes its own
// precondition false, or the state remembers it. There are two exceptions: a copy of a
// slice_split or slice_merged may apply again, but it changes the owner and generation of
// no key, and a checkpoint_part changes nothing.
package record

import (
	"encoding/json"
	"errors"
	"fmt"

	"parsleyrelay.example/core/keyspace"
	"parsleyrelay.example/core/resource"
)

// Kind names a type of record.
type Kind string

// Kinds of records, as they are written to the log.
const (
	KindResourcePut      Kind = "resource_put"
	KindResourceDelete   Kind = "resource_delete"
	KindHostJoined       Kind = "host_joined"
	KindHostLeft         Kind = "host_left"
	KindWitnessProposed  Kind = "witness_proposed"
	KindWitnessActivated Kind = "witness_activated"
	KindWitnessReset     Kind = "witness_reset"
	KindHomeAssigned     Kind = "home_assigned"
	KindSlicesPlaced     Kind = "slices_placed"
	KindSlicesMoved      Kind = "slices_moved"
	KindSliceSplit       Kind = "slice_split"
	KindSliceMerged      Kind = "slice_merged"
	KindCheckpointPart   Kind = "checkpoint_part"
)

// Body is the content of a record.
type Body interface {
	// Kind returns the kind of the record.
	Kind() Kind
}

// Record is the content of a log entry.
type Record struct {
	ID         string // UUID, unique per proposal; a retry of the same proposal keeps it
	Proposer   string // incarnation of the proposing daemon
	WallTimeMS int64  // wall clock of the proposer in Unix milliseconds, for display only
	Body       Body
}

// LogEntry is a record with its offset in the log. Offsets start at 1 and have no gaps.
type LogEntry struct {
	Offset uint64
	Record Record
}

// ResourcePut creates or replaces a resource whose version is still ExpectedVersion; 0
// means that the resource must not exist. The version of a resource is the offset of the
// record that put it last. ChangeID is the id of the operator's change, which all copies
// of the change share; if it is empty, the ID of the record takes its place.
type ResourcePut struct {
	Resource        resource.Resource `json:"resource"`
	ExpectedVersion uint64            `json:"expectedVersion"`
	ChangeID        string            `json:"changeId"`
}

// ResourceDelete removes a resource whose version is still ExpectedVersion. ChangeID is as
// in ResourcePut.
type ResourceDelete struct {
	Key             resource.Key `json:"key"`
	ExpectedVersion uint64       `json:"expectedVersion"`
	ChangeID        string       `json:"changeId"`
}

// HostJoined adds a daemon to the members. The incarnation identifies one process of the
// daemon.
type HostJoined struct {
	Host        string `json:"host"`
	Incarnation string `json:"incarnation"`
	Zone        string `json:"zone"`
	PeerURL     string `json:"peerUrl"`
}

// LeaveReason says why a host left.
type LeaveReason string

// Reasons for which a host leaves: it was drained, or the others gave it up as lost.
const (
	LeaveDrained LeaveReason = "drained"
	LeaveLost    LeaveReason = "lost"
)

// HostLeft removes a daemon from the members.
type HostLeft struct {
	Incarnation string      `json:"incarnation"`
	Reason      LeaveReason `json:"reason"`
}

// WitnessProposed proposes the next witness set of a scope. Until it is activated, both
// sets are in use.
type WitnessProposed struct {
	Scope   string   `json:"scope"`
	Epoch   uint64   `json:"epoch"`
	Members []string `json:"members"` // incarnations
}

// WitnessActivated makes the proposed witness set the only one of its scope.
type WitnessActivated struct {
	Scope string `json:"scope"`
	Epoch uint64 `json:"epoch"`
}

// WitnessReset replaces a witness set whose majority is lost for good.
type WitnessReset struct {
	Scope   string   `json:"scope"`
	Epoch   uint64   `json:"epoch"`
	Members []string `json:"members"`
	Reason  string   `json:"reason"`
}

// HomeAssigned makes a daemon the home of a server, that is, the only daemon that sends
// requests to it. The record's offset is the new term. Handover is set if the previous
// home proposed the record itself.
type HomeAssigned struct {
	Server          string `json:"server"`
	PreviousTerm    uint64 `json:"previousTerm"`
	HomeIncarnation string `json:"home"` // incarnation
	Handover        bool   `json:"handover,omitempty"`
}

// SlicePlacement gives a range of key hashes, a slice, to its first owner.
type SlicePlacement struct {
	Range  keyspace.Range `json:"range"`
	Server string         `json:"server"`
}

// SlicesPlaced gives the slices of a service, which cover all key hashes, to their first
// owners.
type SlicesPlaced struct {
	Service string           `json:"service"`
	Slices  []SlicePlacement `json:"slices"`
}

// SliceMove moves one slice between two servers. FromTerm is the term of the home of the
// server From. From and To may be the same server: the slice then only gets a new
// generation, after its server released it for a move that never took effect.
type SliceMove struct {
	Range      keyspace.Range `json:"range"`
	Generation uint64         `json:"generation"` // before the move
	From       string         `json:"from"`
	To         string         `json:"to"`
	FromTerm   uint64         `json:"fromTerm"`
}

// SlicesMoved changes the owners of slices. The record's offset is their new
// generation.
type SlicesMoved struct {
	Service  string      `json:"service"`
	Moves    []SliceMove `json:"moves"`
	Released bool        `json:"released,omitempty"` // the former owners confirmed the release
}

// SliceSplit divides a slice. Each split point is the first hash of a new slice. The
// owner and the generation stay the same.
type SliceSplit struct {
	Service     string         `json:"service"`
	Range       keyspace.Range `json:"range"`
	Generation  uint64         `json:"generation"`
	SplitPoints []uint64       `json:"cuts"`
}

// SliceMerged merges the adjacent slices of a range into one. They must have the same
// owner and generation.
type SliceMerged struct {
	Service    string         `json:"service"`
	Range      keyspace.Range `json:"range"`
	Generation uint64         `json:"generation"`
}

// CheckpointPart carries one part of the encoded state at BaseOffset.
type CheckpointPart struct {
	BaseOffset uint64 `json:"base"`
	PartIndex  int    `json:"part"`
	PartCount  int    `json:"parts"`
	Digest     string `json:"digest"` // xxHash64 of the whole state, hexadecimal
	Payload    []byte `json:"payload"`
}

// Kind implements Body.
func (ResourcePut) Kind() Kind { return KindResourcePut }

// Kind implements Body.
func (ResourceDelete) Kind() Kind { return KindResourceDelete }

// Kind implements Body.
func (HostJoined) Kind() Kind { return KindHostJoined }

// Kind implements Body.
func (HostLeft) Kind() Kind { return KindHostLeft }

// Kind implements Body.
func (WitnessProposed) Kind() Kind { return KindWitnessProposed }

// Kind implements Body.
func (WitnessActivated) Kind() Kind { return KindWitnessActivated }

// Kind implements Body.
func (WitnessReset) Kind() Kind { return KindWitnessReset }

// Kind implements Body.
func (HomeAssigned) Kind() Kind { return KindHomeAssigned }

// Kind implements Body.
func (SlicesPlaced) Kind() Kind { return KindSlicesPlaced }

// Kind implements Body.
func (SlicesMoved) Kind() Kind { return KindSlicesMoved }

// Kind implements Body.
func (SliceSplit) Kind() Kind { return KindSliceSplit }

// Kind implements Body.
func (SliceMerged) Kind() Kind { return KindSliceMerged }

// Kind implements Body.
func (CheckpointPart) Kind() Kind { return KindCheckpointPart }

// envelope is the JSON form of a record.
type envelope struct {
	ID       string          `json:"id"`
	Kind     Kind            `json:"kind"`
	Proposer string          `json:"proposer"`
	WallMS   int64           `json:"wallMs"`
	Body     json.RawMessage `json:"body"`
}

// UnknownKindError reports a record of a kind that this version does not know. A daemon
// that reads one must stop applying records: its state could differ from that of the
// other daemons if it skipped the record.
type UnknownKindError struct {
	Kind Kind
}

// Error implements error.
func (e *UnknownKindError) Error() string {
	return fmt.Sprintf("log record has unknown kind %q", e.Kind)
}

// Marshal encodes a record as JSON. A record without a body is an error.
func Marshal(r Record) ([]byte, error) {
	if r.Body == nil {
		return nil, errors.New("log record has no body")
	}
	body, err := json.Marshal(r.Body)
	if err != nil {
		return nil, err
	}
	return json.Marshal(envelope{ID: r.ID, Kind: r.Body.Kind(), Proposer: r.Proposer, WallMS: r.WallTimeMS, Body: body})
}

// Unmarshal decodes a record. It returns an UnknownKindError for a kind that
// this version does not know. After any other error a daemon must stop applying records
// as well: a body that this version cannot decode may be valid in a later one.
func Unmarshal(data []byte) (Record, error) {
	var e envelope
	if err := json.Unmarshal(data, &e); err != nil {
		return Record{}, err
	}
	body, err := decodeBody(e.Kind, e.Body)
	if err != nil {
		return Record{}, err
	}
	return Record{ID: e.ID, Proposer: e.Proposer, WallTimeMS: e.WallMS, Body: body}, nil
}

func decodeBody(kind Kind, data []byte) (Body, error) {
	switch kind {
	case KindResourcePut:
		return decode[ResourcePut](data)
	case KindResourceDelete:
		return decode[ResourceDelete](data)
	case KindHostJoined:
		return decode[HostJoined](data)
	case KindHostLeft:
		return decode[HostLeft](data)
	case KindWitnessProposed:
		return decode[WitnessProposed](data)
	case KindWitnessActivated:
		return decode[WitnessActivated](data)
	case KindWitnessReset:
		return decode[WitnessReset](data)
	case KindHomeAssigned:
		return decode[HomeAssigned](data)
	case KindSlicesPlaced:
		return decode[SlicesPlaced](data)
	case KindSlicesMoved:
		return decode[SlicesMoved](data)
	case KindSliceSplit:
		return decode[SliceSplit](data)
	case KindSliceMerged:
		return decode[SliceMerged](data)
	case KindCheckpointPart:
		return decode[CheckpointPart](data)
	}
	return nil, &UnknownKindError{Kind: kind}
}

func decode[T Body](data []byte) (Body, error) {
	var body T
	if err := json.Unmarshal(data, &body); err != nil {
		return nil, err
	}
	return body, nil
}
