package ctl

import (
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

const checkedManifest = "kind: Rank\nmetadata: {name: fast}\nspec: {maxQueueMs: %MS%}\n---\nkind: Service\nmetadata: {name: store}\nspec: {ranks: [fast], defaultRank: fast}\n"

// Guards against scripts that cannot tell a clean configuration, one with findings and a check
// that was not made apart, and against a change that the report leaves out.
func TestConfigCheck(t *testing.T) {
	dir := t.TempDir()
	write := func(name, ms string) string {
		file := filepath.Join(dir, name)
		require.NoError(t, os.WriteFile(file, []byte(strings.ReplaceAll(checkedManifest, "%MS%", ms)), 0o600))
		return file
	}
	old, good, bad := write("old.yaml", "100"), write("good.yaml", "200"), write("bad.yaml", "9000")
	check := func(args ...string) (int, string) {
		var out, errOut strings.Builder
		code := Run(t.Context(), append([]string{"parsleyctl"}, args...), strings.NewReader(""), &out, &errOut)
		return code, out.String()
	}
	for _, c := range []struct {
		code int
		args []string
	}{
		{0, []string{"config", "check", good}},
		{1, []string{"config", "check", bad}},
		{2, []string{"config", "check", filepath.Join(dir, "missing.yaml")}},
		{2, []string{"config", "check"}},
		{2, []string{"config", "chekc", good}},
		{2, []string{"config", "check", "--against", filepath.Join(dir, "missing.yaml"), good}},
		{2, []string{"--output", "xml", "config", "check", good}},
		{2, []string{"--entry-hosts", "127.0.0.1:1", "--timeout", "100ms", "config", "check", good}}, // no host answers
	} {
		code, out := check(c.args...)
		require.Equal(t, c.code, code, "%v: %s", c.args, out)
	}
	code, out := check("--output", "json", "config", "check", good, "--against", old)
	require.Zero(t, code)
	var report struct {
		Findings []any
		Changes  []struct {
			Resource, Change string
			Fields           map[string]struct{ Declared, Manifest int }
		}
	}
	require.NoError(t, json.Unmarshal([]byte(out), &report))
	require.Empty(t, report.Findings)
	require.NotNil(t, report.Findings)
	require.Len(t, report.Changes, 1)
	require.Equal(t, "replace", report.Changes[0].Change)
	require.Equal(t, 200, report.Changes[0].Fields["maxQueueMs"].Manifest)
	_, out = check("config", "check", bad, "--against", old, "--output", "table")
	require.Contains(t, out, "bad.yaml:3:8: Rank/fast: spec.maxQueueMs")
	require.Contains(t, out, "a request may wait in the queue for 9000 ms, but its default deadline is 5000 ms")

	f := newFakeSystem(t)
	code, _ = check("--entry-hosts", f.hostURLs[0], "--operator-token", "secret", "apply", "-f", old)
	require.Zero(t, code)
	code, out = check("--entry-hosts", f.hostURLs[0], "--operator-token", "secret", "config", "check", good)
	require.Zero(t, code)
	require.Regexp(t, `maxQueueMs +100 +200`, out)
}
