package bearer

import (
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/stretchr/testify/assert"
)

// Guards against a host without a token that admits an empty one, and against
// tokens that only resemble the right one.
func TestWhoIsAdmitted(t *testing.T) {
	for name, c := range map[string]struct {
		token, header string
		want          int
	}{
		"right":             {"secret", "Bearer secret", http.StatusOK},
		"scheme in capital": {"secret", "BEARER secret", http.StatusOK},
		"prefix":            {"secret", "Bearer secre", http.StatusUnauthorized},
		"other scheme":      {"secret", "Basic secret", http.StatusUnauthorized},
		"none":              {"secret", "", http.StatusUnauthorized},
		"empty setting":     {"", "Bearer ", http.StatusUnauthorized},
		"empty, no header":  {"", "", http.StatusUnauthorized},
	} {
		ok := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
		r := httptest.NewRequest("GET", "/", nil)
		r.Header.Set("Authorization", c.header)
		w := httptest.NewRecorder()
		Policy{Token: c.token}.RequireToken(ok).ServeHTTP(w, r)
		assert.Equal(t, c.want, w.Code, name)
	}
}
