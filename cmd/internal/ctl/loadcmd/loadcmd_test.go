package loadcmd

import (
	"bytes"
	"context"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"parsleyrelay.example/api/callerapi"
	"parsleyrelay.example/cmd/internal/ctl"
	"parsleyrelay.example/cmd/internal/ctl/exit"
)

func runLoadCommand(args ...string) (code int, out, errOut string) {
	var stdout, stderr bytes.Buffer
	code = ctl.Run(context.Background(), append([]string{"parsleyctl", "load"}, args...), strings.NewReader(""), &stdout, &stderr, Command())
	return code, stdout.String(), stderr.String()
}

// Guards against flags that are ignored, findings that are reported one at a
// time, and exit codes other than the documented ones.
func TestLoadCommand(t *testing.T) {
	host := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(callerapi.HeaderOutcome, string(callerapi.OutcomeDone))
	}))
	defer host.Close()
	dir := t.TempDir()
	t.Setenv("PARSLEYRELAY_LOAD_CALLER_HOSTS", host.URL)
	code, out, errOut := runLoadCommand("--duration", "500ms", "--rate", "200", "--mix", "orders=1,lookups=1",
		"--flood", "lookups:200ms:300ms:0.5", "--svg-file", filepath.Join(dir, "a.svg"), "--json-file", filepath.Join(dir, "a.json"))
	require.Equal(t, exit.OK, code, errOut)
	require.Contains(t, out, "200ms  300ms  lookups")
	require.Regexp(t, `(?m)^checks +0 `, out)
	for _, name := range []string{"a.svg", "a.json"} {
		data, err := os.ReadFile(filepath.Join(dir, name))
		require.NoError(t, err)
		require.NotEmpty(t, data)
	}

	code, _, errOut = runLoadCommand("--profile", "lima", "--flood", "x", "--mix", "royal=1", "--duration", "-1s", "--caller-hosts", "ftp://x")
	require.Equal(t, exit.BadInput, code)
	for _, setting := range []string{"--profile", "--flood", "--mix", "duration", "--caller-hosts"} {
		require.Contains(t, errOut, setting)
	}
	host.Close()
	code, _, _ = runLoadCommand("--duration", "100ms")
	require.Equal(t, exit.Failure, code)
}
