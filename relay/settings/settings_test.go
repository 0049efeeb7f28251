package settings

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"encoding/pem"
	"math/big"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"parsleyrelay.example/core/finding"
)

func minimal() map[string]string {
	return map[string]string{"host": "h1", "availability-zone": "ate", "platform-url": "http://127.0.0.1:7000"}
}

// Guards against findings that are reported one at a time or without their place.
func TestAllFindingsAtOnce(t *testing.T) {
	s, err := Load(minimal())
	require.NoError(t, err)
	require.True(t, s.Plaintext())
	require.Equal(t, "http://127.0.0.1:7401", s.AdvertisedURL)
	_, err = Load(map[string]string{
		"caller-address": "localhost:1", "peer-address": "10.0.0.1:2", "operator-address": "127.0.0.1:7403",
		"max-requests": "many", "drain-timeout": "0s", "platform-url": "ftp://x", "tls-key": "k", "tls-ca": "c",
	})
	var found finding.List
	require.ErrorAs(t, err, &found)
	var places []string
	for _, f := range found {
		places = append(places, f.Place)
	}
	require.Contains(t, places, "flag --availability-zone (PARSLEYRELAY_AVAILABILITY_ZONE)")
	for _, name := range []string{"host", "caller-address", "metrics-address", "max-requests", "drain-timeout", "platform-url", "tls-certificate", "tls-ca"} {
		require.Contains(t, places, place(name))
	}
}

// Guards against plaintext beyond loopback that nobody asked for.
func TestPlaintextNeedsLoopbackOrInsecure(t *testing.T) {
	values := minimal()
	values["caller-address"] = "10.0.0.1:7400"
	_, err := Load(values)
	require.ErrorContains(t, err, "not on loopback")
	values["insecure"] = "true"
	_, err = Load(values)
	require.NoError(t, err)
}

// Guards against a peer listener that accepts a client without a certificate, and
// against configurations that do not trust one another.
func TestMutualTLS(t *testing.T) {
	certificate, key := selfSigned(t)
	values := minimal()
	values["tls-certificate"], values["tls-key"], values["tls-ca"] = certificate, key, certificate
	s, err := Load(values)
	require.NoError(t, err)
	require.Equal(t, "https://127.0.0.1:7401", s.AdvertisedURL)
	server, err := s.TLS.ForPeers()
	require.NoError(t, err)
	client, err := s.TLS.ForClients()
	require.NoError(t, err)
	client.ServerName = "127.0.0.1"
	require.NoError(t, handshake(t, server, client))
	client.Certificates = nil
	require.Error(t, handshake(t, server, client))
	callers, err := s.TLS.ForCallers()
	require.NoError(t, err)
	require.NoError(t, handshake(t, callers, client))
}

func handshake(t *testing.T, server, client *tls.Config) error {
	t.Helper()
	a, b := net.Pipe()
	defer a.Close()
	defer b.Close()
	ended := make(chan error, 1)
	go func() { ended <- tls.Server(a, server).HandshakeContext(t.Context()) }()
	c := tls.Client(b, client)
	if err := c.HandshakeContext(t.Context()); err != nil {
		return err
	}
	go func() { _, _ = c.Read(make([]byte, 1)) }()
	return <-ended
}

func selfSigned(t *testing.T) (certificate, key string) {
	t.Helper()
	private, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	require.NoError(t, err)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)}, IsCA: true, BasicConstraintsValid: true,
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &private.PublicKey, private)
	require.NoError(t, err)
	encoded, err := x509.MarshalPKCS8PrivateKey(private)
	require.NoError(t, err)
	return string(pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der})),
		string(pem.EncodeToMemory(&pem.Block{Type: "PRIVATE KEY", Bytes: encoded}))
}
