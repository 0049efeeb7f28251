package e2e

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"parsleyrelay.example/api/operatorapi"
	"parsleyrelay.example/relay/telemetry"
)

func (p *daemonProcess) sendOperatorRequest(t *testing.T, method, path, body string, result any) int {
	t.Helper()
	r, err := http.NewRequest(method, p.operatorURL+path, strings.NewReader(body))
	require.NoError(t, err)
	r.Header.Set("Authorization", "Bearer "+operatorToken)
	resp, err := p.client.Do(r)
	require.NoError(t, err)
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	require.NoError(t, err)
	if result != nil {
		require.NoError(t, json.Unmarshal(data, result), "%s", data)
	}
	return resp.StatusCode
}

func casualRankBody(version uint64, floorPercent int) string {
	return fmt.Sprintf(`{"kind":"Rank","metadata":{"name":"casual","version":%d},"spec":{"level":1,"floorPercent":%d}}`, version, floorPercent)
}

// resourceStatus holds the fields of a resource response that the tests check.
type resourceStatus struct {
	Metadata struct{ Version uint64 } `json:"metadata"`
	Status   struct {
		InForce  []string `json:"inForce"`
		NotKnown []struct {
			Host string `json:"host"`
		} `json:"notKnown"`
	} `json:"status"`
}

// Guards against concurrent changes of the same version that are both accepted, a
// change that does not come into force on all hosts, a paused host that is listed
// as knowing the change, and a return to an old version when that host resumes.
func TestOperatorsAcrossHosts(t *testing.T) {
	f := newFixture(t, 3, 1)
	for _, p := range f.daemons {
		f.awaitServing(p, startTimeout)
	}
	var before resourceStatus
	f.daemons[0].sendOperatorRequest(t, http.MethodGet, "/v1/resources/Rank/casual", "", &before)

	codes := make([]int, 2)
	var writers sync.WaitGroup
	for i := range codes {
		writers.Go(func() {
			codes[i] = f.daemons[i].sendOperatorRequest(t, http.MethodPut, "/v1/resources/Rank/casual", casualRankBody(before.Metadata.Version, 20+i), nil)
		})
	}
	writers.Wait()
	require.ElementsMatch(t, []int{http.StatusOK, http.StatusConflict}, codes)

	var afterRace resourceStatus
	require.True(t, waitFor(func() bool {
		f.daemons[2].sendOperatorRequest(t, http.MethodGet, "/v1/resources/Rank/casual", "", &afterRace)
		return afterRace.Metadata.Version > before.Metadata.Version && len(afterRace.Status.InForce) == 3
	}), "the change is not in force on all hosts: %+v", &afterRace)

	f.daemons[2].signal(syscall.SIGSTOP)
	time.Sleep(1500 * time.Millisecond) // until the other hosts have read its last responses
	var change operatorapi.Change
	began := time.Now()
	code := f.daemons[0].sendOperatorRequest(t, http.MethodPut, "/v1/resources/Rank/casual", casualRankBody(afterRace.Metadata.Version, 30), &change)
	require.Equal(t, http.StatusOK, code, "%+v", change)
	t.Logf("accepted after %v with one host paused", time.Since(began))

	var current resourceStatus
	require.True(t, waitFor(func() bool {
		f.daemons[1].sendOperatorRequest(t, http.MethodGet, "/v1/resources/Rank/casual", "", &current)
		return current.Metadata.Version == change.Version
	}), "the change is not known to the other host: %+v", &current)
	require.NotContains(t, current.Status.InForce, f.daemons[2].name)
	f.daemons[2].signal(syscall.SIGCONT)
	var returned resourceStatus
	require.True(t, waitFor(func() bool {
		f.daemons[2].sendOperatorRequest(t, http.MethodGet, "/v1/resources/Rank/casual", "", &returned)
		require.GreaterOrEqual(t, returned.Metadata.Version, afterRace.Metadata.Version, "the host returned to an older version")
		return returned.Metadata.Version == change.Version && len(returned.Status.InForce) == 3
	}), "the change is not in force on all hosts: %+v", &returned)
}

// Guards against a change that is acknowledged while the log is unreachable.
func TestNoChangeWithoutTheLog(t *testing.T) {
	f := newFixture(t, 1, 1)
	p := f.daemons[0]
	f.awaitServing(p, startTimeout)
	var before resourceStatus
	p.sendOperatorRequest(t, http.MethodGet, "/v1/resources/Rank/casual", "", &before)
	f.setLogOutage(true)
	time.Sleep(4 * time.Second) // until the daemon's log reader detects the outage
	code := p.sendOperatorRequest(t, http.MethodPut, "/v1/resources/Rank/casual", casualRankBody(before.Metadata.Version, 40), nil)
	require.Contains(t, []int{http.StatusServiceUnavailable, http.StatusGatewayTimeout}, code)
	f.setLogOutage(false)
}

// Guards against metrics that are defined but never recorded.
func TestMetricsAreRecorded(t *testing.T) {
	f := newFixture(t, 2, 2)
	for _, p := range f.daemons {
		f.awaitServing(p, startTimeout)
	}
	stop := f.sendOrders(f.daemons)
	time.Sleep(3 * time.Second)
	stop()
	// Only the home of a server records some of the metrics, and which daemon becomes
	// the home depends on the incarnations, so the metrics of all daemons are joined.
	var scraped strings.Builder
	for _, p := range f.daemons {
		resp, err := http.Get(p.metricsURL)
		require.NoError(t, err)
		_, err = io.Copy(&scraped, resp.Body)
		require.NoError(t, err)
		require.NoError(t, resp.Body.Close())
	}
	for _, name := range []string{
		telemetry.MetricRequests, telemetry.MetricRequestTime, telemetry.MetricQueueTime, telemetry.MetricConcurrencyLimit,
		telemetry.MetricLeaseValid, telemetry.MetricAppliedOffset, telemetry.MetricLogReachable,
		telemetry.MetricLogAppends, telemetry.MetricCPU, telemetry.MetricControlBytes, telemetry.MetricHomes,
		telemetry.MetricKeyUnavailableTime, telemetry.MetricConfigEffectTime,
	} {
		require.Regexp(t, `(?m)^`+name+`(_count|\{| )`, scraped.String(), name)
	}
}
