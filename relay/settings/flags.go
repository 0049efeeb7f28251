package settings

import (
	"strings"

	"github.com/urfave/cli/v3"
)

// EnvPrefix is the prefix of the environment variables.
const EnvPrefix = "PARSLEYRELAY_"

// EnvVar returns the environment variable of a flag.
func EnvVar(flag string) string {
	return EnvPrefix + strings.ToUpper(strings.ReplaceAll(flag, "-", "_"))
}

// DescribeFlag names a setting in findings.
func DescribeFlag(flag string) string {
	return "flag --" + flag + " (" + EnvVar(flag) + ")"
}

// Flags returns the command-line flags that fill s.
func Flags(s *Settings) []cli.Flag {
	text := func(name, usage string, into *string) cli.Flag {
		return &cli.StringFlag{Name: name, Usage: usage, Value: *into, Destination: into, Sources: cli.EnvVars(EnvVar(name))}
	}
	toggle := func(name, usage string, into *bool) cli.Flag {
		return &cli.BoolFlag{Name: name, Usage: usage, Destination: into, Sources: cli.EnvVars(EnvVar(name))}
	}
	return []cli.Flag{
		text(FlagHost, "name of this host", &s.Host),
		text(FlagZone, "availability zone of this host", &s.Zone),
		text(FlagCallerAddress, "IP number and port for callers", &s.CallerAddress),
		text(FlagPeerAddress, "IP number and port for other daemons", &s.PeerAddress),
		text(FlagOperatorAddress, "IP number and port for operators", &s.OperatorAddress),
		text(FlagMetricsAddress, "IP number and port for metrics; empty for none", &s.MetricsAddress),
		text(FlagPeerURL, "URL under which other daemons reach this one; default from --peer-address", &s.PeerURL),
		text(FlagPlatformURL, "URL of the platform's log and host list", &s.PlatformURL),
		text(FlagOperatorToken, "bearer token of operators; without it all changes are refused", &s.OperatorToken),
		toggle(FlagAnonymousRead, "let operators' queries pass without token", &s.AnonymousRead),
		&cli.DurationFlag{Name: FlagLogRetention, Usage: "how long the platform's log keeps records", Value: s.LogRetention, Destination: &s.LogRetention, Sources: cli.EnvVars(EnvVar(FlagLogRetention))},
		&cli.Int64Flag{Name: FlagMaxRequests, Usage: "requests at a time", Value: s.MaxRequests, Destination: &s.MaxRequests, Sources: cli.EnvVars(EnvVar(FlagMaxRequests))},
		&cli.IntFlag{Name: FlagMaxHeaderBytes, Usage: "bytes of request headers", Value: s.MaxHeaderBytes, Destination: &s.MaxHeaderBytes, Sources: cli.EnvVars(EnvVar(FlagMaxHeaderBytes))},
		&cli.DurationFlag{Name: FlagDrainTimeout, Usage: "bound of a graceful shutdown", Value: s.DrainTimeout, Destination: &s.DrainTimeout, Sources: cli.EnvVars(EnvVar(FlagDrainTimeout))},
		toggle(FlagInsecure, "allow plaintext on addresses that are not loopback", &s.Insecure),
		text(FlagCallerCert, "certificate for callers and operators (PEM)", &s.CallerCert),
		text(FlagCallerKey, "its key (PEM)", &s.CallerKey),
		text(FlagCallerCA, "CA whose certificates callers and operators must present (PEM)", &s.CallerCA),
		text(FlagPeerCert, "certificate towards other daemons (PEM)", &s.PeerCert),
		text(FlagPeerKey, "its key (PEM)", &s.PeerKey),
		text(FlagPeerCA, "CA of the other daemons' certificates (PEM)", &s.PeerCA),
		toggle(FlagPolicyOff, "baseline for measurements: one FIFO queue per server without ranks", &s.PolicyOff),
	}
}
