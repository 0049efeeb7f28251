package e2e

import (
	"encoding/json"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"parsleyrelay.example/standin/server"
)

const ctlManifest = `
kind: Rank
metadata: {name: checks}
spec: {level: 1}
---
kind: Service
metadata: {name: cotizador}
spec: {ranks: [checks], defaultRank: checks, slices: 8}
---
kind: Server
metadata: {name: cotizador-1}
spec: {service: cotizador, zone: ate, address: "ADDRESS", slots: 6, connections: 110, checksGrants: true}
`

// runCtl runs parsleyctl with the addresses of all daemons, preceded by an address
// at which no entry host listens.
func (f *fixture) runCtl(args ...string) (stdout, stderr string, code int) {
	cmd := exec.Command(ctlBinary, args...)
	hosts := []string{"http://" + freeAddress(f.t)}
	for _, p := range f.daemons {
		hosts = append(hosts, p.operatorURL)
	}
	cmd.Env = append(os.Environ(), "PARSLEYRELAY_ENTRY_HOSTS="+strings.Join(hosts, ","), "PARSLEYRELAY_OPERATOR_TOKEN="+operatorToken)
	var out, errOut strings.Builder
	cmd.Stdout, cmd.Stderr = &out, &errOut
	if err := cmd.Run(); err != nil {
		require.IsType(f.t, &exec.ExitError{}, err)
	}
	return out.String(), errOut.String(), cmd.ProcessState.ExitCode()
}

// Guards against a daemon and a parsleyctl that do not work together: an operator
// declares a service with parsleyctl, a caller's request is served through any
// daemon, and the operator sees the owner and its history.
func TestTwoPrograms(t *testing.T) {
	f := newFixture(t, 2, 1)
	for _, p := range f.daemons {
		f.awaitServing(p, startTimeout)
	}
	s := server.New(server.Options{ServerName: "cotizador-1", ServiceName: "cotizador", ChecksGrants: true, Journal: f.journal})
	l, err := s.Start("127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { l.Close() })
	file := filepath.Join(t.TempDir(), "site.yaml")
	require.NoError(t, os.WriteFile(file, []byte(strings.Replace(ctlManifest, "ADDRESS", l.URL(), 1)), 0o600))

	out, errOut, code := f.runCtl("apply", "-f", file)
	require.Zero(t, code, "%s%s", out, errOut)
	require.Eventually(t, func() bool {
		return f.daemons[0].sendRequest(request{path: "/v1/cotizador/gamuza/precio"}).status == 200 &&
			f.daemons[1].sendRequest(request{path: "/v1/cotizador/gamuza/precio"}).status == 200
	}, startTimeout, 50*time.Millisecond)

	out, errOut, code = f.runCtl("-o", "json", "ownership", "cotizador", "gamuza")
	require.Zero(t, code, errOut)
	var owner struct{ Owner string }
	require.NoError(t, json.Unmarshal([]byte(out), &owner), out)
	require.Equal(t, "cotizador-1", owner.Owner)

	out, errOut, code = f.runCtl("ownership", "--history", "cotizador", "gamuza")
	require.Zero(t, code, errOut)
	require.Contains(t, out, "first placement")

	require.NoError(t, os.WriteFile(file, []byte("kind: Rank\nmetadata: {name: checks}\nspec: {levle: 1}\n"), 0o600))
	_, errOut, code = f.runCtl("apply", "-f", file)
	require.Equal(t, 2, code)
	require.Contains(t, errOut, "levle")
}
