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

// MetricKind is the type of a metric's instrument.
type MetricKind string

// The kinds of metrics.
const (
	Counter   MetricKind = "counter"
	Gauge     MetricKind = "gauge"
	Histogram MetricKind = "histogram"
	// ObservableCounter is a counter whose value a function returns at each scrape.
	ObservableCounter MetricKind = "observed counter"
)

// MetricDefinition describes a metric. Name is its name in a scrape.
type MetricDefinition struct {
	Name   string
	Kind   MetricKind
	Unit   string // UCUM: s, By, or 1 for none
	Labels []string
	Help   string // one sentence
}

// latencyBucketBounds are the upper bounds of histogram buckets in seconds. They
// are closest around 10 ms, where latency targets lie.
var latencyBucketBounds = []float64{
	0.0005, 0.001, 0.002, 0.004, 0.006, 0.008, 0.01, 0.015, 0.02, 0.03, 0.05, 0.1, 0.2, 0.5, 1, 2, 5, 10,
}

// Metrics holds one instrument per definition. It is safe for concurrent use.
type Metrics struct {
	registry           *prometheus.Registry
	provider           *sdk.MeterProvider
	meter              metric.Meter
	definitions        map[string]MetricDefinition
	recorders          map[string]func(float64, metric.MeasurementOption)
	observableCounters map[string]metric.Float64ObservableCounter
}

// UnknownMetricError reports a metric that is not defined or is used with the wrong
// kind or number of labels.
type UnknownMetricError struct {
	Name   string
	Labels int
}

// Error implements error.
func (e *UnknownMetricError) Error() string {
	return fmt.Sprintf("no metric %q of this kind with %d labels", e.Name, e.Labels)
}

// NewMetrics creates the instruments of all Definitions.
func NewMetrics() (*Metrics, error) {
	m := &Metrics{
		registry:           prometheus.NewRegistry(),
		definitions:        map[string]MetricDefinition{},
		recorders:          map[string]func(float64, metric.MeasurementOption){},
		observableCounters: map[string]metric.Float64ObservableCounter{},
	}
	// The names in Definitions already follow the Prometheus conventions, so the
	// exporter must not add suffixes.
	reader, err := exporter.New(exporter.WithRegisterer(m.registry),
		exporter.WithTranslationStrategy(otlptranslator.UnderscoreEscapingWithoutSuffixes), exporter.WithoutScopeInfo(), exporter.WithoutTargetInfo())
	if err != nil {
		return nil, err
	}
	m.provider = sdk.NewMeterProvider(sdk.WithReader(reader))
	m.meter = m.provider.Meter("parsleyrelay")
	for _, d := range Definitions {
		if err := m.createInstrument(d); err != nil {
			return nil, err
		}
	}
	return m, nil
}

func (m *Metrics) createInstrument(d MetricDefinition) error {
	m.definitions[d.Name] = d
	unit, help, ctx := metric.WithUnit(d.Unit), metric.WithDescription(d.Help), context.Background()
	switch d.Kind {
	case Counter:
		instrument, err := m.meter.Float64Counter(d.Name, unit, help)
		m.recorders[d.Name] = func(v float64, o metric.MeasurementOption) { instrument.Add(ctx, v, o) }
		return err
	case Gauge:
		instrument, err := m.meter.Float64Gauge(d.Name, unit, help)
		m.recorders[d.Name] = func(v float64, o metric.MeasurementOption) { instrument.Record(ctx, v, o) }
		return err
	case Histogram:
		instrument, err := m.meter.Float64Histogram(d.Name, unit, help, metric.WithExplicitBucketBoundaries(latencyBucketBounds...))
		m.recorders[d.Name] = func(v float64, o metric.MeasurementOption) { instrument.Record(ctx, v, o) }
		return err
	case ObservableCounter:
		instrument, err := m.meter.Float64ObservableCounter(d.Name, unit, help)
		m.observableCounters[d.Name] = instrument
		return err
	}
	return &UnknownMetricError{Name: d.Name}
}

// BoundMetric is a metric with fixed label values. Recording to it needs no lookup,
// which suits the request path.
type BoundMetric struct {
	record     func(float64, metric.MeasurementOption)
	attributes metric.MeasurementOption
}

// Bind returns a metric with the given label values, in the order of the
// definition's Labels.
func (m *Metrics) Bind(name string, values ...string) (BoundMetric, error) {
	d, record := m.definitions[name], m.recorders[name]
	if record == nil || len(values) != len(d.Labels) {
		return BoundMetric{}, &UnknownMetricError{Name: name, Labels: len(values)}
	}
	return BoundMetric{record: record, attributes: metric.WithAttributeSet(attributeSet(d, values))}, nil
}

func attributeSet(d MetricDefinition, values []string) attribute.Set {
	pairs := make([]attribute.KeyValue, len(values))
	for i, value := range values {
		pairs[i] = attribute.String(d.Labels[i], value)
	}
	return attribute.NewSet(pairs...)
}

// Record adds v to a counter, sets a gauge to v, or records v in a histogram.
func (b BoundMetric) Record(v float64) { b.record(v, b.attributes) }

// ObserveFunc registers read, which returns the value of an ObservableCounter at
// each scrape.
func (m *Metrics) ObserveFunc(name string, read func() float64, values ...string) error {
	d, instrument := m.definitions[name], m.observableCounters[name]
	if instrument == nil || len(values) != len(d.Labels) {
		return &UnknownMetricError{Name: name, Labels: len(values)}
	}
	attributes := metric.WithAttributeSet(attributeSet(d, values))
	_, err := m.meter.RegisterCallback(func(_ context.Context, o metric.Observer) error {
		o.ObserveFloat64(instrument, read(), attributes)
		return nil
	}, instrument)
	return err
}

// Handler serves the metrics in the Prometheus text format.
func (m *Metrics) Handler() http.Handler {
	return promhttp.HandlerFor(m.registry, promhttp.HandlerOpts{})
}

// Close shuts the meter provider down.
func (m *Metrics) Close(ctx context.Context) error { return m.provider.Shutdown(ctx) }

// MetricNames returns the names of all metrics in alphabetical order.
func MetricNames() []string {
	names := make([]string, len(Definitions))
	for i, d := range Definitions {
		names[i] = d.Name
	}
	return slices.Sorted(slices.Values(names))
}
