// Package settings holds the daemon's settings and their checks. Every setting
// is a flag with an environment variable; the daemon reads no files.
package settings

import (
	"net/netip"
	"net/url"
	"regexp"
	"time"

	"parsleyrelay.example/core/finding"
)

// Settings of a daemon. Names of flags and variables are in Flags.
type Settings struct {
	Host            string
	Zone            string
	CallerAddress   string // host:port with an IP number
	PeerAddress     string
	OperatorAddress string
	MetricsAddress  string // empty for none
	PeerURL         string // advertised; default: scheme and PeerAddress
	PlatformURL     string
	OperatorToken   string // empty: all changes are refused
	AnonymousRead   bool
	LogRetention    time.Duration // of the platform log
	MaxRequests     int64
	MaxHeaderBytes  int
	DrainTimeout    time.Duration
	Insecure        bool
	CallerCert      string // PEM
	CallerKey       string
	CallerCA        string // PEM; callers must then present a certificate of it
	PeerCert        string
	PeerKey         string
	PeerCA          string
	PolicyOff       bool
}

// Defaults returns the settings that need not be given.
func Defaults() Settings {
	return Settings{
		CallerAddress: "127.0.0.1:8080", PeerAddress: "127.0.0.1:8081",
		OperatorAddress: "127.0.0.1:8082", MetricsAddress: "127.0.0.1:8083",
		LogRetention: 24 * time.Hour, MaxRequests: 16384, MaxHeaderBytes: 64 << 10,
		DrainTimeout: 30 * time.Second,
	}
}

// Names of the flags. The variable of a flag is EnvPrefix and the flag in upper
// case with underscores.
const (
	FlagHost            = "host"
	FlagZone            = "availability-zone"
	FlagCallerAddress   = "caller-address"
	FlagPeerAddress     = "peer-address"
	FlagOperatorAddress = "operator-address"
	FlagMetricsAddress  = "metrics-address"
	FlagPeerURL         = "peer-url"
	FlagPlatformURL     = "platform-url"
	FlagOperatorToken   = "operator-token"
	FlagAnonymousRead   = "anonymous-read"
	FlagLogRetention    = "log-retention"
	FlagMaxRequests     = "max-requests"
	FlagMaxHeaderBytes  = "max-header-bytes"
	FlagDrainTimeout    = "drain-timeout"
	FlagInsecure        = "insecure"
	FlagCallerCert      = "caller-cert"
	FlagCallerKey       = "caller-key"
	FlagCallerCA        = "caller-ca"
	FlagPeerCert        = "peer-cert"
	FlagPeerKey         = "peer-key"
	FlagPeerCA          = "peer-ca"
	FlagPolicyOff       = "policy-off"
)

var namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9.-]{0,61}[a-z0-9])?$`)

// Bounds of the settings.
const (
	minRetention    = time.Minute
	maxHeaderBytes  = 1 << 20
	minDrainTimeout = time.Second
	maxDrainTimeout = 10 * time.Minute
)

// Validate returns all findings together, each with its flag and variable.
func (s *Settings) Validate() finding.List {
	var f finding.List
	checkName(&f, FlagHost, s.Host)
	checkName(&f, FlagZone, s.Zone)
	checkAddress(&f, FlagCallerAddress, s.CallerAddress)
	checkAddress(&f, FlagPeerAddress, s.PeerAddress)
	checkAddress(&f, FlagOperatorAddress, s.OperatorAddress)
	if s.MetricsAddress != "" {
		checkAddress(&f, FlagMetricsAddress, s.MetricsAddress)
	}
	checkURL(&f, FlagPlatformURL, s.PlatformURL)
	if s.PeerURL != "" {
		checkURL(&f, FlagPeerURL, s.PeerURL)
	}
	if s.LogRetention < minRetention {
		f.Add(DescribeFlag(FlagLogRetention), "%v is shorter than %v", s.LogRetention, minRetention)
	}
	if s.MaxRequests < 1 {
		f.Add(DescribeFlag(FlagMaxRequests), "%d is less than 1", s.MaxRequests)
	}
	if s.MaxHeaderBytes < 4096 || s.MaxHeaderBytes > maxHeaderBytes {
		f.Add(DescribeFlag(FlagMaxHeaderBytes), "%d is not between 4096 and %d", s.MaxHeaderBytes, maxHeaderBytes)
	}
	if s.DrainTimeout < minDrainTimeout || s.DrainTimeout > maxDrainTimeout {
		f.Add(DescribeFlag(FlagDrainTimeout), "%v is not between %v and %v", s.DrainTimeout, minDrainTimeout, maxDrainTimeout)
	}
	s.checkTLS(&f)
	return f
}

func checkName(f *finding.List, flag, value string) {
	if !namePattern.MatchString(value) {
		f.Add(DescribeFlag(flag), "%q is not a name of 1 to 63 lower-case letters, digits, dots and dashes", value)
	}
}

func checkAddress(f *finding.List, flag, value string) {
	if _, err := netip.ParseAddrPort(value); err != nil {
		f.Add(DescribeFlag(flag), "%q is not an IP number with a port", value)
	}
}

func checkURL(f *finding.List, flag, value string) {
	u, err := url.Parse(value)
	if err != nil || (u.Scheme != "http" && u.Scheme != "https") || u.Host == "" {
		f.Add(DescribeFlag(flag), "%q is not an http or https URL", value)
		return
	}
	if _, err := netip.ParseAddr(u.Hostname()); err != nil {
		f.Add(DescribeFlag(flag), "host %q is not an IP number", u.Hostname())
	}
}

// AdvertisedPeerURL returns the URL under which other daemons reach this one.
func (s *Settings) AdvertisedPeerURL() string {
	if s.PeerURL != "" {
		return s.PeerURL
	}
	scheme := "http"
	if s.PeerCert != "" {
		scheme = "https"
	}
	return scheme + "://" + s.PeerAddress
}

// leavesHost reports whether an address is reachable from other hosts. A
// malformed one has its own finding.
func leavesHost(address string) bool {
	parsed, err := netip.ParseAddrPort(address)
	return err == nil && !parsed.Addr().IsLoopback()
}
