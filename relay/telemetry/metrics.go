package telemetry

import (
	"context"
	"fmt"
	"net/http"
	"slices"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"github.com/prometheus/otlptranslator"
	"go.opentelemetry.io/otel/attribute"
	exporter "go.opentelemetry.io/otel/exporters/prometheus"
	"go.opentelemetry.io/otel/metric"
	sdk "go.opentelemetry.io/otel/sdk/metric"
)

// MetricKind is the type of a metric.
type MetricKind string

// The kinds.
const (
	Counter   MetricKind = "counter"
	Gauge     MetricKind = "gauge"
	Histogram MetricKind = "histogram"
	// ObservableCounter is a counter whose value a function returns at each scrape.
	ObservableCounter MetricKind = "observed counter"
)

// MetricDefinition defines a metric. Name is the name in a scrape.
type MetricDefinition struct {
	Name   string
	Kind   MetricKind
	Unit   string // UCUM: s, By, or 1 for none
	Labels []string
	Help   string // one sentence
}

// latencyBounds of histograms in seconds; fine where targets lie (10 ms).
var latencyBounds = []float64{
	0.0005, 0.001, 0.002, 0.004, 0.006, 0.008, 0.01, 0.015, 0.02, 0.03, 0.05, 0.1, 0.2, 0.5, 1, 2, 5, 10,
}

// Metrics holds one instrument per definition. It is safe for concurrent use.
type Metrics struct {
	registry *prometheus.Registry
	provider *sdk.MeterProvider
	meter    metric.Meter
	metrics  map[string]MetricDefinition
	record   map[string]func(float64, metric.MeasurementOption)
	observed map[string]metric.Float64ObservableCounter
}

// UnknownMetricError reports a use that does not fit a definition.
type UnknownMetricError struct {
	Name   string
	Labels int
}

// Error implements error.
func (e *UnknownMetricError) Error() string {
	return fmt.Sprintf("no metric %q with %d labels", e.Name, e.Labels)
}

// NewMetrics returns the instruments of all Definitions.
func NewMetrics() (*Metrics, error) {
	m := &Metrics{
		registry: prometheus.NewRegistry(),
		metrics:  map[string]MetricDefinition{},
		record:   map[string]func(float64, metric.MeasurementOption){},
		observed: map[string]metric.Float64ObservableCounter{},
	}
	// The names of the definitions already follow Prometheus' conventions.
	reader, err := exporter.New(exporter.WithRegisterer(m.registry),
		exporter.WithTranslationStrategy(otlptranslator.UnderscoreEscapingWithoutSuffixes), exporter.WithoutScopeInfo(), exporter.WithoutTargetInfo())
	if err != nil {
		return nil, err
	}
	m.provider = sdk.NewMeterProvider(sdk.WithReader(reader))
	m.meter = m.provider.Meter("parsleyrelay")
	for _, d := range Definitions {
		if err := m.create(d); err != nil {
			return nil, err
		}
	}
	return m, nil
}

func (m *Metrics) create(d MetricDefinition) error {
	m.metrics[d.Name] = d
	unit, help, ctx := metric.WithUnit(d.Unit), metric.WithDescription(d.Help), context.Background()
	switch d.Kind {
	case Counter:
		instrument, err := m.meter.Float64Counter(d.Name, unit, help)
		m.record[d.Name] = func(v float64, o metric.MeasurementOption) { instrument.Add(ctx, v, o) }
		return err
	case Gauge:
		instrument, err := m.meter.Float64Gauge(d.Name, unit, help)
		m.record[d.Name] = func(v float64, o metric.MeasurementOption) { instrument.Record(ctx, v, o) }
		return err
	case Histogram:
		instrument, err := m.meter.Float64Histogram(d.Name, unit, help, metric.WithExplicitBucketBoundaries(latencyBounds...))
		m.record[d.Name] = func(v float64, o metric.MeasurementOption) { instrument.Record(ctx, v, o) }
		return err
	case ObservableCounter:
		instrument, err := m.meter.Float64ObservableCounter(d.Name, unit, help)
		m.observed[d.Name] = instrument
		return err
	}
	return &UnknownMetricError{Name: d.Name}
}

// BoundMetric is a metric with its label values, ready for use on the request path.
type BoundMetric struct {
	record     func(float64, metric.MeasurementOption)
	attributes metric.MeasurementOption
}

// Bind returns the metric with values for its labels, in their defined order.
func (m *Metrics) Bind(name string, values ...string) (BoundMetric, error) {
	d, record := m.metrics[name], m.record[name]
	if record == nil || len(values) != len(d.Labels) {
		return BoundMetric{}, &UnknownMetricError{Name: name, Labels: len(values)}
	}
	return BoundMetric{record: record, attributes: metric.WithAttributeSet(set(d, values))}, nil
}

func set(d MetricDefinition, values []string) attribute.Set {
	pairs := make([]attribute.KeyValue, len(values))
	for i, value := range values {
		pairs[i] = attribute.String(d.Labels[i], value)
	}
	return attribute.NewSet(pairs...)
}

// Record adds to a counter, sets a gauge, or records into a histogram.
func (b BoundMetric) Record(v float64) { b.record(v, b.attributes) }

// ObserveFunc makes read the source of an Observed metric.
func (m *Metrics) ObserveFunc(name string, read func() float64, values ...string) error {
	d, instrument := m.metrics[name], m.observed[name]
	if instrument == nil || len(values) != len(d.Labels) {
		return &UnknownMetricError{Name: name, Labels: len(values)}
	}
	attributes := metric.WithAttributeSet(set(d, values))
	_, err := m.meter.RegisterCallback(func(_ context.Context, o metric.Observer) error {
		o.ObserveFloat64(instrument, read(), attributes)
		return nil
	}, instrument)
	return err
}

// Handler answers scrapes in the Prometheus format.
func (m *Metrics) Handler() http.Handler {
	return promhttp.HandlerFor(m.registry, promhttp.HandlerOpts{})
}

// Close ends the collection.
func (m *Metrics) Close(ctx context.Context) error { return m.provider.Shutdown(ctx) }

// MetricNames returns the names of all definitions in order.
func MetricNames() []string {
	names := make([]string, len(Definitions))
	for i, d := range Definitions {
		names[i] = d.Name
	}
	return slices.Sorted(slices.Values(names))
}
