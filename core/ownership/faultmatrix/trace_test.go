package faultmatrix

import (
	"os"
	"slices"
	"strconv"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestTrace prints the trace of one run. FAULTMATRIX_TRACE identifies the run as
// "protocol:step:seed:fault[:fault]", as failures of TestFaultPairs do.
func TestTrace(t *testing.T) {
	spec := os.Getenv("FAULTMATRIX_TRACE")
	if spec == "" {
		return
	}
	parts := strings.Split(spec, ":")
	require.GreaterOrEqual(t, len(parts), 4)
	at, err := strconv.Atoi(parts[1])
	require.NoError(t, err)
	seed, err := strconv.ParseUint(parts[2], 10, 64)
	require.NoError(t, err)
	var list []fault
	for _, name := range parts[3:] {
		list = append(list, faultNamed(t, name))
	}
	r := runProtocol(protocolNamed(t, parts[0]), at, options{seed: seed}, list...)
	for _, line := range r.system.trace {
		t.Log(line)
	}
	t.Logf("longest time without service %s, steps %q", r.longestGap, r.system.protocolSteps)
	require.Empty(t, r.system.checker.violations)
}

func faultNamed(t *testing.T, name string, more ...fault) fault {
	for _, f := range slices.Concat(faults, more) {
		if f.name == name {
			return f
		}
	}
	t.Fatalf("no fault is named %q", name)
	return fault{}
}

func protocolNamed(t *testing.T, name string) protocol {
	for _, p := range protocols {
		if p.name == name {
			return p
		}
	}
	t.Fatalf("no protocol is named %q", name)
	return protocol{}
}
