package settings

import (
	"crypto/tls"
	"crypto/x509"

	"parsleyrelay.example/core/finding"
)

// minVersion of TLS in both directions.
const minVersion = tls.VersionTLS12

func (t TLS) validate(found *finding.List) {
	if (t.Certificate == "") != (t.Key == "") {
		found.Add(place("tls-certificate"), "needs --tls-key, and the reverse")
	} else if t.Certificate != "" {
		if _, err := tls.X509KeyPair([]byte(t.Certificate), []byte(t.Key)); err != nil {
			found.Add(place("tls-certificate"), "does not form a pair with --tls-key: %v", err)
		}
	}
	for _, ca := range []struct{ name, text string }{{"tls-ca", t.CA}, {"tls-caller-ca", t.CallerCA}} {
		if ca.text != "" && pool(ca.text) == nil {
			found.Add(place(ca.name), "holds no certificate in PEM")
		}
	}
	if t.CallerCA != "" && t.Certificate == "" {
		found.Add(place("tls-caller-ca"), "needs --tls-certificate and --tls-key")
	}
	if t.Certificate != "" && t.CA == "" {
		found.Add(place("tls-ca"), "is required with --tls-certificate: daemons identify each other by it")
	}
}

// pool returns nil if text holds no certificate.
func pool(text string) *x509.CertPool {
	p := x509.NewCertPool()
	if !p.AppendCertsFromPEM([]byte(text)) {
		return nil
	}
	return p
}

// ForCallers returns the configuration of the caller listener, nil for
// plaintext. Callers need a certificate if CallerCA is set.
func (t TLS) ForCallers() (*tls.Config, error) {
	config, err := t.listener()
	if config != nil && t.CallerCA != "" {
		config.ClientCAs, config.ClientAuth = pool(t.CallerCA), tls.RequireAndVerifyClientCert
	}
	return config, err
}

// ForOperators returns the configuration of the operator and metrics listeners,
// nil for plaintext. Operators show a token instead of a certificate.
func (t TLS) ForOperators() (*tls.Config, error) { return t.listener() }

// ForPeers returns the configuration of the peer listener, nil for plaintext.
// Daemons need a certificate of CA.
func (t TLS) ForPeers() (*tls.Config, error) {
	config, err := t.listener()
	if config != nil {
		config.ClientCAs, config.ClientAuth = pool(t.CA), tls.RequireAndVerifyClientCert
	}
	return config, err
}

func (t TLS) listener() (*tls.Config, error) {
	if t.Certificate == "" {
		return nil, nil
	}
	pair, err := tls.X509KeyPair([]byte(t.Certificate), []byte(t.Key))
	if err != nil {
		return nil, err
	}
	return &tls.Config{MinVersion: minVersion, Certificates: []tls.Certificate{pair}}, nil
}

// ForClients returns the configuration for calls to peers, servers and the
// platform, with this daemon's certificate if it has one.
func (t TLS) ForClients() (*tls.Config, error) {
	config, err := t.listener()
	if err != nil {
		return nil, err
	}
	if config == nil {
		config = &tls.Config{MinVersion: minVersion}
	}
	if t.CA != "" {
		config.RootCAs = pool(t.CA)
	}
	return config, nil
}
