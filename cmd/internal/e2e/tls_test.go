package e2e

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// testCA is a certificate authority that signs certificates for 127.0.0.1.
type testCA struct {
	t    *testing.T
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
	pem  string
}

func newTestCA(t *testing.T) *testCA {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	require.NoError(t, err)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "test authority"},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		IsCA: true, BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign,
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	require.NoError(t, err)
	cert, err := x509.ParseCertificate(der)
	require.NoError(t, err)
	return &testCA{t: t, cert: cert, key: key, pem: string(pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der}))}
}

func (a *testCA) issueCertificate() (certPEM, keyPEM string) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	require.NoError(a.t, err)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(2), NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)}, KeyUsage: x509.KeyUsageDigitalSignature,
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	der, err := x509.CreateCertificate(rand.Reader, template, a.cert, &key.PublicKey, a.key)
	require.NoError(a.t, err)
	keyDER, err := x509.MarshalPKCS8PrivateKey(key)
	require.NoError(a.t, err)
	return string(pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der})),
		string(pem.EncodeToMemory(&pem.Block{Type: "PRIVATE KEY", Bytes: keyDER}))
}

// Guards against TLS settings that are accepted but not used: daemons must
// authenticate each other, connections of callers must be encrypted, and the peer
// listener must reject a certificate that another authority signed.
func TestMutualTLS(t *testing.T) {
	ca, otherCA := newTestCA(t), newTestCA(t)
	cert, key := ca.issueCertificate()
	roots := x509.NewCertPool()
	roots.AppendCertsFromPEM([]byte(ca.pem))
	f := newFixture(t, 2, 2, func(f *fixture) {
		f.scheme = "https"
		f.client = &http.Client{Timeout: 10 * time.Second, Transport: &http.Transport{TLSClientConfig: &tls.Config{RootCAs: roots}}}
		f.daemonEnv = []string{
			"PARSLEYRELAY_CALLER_CERT=" + cert, "PARSLEYRELAY_CALLER_KEY=" + key,
			"PARSLEYRELAY_PEER_CERT=" + cert, "PARSLEYRELAY_PEER_KEY=" + key, "PARSLEYRELAY_PEER_CA=" + ca.pem,
		}
	})
	for _, p := range f.daemons {
		f.awaitServing(p, startTimeout) // half of the keys are forwarded to the other daemon
		require.NotContains(t, p.output.String(), "insecure_mode")
	}
	untrustedCert, untrustedKey := otherCA.issueCertificate()
	untrusted, err := tls.X509KeyPair([]byte(untrustedCert), []byte(untrustedKey))
	require.NoError(t, err)
	client := &http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{
		TLSClientConfig: &tls.Config{RootCAs: roots, Certificates: []tls.Certificate{untrusted}},
	}}
	url := strings.Replace(f.daemons[0].peerURL, "http://", "https://", 1)
	_, err = client.Get(url + "/forward/v1/almacen/key-1/x")
	require.ErrorContains(t, err, "tls")
}
