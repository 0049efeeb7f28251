package modelcmd

import (
	"bytes"
	"context"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"parsleyrelay.example/cmd/internal/ctl"
	"parsleyrelay.example/cmd/internal/ctl/exit"
)

func runModelCommand(args ...string) (code int, out, errOut string) {
	var stdout, stderr bytes.Buffer
	code = ctl.Run(context.Background(), append([]string{"parsleyctl", "model"}, args...), strings.NewReader(""), &stdout, &stderr, Command())
	return code, stdout.String(), stderr.String()
}

// Guards against example scenarios that do not run, flags that are ignored, and files
// that are not written.
func TestExampleScenarios(t *testing.T) {
	examples, err := filepath.Glob("../../../../deploy/model/*.yaml")
	require.NoError(t, err)
	require.NotEmpty(t, examples)
	svg, data := filepath.Join(t.TempDir(), "a.svg"), filepath.Join(t.TempDir(), "a.json")
	t.Setenv("PARSLEYRELAY_MODEL_SEEDS", "7,8")
	for _, example := range examples {
		code, out, errOut := runModelCommand("--scenario", example, "--hosts", "5", "--svg-file", svg, "--json-file", data)
		require.Equal(t, exit.OK, code, errOut)
		require.Regexp(t, `(?m)^\w+ +5 +2 `, out)
		text, err := os.ReadFile(data)
		require.NoError(t, err)
		require.Contains(t, string(text), `"seed": 8`)
		text, err = os.ReadFile(svg)
		require.NoError(t, err)
		require.NotContains(t, string(text), "NaN")
	}
}

// Guards against problems of a scenario file that are reported one at a time, without
// their line, or not at all.
func TestFindingsOfAScenarioFile(t *testing.T) {
	file := filepath.Join(t.TempDir(), "s.yaml")
	require.NoError(t, os.WriteFile(file, []byte(`hosts: [0, many]
idleTimeout: 4
servers:
  id: s
  count: 1.5
  speed: 3
classes:
  - {name: a, share: -1, serviceTime: 1s, maxQueueWait: 1s, target: 1 s, deadline: 1s}
phases: none
`), 0o600))
	code, _, errOut := runModelCommand("--scenario", file, "--seeds", "1", "-o", "xml")
	require.Equal(t, exit.BadInput, code)
	for _, want := range []string{":1: hosts.0", ":1: hosts.1", ":2: idleTimeout", ":5: servers.count", ":6: servers.speed: unknown",
		":3: servers.slots", ":8: classes.0.share", ":8: classes.0.target", ":9: phases"} {
		require.Contains(t, errOut, file+want)
	}
	require.NotContains(t, errOut, "seeds")
	require.NotContains(t, errOut, "servers.slow")
	code, _, errOut = runModelCommand("--hosts", "0")
	require.Equal(t, exit.BadInput, code)
	require.Contains(t, errOut, "--scenario: is required")
	require.NoError(t, os.WriteFile(file, []byte("hosts: [1\n"), 0o600))
	code, _, _ = runModelCommand("--scenario", file)
	require.Equal(t, exit.BadInput, code)
}
