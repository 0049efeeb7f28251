package platform

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"parsleyrelay.example/api/platformapi"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

func serveRequest(h http.Handler, method, target, body string) *httptest.ResponseRecorder {
	w := httptest.NewRecorder()
	h.ServeHTTP(w, httptest.NewRequest(method, target, strings.NewReader(body)))
	return w
}

func readRecords(t *testing.T, h http.Handler, query string) platformapi.ReadResponse {
	t.Helper()
	w := serveRequest(h, http.MethodGet, platformapi.RecordsPath+"?"+query, "")
	require.Equal(t, http.StatusOK, w.Code)
	var response platformapi.ReadResponse
	require.NoError(t, json.Unmarshal(w.Body.Bytes(), &response))
	return response
}

// Guards against a long poll that returns before a record exists or misses an append.
func TestLongPollReturnsAtAppend(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := New(nil)
		go func() {
			time.Sleep(3 * time.Second)
			p.Append([]byte("a"))
		}()
		start := time.Now()
		require.Len(t, readRecords(t, p, "from=1&max=10&wait_ms=10000").Entries, 1)
		require.Equal(t, 3*time.Second, time.Since(start))
		require.Empty(t, readRecords(t, p, "from=2&max=10&wait_ms=1000").Entries)
		require.Equal(t, 4*time.Second, time.Since(start))
	})
}

// Guards against a lost response that also loses the record: tests would not cover a
// proposer that must find its appended record by the record's id.
func TestLostResponseKeepsAppendedRecord(t *testing.T) {
	p := New(nil)
	p.SetFaults(Faults{AppendsWithoutResponse: 1})
	require.Panics(t, func() { serveRequest(p, http.MethodPost, platformapi.RecordsPath, "a") })
	require.EqualValues(t, 1, p.Head())
	require.Equal(t, http.StatusOK, serveRequest(p, http.MethodPost, platformapi.RecordsPath, "b").Code)
	require.EqualValues(t, 2, p.Head())
}

// Guards against off-by-one errors of retention, Faults.ReadLimit and
// Faults.ReadLagRecords.
func TestReadBounds(t *testing.T) {
	now := time.Unix(1000, 0)
	p := New(func() time.Time { return now })
	for range 10 {
		p.Append([]byte("x"))
		now = now.Add(time.Second)
	}
	p.SetFaults(Faults{ReadLimit: 2, ReadLagRecords: 3})
	require.Len(t, readRecords(t, p, "from=1&max=10&wait_ms=0").Entries, 2)
	require.Len(t, readRecords(t, p, "from=7&max=10&wait_ms=0").Entries, 1)
	p.DropRecordsBelow(3)
	response := readRecords(t, p, "from=1&max=1&wait_ms=0")
	require.EqualValues(t, 3, response.Oldest)
	require.EqualValues(t, 3, response.Entries[0].Offset)
	p.SetRetention(5 * time.Second)
	require.EqualValues(t, 6, readRecords(t, p, "from=1&max=1&wait_ms=0").Oldest)
	p.DropRecordsOlderThan(0)
	require.EqualValues(t, 11, readRecords(t, p, "from=1&max=1&wait_ms=0").Oldest)
	require.EqualValues(t, 11, p.Append([]byte("y")))
}

// Guards against an outage of one endpoint that affects another, and against a long
// poll that continues after the start of an outage.
func TestOutageOfOneEndpoint(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := New(nil)
		north, south := p.EndpointFor("north"), p.EndpointFor("south")
		waiting := make(chan int)
		go func() {
			waiting <- serveRequest(north, http.MethodGet, platformapi.RecordsPath+"?from=1&max=1&wait_ms=20000", "").Code
		}()
		synctest.Wait()
		north.SetFaults(Faults{Outage: OutageRefuse})
		require.Equal(t, http.StatusServiceUnavailable, <-waiting)
		require.Equal(t, http.StatusServiceUnavailable, serveRequest(north, http.MethodPost, platformapi.RecordsPath, "a").Code)
		require.Equal(t, http.StatusOK, serveRequest(south, http.MethodPost, platformapi.RecordsPath, "a").Code)
		require.EqualValues(t, 1, p.Head())

		south.SetFaults(Faults{Outage: OutageHang})
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		r := httptest.NewRequestWithContext(ctx, http.MethodPost, platformapi.RecordsPath, strings.NewReader("b"))
		require.Panics(t, func() { south.ServeHTTP(httptest.NewRecorder(), r) })
		require.EqualValues(t, 1, p.Head())
	})
}

// Guards against an empty response with status 200, which no platform sends, when an
// outage starts and ends during a long poll.
func TestLongPollContinuesAfterAnOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := New(nil)
		endpoint := p.EndpointFor("north")
		response := make(chan *httptest.ResponseRecorder)
		go func() {
			response <- serveRequest(endpoint, http.MethodGet, platformapi.RecordsPath+"?from=1&max=1&wait_ms=20000", "")
		}()
		synctest.Wait()
		endpoint.SetFaults(Faults{Outage: OutageHang})
		synctest.Wait()
		endpoint.SetFaults(Faults{})
		synctest.Wait()
		p.Append([]byte("a"))
		var read platformapi.ReadResponse
		require.NoError(t, json.Unmarshal((<-response).Body.Bytes(), &read))
		require.Len(t, read.Entries, 1)
	})
}

// Guards against changes of the host list that become visible before the delay has
// passed, and against overrides that are not applied or not cleared.
func TestHostListDelayAndOverrides(t *testing.T) {
	now := time.Unix(1000, 0)
	p := New(func() time.Time { return now })
	p.SetHosts(platformapi.Host{Name: "a", State: platformapi.HostLive}, platformapi.Host{Name: "b", State: platformapi.HostLive})
	p.SetHostListDelay(5 * time.Second)
	require.Empty(t, p.Hosts().Hosts)
	now = now.Add(5 * time.Second)
	p.SetHosts(platformapi.Host{Name: "a", State: platformapi.HostLeaving})
	require.Len(t, p.Hosts().Hosts, 2)
	p.OverrideHost("b", HostOverride{Omitted: true})
	p.OverrideHost("c", HostOverride{State: platformapi.HostLive})
	require.ElementsMatch(t, []platformapi.Host{{Name: "a", State: platformapi.HostLive}, {Name: "c", State: platformapi.HostLive}}, p.Hosts().Hosts)
	p.ClearHostOverrides()
	now = now.Add(5 * time.Second)
	require.Equal(t, []platformapi.Host{{Name: "a", State: platformapi.HostLeaving}}, p.Hosts().Hosts)
}
