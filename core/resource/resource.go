// Package resource defines and validates the resources that operators declare:
// Service, Server, Rank, Route and Zone.
package resource

import (
	"bytes"
	"encoding/json"
	"fmt"
	"regexp"

	"parsleyrelay.example/core/finding"
)

// Kind names a type of resource.
type Kind string

// The kinds of resource.
const (
	KindService Kind = "Service"
	KindServer  Kind = "Server"
	KindRank    Kind = "Rank"
	KindRoute   Kind = "Route"
	KindZone    Kind = "Zone"
)

// Kinds lists all kinds in the order in which manifests are applied: a resource
// comes after those that it refers to.
var Kinds = []Kind{KindZone, KindRank, KindService, KindServer, KindRoute}

// Key identifies a resource by kind and name. It is not related to the keys of
// requests (see package keyspace).
type Key struct {
	Kind Kind   `json:"kind"`
	Name string `json:"name"`
}

// String returns the key as "Kind/name", the form used in findings.
func (k Key) String() string {
	return string(k.Kind) + "/" + k.Name
}

// Spec is the desired state of a resource, as declared by an operator.
type Spec interface {
	// Kind returns the kind of resource that the spec belongs to.
	Kind() Kind
	// Validate adds a finding for each bad field. The Place of each finding is
	// place followed by ": " and the path of the field.
	Validate(place string, findings *finding.List)
}

// Resource is a declared resource. Version is the log offset of the record that
// created or last changed it, and 0 for a resource that was not accepted yet.
type Resource struct {
	Name    string
	Version uint64
	Spec    Spec
}

// Key returns the resource's identity.
func (r Resource) Key() Key {
	return Key{Kind: r.Spec.Kind(), Name: r.Name}
}

var namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9.-]{0,61}[a-z0-9])?$`)

// Validate returns the findings that need no other resource. References to other
// resources are checked when the record is applied to the state.
func (r Resource) Validate() finding.List {
	var findings finding.List
	place := r.Key().String()
	if !namePattern.MatchString(r.Name) {
		findings.Add(place+": metadata.name", "%q is not a name of 1 to 63 lower-case letters, digits, dots and dashes", r.Name)
	}
	r.Spec.Validate(place, &findings)
	return findings
}

// metadata is the JSON form of a resource's name and version.
type metadata struct {
	Name    string `json:"name"`
	Version uint64 `json:"version,omitempty"`
}

// document is the JSON form of a resource.
type document struct {
	Kind     Kind            `json:"kind"`
	Metadata metadata        `json:"metadata"`
	Spec     json.RawMessage `json:"spec"`
	Status   json.RawMessage `json:"status,omitempty"`
}

// MarshalJSON writes kind, metadata and spec.
func (r Resource) MarshalJSON() ([]byte, error) {
	spec, err := json.Marshal(r.Spec)
	if err != nil {
		return nil, err
	}
	return json.Marshal(document{
		Kind:     r.Spec.Kind(),
		Metadata: metadata{Name: r.Name, Version: r.Version},
		Spec:     spec,
	})
}

// UnmarshalJSON reads a resource of any kind. Unknown fields are errors. A
// status is accepted and ignored, so that the output of a query can be applied
// as a manifest.
func (r *Resource) UnmarshalJSON(data []byte) error {
	var doc document
	if err := decodeStrict(data, &doc); err != nil {
		return err
	}
	spec, err := newSpec(doc.Kind)
	if err != nil {
		return err
	}
	if len(doc.Spec) > 0 {
		if err := decodeStrict(doc.Spec, spec); err != nil {
			return fmt.Errorf("%s/%s: spec: %w", doc.Kind, doc.Metadata.Name, err)
		}
	}
	*r = Resource{Name: doc.Metadata.Name, Version: doc.Metadata.Version, Spec: spec}
	return nil
}

// newSpec returns an empty spec of the kind, to decode into.
func newSpec(kind Kind) (Spec, error) {
	switch kind {
	case KindService:
		return &Service{}, nil
	case KindServer:
		return &Server{}, nil
	case KindRank:
		return &Rank{}, nil
	case KindRoute:
		return &Route{}, nil
	case KindZone:
		return &Zone{}, nil
	}
	return nil, fmt.Errorf("unknown kind %q; known kinds are %v", kind, Kinds)
}

func decodeStrict(data []byte, target any) error {
	dec := json.NewDecoder(bytes.NewReader(data))
	dec.DisallowUnknownFields()
	return dec.Decode(target)
}
