// Package metric defines the Prometheus metrics of a daemon.
//
// # Usage
//
//	m := metric.New()
//	m.Requests.WithLabelValues("stockroom", "deposits", "ok").Inc()
//	http.Handle("/metrics", m.Handler())
package metric

import (
	"math"
	"net/http"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"
)

// A Set holds the metrics of one daemon.
type Set struct {
	// Requests counts requests by service, class and result.
	Requests *prometheus.CounterVec
	// QueueSeconds observes the time in seconds that requests waited at the holder.
	QueueSeconds *prometheus.HistogramVec
	// ServiceSeconds observes the time in seconds that targets took to answer.
	ServiceSeconds *prometheus.HistogramVec
	// Retries counts the attempts of requests after the first one.
	Retries *prometheus.CounterVec
	// QueuedRequests is the number of requests waiting at the holder.
	QueuedRequests *prometheus.GaugeVec
	// ShardImbalance is the number of shards that the target with the most shards owns above the mean.
	ShardImbalance *prometheus.GaugeVec
	// OwnershipChanges is the number of assignments of a shard to a target since the
	// daemon started or the division of the service last changed.
	OwnershipChanges *prometheus.GaugeVec
	// UnownedShards is the current number of shards without an owner.
	UnownedShards *prometheus.GaugeVec
	// UnownedSeconds is the sum over shards of the time in seconds without an owner.
	UnownedSeconds *prometheus.CounterVec
	// StoreCalls counts calls to the platform's store by kind of call and result.
	StoreCalls *prometheus.CounterVec
	// ControlBytes counts the bytes of control calls between daemons by direction.
	ControlBytes *prometheus.CounterVec
	// ControlHeartbeats counts heartbeats between daemons by direction.
	ControlHeartbeats *prometheus.CounterVec
	// TargetConnections counts connections opened to targets.
	TargetConnections *prometheus.CounterVec
	// Quarantined counts requests that were quarantined because they crash targets.
	Quarantined *prometheus.CounterVec
	// SilentConnections counts late responses of targets that answered a probe on a
	// new connection.
	SilentConnections *prometheus.CounterVec
	// LimitedAttempts counts requests sent to targets that state a rate limit.
	LimitedAttempts *prometheus.CounterVec
	// LeavingAttempts counts requests sent to targets that have stated that they leave.
	LeavingAttempts *prometheus.CounterVec
	// CompletionRatio observes the response times of targets that state their load, as multiples of the times expected
	// when the requests were sent.
	CompletionRatio *prometheus.HistogramVec
	// RelayedRequests counts requests passed on between hosts, by side (sent or served) and result.
	RelayedRequests *prometheus.CounterVec
	// CutOff is 1 while the host has lost all targets, and 0 otherwise.
	CutOff *prometheus.GaugeVec
	// UnhandledRequests counts connections of callers and other hosts that ended with a request that no handler got.
	UnhandledRequests *prometheus.CounterVec
	// RequestsAhead is the number of requests that were passed on before the responses to all earlier requests of
	// their connections were written.
	RequestsAhead *prometheus.GaugeVec
	// RequestBytes is the number of bytes reserved for headers and bodies of callers.
	RequestBytes *prometheus.GaugeVec
	// ResponseBytes is the number of bytes reserved for responses.
	ResponseBytes *prometheus.GaugeVec
	// RequestsRefused counts requests that were refused for lack of memory, by reason.
	RequestsRefused *prometheus.CounterVec
	// HeadersRefused counts requests whose headers exceeded a limit, by reason.
	HeadersRefused *prometheus.CounterVec
	// StreamsStalled counts requests that were ended because their streamed bodies stalled while others waited, by service.
	StreamsStalled *prometheus.CounterVec
	// ConnectionsEnded counts callers' connections that were closed because of the bound on connections, by what they did.
	ConnectionsEnded *prometheus.CounterVec
	// Refusals counts the requests that were refused and have not run, by service, route and reason.
	Refusals *prometheus.CounterVec
	// Probes counts the connections opened to find out whether the host has lost all targets, by result.
	Probes *prometheus.CounterVec
	// EvacuatedDataCentres is 1 for each data centre that operators evacuate.
	EvacuatedDataCentres *prometheus.GaugeVec
	// EvacuationsIgnored is 1 for each service of which the evacuated data centres hold all usable targets.
	EvacuationsIgnored *prometheus.GaugeVec
	// PacedTargets is the number of targets that are cold or recovering and get requests at a pace, by service.
	PacedTargets *prometheus.GaugeVec

	registry *prometheus.Registry
}

// New returns a Set of registered metrics, all at zero.
func New() *Set {
	buckets := prometheus.ExponentialBuckets(0.0005, 2, 16)
	s := &Set{
		registry:          prometheus.NewRegistry(),
		Requests:          counter("requests_total", "Requests by service, class and result.", "service", "class", "result"),
		QueueSeconds:      histogram("queue_seconds", "Time that requests waited.", buckets, "service", "class"),
		ServiceSeconds:    histogram("service_seconds", "Time that targets took.", buckets, "service", "class"),
		Retries:           counter("retries_total", "Further attempts of requests.", "service"),
		QueuedRequests:    gauge("queued_requests", "Waiting requests.", "service"),
		ShardImbalance:    gauge("shard_imbalance", "Shards of the fullest target above the mean.", "service"),
		OwnershipChanges:  gauge("ownership_changes", "Shards given to a server since the start.", "service"),
		UnownedShards:     gauge("unserved_shards", "Shards without an owner.", "service"),
		UnownedSeconds:    counter("unserved_seconds_total", "Sum over shards of the time without an owner.", "service"),
		StoreCalls:        counter("store_calls_total", "Calls of the platform.", "call", "result"),
		ControlBytes:      counter("control_bytes_total", "Bytes of control calls between daemons.", "direction"),
		ControlHeartbeats: counter("control_heartbeats_total", "Heartbeats between daemons.", "direction"),
		TargetConnections: counter("target_connections_total", "Connections opened to targets.", "service"),
		Quarantined:       counter("set_asides_total", "Requests that were set aside.", "service"),
		SilentConnections: counter("silent_connections_total", "Connections that were found silent.", "service"),
		LeavingAttempts:   counter("leaving_attempts_total", "Requests sent to targets that have stated that they leave.", "service"),
		LimitedAttempts:   counter("limited_attempts_total", "Requests sent to targets that state a rate limit.", "service"),
		CompletionRatio:   histogram("completion_ratio", "Response time of targets as a multiple of the expected one.", prometheus.ExponentialBuckets(0.125, math.Sqrt2, 15), "service"),
		RelayedRequests:   counter("relayed_requests_total", "Requests passed on between hosts, by side and result.", "side", "result"),
		CutOff:            gauge("cut_off", "Whether the host has lost all targets."),
		UnhandledRequests: counter("unhandled_requests_total", "Requests that were read and not handled."),
		RequestsAhead:     gauge("requests_ahead", "Requests passed on before earlier requests of their connections were answered."),
		RequestBytes:      gauge("request_bytes", "Bytes reserved for headers and bodies of callers."),
		ResponseBytes:     gauge("response_bytes", "Bytes reserved for responses."),
		RequestsRefused:   counter("requests_refused_total", "Requests refused for lack of memory.", "reason"),
		HeadersRefused:    counter("headers_refused_total", "Requests whose headers exceeded a limit.", "reason"),
		StreamsStalled:    counter("streams_stalled_total", "Requests ended because their streamed bodies stalled.", "service"),
		ConnectionsEnded:  counter("connections_ended_total", "Connections closed because of the bound on connections.", "reason"),
		Refusals:          counter("refusals_total", "Requests that were refused and have not run, by route and reason.", "service", "route", "reason"),
		Probes:            counter("probes_total", "Connection attempts that look for a path to targets.", "result"),

		EvacuatedDataCentres: gauge("evacuated_data_centres", "Whether a data centre is evacuated.", "data_centre"),
		EvacuationsIgnored:   gauge("evacuations_ignored", "Whether a service has usable targets in evacuated data centres only.", "service"),
		PacedTargets:         gauge("paced_targets", "Cold or recovering targets.", "service"),
	}
	s.registry.MustRegister(
		s.Requests, s.QueueSeconds, s.ServiceSeconds, s.Retries, s.QueuedRequests, s.ShardImbalance, s.OwnershipChanges,
		s.UnownedShards, s.UnownedSeconds, s.StoreCalls, s.ControlBytes, s.ControlHeartbeats, s.TargetConnections, s.Quarantined, s.SilentConnections,
		s.LeavingAttempts, s.LimitedAttempts, s.CompletionRatio, s.RelayedRequests, s.CutOff, s.Probes, s.UnhandledRequests,
		s.RequestsAhead,
		s.EvacuatedDataCentres, s.EvacuationsIgnored,
		s.RequestBytes, s.ResponseBytes, s.RequestsRefused, s.HeadersRefused, s.StreamsStalled, s.ConnectionsEnded,
		s.PacedTargets,
		s.Refusals,
		collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}),
	)
	return s
}

// Handler serves the metrics in the Prometheus text format.
func (s *Set) Handler() http.Handler {
	return promhttp.HandlerFor(s.registry, promhttp.HandlerOpts{})
}

// RegisterGauge adds a gauge without labels, whose value is read from f at each collection.
func (s *Set) RegisterGauge(name, help string, f func() float64) {
	s.registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Namespace: namespace, Name: name, Help: help}, f))
}

const namespace = "redwingtally"

func counter(name, help string, labels ...string) *prometheus.CounterVec {
	return prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: namespace, Name: name, Help: help}, labels)
}

func gauge(name, help string, labels ...string) *prometheus.GaugeVec {
	return prometheus.NewGaugeVec(prometheus.GaugeOpts{Namespace: namespace, Name: name, Help: help}, labels)
}

func histogram(name, help string, buckets []float64, labels ...string) *prometheus.HistogramVec {
	return prometheus.NewHistogramVec(prometheus.HistogramOpts{Namespace: namespace, Name: name, Help: help, Buckets: buckets}, labels)
}
