package daemon

import (
	"context"
	"crypto/tls"
	"errors"
	"sync"

	"parsleyrelay.example/core/event"
	"parsleyrelay.example/core/ownership"
	"parsleyrelay.example/relay/backend"
	"parsleyrelay.example/relay/frontend"
	"parsleyrelay.example/relay/peer"
)

// maxForwardConnections bounds the connections to one peer for forwarded requests.
const maxForwardConnections = 512

// peerClientPool holds the clients for other daemons: one for control calls to all of
// them, and one per daemon for forwarded requests.
type peerClientPool struct {
	tlsConfig *tls.Config
	control   *peer.Client

	mu             sync.Mutex
	forwardClients map[string]*backend.Client // by URL
}

func newPeerClientPool(self string, config *tls.Config, clock *event.HybridClock) *peerClientPool {
	return &peerClientPool{
		tlsConfig: config, control: peer.NewClient(self, peer.NewTransport(peerTransport(config), peer.Options{}), clock),
		forwardClients: map[string]*backend.Client{},
	}
}

func (p *peerClientPool) forwardClient(url string) (*backend.Client, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if s := p.forwardClients[url]; s != nil {
		return s, nil
	}
	s, err := backend.New(backend.Options{BaseURL: url, TLS: p.tlsConfig, MaxConnections: maxForwardConnections})
	if err == nil {
		p.forwardClients[url] = s
	}
	return s, err
}

// Send implements frontend.PeerClient. It uses the client of package backend, which never
// sends a request twice and reports whether anything was written.
func (p *peerClientPool) Send(ctx context.Context, url string, x frontend.PeerRequest) (*frontend.Response, bool, error) {
	s, err := p.forwardClient(url)
	if err != nil {
		return nil, false, err
	}
	r, err := s.Do(ctx, &backend.Request{
		Method: x.Method, Path: x.Path, Header: x.Header, Body: x.Body, ContentLength: x.ContentLength,
	})
	if err != nil {
		var notSent *backend.NotSentError
		return nil, !errors.As(err, &notSent), err
	}
	return toFrontendResponse(r), true, nil
}

func (p *peerClientPool) closeUnusedClients(view *ownership.View) {
	urls := make(map[string]bool, len(view.Members))
	for _, m := range view.Members {
		urls[m.PeerURL] = true
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	for url, s := range p.forwardClients {
		if !urls[url] {
			s.Close()
			delete(p.forwardClients, url)
		}
	}
}

func (p *peerClientPool) close() {
	p.control.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, s := range p.forwardClients {
		s.Close()
	}
}
