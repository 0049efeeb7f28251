package commands

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"io"
	"slices"
	"sort"
	"strings"

	"parsleyrelay.example/api/operatorapi"
	"parsleyrelay.example/core/finding"
	"parsleyrelay.example/core/ownership"
	"parsleyrelay.example/core/record"
	"parsleyrelay.example/core/resource"
)

// changeDocument is the request body of a change. Its status is ignored, so that the output
// of a query can be sent back.
type changeDocument struct {
	Kind     resource.Kind              `json:"kind"`
	Metadata operatorapi.Metadata       `json:"metadata"`
	Spec     map[string]json.RawMessage `json:"spec"`
	Status   json.RawMessage            `json:"status"`
}

// decodeResource decodes the request body of a put and reports all problems at once.
func decodeResource(key resource.Key, body []byte) (resource.Resource, finding.List) {
	var findings finding.List
	doc, ok := decodeDocument(body, &findings)
	if !ok {
		return resource.Resource{}, findings
	}
	checkKey(key, doc, &findings)
	fieldFindings := checkSpecFields(key, doc.Spec)
	findings = append(findings, fieldFindings...)
	doc.Kind, doc.Metadata.Name = key.Kind, key.Name
	r, err := toResource(doc)
	if err != nil {
		findings.Add(key.String(), "%v", err)
		return resource.Resource{}, findings
	}
	for _, f := range r.Validate() {
		// A field that could not be decoded is missing from r; the finding about its
		// decoding is enough.
		if !slices.ContainsFunc(fieldFindings, func(b finding.Finding) bool { return b.Place == f.Place }) {
			findings = append(findings, f)
		}
	}
	return r, findings
}

func decodeDocument(body []byte, findings *finding.List) (changeDocument, bool) {
	var doc changeDocument
	dec := json.NewDecoder(bytes.NewReader(body))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&doc); err != nil {
		findings.Add("body", "%v", err)
		return doc, false
	}
	if _, err := dec.Token(); !errors.Is(err, io.EOF) {
		findings.Add("body", "contains more than one JSON document")
		return doc, false
	}
	return doc, true
}

func checkKey(key resource.Key, doc changeDocument, findings *finding.List) {
	if doc.Kind != "" && doc.Kind != key.Kind {
		findings.Add("kind", "%q differs from %q in the path", doc.Kind, key.Kind)
	}
	if doc.Metadata.Name != "" && doc.Metadata.Name != key.Name {
		findings.Add("metadata.name", "%q differs from %q in the path", doc.Metadata.Name, key.Name)
	}
}

// checkSpecFields decodes the fields of a spec one by one, since the decoder stops at the
// first problem. It removes the invalid fields from spec.
func checkSpecFields(key resource.Key, spec map[string]json.RawMessage) finding.List {
	var findings finding.List
	names := make([]string, 0, len(spec))
	for name := range spec {
		names = append(names, name)
	}
	sort.Strings(names)
	for _, name := range names {
		fieldDoc := changeDocument{Kind: key.Kind, Spec: map[string]json.RawMessage{name: spec[name]}}
		if _, err := toResource(fieldDoc); err != nil {
			findings.Add(key.String()+": spec."+name, "%s", describeDecodeError(err))
			delete(spec, name)
		}
	}
	return findings
}

func describeDecodeError(err error) string {
	var wrongType *json.UnmarshalTypeError
	if errors.As(err, &wrongType) {
		return "is a " + wrongType.Value + ", not a " + wrongType.Type.String()
	}
	if strings.Contains(err.Error(), "unknown field") {
		return "is not a field of this resource kind"
	}
	return err.Error()
}

func toResource(doc changeDocument) (resource.Resource, error) {
	var r resource.Resource
	doc.Status = nil
	data, err := json.Marshal(struct {
		Kind     resource.Kind              `json:"kind"`
		Metadata operatorapi.Metadata       `json:"metadata"`
		Spec     map[string]json.RawMessage `json:"spec"`
	}{doc.Kind, doc.Metadata, doc.Spec})
	if err != nil {
		return r, err
	}
	return r, json.Unmarshal(data, &r)
}

// addMissingReferences adds a finding for each resource that r refers to and that the view
// does not contain.
func addMissingReferences(r resource.Resource, view *ownership.View, findings *finding.List) {
	checkReference := func(field string, kind resource.Kind, name string) {
		key := resource.Key{Kind: kind, Name: name}
		if _, ok := view.Resources[key]; !ok && name != "" {
			findings.Add(r.Key().String()+": spec."+field, "%s does not exist at offset %d", key, view.AppliedOffset)
		}
	}
	switch spec := r.Spec.(type) {
	case *resource.Service:
		for _, rank := range spec.Ranks {
			checkReference("ranks", resource.KindRank, rank)
		}
	case *resource.Server:
		checkReference("service", resource.KindService, spec.Service)
	case *resource.Route:
		checkReference("service", resource.KindService, spec.Service)
	}
}

// contentDigest identifies the content of a change, to detect a change id that is used for
// two different changes.
func contentDigest(body record.Body) string {
	data, err := json.Marshal(body)
	if err != nil {
		return "" // cannot happen: the body was decoded from JSON
	}
	sum := sha256.Sum256(data)
	return hex.EncodeToString(sum[:])
}

func toAPIFindings(findings finding.List) []operatorapi.Finding {
	list := make([]operatorapi.Finding, len(findings))
	for i, f := range findings {
		list[i] = operatorapi.Finding(f)
	}
	return list
}

func toAPIResource(r resource.Resource) *operatorapi.Resource {
	spec, err := json.Marshal(r.Spec)
	if err != nil {
		return nil // cannot happen: specs hold plain values
	}
	return &operatorapi.Resource{
		Kind:     string(r.Spec.Kind()),
		Metadata: operatorapi.Metadata{Name: r.Name, Version: r.Version},
		Spec:     spec,
	}
}
