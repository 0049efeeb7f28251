package telemetry

import (
	"fmt"
	"net/http/httptest"
	"os"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// tableRow returns the row of docs/metrics.md for d.
func tableRow(d MetricDefinition) string {
	labels := strings.Join(d.Labels, ", ")
	if labels == "" {
		labels = "none"
	}
	return fmt.Sprintf("| `%s` | %s | %s | %s | %s |", d.Name, d.Kind, d.Unit, labels, d.Help)
}

// Guards against a table in docs/metrics.md that differs from Definitions.
func TestMetricsPage(t *testing.T) {
	page, err := os.ReadFile("../../docs/metrics.md")
	require.NoError(t, err)
	var rows, expected []string
	for line := range strings.Lines(string(page)) {
		if strings.HasPrefix(line, "| `") {
			rows = append(rows, strings.TrimSpace(line))
		}
	}
	for _, d := range Definitions {
		expected = append(expected, tableRow(d))
	}
	require.Equal(t, strings.Join(expected, "\n"), strings.Join(rows, "\n"))
}

// Guards against a scrape that lacks a defined metric or changes its name.
func TestScrapeHasEveryMetric(t *testing.T) {
	m, err := NewMetrics()
	require.NoError(t, err)
	t.Cleanup(func() { require.NoError(t, m.Close(t.Context())) })
	for _, d := range Definitions {
		values := make([]string, len(d.Labels))
		for i := range values {
			values[i] = "v"
		}
		if d.Kind == ObservableCounter {
			require.NoError(t, m.ObserveFunc(d.Name, func() float64 { return 3 }, values...))
			continue
		}
		bound, err := m.Bind(d.Name, values...)
		require.NoError(t, err)
		bound.Record(3)
	}
	w := httptest.NewRecorder()
	m.Handler().ServeHTTP(w, httptest.NewRequest("GET", "/metrics", nil))
	for _, d := range Definitions {
		require.Contains(t, w.Body.String(), "# HELP "+d.Name+" "+d.Help+"\n")
	}
	require.Contains(t, w.Body.String(), MetricCPU+" 3\n")
	_, err = m.Bind(MetricHomes, "too many")
	require.Error(t, err)
}
