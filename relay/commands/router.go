package commands

import (
	"encoding/json"
	"io"
	"net/http"
	"slices"

	"github.com/go-chi/chi/v5"
	"github.com/google/uuid"

	"parsleyrelay.example/api/operatorapi"
	"parsleyrelay.example/core/finding"
	"parsleyrelay.example/core/resource"
	"parsleyrelay.example/relay/bearer"
)

// maxBodyBytes bounds the request body of a change; the largest resource is far smaller.
const maxBodyBytes = 1 << 20

// Mount adds the routes of the write operations to r.
func (c *ChangeHandler) Mount(r chi.Router, policy bearer.Policy) {
	r.Group(func(r chi.Router) {
		r.Use(policy.RequireToken)
		r.Put("/v1/resources/{kind}/{name}", c.servePut)
		r.Delete("/v1/resources/{kind}/{name}", c.serveDelete)
	})
	r.With(policy.RequireTokenForReads).Get("/v1/changes/{id}", c.serveLookup)
}

func (c *ChangeHandler) servePut(w http.ResponseWriter, r *http.Request) {
	key, id, body, findings := readChangeRequest(w, r)
	var res resource.Resource
	if body != nil {
		var bodyFindings finding.List
		res, bodyFindings = decodeResource(key, body)
		findings = append(findings, bodyFindings...)
	}
	warning := ""
	if res.Spec != nil {
		if len(findings) > 0 {
			view, _ := c.cfg.Views.Current()
			addMissingReferences(res, view, &findings)
		}
		warning = warningFor(res.Spec)
		requireLostConfirmation(r, res, &findings)
	}
	if len(findings) > 0 {
		writeInvalid(w, id, findings, warning)
		return
	}
	writeChange(w, c.Put(r.Context(), res, id))
}

func (c *ChangeHandler) serveDelete(w http.ResponseWriter, r *http.Request) {
	key, id, body, findings := readChangeRequest(w, r)
	var doc changeDocument
	if len(body) > 0 {
		if d, ok := decodeDocument(body, &findings); ok {
			doc = d
			checkKey(key, doc, &findings)
		}
	}
	if body != nil && doc.Metadata.Version == 0 {
		findings.Add("metadata.version", "a delete requires the version of the resource that it removes")
	}
	if len(findings) > 0 {
		writeInvalid(w, id, findings, "")
		return
	}
	writeChange(w, c.Delete(r.Context(), key, doc.Metadata.Version, id))
}

func (c *ChangeHandler) serveLookup(w http.ResponseWriter, r *http.Request) {
	id, err := uuid.Parse(chi.URLParam(r, "id"))
	if err != nil {
		writeInvalid(w, chi.URLParam(r, "id"), finding.List{{Place: "path", Problem: "the change id is not a UUID"}}, "")
		return
	}
	writeChange(w, c.Lookup(r.Context(), id.String()))
}

// readChangeRequest reads the resource key, the change id and the body of a request. body
// is nil when it could not be read.
func readChangeRequest(w http.ResponseWriter, r *http.Request) (key resource.Key, id string, body []byte, findings finding.List) {
	key = resource.Key{Kind: resource.Kind(chi.URLParam(r, "kind")), Name: chi.URLParam(r, "name")}
	if !slices.Contains(resource.Kinds, key.Kind) {
		findings.Add("path", "unknown kind %q; known kinds are %v", key.Kind, resource.Kinds)
		return key, "", nil, findings
	}
	id = r.Header.Get(operatorapi.HeaderChangeID)
	if id == "" {
		id = uuid.NewString()
	}
	if parsed, err := uuid.Parse(id); err != nil {
		findings.Add("header "+operatorapi.HeaderChangeID, "%q is not a UUID", id)
	} else {
		id = parsed.String() // the canonical form of the UUID
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		findings.Add("body", "%v", err)
		return key, id, nil, findings
	}
	return key, id, body, findings
}

func requireLostConfirmation(r *http.Request, res resource.Resource, findings *finding.List) {
	zone, ok := res.Spec.(*resource.Zone)
	if ok && zone.Lost && r.URL.Query().Get(operatorapi.ConfirmParam) != operatorapi.ConfirmLost {
		findings.Add(res.Key().String()+": spec.lost", "requires the query parameter %s=%s", operatorapi.ConfirmParam, operatorapi.ConfirmLost)
	}
}

var httpStatusByState = map[operatorapi.ChangeState]int{
	operatorapi.ChangeAccepted:    http.StatusOK,
	operatorapi.ChangeRefused:     http.StatusConflict,
	operatorapi.ChangeInvalid:     http.StatusUnprocessableEntity,
	operatorapi.ChangeNotAccepted: http.StatusServiceUnavailable,
	operatorapi.ChangeUnknown:     http.StatusGatewayTimeout,
	operatorapi.ChangePending:     http.StatusAccepted,
	operatorapi.ChangeNotKnown:    http.StatusNotFound,
}

func writeInvalid(w http.ResponseWriter, id string, findings finding.List, warning string) {
	writeChange(w, operatorapi.Change{
		ChangeID: id, State: operatorapi.ChangeInvalid, Findings: toAPIFindings(findings), Warning: warning,
	})
}

func writeChange(w http.ResponseWriter, change operatorapi.Change) {
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set(operatorapi.HeaderChangeID, change.ChangeID)
	w.WriteHeader(httpStatusByState[change.State])
	_ = json.NewEncoder(w).Encode(change) // fails only when the connection to the operator is lost
}
