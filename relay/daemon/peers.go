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

// forwardConnections bounds the connections to one peer for forwarded requests.
const forwardConnections = 512

// peers holds the clients of other daemons: control calls and forwarding.
type peers struct {
	config *tls.Config
	calls  *peer.Client

	mu      sync.Mutex
	forward map[string]*backend.Client // by URL
}

func newPeers(self string, config *tls.Config, clock *event.Clock) *peers {
	return &peers{
		config: config, calls: peer.NewClient(self, peer.NewTransport(peerTransport(config), peer.Options{}), clock),
		forward: map[string]*backend.Client{},
	}
}

func (p *peers) forwarder(url string) (*backend.Client, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if s := p.forward[url]; s != nil {
		return s, nil
	}
	s, err := backend.New(backend.Options{BaseURL: url, TLS: p.config, MaxConnections: forwardConnections})
	if err == nil {
		p.forward[url] = s
	}
	return s, err
}

// Send implements frontend.PeerClient. The client of backend servers serves peers
// too: it never sends a request twice and tells whether anything was written.
func (p *peers) Send(ctx context.Context, url string, x frontend.PeerRequest) (*frontend.Response, bool, error) {
	s, err := p.forwarder(url)
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
	return answerOf(r), true, nil
}

func (p *peers) follow(view *ownership.View) {
	urls := make(map[string]bool, len(view.Members))
	for _, m := range view.Members {
		urls[m.PeerURL] = true
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	for url, s := range p.forward {
		if !urls[url] {
			s.Close()
			delete(p.forward, url)
		}
	}
}

func (p *peers) close() {
	p.calls.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, s := range p.forward {
		s.Close()
	}
}
