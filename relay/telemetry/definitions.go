package telemetry

// Names of the metrics in a scrape.
const (
	MetricRequests              = "parsleyrelay_requests_total"
	MetricRequestTime           = "parsleyrelay_request_seconds"
	MetricQueueTime             = "parsleyrelay_queue_seconds"
	MetricQueuedRequests        = "parsleyrelay_queued_requests"
	MetricConcurrencyLimit      = "parsleyrelay_concurrency_limit"
	MetricRetries               = "parsleyrelay_retries_total"
	MetricReplacedRequests      = "parsleyrelay_requests_replaced_total"
	MetricReplays               = "parsleyrelay_replays_total"
	MetricKeyImbalance          = "parsleyrelay_key_imbalance_ratio"
	MetricMovedKeyShare         = "parsleyrelay_moved_key_share_total"
	MetricKeyUnavailableTime    = "parsleyrelay_key_unavailable_seconds"
	MetricSlices                = "parsleyrelay_slices"
	MetricHomes                 = "parsleyrelay_homes"
	MetricLeaseValid            = "parsleyrelay_prefix_lease_valid"
	MetricAppliedOffset         = "parsleyrelay_applied_offset"
	MetricLogReachable          = "parsleyrelay_log_reachable"
	MetricLogAppends            = "parsleyrelay_log_appends_total"
	MetricRingOverflows         = "parsleyrelay_ring_overflows_total"
	MetricTimelineOverwritten   = "parsleyrelay_timeline_overwritten_total"
	MetricCPU                   = "parsleyrelay_process_cpu_seconds_total"
	MetricControlBytes          = "parsleyrelay_control_bytes_total"
	MetricConfigEffectTime      = "parsleyrelay_configuration_effect_seconds"
	MetricStoreCalls            = "parsleyrelay_store_calls_total"
	MetricServerConnections     = "parsleyrelay_server_connections_total"
	MetricResponsesCutOff       = "parsleyrelay_responses_cut_off_total"
	MetricBrokenResponses       = "parsleyrelay_broken_responses_total"
	MetricCallerResponsesCutOff = "parsleyrelay_caller_responses_cut_off_total"
	MetricRequestPanics         = "parsleyrelay_request_panics_total"
	MetricLinesOmitted          = "parsleyrelay_log_lines_omitted_total"
	MetricConfigVersion         = "parsleyrelay_configuration_version"
	MetricStateUnconfirmed      = "parsleyrelay_state_unconfirmed"
	MetricStateAge              = "parsleyrelay_state_age_seconds"
	MetricCostErrorRatio        = "parsleyrelay_cost_error_ratio"
	MetricWorkInFlight          = "parsleyrelay_estimated_work_in_flight_seconds"
	MetricEvacuatedZones        = "parsleyrelay_evacuated_zones"
	MetricEvacuatedRanges       = "parsleyrelay_evacuated_ranges"
	MetricDownloadsRefused      = "parsleyrelay_downloads_refused_total"
	MetricDownloadBytes         = "parsleyrelay_download_bytes"
	MetricLinkWait              = "parsleyrelay_link_wait_seconds"
	MetricPermits               = "parsleyrelay_warmup_permits_total"
	MetricColdServers           = "parsleyrelay_cold_servers_seen_total"
	MetricStoreEra              = "parsleyrelay_store_era"
	MetricEntriesIgnored        = "parsleyrelay_entries_ignored_total"
)

// Definitions lists all metrics. docs/metrics.md has the same table; a test compares
// the two.
var Definitions = []MetricDefinition{
	{MetricRequests, Counter, "1", []string{"service", "rank", "outcome", "reason"}, "Requests that ended at this host as the callers' entry."},
	{MetricRequestTime, Histogram, "s", []string{"service", "rank", "outcome"}, "Time from the arrival of a request to the end of its response."},
	{MetricQueueTime, Histogram, "s", []string{"service", "rank"}, "Time that a request waited in the rank queue of its home."},
	{MetricQueuedRequests, Gauge, "1", []string{"server", "rank"}, "Requests in the rank queues of a server whose home this host is."},
	{MetricConcurrencyLimit, Gauge, "1", []string{"server"}, "Concurrency limit of a server whose home this host is."},
	{MetricRetries, Counter, "1", []string{"service", "rank"}, "Requests that were tried again."},
	{MetricReplacedRequests, Counter, "1", []string{"service", "cause"}, "Requests that were not sent to the server selected for them, because of what had become known of it since, and were placed anew."},
	{MetricReplays, Counter, "1", []string{"service"}, "Repeated requests that got the response of the first one."},
	{MetricKeyImbalance, Gauge, "1", []string{"service"}, "Load of the hottest server divided by the mean."},
	{MetricMovedKeyShare, Counter, "1", []string{"service", "cause"}, "Share of the key space that changed its owner, summed up."},
	{MetricKeyUnavailableTime, Histogram, "s", []string{"service", "rank"}, "Time that a request waited at its entry host because its key had no serving owner."},
	{MetricSlices, Gauge, "1", []string{"service", "state"}, "Slices by state."},
	{MetricHomes, Gauge, "1", nil, "Servers whose home this host is."},
	{MetricLeaseValid, Gauge, "1", nil, "1 while the host holds its prefix lease."},
	{MetricAppliedOffset, Gauge, "1", nil, "Offset of the last folded record."},
	{MetricLogReachable, Gauge, "1", nil, "1 while the platform's log can be read."},
	{MetricLogAppends, Counter, "1", []string{"result"}, "Appends to the platform's log."},
	{MetricRingOverflows, Counter, "1", []string{"ring"}, "Items that a full ring between two goroutines dropped or delayed."},
	{MetricTimelineOverwritten, ObservableCounter, "1", nil, "Events that were overwritten in the timeline."},
	{MetricCPU, ObservableCounter, "s", nil, "CPU time of the process, user and system."},
	{MetricControlBytes, Counter, "By", []string{"peer_kind", "direction"}, "Bytes of control messages with daemons, servers and the platform; of the platform only those received on the users' platform."},
	{MetricConfigEffectTime, Histogram, "s", nil, "Time from the acceptance of a change to its effect on this host."},
	{MetricStoreCalls, ObservableCounter, "1", []string{"purpose", "role"}, "Calls to the platform's store, refused ones too."},
	{MetricServerConnections, ObservableCounter, "1", nil, "Connections opened to backend servers."},
	{MetricResponsesCutOff, ObservableCounter, "1", []string{"limit"}, "Responses of servers and the store that were cut off: head and body by their size, memory by the sum of the bodies being read."},
	{MetricBrokenResponses, ObservableCounter, "1", []string{"part"}, "Responses of servers and the store that are no answer: head for an invalid one, body for one that ended early."},
	{MetricCallerResponsesCutOff, Counter, "1", []string{"reason"}, "Responses that callers may not have received in whole, by the reason."},
	{MetricRequestPanics, Counter, "1", nil, "Requests that ended by a panic of the code that handles them."},
	{MetricLinesOmitted, ObservableCounter, "1", nil, "Log lines that were left out because the ring was full or over the rate of routine lines."},
	{MetricConfigVersion, Gauge, "1", nil, "Version of the configuration in force; 0 for none."},
	{MetricStateAge, Gauge, "s", nil, "Time since the store sent the state that this host decides by; not set before the first read."},
	{MetricStateUnconfirmed, Gauge, "1", nil, "1 while this host refuses requests because its state is older than the bounds allow and the store may be reachable; not set before the first change."},
	{MetricCostErrorRatio, Gauge, "1", []string{"service"}, "Factor by which half of the requests differ from the estimate of their work at most; set every 10 s at services whose requests are placed by cost."},
	{MetricWorkInFlight, Gauge, "s", []string{"service"}, "Estimated work of this host's requests in flight; set every 10 s at services whose requests are placed by cost."},
	{MetricEvacuatedZones, Gauge, "1", nil, "Availability zones that this host knows to be evacuated; not set before the first evacuation."},
	{MetricEvacuatedRanges, Gauge, "1", []string{"service"}, "Key ranges that the leading host has still to move from evacuated servers; not set before the first evacuation."},
	{MetricDownloadsRefused, Counter, "1", []string{"service", "reason"}, "Downloads that were refused before they were sent to a server, because the link or the memory of the host has no room."},
	{MetricDownloadBytes, Gauge, "By", []string{"state"}, "Bytes of downloads: reserved ones are expected from servers, held ones are not taken by their callers yet; not set without --link-mbps."},
	{MetricLinkWait, Gauge, "s", nil, "Time until the link has delivered what has arrived for callers and is expected; not set without --link-mbps."},
	{MetricPermits, Counter, "1", []string{"result"}, "Permits for requests to cold servers that hosts asked this leader for: lent or refused."},
	{MetricColdServers, Counter, "1", []string{"evidence"}, "Servers that began to count as cold at this host, by the evidence."},
	{MetricStoreEra, Gauge, "1", nil, "Number of restores of the store from an older copy, as this host saw it last; not set while it is 0."},
	{MetricEntriesIgnored, Counter, "1", []string{"topic"}, "Entries of the store that this host read and left out, because they could not be used."},
}
