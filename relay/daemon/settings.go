package daemon

import (
	"crypto/tls"
	"net"
	"net/http"

	"github.com/go-kit/log"

	"parsleyrelay.example/core/event"
	"parsleyrelay.example/relay/platform"
	"parsleyrelay.example/relay/responsecheck"
	"parsleyrelay.example/relay/settings"
)

// FromSettings opens the listeners and returns a daemon. The settings must have passed
// Validate. An error names the address that could not be opened.
func FromSettings(s settings.Settings, logger log.Logger) (*Daemon, error) {
	peerServerTLS, peerClientTLS := s.PeerTLS()
	callerTLS := s.CallerTLS()
	var listeners Listeners
	for _, l := range []struct {
		into    *net.Listener
		address string
	}{
		{&listeners.Caller, s.CallerAddress},
		{&listeners.Operator, s.OperatorAddress},
		{&listeners.Metrics, s.MetricsAddress},
		{&listeners.Peer, s.PeerAddress},
	} {
		if l.address == "" {
			continue
		}
		opened, err := net.Listen("tcp", l.address)
		if err != nil {
			listeners.close()
			return nil, err
		}
		*l.into = opened
	}
	d, err := New(Options{
		Host: s.Host, Zone: s.Zone, PeerURL: s.AdvertisedPeerURL(), Listeners: listeners,
		Platform: platform.Options{BaseURL: s.PlatformURL}, Logger: logger, LogRetention: s.LogRetention,
		MaxRequests: s.MaxRequests, MaxHeaderBytes: s.MaxHeaderBytes, DrainTimeout: s.DrainTimeout,
		OperatorToken: s.OperatorToken, AnonymousRead: s.AnonymousRead,
		CallerTLS: callerTLS, PeerServerTLS: peerServerTLS, PeerTLS: peerClientTLS, PolicyOff: s.PolicyOff,
	})
	if err != nil {
		listeners.close()
		return nil, err
	}
	if callerTLS == nil || peerServerTLS == nil {
		d.sink.Emit(event.Event{Code: event.InsecureMode})
	}
	return d, nil
}

func (l *Listeners) close() {
	for _, open := range []net.Listener{l.Caller, l.Operator, l.Metrics, l.Peer} {
		if open != nil {
			_ = open.Close()
		}
	}
}

// peerTransport returns the transport of control calls. It keeps up to 4 idle connections
// per peer, since at most one poll per witness is in flight and other calls are rarer.
func peerTransport(config *tls.Config) *http.Transport {
	return responsecheck.SetDialers(&http.Transport{TLSClientConfig: config, MaxIdleConnsPerHost: 4})
}
