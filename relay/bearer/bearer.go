// Package bearer authenticates requests on the operator listener by a bearer token.
package bearer

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/json"
	"net/http"
	"strings"

	"parsleyrelay.example/api/operatorapi"
)

// Policy says which requests are authorized. With an empty Token no request counts
// as authenticated, so that a missing setting does not open the API.
// AllowAnonymousReads authorizes reads without a token.
type Policy struct {
	Token               string
	AllowAnonymousReads bool
}

// RequireTokenForReads wraps a handler of read requests: it requires the token
// unless anonymous reads are allowed.
func (p Policy) RequireTokenForReads(next http.Handler) http.Handler {
	if p.AllowAnonymousReads {
		return next
	}
	return p.RequireToken(next)
}

// RequireToken passes requests with the token to next and answers others with
// status 401.
func (p Policy) RequireToken(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if p.authorizes(r.Header.Get("Authorization")) {
			next.ServeHTTP(w, r)
			return
		}
		message := "the bearer token is missing or wrong"
		if p.Token == "" {
			message = "no operator token is configured on this host; set --operator-token (PARSLEYRELAY_OPERATOR_TOKEN)"
		}
		w.Header().Set("WWW-Authenticate", `Bearer realm="parsleyrelay"`)
		w.Header().Set("Content-Type", "application/json")
		w.WriteHeader(http.StatusUnauthorized)
		_ = json.NewEncoder(w).Encode(operatorapi.Problem{Message: message})
	})
}

// authorizes reports whether an Authorization header holds the token. It compares
// digests in constant time, so that a timing attack reveals neither the content
// nor the length of the token.
func (p Policy) authorizes(header string) bool {
	scheme, token, _ := strings.Cut(header, " ")
	if p.Token == "" || !strings.EqualFold(scheme, "Bearer") {
		return false
	}
	got, want := sha256.Sum256([]byte(token)), sha256.Sum256([]byte(p.Token))
	return subtle.ConstantTimeCompare(got[:], want[:]) == 1
}
