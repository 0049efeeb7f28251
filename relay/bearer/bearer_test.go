package bearer

import (
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/stretchr/testify/assert"
)

// Guards against a host without a configured token that accepts an empty one, and
// against wrong tokens, such as a prefix, that are accepted.
func TestOnlyConfiguredTokenIsAuthorized(t *testing.T) {
	for name, c := range map[string]struct {
		token, header string
		want          int
	}{
		"correct token":     {"secret", "Bearer secret", http.StatusOK},
		"upper-case scheme": {"secret", "BEARER secret", http.StatusOK},
		"token prefix":      {"secret", "Bearer secre", http.StatusUnauthorized},
		"other scheme":      {"secret", "Basic secret", http.StatusUnauthorized},
		"no header":         {"secret", "", http.StatusUnauthorized},
		"no token set":      {"", "Bearer ", http.StatusUnauthorized},
		"neither":           {"", "", http.StatusUnauthorized},
	} {
		ok := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
		r := httptest.NewRequest("GET", "/", nil)
		r.Header.Set("Authorization", c.header)
		w := httptest.NewRecorder()
		Policy{Token: c.token}.RequireToken(ok).ServeHTTP(w, r)
		assert.Equal(t, c.want, w.Code, name)
	}
}
