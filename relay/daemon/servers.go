package daemon

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"net/http"
	"net/url"
	"strconv"
	"sync"

	"parsleyrelay.example/api/serverapi"
	"parsleyrelay.example/core/keyspace"
	"parsleyrelay.example/core/ownership"
	"parsleyrelay.example/relay/backend"
	"parsleyrelay.example/relay/frontend"
	"parsleyrelay.example/relay/home"
)

// homeConnectionShare is the share of a server's connection limit that its home uses. The
// rest is left for a former home that is still closing its connections.
const homeConnectionShare = 0.4

// serverClientPool holds one client per backend server. It implements
// control.ServerClient and home.Backend.
type serverClientPool struct {
	entryHost string

	mu      sync.Mutex
	clients map[string]*serverClient
	// Bytes of the control calls of clients that were closed.
	closedClientsSent, closedClientsReceived uint64
}

type serverClient struct {
	address     string
	connections int
	*backend.Client
}

func newServerClientPool(host string) *serverClientPool {
	return &serverClientPool{entryHost: host, clients: map[string]*serverClient{}}
}

// clientFor returns the client of a server and replaces it when the address or the
// connection limit of the server has changed. Control calls do not know the limit and
// pass 0, which keeps the present client. A client that is created with 0 has one
// connection and is replaced at the first request.
func (s *serverClientPool) clientFor(name, address string, connections int) (*backend.Client, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := s.clients[name]
	if c != nil && c.address == address && (connections == 0 || c.connections == connections) {
		return c.Client, nil
	}
	server, err := backend.New(backend.Options{
		BaseURL: address, MaxConnections: max(1, int(homeConnectionShare*float64(connections))),
	})
	if err != nil {
		return nil, err
	}
	if c != nil {
		s.closeClient(c)
	}
	s.clients[name] = &serverClient{address: address, connections: connections, Client: server}
	return server, nil
}

// controlTraffic returns the bytes sent and received by control calls so far.
func (s *serverClientPool) controlTraffic() (sent, received uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	sent, received = s.closedClientsSent, s.closedClientsReceived
	for _, c := range s.clients {
		sent += c.ControlTraffic().Sent.Load()
		received += c.ControlTraffic().Received.Load()
	}
	return sent, received
}

// closeClient closes a client and adds its byte counts to those of closed clients.
func (s *serverClientPool) closeClient(c *serverClient) {
	s.closedClientsSent += c.ControlTraffic().Sent.Load()
	s.closedClientsReceived += c.ControlTraffic().Received.Load()
	c.Close()
}

// closeUnusedClients closes the clients of servers whose home is no longer this daemon.
func (s *serverClientPool) closeUnusedClients(view *ownership.View) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for name, c := range s.clients {
		if server, ok := view.Servers[name]; !ok || !server.Local {
			s.closeClient(c)
			delete(s.clients, name)
		}
	}
}

func (s *serverClientPool) close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range s.clients {
		c.Close()
	}
}

// Grant implements control.ServerClient.
func (s *serverClientPool) Grant(ctx context.Context, g ownership.SendGrant) (ownership.GrantResponse, error) {
	c, err := s.clientFor(g.Server, g.Address, 0)
	if err != nil {
		return ownership.GrantResponse{}, err
	}
	r, err := c.Grant(ctx, serverapi.Grant{
		Service: g.Service, Server: g.Server, EntryHost: s.entryHost, Term: g.Term, SubTerm: g.SubTerm,
		Token: g.Token, TTLMS: g.TTL.Milliseconds(), SetVersion: g.SetVersion,
		HasSlices: g.HasSlices, Slices: encodeSlices(g.Slices),
	})
	if err != nil {
		return ownership.GrantResponse{}, err
	}
	heldSlices, err := decodeSlices(r.Held)
	if err != nil {
		return ownership.GrantResponse{}, err
	}
	releasedSlices, err := decodeSlices(r.Released)
	if err != nil {
		return ownership.GrantResponse{}, err
	}
	return ownership.GrantResponse{
		Accepted: r.Accepted, Instance: r.Instance, Token: r.Token, Term: r.Term, SubTerm: r.SubTerm,
		PreviousTerm: r.PreviousTerm, SetVersion: r.SetVersion, Held: heldSlices, Released: releasedSlices,
		Draining: r.Draining,
	}, nil
}

// Release implements control.ServerClient.
func (s *serverClientPool) Release(ctx context.Context, r ownership.SendRelease) (ownership.ReleaseCompleted, error) {
	c, err := s.clientFor(r.Server, r.Address, 0)
	if err != nil {
		return ownership.ReleaseCompleted{}, err
	}
	response, err := c.Release(ctx, serverapi.Release{
		Server: r.Server, Term: r.Term, SubTerm: r.SubTerm,
		Slices: encodeSlices([]ownership.SliceRef{r.Slice}), DeadlineMS: r.Timeout.Milliseconds(),
	})
	return ownership.ReleaseCompleted{Instance: response.Instance, Released: response.Done}, err
}

// Probe implements control.ServerClient.
func (s *serverClientPool) Probe(ctx context.Context, p ownership.SendProbe) (ownership.GrantResponse, error) {
	c, err := s.clientFor(p.Server, p.Address, 0)
	if err != nil {
		return ownership.GrantResponse{}, err
	}
	health, err := c.Probe(ctx)
	return ownership.GrantResponse{Accepted: true, Draining: health.Status == "draining"}, err
}

// claimedHealth returns the status that the health endpoint of a server reports, for
// display to operators. If there is none, it returns "no answer" or, when no client can be
// created, the error.
func (s *serverClientPool) claimedHealth(ctx context.Context, name, address string) string {
	c, err := s.clientFor(name, address, 0)
	if err != nil {
		return err.Error()
	}
	health, err := c.Probe(ctx)
	if err != nil {
		return "no answer"
	}
	return health.Status
}

// Do implements home.Backend.
func (s *serverClientPool) Do(ctx context.Context, call home.Call) (*frontend.Response, *home.Failure) {
	c, err := s.clientFor(call.Server, call.Spec.Address, call.Spec.Connections)
	if err != nil {
		return nil, &home.Failure{Kind: home.FailureNotSent, Err: err}
	}
	body, length := call.Request.Body.Open()
	response, err := c.Do(ctx, &backend.Request{
		Method: call.Request.Method, Path: call.Request.Path, Header: backendHeader(call),
		Body: body, ContentLength: length,
	})
	if err != nil {
		return nil, toFailure(err)
	}
	return toFrontendResponse(response), nil
}

func toFrontendResponse(r *backend.Response) *frontend.Response {
	return &frontend.Response{Status: r.Status, Header: r.Header, Body: r.Body, ContentLength: r.ContentLength}
}

// backendHeader copies the header of a request and adds its key, rank and id as well as the
// term, sub-term and generation, by which the server refuses requests of a former home.
func backendHeader(call home.Call) http.Header {
	h := http.Header{}
	maps.Copy(h, call.Request.Header)
	h.Set(serverapi.HeaderKey, url.PathEscape(call.Request.Key))
	h.Set(serverapi.HeaderKeyHash, fmt.Sprintf("%016x", call.Request.KeyHash))
	h.Set(serverapi.HeaderTerm, strconv.FormatUint(call.Term, 10))
	h.Set(serverapi.HeaderSubTerm, strconv.FormatUint(call.SubTerm, 10))
	h.Set(serverapi.HeaderGeneration, strconv.FormatUint(call.Generation, 10))
	h.Set(serverapi.HeaderRank, call.Request.RankName)
	h.Set(serverapi.HeaderRequestID, call.Request.ID)
	return h
}

func toFailure(err error) *home.Failure {
	var notSent *backend.NotSentError
	var refused *backend.RefusedError
	switch {
	case errors.As(err, &notSent):
		return &home.Failure{Kind: home.FailureNotSent, Err: err}
	case errors.As(err, &refused) && refused.Refusal == serverapi.RefusedOverload:
		return &home.Failure{Kind: home.FailureOverload, Err: err}
	case errors.As(err, &refused):
		return &home.Failure{Kind: home.FailureRefused, Err: err}
	}
	return &home.Failure{Kind: home.FailureMayHaveRun, Err: err}
}

func encodeSlices(refs []ownership.SliceRef) []serverapi.Slice {
	out := make([]serverapi.Slice, len(refs))
	for i, s := range refs {
		out[i] = serverapi.Slice{
			First: fmt.Sprintf("%016x", s.Range.First), Last: fmt.Sprintf("%016x", s.Range.Last),
			Generation: s.Generation,
		}
	}
	return out
}

func decodeSlices(list []serverapi.Slice) ([]ownership.SliceRef, error) {
	out := make([]ownership.SliceRef, len(list))
	for i, s := range list {
		first, err := strconv.ParseUint(s.First, 16, 64)
		if err != nil {
			return nil, fmt.Errorf("slice %d: first: %w", i, err)
		}
		last, err := strconv.ParseUint(s.Last, 16, 64)
		if err != nil {
			return nil, fmt.Errorf("slice %d: last: %w", i, err)
		}
		out[i] = ownership.SliceRef{Range: keyspace.Range{First: first, Last: last}, Generation: s.Generation}
	}
	return out, nil
}
