package settings

import (
	"strings"

	"github.com/urfave/cli/v3"
)

// EnvPrefix is the prefix of the environment variables of all settings.
const EnvPrefix = "PARSLEYRELAY_"

// EnvVar returns the environment variable of a flag.
func EnvVar(flag string) string {
	return EnvPrefix + strings.ToUpper(strings.ReplaceAll(flag, "-", "_"))
}

// DescribeFlag names a flag and its environment variable, as the Place of a
// finding.
func DescribeFlag(flag string) string {
	return "flag --" + flag + " (" + EnvVar(flag) + ")"
}

// Flags returns the command-line flags whose values are stored in s. The defaults
// are the values that s holds, and false for booleans.
func Flags(s *Settings) []cli.Flag {
	stringFlag := func(name, usage string, destination *string) cli.Flag {
		return &cli.StringFlag{Name: name, Usage: usage, Value: *destination, Destination: destination, Sources: cli.EnvVars(EnvVar(name))}
	}
	boolFlag := func(name, usage string, destination *bool) cli.Flag {
		return &cli.BoolFlag{Name: name, Usage: usage, Destination: destination, Sources: cli.EnvVars(EnvVar(name))}
	}
	return []cli.Flag{
		stringFlag(FlagHost, "name of this host", &s.Host),
		stringFlag(FlagZone, "availability zone of this host", &s.Zone),
		stringFlag(FlagCallerAddress, "IP number and port for callers", &s.CallerAddress),
		stringFlag(FlagPeerAddress, "IP number and port for other daemons", &s.PeerAddress),
		stringFlag(FlagOperatorAddress, "IP number and port for operators", &s.OperatorAddress),
		stringFlag(FlagMetricsAddress, "IP number and port for metrics; empty for none", &s.MetricsAddress),
		stringFlag(FlagPeerURL, "URL under which other daemons reach this one; default from --peer-address", &s.PeerURL),
		stringFlag(FlagPlatformURL, "URL of the platform's log and host list", &s.PlatformURL),
		stringFlag(FlagOperatorToken, "bearer token of operators; without it all changes are refused", &s.OperatorToken),
		boolFlag(FlagAnonymousRead, "let operators' queries pass without token", &s.AnonymousRead),
		&cli.DurationFlag{Name: FlagLogRetention, Usage: "how long the platform's log keeps records", Value: s.LogRetention, Destination: &s.LogRetention, Sources: cli.EnvVars(EnvVar(FlagLogRetention))},
		&cli.Int64Flag{Name: FlagMaxRequests, Usage: "requests at a time", Value: s.MaxRequests, Destination: &s.MaxRequests, Sources: cli.EnvVars(EnvVar(FlagMaxRequests))},
		&cli.IntFlag{Name: FlagMaxHeaderBytes, Usage: "bytes of request headers", Value: s.MaxHeaderBytes, Destination: &s.MaxHeaderBytes, Sources: cli.EnvVars(EnvVar(FlagMaxHeaderBytes))},
		&cli.DurationFlag{Name: FlagDrainTimeout, Usage: "bound of a graceful shutdown", Value: s.DrainTimeout, Destination: &s.DrainTimeout, Sources: cli.EnvVars(EnvVar(FlagDrainTimeout))},
		boolFlag(FlagInsecure, "allow plaintext on addresses that are not loopback", &s.Insecure),
		stringFlag(FlagCallerCert, "certificate for callers and operators (PEM)", &s.CallerCert),
		stringFlag(FlagCallerKey, "its key (PEM)", &s.CallerKey),
		stringFlag(FlagCallerCA, "CA whose certificates callers and operators must present (PEM)", &s.CallerCA),
		stringFlag(FlagPeerCert, "certificate towards other daemons (PEM)", &s.PeerCert),
		stringFlag(FlagPeerKey, "its key (PEM)", &s.PeerKey),
		stringFlag(FlagPeerCA, "CA of the other daemons' certificates (PEM)", &s.PeerCA),
		boolFlag(FlagPolicyOff, "baseline for measurements: one FIFO queue per server without ranks", &s.PolicyOff),
	}
}
