// Package settings holds the settings of the daemon, independent of the library
// that reads flags and environment variables. The daemon reads no files, so
// certificates and keys are values too.
package settings

import (
	"net"
	"net/netip"
	"net/url"
	"strconv"
	"strings"
	"time"

	"parsleyrelay.example/core/finding"
)

// Settings of a daemon.
type Settings struct {
	Host             string // name, unique among hosts
	AvailabilityZone string
	CallerAddress    string // listen addresses: IP number and port
	PeerAddress      string
	OperatorAddress  string
	MetricsAddress   string
	AdvertisedURL    string // base URL of the peer listener for other daemons
	PlatformURL      string
	OperatorToken    string // without it changes are rejected
	MaxBodyBytes     int
	MaxHeaderBytes   int
	MaxRequests      int // concurrent, at this entry host
	DrainTimeout     time.Duration
	Insecure         bool // plaintext on listeners that are not on loopback
	TLS              TLS
}

// TLS holds PEM texts. Empty texts mean plaintext.
type TLS struct {
	Certificate string // chain of the listeners, and of this daemon as a client
	Key         string
	CA          string // trusted for servers and peers; default: the system's
	CallerCA    string // if set, callers need a certificate of it
}

// Default returns the settings before flags and variables are read.
func Default() Settings {
	return Settings{
		CallerAddress:   "127.0.0.1:7400",
		PeerAddress:     "127.0.0.1:7401",
		OperatorAddress: "127.0.0.1:7402",
		MetricsAddress:  "127.0.0.1:7403",
		MaxBodyBytes:    16 << 20,
		MaxHeaderBytes:  64 << 10,
		MaxRequests:     10_000,
		DrainTimeout:    30 * time.Second,
	}
}

// Flag is one setting as a flag and an environment variable.
type Flag struct {
	Name   string // without dashes
	Help   string // one sentence
	Secret bool   // never shown; better given as a variable
	Switch bool   // a boolean flag

	text    func(*Settings) *string
	number  func(*Settings) *int
	period  func(*Settings) *time.Duration
	enabled func(*Settings) *bool
}

// Variable returns the name of the environment variable.
func (f Flag) Variable() string {
	return "PARSLEYRELAY_" + strings.ToUpper(strings.ReplaceAll(f.Name, "-", "_"))
}

// Place returns where the setting is given, for findings.
func (f Flag) Place() string { return "flag --" + f.Name + " (" + f.Variable() + ")" }

// Get returns the value as text; a secret is returned too.
func (f Flag) Get(s *Settings) string {
	switch {
	case f.text != nil:
		return *f.text(s)
	case f.number != nil:
		return strconv.Itoa(*f.number(s))
	case f.period != nil:
		return f.period(s).String()
	}
	return strconv.FormatBool(*f.enabled(s))
}

func (f Flag) set(s *Settings, value string, found *finding.List) {
	var err error
	switch {
	case f.text != nil:
		*f.text(s) = value
	case f.number != nil:
		*f.number(s), err = strconv.Atoi(value)
	case f.period != nil:
		*f.period(s), err = time.ParseDuration(value)
	default:
		*f.enabled(s), err = strconv.ParseBool(value)
	}
	if err != nil {
		found.Add(f.Place(), "%q cannot be read: %v", value, err)
	}
}

// Flags lists all settings.
var Flags = []Flag{
	{Name: "host", Help: "Name of this host, unique among all hosts.", text: func(s *Settings) *string { return &s.Host }},
	{Name: "availability-zone", Help: "Availability zone of this host.", text: func(s *Settings) *string { return &s.AvailabilityZone }},
	{Name: "caller-address", Help: "Listen address for callers, an IP number and a port.", text: func(s *Settings) *string { return &s.CallerAddress }},
	{Name: "peer-address", Help: "Listen address for other daemons.", text: func(s *Settings) *string { return &s.PeerAddress }},
	{Name: "operator-address", Help: "Listen address for operators.", text: func(s *Settings) *string { return &s.OperatorAddress }},
	{Name: "metrics-address", Help: "Listen address for scrapes and health checks.", text: func(s *Settings) *string { return &s.MetricsAddress }},
	{Name: "advertised-url", Help: "Base URL at which other daemons reach the peer listener; default: its listen address.", text: func(s *Settings) *string { return &s.AdvertisedURL }},
	{Name: "platform-url", Help: "Base URL of the platform's log service and host list.", text: func(s *Settings) *string { return &s.PlatformURL }},
	{Name: "operator-token", Secret: true, Help: "Bearer token for changes; without it they are rejected.", text: func(s *Settings) *string { return &s.OperatorToken }},
	{Name: "max-body-bytes", Help: "Bound on the body of a request.", number: func(s *Settings) *int { return &s.MaxBodyBytes }},
	{Name: "max-header-bytes", Help: "Bound on the headers of a request.", number: func(s *Settings) *int { return &s.MaxHeaderBytes }},
	{Name: "max-requests", Help: "Bound on concurrent requests at this host.", number: func(s *Settings) *int { return &s.MaxRequests }},
	{Name: "drain-timeout", Help: "Bound on a graceful shutdown.", period: func(s *Settings) *time.Duration { return &s.DrainTimeout }},
	{Name: "insecure", Switch: true, Help: "Allow plaintext on listeners that are not on loopback.", enabled: func(s *Settings) *bool { return &s.Insecure }},
	{Name: "tls-certificate", Help: "Certificate chain in PEM.", text: func(s *Settings) *string { return &s.TLS.Certificate }},
	{Name: "tls-key", Secret: true, Help: "Private key in PEM.", text: func(s *Settings) *string { return &s.TLS.Key }},
	{Name: "tls-ca", Help: "CA certificates of servers and daemons in PEM.", text: func(s *Settings) *string { return &s.TLS.CA }},
	{Name: "tls-caller-ca", Help: "CA certificates of callers in PEM; with it callers need a certificate.", text: func(s *Settings) *string { return &s.TLS.CallerCA }},
}

// Load reads values by flag name over the defaults and validates the result. The
// error is a finding.List with everything that is wrong.
func Load(values map[string]string) (Settings, error) {
	s := Default()
	var found finding.List
	for _, f := range Flags {
		if value, given := values[f.Name]; given {
			f.set(&s, value, &found)
		}
	}
	if s.AdvertisedURL == "" {
		s.AdvertisedURL = s.scheme() + "://" + s.PeerAddress
	}
	s.validate(&found)
	return s, found.Err()
}

// Validate returns a finding.List with everything that is wrong, or nil.
func (s Settings) Validate() error {
	var found finding.List
	s.validate(&found)
	return found.Err()
}

// Plaintext reports whether the listeners run without TLS (event 104).
func (s Settings) Plaintext() bool { return s.TLS.Certificate == "" && s.TLS.Key == "" }

func (s Settings) scheme() string {
	if s.Plaintext() {
		return "http"
	}
	return "https"
}

func place(name string) string { return Flag{Name: name}.Place() }

func (s Settings) validate(found *finding.List) {
	required := func(name, value string) {
		if strings.TrimSpace(value) == "" {
			found.Add(place(name), "is required")
		}
	}
	required("host", s.Host)
	required("availability-zone", s.AvailabilityZone)
	s.validateListeners(found)
	validateURL(found, "platform-url", s.PlatformURL)
	validateURL(found, "advertised-url", s.AdvertisedURL)
	if u, err := url.Parse(s.AdvertisedURL); err == nil && u.Scheme != s.scheme() && u.Scheme != "" {
		found.Add(place("advertised-url"), "has scheme %q, but the peer listener uses %q", u.Scheme, s.scheme())
	}
	for _, bound := range []struct {
		name  string
		value int
	}{{"max-body-bytes", s.MaxBodyBytes}, {"max-header-bytes", s.MaxHeaderBytes}, {"max-requests", s.MaxRequests}} {
		if bound.value < 1 {
			found.Add(place(bound.name), "must be at least 1, is %d", bound.value)
		}
	}
	if s.DrainTimeout <= 0 {
		found.Add(place("drain-timeout"), "must be positive, is %s", s.DrainTimeout)
	}
	s.TLS.validate(found)
}

func (s Settings) validateListeners(found *finding.List) {
	users := map[string]string{}
	for _, l := range []struct{ name, address string }{
		{"caller-address", s.CallerAddress}, {"peer-address", s.PeerAddress},
		{"operator-address", s.OperatorAddress}, {"metrics-address", s.MetricsAddress},
	} {
		address, err := netip.ParseAddrPort(l.address)
		if err != nil {
			found.Add(place(l.name), "%q is no IP number with a port", l.address)
			continue
		}
		if other := users[l.address]; other != "" && address.Port() != 0 {
			found.Add(place(l.name), "%s is taken by --%s", l.address, other)
		}
		users[l.address] = l.name
		if s.Plaintext() && !s.Insecure && !address.Addr().IsLoopback() {
			found.Add(place(l.name), "%s is not on loopback; set --tls-certificate and --tls-key, or --insecure", l.address)
		}
	}
}

func validateURL(found *finding.List, name, value string) {
	u, err := url.Parse(value)
	if err != nil || (u.Scheme != "http" && u.Scheme != "https") || net.ParseIP(u.Hostname()) == nil {
		found.Add(place(name), "%q is no http or https URL with an IP number", value)
	}
}
