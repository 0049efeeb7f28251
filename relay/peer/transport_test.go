package peer

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"parsleyrelay.example/api/peerv1"
	"parsleyrelay.example/relay/readlimit"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// fakePeerService implements the calls of Service. Polls by "slow" block until they time out.
type fakePeerService struct{ data []byte }

func (f *fakePeerService) Poll(ctx context.Context, r *peerv1.PollRequest) (*peerv1.PollResponse, error) {
	if r.Poller == "slow" {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	return &peerv1.PollResponse{Witness: "w", Applied: r.Applied + 1, Records: []*peerv1.LogRecord{{Offset: 1, Data: f.data}}}, nil
}

func (f *fakePeerService) Status(context.Context, *peerv1.StatusRequest) (*peerv1.StatusResponse, error) {
	return &peerv1.StatusResponse{Host: "h"}, nil
}

func (f *fakePeerService) Timeline(_ context.Context, r *peerv1.TimelineRequest) (*peerv1.TimelineResponse, error) {
	return &peerv1.TimelineResponse{EventsJson: []byte(r.FilterJson)}, nil
}

func (f *fakePeerService) TransferIDs(_ context.Context, r *peerv1.TransferIDsRequest) (*peerv1.TransferIDsResponse, error) {
	return &peerv1.TransferIDsResponse{Accepted: len(r.PartJson) > 0}, nil
}

// Guards against calls that do not reach their method, wait without limit, or accept
// messages of any size in either direction.
func TestCallsAndBounds(t *testing.T) {
	daemon := &fakePeerService{data: []byte("x")}
	options := Options{PollTimeout: 100 * time.Millisecond, CallTimeout: time.Second, MaxMessageBytes: 1000}
	server := httptest.NewServer(NewHandler(Service{daemon, daemon, daemon, daemon}, options))
	t.Cleanup(server.Close)
	client := NewTransport(&http.Transport{}, options)
	t.Cleanup(client.Close)

	poll, err := client.Poll(t.Context(), server.URL, &peerv1.PollRequest{Applied: 6})
	require.NoError(t, err)
	require.EqualValues(t, 7, poll.Applied)
	status, err := client.Status(t.Context(), server.URL, &peerv1.StatusRequest{})
	require.NoError(t, err)
	require.Equal(t, "h", status.Host)
	timeline, err := client.Timeline(t.Context(), server.URL, &peerv1.TimelineRequest{FilterJson: "{}"})
	require.NoError(t, err)
	require.Equal(t, "{}", string(timeline.EventsJson))
	transfer, err := client.TransferIDs(t.Context(), server.URL, &peerv1.TransferIDsRequest{PartJson: []byte("{}")})
	require.NoError(t, err)
	require.True(t, transfer.Accepted)

	start := time.Now()
	_, err = client.Poll(t.Context(), server.URL, &peerv1.PollRequest{Poller: "slow"})
	require.Error(t, err)
	require.Less(t, time.Since(start), time.Second)
	_, err = client.Timeline(t.Context(), server.URL, &peerv1.TimelineRequest{FilterJson: string(make([]byte, 2000))})
	require.Error(t, err, "request larger than the limit")
	daemon.data = make([]byte, 2000)
	_, err = client.Poll(t.Context(), server.URL, &peerv1.PollRequest{})
	var size *readlimit.ResponseTooLargeError
	require.ErrorAs(t, err, &size)
}
