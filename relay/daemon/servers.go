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

// connectionShare is the part of a server's connections that its home uses. The
// rest is left for a former home whose connections still close.
const connectionShare = 0.4

// servers holds a client per backend server. It implements control.ServerClient and
// home.Backend.
type servers struct {
	host string

	mu      sync.Mutex
	clients map[string]*client
	// Bytes of control calls by clients that were dropped.
	formerSent, formerReceived uint64
}

type client struct {
	address     string
	connections int
	*backend.Client
}

func newServers(host string) *servers {
	return &servers{host: host, clients: map[string]*client{}}
}

// client returns the client of a server and replaces it when the address or the
// connection bound has changed. connections is 0 for control calls, which do
// not know it.
func (s *servers) client(name, address string, connections int) (*backend.Client, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := s.clients[name]
	if c != nil && c.address == address && (connections == 0 || c.connections == connections) {
		return c.Client, nil
	}
	server, err := backend.New(backend.Options{
		BaseURL: address, MaxConnections: max(1, int(connectionShare*float64(connections))),
	})
	if err != nil {
		return nil, err
	}
	if c != nil {
		s.drop(c)
	}
	s.clients[name] = &client{address: address, connections: connections, Client: server}
	return server, nil
}

// traffic returns the bytes of control calls so far.
func (s *servers) traffic() (sent, received uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	sent, received = s.formerSent, s.formerReceived
	for _, c := range s.clients {
		sent += c.ControlTraffic().Sent.Load()
		received += c.ControlTraffic().Received.Load()
	}
	return sent, received
}

// drop closes a client and keeps its byte counts.
func (s *servers) drop(c *client) {
	s.formerSent += c.ControlTraffic().Sent.Load()
	s.formerReceived += c.ControlTraffic().Received.Load()
	c.Close()
}

// follow drops the clients of servers that are not served here any more.
func (s *servers) follow(view *ownership.View) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for name, c := range s.clients {
		if server, ok := view.Servers[name]; !ok || !server.Local {
			s.drop(c)
			delete(s.clients, name)
		}
	}
}

func (s *servers) close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range s.clients {
		c.Close()
	}
}

// Grant implements control.ServerClient.
func (s *servers) Grant(ctx context.Context, g ownership.SendGrant) (ownership.GrantResponse, error) {
	c, err := s.client(g.Server, g.Address, 0)
	if err != nil {
		return ownership.GrantResponse{}, err
	}
	r, err := c.Grant(ctx, serverapi.Grant{
		Service: g.Service, Server: g.Server, EntryHost: s.host, Term: g.Term, SubTerm: g.SubTerm,
		Token: g.Token, TTLMS: g.TTL.Milliseconds(), SetVersion: g.SetVersion,
		HasSlices: g.HasSlices, Slices: encodeSlices(g.Slices),
	})
	if err != nil {
		return ownership.GrantResponse{}, err
	}
	held, err := decodeSlices(r.Held)
	if err != nil {
		return ownership.GrantResponse{}, err
	}
	released, err := decodeSlices(r.Released)
	if err != nil {
		return ownership.GrantResponse{}, err
	}
	return ownership.GrantResponse{
		Accepted: r.Accepted, Instance: r.Instance, Token: r.Token, Term: r.Term, SubTerm: r.SubTerm,
		PreviousTerm: r.PreviousTerm, SetVersion: r.SetVersion, Held: held, Released: released,
		Draining: r.Draining,
	}, nil
}

// Release implements control.ServerClient.
func (s *servers) Release(ctx context.Context, r ownership.SendRelease) (ownership.ReleaseCompleted, error) {
	c, err := s.client(r.Server, r.Address, 0)
	if err != nil {
		return ownership.ReleaseCompleted{}, err
	}
	answer, err := c.Release(ctx, serverapi.Release{
		Server: r.Server, Term: r.Term, SubTerm: r.SubTerm,
		Slices: encodeSlices([]ownership.SliceRef{r.Slice}), DeadlineMS: r.Timeout.Milliseconds(),
	})
	return ownership.ReleaseCompleted{Instance: answer.Instance, Released: answer.Done}, err
}

// Probe implements control.ServerClient.
func (s *servers) Probe(ctx context.Context, p ownership.SendProbe) (ownership.GrantResponse, error) {
	c, err := s.client(p.Server, p.Address, 0)
	if err != nil {
		return ownership.GrantResponse{}, err
	}
	health, err := c.Probe(ctx)
	return ownership.GrantResponse{Accepted: true, Draining: health.Status == "draining"}, err
}

// health returns what the health endpoint of a server claims, for display.
func (s *servers) health(ctx context.Context, name, address string) string {
	c, err := s.client(name, address, 0)
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
func (s *servers) Do(ctx context.Context, call home.Call) (*frontend.Response, *home.Failure) {
	c, err := s.client(call.Server, call.Spec.Address, call.Spec.Connections)
	if err != nil {
		return nil, &home.Failure{Kind: home.FailureNotSent, Err: err}
	}
	body, length := call.Request.Body.Open()
	response, err := c.Do(ctx, &backend.Request{
		Method: call.Request.Method, Path: call.Request.Path, Header: fenced(call),
		Body: body, ContentLength: length,
	})
	if err != nil {
		return nil, failureOf(err)
	}
	return answerOf(response), nil
}

func answerOf(r *backend.Response) *frontend.Response {
	return &frontend.Response{Status: r.Status, Header: r.Header, Body: r.Body, ContentLength: r.ContentLength}
}

func fenced(call home.Call) http.Header {
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

func failureOf(err error) *home.Failure {
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

func encodeSlices(list []ownership.SliceRef) []serverapi.Slice {
	out := make([]serverapi.Slice, len(list))
	for i, s := range list {
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
