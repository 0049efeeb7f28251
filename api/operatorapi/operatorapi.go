// Package operatorapi defines the JSON types of the operators' HTTP API. All
// times are Unix milliseconds unless a name says otherwise.
package operatorapi

import "encoding/json"

// HeaderChangeID carries the id of a change, a UUID. A change sent again with
// the same id is one change.
const HeaderChangeID = "Parsleyrelay-Change-Id"

// ConfirmParam must have the value ConfirmLost on a change that declares an
// availability zone lost.
const (
	ConfirmParam = "confirm"
	ConfirmLost  = "lost"
)

// Metadata identifies a resource. Version is the log offset at which it was
// accepted; in a change it is the version that the change expects, 0 to create.
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

// Finding is one problem at one place.
type Finding struct {
	Place   string `json:"place"`
	Problem string `json:"problem"`
}

// ChangeState says what is known of a change.
type ChangeState string

// The states of a change.
const (
	ChangeAccepted    ChangeState = "accepted"     // 200: folded, in the log for good
	ChangeRefused     ChangeState = "refused"      // 409: folded without effect
	ChangeInvalid     ChangeState = "invalid"      // 422: see Findings; not proposed, or folded without effect
	ChangeNotAccepted ChangeState = "not_accepted" // 503: was not proposed and will not take effect
	ChangeUnknown     ChangeState = "unknown"      // 504: may still take effect; ask for the change id
	ChangePending     ChangeState = "pending"      // 202: proposed by this host, not folded yet
	ChangeNotKnown    ChangeState = "not_known"    // 404: this host has not seen it; it may still arrive
)

// Change is the response to a change and to a query for a change id.
type Change struct {
	ChangeID string      `json:"changeId"`
	State    ChangeState `json:"state"`
	// Version of the resource after an accepted put.
	Version uint64 `json:"version,omitempty"`
	// Offset of the record in the log, when folded.
	Offset uint64 `json:"offset,omitempty"`
	Reason string `json:"reason,omitempty"`
	// Resource is the current one when the change was refused; absent when
	// there is none.
	Resource *Resource `json:"resource,omitempty"`
	Findings []Finding `json:"findings,omitempty"`
	// Warning states what a dangerous change presumes.
	Warning string `json:"warning,omitempty"`
	// Applied is the offset up to which the responding host has folded the log.
	Applied uint64 `json:"applied,omitempty"`
}

// Problem is the body of any other error response.
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
	// WatchPut and WatchDelete are changes, in offset order.
	WatchPut    WatchType = "put"
	WatchDelete WatchType = "delete"
	// WatchResync replaces all that the watcher knows by the list in Resources,
	// because changes before Offset are not kept any more.
	WatchResync WatchType = "resync"
	// WatchProgress says that there are no further changes up to Offset.
	WatchProgress WatchType = "progress"
)

// WatchEvent is one line of a watch. A watcher resumes from the Offset of the
// last event that it has processed.
type WatchEvent struct {
	Type      WatchType  `json:"type"`
	Offset    uint64     `json:"offset"`
	ChangeID  string     `json:"changeId,omitempty"`
	Reason    string     `json:"reason,omitempty"`
	Resource  *Resource  `json:"resource,omitempty"` // without spec for a delete
	Resources []Resource `json:"resources,omitempty"`
}
