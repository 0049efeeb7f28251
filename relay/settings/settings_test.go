package settings

import (
	"testing"

	"github.com/stretchr/testify/require"
	"github.com/urfave/cli/v3"
)

// validSettings returns settings that pass Validate.
func validSettings() Settings {
	s := Defaults()
	s.Host, s.Zone, s.PlatformURL = "entry-1", "ate", "http://127.0.0.1:9000"
	return s
}

// Guards against a validation that stops at the first finding or reports a finding
// without the flag and the environment variable to correct.
func TestValidateReportsAllFindings(t *testing.T) {
	s := validSettings()
	require.Empty(t, s.Validate())
	s.Host = "Entry 1"
	s.CallerAddress = "example:80"
	s.PlatformURL = "ftp://x"
	s.MaxRequests = 0
	s.PeerCert = "x"
	findings := s.Validate()
	var places []string
	for _, f := range findings {
		places = append(places, f.Place)
	}
	require.Subset(t, places, []string{
		"flag --host (PARSLEYRELAY_HOST)",
		"flag --caller-address (PARSLEYRELAY_CALLER_ADDRESS)",
		"flag --platform-url (PARSLEYRELAY_PLATFORM_URL)",
		"flag --max-requests (PARSLEYRELAY_MAX_REQUESTS)",
		"flag --peer-cert (PARSLEYRELAY_PEER_CERT)",
	})
}

// Guards against plaintext on an address that is not loopback without --insecure.
func TestPlaintextNeedsLoopbackOrInsecure(t *testing.T) {
	s := validSettings()
	s.CallerAddress, s.PeerAddress = "10.0.0.1:80", "10.0.0.1:81"
	require.Len(t, s.Validate(), 2)
	s.Insecure = true
	require.Empty(t, s.Validate())
}

// Guards against a flag without an environment variable, which could not be set
// where the daemon is configured by variables only.
func TestEveryFlagHasAnEnvVar(t *testing.T) {
	s := Defaults()
	for _, flag := range Flags(&s) {
		documented, ok := flag.(cli.DocGenerationFlag)
		require.True(t, ok)
		require.Equal(t, []string{EnvVar(flag.Names()[0])}, documented.GetEnvVars(), flag.Names()[0])
	}
}
