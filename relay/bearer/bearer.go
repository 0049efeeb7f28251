// Package bearer checks the token of requests on the operator listener.
package bearer

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/json"
	"net/http"
	"strings"

	"parsleyrelay.example/api/operatorapi"
)

// Policy says who may call. An empty Token admits nobody, so that a missing
// setting cannot open the API.
type Policy struct {
	Token               string
	AllowAnonymousReads bool
}

// RequireTokenForReads admits requests with the token, and all requests when
// anonymous reads are allowed.
func (p Policy) RequireTokenForReads(next http.Handler) http.Handler {
	if p.AllowAnonymousReads {
		return next
	}
	return p.RequireToken(next)
}

// RequireToken admits requests with the token. Others get status 401.
func (p Policy) RequireToken(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if p.admits(r.Header.Get("Authorization")) {
			next.ServeHTTP(w, r)
			return
		}
		message := "the bearer token is missing or wrong"
		if p.Token == "" {
			message = "no operator token is configured on this host, so changes are refused"
		}
		w.Header().Set("WWW-Authenticate", `Bearer realm="parsleyrelay"`)
		w.Header().Set("Content-Type", "application/json")
		w.WriteHeader(http.StatusUnauthorized)
		_ = json.NewEncoder(w).Encode(operatorapi.Problem{Message: message})
	})
}

// admits compares digests, so that neither the content nor the length of the
// token can be learned from the time that the comparison takes.
func (p Policy) admits(header string) bool {
	scheme, token, _ := strings.Cut(header, " ")
	if p.Token == "" || !strings.EqualFold(scheme, "Bearer") {
		return false
	}
	got, want := sha256.Sum256([]byte(token)), sha256.Sum256([]byte(p.Token))
	return subtle.ConstantTimeCompare(got[:], want[:]) == 1
}
