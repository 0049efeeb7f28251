package settings

import (
	"crypto/tls"
	"crypto/x509"

	"parsleyrelay.example/core/finding"
)

// checkTLS checks that certificates come with their keys and CAs, and that
// listeners without a certificate are on loopback addresses unless Insecure is
// set.
func (s *Settings) checkTLS(findings *finding.List) {
	checkKeyPair(findings, FlagCallerCert, s.CallerCert, FlagCallerKey, s.CallerKey)
	checkKeyPair(findings, FlagPeerCert, s.PeerCert, FlagPeerKey, s.PeerKey)
	checkCA(findings, FlagCallerCA, s.CallerCA)
	checkCA(findings, FlagPeerCA, s.PeerCA)
	if s.CallerCA != "" && s.CallerCert == "" {
		findings.Add(DescribeFlag(FlagCallerCA), "requires %s", DescribeFlag(FlagCallerCert))
	}
	if (s.PeerCert == "") != (s.PeerCA == "") {
		findings.Add(DescribeFlag(FlagPeerCA), "peers authenticate each other: give both %s and %s, or neither", DescribeFlag(FlagPeerCert), DescribeFlag(FlagPeerCA))
	}
	if s.Insecure {
		return
	}
	if s.CallerCert == "" && isReachableFromOtherHosts(s.CallerAddress) {
		findings.Add(DescribeFlag(FlagCallerCert), "is required for address %s, which is not loopback (or set %s)", s.CallerAddress, DescribeFlag(FlagInsecure))
	}
	if s.CallerCert == "" && isReachableFromOtherHosts(s.OperatorAddress) {
		findings.Add(DescribeFlag(FlagCallerCert), "is required for the operators' address %s, which is not loopback (or set %s)", s.OperatorAddress, DescribeFlag(FlagInsecure))
	}
	if s.PeerCert == "" && isReachableFromOtherHosts(s.PeerAddress) {
		findings.Add(DescribeFlag(FlagPeerCert), "is required for address %s, which is not loopback (or set %s)", s.PeerAddress, DescribeFlag(FlagInsecure))
	}
}

func checkKeyPair(findings *finding.List, certFlag, cert, keyFlag, key string) {
	if (cert == "") != (key == "") {
		findings.Add(DescribeFlag(certFlag), "%s and %s must be set together", DescribeFlag(certFlag), DescribeFlag(keyFlag))
		return
	}
	if cert == "" {
		return
	}
	if _, err := tls.X509KeyPair([]byte(cert), []byte(key)); err != nil {
		findings.Add(DescribeFlag(certFlag), "%v", err)
	}
}

func checkCA(findings *finding.List, flag, pem string) {
	if pem != "" && !x509.NewCertPool().AppendCertsFromPEM([]byte(pem)) {
		findings.Add(DescribeFlag(flag), "contains no PEM certificate")
	}
}

// CallerTLS returns the TLS configuration of the caller and operator listeners, nil
// for plaintext. The settings must have passed Validate.
func (s *Settings) CallerTLS() *tls.Config {
	return serverTLSConfig(s.CallerCert, s.CallerKey, s.CallerCA)
}

// PeerTLS returns the TLS configurations of the peer listener and of calls to other
// daemons, nil for plaintext. Both sides present certificates (mutual TLS).
func (s *Settings) PeerTLS() (server, client *tls.Config) {
	server = serverTLSConfig(s.PeerCert, s.PeerKey, s.PeerCA)
	if server == nil {
		return nil, nil
	}
	client = &tls.Config{
		MinVersion: tls.VersionTLS13, Certificates: server.Certificates, RootCAs: server.ClientCAs,
	}
	return server, client
}

// serverTLSConfig returns the configuration of a listener. With a CA, clients must
// present a certificate that it issued.
func serverTLSConfig(cert, key, ca string) *tls.Config {
	if cert == "" {
		return nil
	}
	pair, err := tls.X509KeyPair([]byte(cert), []byte(key))
	if err != nil {
		return nil // Validate reports this error
	}
	config := &tls.Config{MinVersion: tls.VersionTLS12, Certificates: []tls.Certificate{pair}}
	if ca != "" {
		config.ClientCAs = x509.NewCertPool()
		config.ClientCAs.AppendCertsFromPEM([]byte(ca))
		config.ClientAuth = tls.RequireAndVerifyClientCert
	}
	return config
}
