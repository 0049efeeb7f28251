// Package operatorapi defines the JSON types of the HTTP API for operators. All
// times are in Unix milliseconds unless a name says otherwise.
package operatorapi

import "encoding/json"

// HeaderChangeID carries the id of a change, a UUID. Retries with the same id are
// idempotent: the change takes effect once.
const HeaderChangeID = "Parsleyrelay-Change-Id"

// ConfirmParam is the query parameter that must have the value ConfirmLost on a
// change that declares an availability zone lost.
const (
	ConfirmParam = "confirm"
	ConfirmLost  = "lost"
)

// Metadata identifies a resource. Version is the log offset at which the resource
// was accepted; in a change it is the version that the change expects to replace, 0
// to create the resource.
type Metadata struct {
	Name    string `json:"name"`
	Version uint64 `json:"version,omitempty"`
}

// Resource is a resource of any kind. Spec depends on Kind.
type Resource struct {
	Kind     string          `json:"kind"`
	Metadata Metadata        `json:"metadata"`
	Spec     json.RawMessage `json:"spec,omitempty"`
	Status   *ResourceStatus `json:"status,omitempty"`
}

// Finding is one validation error. Place is the location of the bad input, such as
// a field or a query parameter.
type Finding struct {
	Place   string `json:"place"`
	Problem string `json:"problem"`
}

// ChangeState is the state of a change as far as the responding host knows.
type ChangeState string

// The states of a change.
const (
	ChangeAccepted    ChangeState = "accepted"     // 200: in the log and applied; permanent
	ChangeRefused     ChangeState = "refused"      // 409: in the log, applied without effect
	ChangeInvalid     ChangeState = "invalid"      // 422: see Findings; not proposed, or applied without effect
	ChangeNotAccepted ChangeState = "not_accepted" // 503: was not proposed and will not take effect
	ChangeUnknown     ChangeState = "unknown"      // 504: may still take effect; query the change id
	ChangePending     ChangeState = "pending"      // 202: proposed by this host, not applied yet
	ChangeNotKnown    ChangeState = "not_known"    // 404: this host has not received the change, but still may
)

// Change is the response to a change and to a query for a change id.
type Change struct {
	ChangeID string      `json:"changeId"`
	State    ChangeState `json:"state"`
	// Version of the resource after an accepted put.
	Version uint64 `json:"version,omitempty"`
	// Offset of the record in the log, once it is applied.
	Offset uint64 `json:"offset,omitempty"`
	Reason string `json:"reason,omitempty"`
	// Resource is the current resource when the change was refused; absent when
	// it does not exist.
	Resource *Resource `json:"resource,omitempty"`
	Findings []Finding `json:"findings,omitempty"`
	// Warning states what must be true for a dangerous change to be safe.
	Warning string `json:"warning,omitempty"`
	// Applied is the offset up to which the responding host has applied the log.
	Applied uint64 `json:"applied,omitempty"`
}

// Problem is the body of error responses other than Change.
type Problem struct {
	Message  string    `json:"message"`
	Findings []Finding `json:"findings,omitempty"`
}

// List is a list of resources as of offset Applied.
type List struct {
	Applied   uint64     `json:"applied"`
	Resources []Resource `json:"resources"`
}

// WatchType is the type of a watch event.
type WatchType string

// The types of watch events.
const (
	// WatchPut and WatchDelete report changes, in offset order.
	WatchPut    WatchType = "put"
	WatchDelete WatchType = "delete"
	// WatchResync replaces the watcher's copy with the list in Resources, because
	// the changes before Offset are not available any more.
	WatchResync WatchType = "resync"
	// WatchProgress reports that there are no further changes up to Offset.
	WatchProgress WatchType = "progress"
)

// WatchEvent is one line of the response to a watch. A watcher resumes from the
// Offset of the last event that it has processed.
type WatchEvent struct {
	Type      WatchType  `json:"type"`
	Offset    uint64     `json:"offset"`
	ChangeID  string     `json:"changeId,omitempty"`
	Reason    string     `json:"reason,omitempty"`
	Resource  *Resource  `json:"resource,omitempty"` // without spec for a delete
	Resources []Resource `json:"resources,omitempty"`
}
