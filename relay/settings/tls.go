package settings

import (
	"crypto/tls"
	"crypto/x509"

	"parsleyrelay.example/core/finding"
)

// checkTLS checks that each listener has a whole set of certificate and key,
// and that plaintext is either on loopback or asked for.
func (s *Settings) checkTLS(f *finding.List) {
	checkPair(f, FlagCallerCert, s.CallerCert, FlagCallerKey, s.CallerKey)
	checkPair(f, FlagPeerCert, s.PeerCert, FlagPeerKey, s.PeerKey)
	checkCA(f, FlagCallerCA, s.CallerCA)
	checkCA(f, FlagPeerCA, s.PeerCA)
	if s.CallerCA != "" && s.CallerCert == "" {
		f.Add(DescribeFlag(FlagCallerCA), "needs %s", DescribeFlag(FlagCallerCert))
	}
	if (s.PeerCert == "") != (s.PeerCA == "") {
		f.Add(DescribeFlag(FlagPeerCA), "peers authenticate each other: give both %s and %s, or neither", DescribeFlag(FlagPeerCert), DescribeFlag(FlagPeerCA))
	}
	if s.Insecure {
		return
	}
	if s.CallerCert == "" && leavesHost(s.CallerAddress) {
		f.Add(DescribeFlag(FlagCallerCert), "is required for address %s, which is not loopback (or set %s)", s.CallerAddress, DescribeFlag(FlagInsecure))
	}
	if s.CallerCert == "" && leavesHost(s.OperatorAddress) {
		f.Add(DescribeFlag(FlagCallerCert), "is required for the operators' address %s, which is not loopback (or set %s)", s.OperatorAddress, DescribeFlag(FlagInsecure))
	}
	if s.PeerCert == "" && leavesHost(s.PeerAddress) {
		f.Add(DescribeFlag(FlagPeerCert), "is required for address %s, which is not loopback (or set %s)", s.PeerAddress, DescribeFlag(FlagInsecure))
	}
}

func checkPair(f *finding.List, certFlag, cert, keyFlag, key string) {
	if (cert == "") != (key == "") {
		f.Add(DescribeFlag(certFlag), "%s and %s belong together", DescribeFlag(certFlag), DescribeFlag(keyFlag))
		return
	}
	if cert == "" {
		return
	}
	if _, err := tls.X509KeyPair([]byte(cert), []byte(key)); err != nil {
		f.Add(DescribeFlag(certFlag), "%v", err)
	}
}

func checkCA(f *finding.List, flag, pem string) {
	if pem != "" && !x509.NewCertPool().AppendCertsFromPEM([]byte(pem)) {
		f.Add(DescribeFlag(flag), "holds no certificate in PEM form")
	}
}

// CallerTLS returns the configuration of the caller and operator listeners, nil
// for plaintext. Validate must have passed.
func (s *Settings) CallerTLS() *tls.Config {
	return serverConfig(s.CallerCert, s.CallerKey, s.CallerCA)
}

// PeerTLS returns the configurations of the peer listener and of calls to other
// daemons, nil for plaintext. Both sides present certificates.
func (s *Settings) PeerTLS() (server, client *tls.Config) {
	server = serverConfig(s.PeerCert, s.PeerKey, s.PeerCA)
	if server == nil {
		return nil, nil
	}
	client = &tls.Config{
		MinVersion: tls.VersionTLS13, Certificates: server.Certificates, RootCAs: server.ClientCAs,
	}
	return server, client
}

func serverConfig(cert, key, ca string) *tls.Config {
	if cert == "" {
		return nil
	}
	pair, err := tls.X509KeyPair([]byte(cert), []byte(key))
	if err != nil {
		return nil // Validate has reported it
	}
	config := &tls.Config{MinVersion: tls.VersionTLS12, Certificates: []tls.Certificate{pair}}
	if ca != "" {
		config.ClientCAs = x509.NewCertPool()
		config.ClientCAs.AppendCertsFromPEM([]byte(ca))
		config.ClientAuth = tls.RequireAndVerifyClientCert
	}
	return config
}
