// Package settings defines and validates the settings of a daemon. Every
// setting is a flag with an environment variable; the daemon reads no files, so
// certificates are passed as values.
package settings

import (
	"net/netip"
	"net/url"
	"regexp"
	"time"

	"parsleyrelay.example/core/finding"
)

// Settings of a daemon. Flags describes each of them.
type Settings struct {
	Host            string
	Zone            string
	CallerAddress   string // host:port with an IP number
	PeerAddress     string
	OperatorAddress string
	MetricsAddress  string // empty for none
	PeerURL         string // advertised to other daemons; see AdvertisedPeerURL
	PlatformURL     string
	OperatorToken   string // empty: all changes are refused
	AnonymousRead   bool
	LogRetention    time.Duration // how long the platform log keeps records
	MaxRequests     int64         // concurrent requests
	MaxHeaderBytes  int
	DrainTimeout    time.Duration
	Insecure        bool
	CallerCert      string // PEM
	CallerKey       string
	CallerCA        string // PEM; if set, callers must present a certificate that it issued
	PeerCert        string
	PeerKey         string
	PeerCA          string
	PolicyOff       bool // baseline for measurements: one FIFO queue per server, without ranks
}

// Defaults returns the default settings.
func Defaults() Settings {
	return Settings{
		CallerAddress: "127.0.0.1:8080", PeerAddress: "127.0.0.1:8081",
		OperatorAddress: "127.0.0.1:8082", MetricsAddress: "127.0.0.1:8083",
		LogRetention: 24 * time.Hour, MaxRequests: 16384, MaxHeaderBytes: 64 << 10,
		DrainTimeout: 30 * time.Second,
	}
}

// Names of the flags. EnvVar derives the environment variable of a flag.
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
	minRetention          = time.Minute
	headerBytesUpperBound = 1 << 20 // bytes
	minDrainTimeout       = time.Second
	maxDrainTimeout       = 10 * time.Minute
)

// Validate returns all findings, each with the flag and the environment variable
// that it is about.
func (s *Settings) Validate() finding.List {
	var findings finding.List
	checkName(&findings, FlagHost, s.Host)
	checkName(&findings, FlagZone, s.Zone)
	checkAddress(&findings, FlagCallerAddress, s.CallerAddress)
	checkAddress(&findings, FlagPeerAddress, s.PeerAddress)
	checkAddress(&findings, FlagOperatorAddress, s.OperatorAddress)
	if s.MetricsAddress != "" {
		checkAddress(&findings, FlagMetricsAddress, s.MetricsAddress)
	}
	checkURL(&findings, FlagPlatformURL, s.PlatformURL)
	if s.PeerURL != "" {
		checkURL(&findings, FlagPeerURL, s.PeerURL)
	}
	if s.LogRetention < minRetention {
		findings.Add(DescribeFlag(FlagLogRetention), "%v is shorter than %v", s.LogRetention, minRetention)
	}
	if s.MaxRequests < 1 {
		findings.Add(DescribeFlag(FlagMaxRequests), "%d is less than 1", s.MaxRequests)
	}
	if s.MaxHeaderBytes < 4096 || s.MaxHeaderBytes > headerBytesUpperBound {
		findings.Add(DescribeFlag(FlagMaxHeaderBytes), "%d is not between 4096 and %d", s.MaxHeaderBytes, headerBytesUpperBound)
	}
	if s.DrainTimeout < minDrainTimeout || s.DrainTimeout > maxDrainTimeout {
		findings.Add(DescribeFlag(FlagDrainTimeout), "%v is not between %v and %v", s.DrainTimeout, minDrainTimeout, maxDrainTimeout)
	}
	s.checkTLS(&findings)
	return findings
}

func checkName(findings *finding.List, flag, value string) {
	if !namePattern.MatchString(value) {
		findings.Add(DescribeFlag(flag), "%q is not a name of 1 to 63 lower-case letters, digits, dots and dashes", value)
	}
}

func checkAddress(findings *finding.List, flag, value string) {
	if _, err := netip.ParseAddrPort(value); err != nil {
		findings.Add(DescribeFlag(flag), "%q is not an IP address with a port", value)
	}
}

func checkURL(findings *finding.List, flag, value string) {
	u, err := url.Parse(value)
	if err != nil || (u.Scheme != "http" && u.Scheme != "https") || u.Host == "" {
		findings.Add(DescribeFlag(flag), "%q is not an http or https URL", value)
		return
	}
	if _, err := netip.ParseAddr(u.Hostname()); err != nil {
		findings.Add(DescribeFlag(flag), "host %q is not an IP address", u.Hostname())
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

// isReachableFromOtherHosts reports whether an address is not loopback. It returns
// false for a malformed address, which checkAddress reports.
func isReachableFromOtherHosts(address string) bool {
	parsed, err := netip.ParseAddrPort(address)
	return err == nil && !parsed.Addr().IsLoopback()
}
