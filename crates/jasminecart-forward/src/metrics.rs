//! Metrics of a forwarding process.

use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::Histogram;
use prometheus_client::registry::Registry;

/// Upper bounds of the latency buckets, in seconds. They cover the objectives of 150 to 500 ms and the deadlines
/// of 1 to 5 s.
const LATENCY_BUCKETS: [f64; 13] =
    [0.005, 0.01, 0.025, 0.05, 0.075, 0.1, 0.15, 0.2, 0.35, 0.5, 1.0, 2.0, 5.0];

/// The names of the sources of routes and targets in metrics and logs.
pub(crate) const SOURCE_NAMES: [&str; 4] = ["starting", "reader", "alone", "peers"];

/// The label of metrics per route. Operators configure routes, which bounds its cardinality.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(crate) struct RouteLabel {
    pub(crate) route: String,
}

/// The label of metrics per cause for which a packet was not forwarded or accepted.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(crate) struct CauseLabel {
    pub(crate) cause: &'static str,
}

/// The label of the metric that counts outdated entries.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(crate) struct KindLabel {
    pub(crate) kind: &'static str,
}

/// The label of the metric that tells where routes and targets come from.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(crate) struct SourceLabel {
    pub(crate) source: &'static str,
}

/// The metrics of the process with their registry.
#[derive(Debug)]
pub(crate) struct Metrics {
    registry: Registry,
    pub(crate) packets: Counter,
    pub(crate) forwarded: Counter,
    pub(crate) openings: Family<RouteLabel, Counter>,
    pub(crate) repeated_openings: Counter,
    pub(crate) moved_openings: Counter,
    pub(crate) ambiguous: Gauge,
    pub(crate) resets: Family<CauseLabel, Counter>,
    pub(crate) drops: Family<CauseLabel, Counter>,
    pub(crate) send_failures: Counter,
    pub(crate) latency: Family<RouteLabel, Histogram>,
    pub(crate) flows: Gauge,
    pub(crate) targets: Gauge,
    pub(crate) evacuated_targets: Gauge,
    pub(crate) evacuations: Gauge,
    pub(crate) suspects: Gauge,
    pub(crate) overloaded_services: Gauge,
    pub(crate) cold_targets: Gauge,
    pub(crate) openings_withheld: Gauge,
    pub(crate) refusals: Counter,
    pub(crate) directory_calls: Counter,
    pub(crate) directory_failures: Counter,
    pub(crate) directory_age_ms: Gauge,
    pub(crate) refused_entries: Counter,
    pub(crate) outdated: Family<KindLabel, Counter>,
    pub(crate) store_epoch: Gauge,
    pub(crate) peer_sent: Counter,
    pub(crate) peer_sent_bytes: Counter,
    pub(crate) peer_send_failures: Counter,
    pub(crate) peer_received: Counter,
    pub(crate) peer_malformed: Counter,
    pub(crate) peer_refused: Family<CauseLabel, Counter>,
    pub(crate) peer_gaps: Gauge,
    pub(crate) reads_alone: Gauge,
    pub(crate) peer_unknown: Counter,
    pub(crate) source: Family<SourceLabel, Gauge>,
    pub(crate) first_state_ms: Gauge,
    pub(crate) fetches: Gauge,
    pub(crate) failed_fetches: Gauge,
    pub(crate) streams_served: Counter,
    pub(crate) streams_refused: Counter,
    pub(crate) reloads: Counter,
    pub(crate) reloads_refused: Counter,
    pub(crate) log_lines_suppressed: Counter,
    pub(crate) log_lines_lost: Gauge,
}

impl Metrics {
    pub(crate) fn new() -> Metrics {
        let mut registry = Registry::with_prefix("jasminecart");
        macro_rules! register {
            ($name:ident, $help:literal) => {{
                let metric = Default::default();
                registry.register(stringify!($name), $help, Clone::clone(&metric));
                metric
            }};
        }
        let buckets = || Histogram::new(LATENCY_BUCKETS);
        let latency = Family::new_with_constructor(buckets as fn() -> Histogram);
        let help =
            "Time from a request's first packet to the client's acknowledgement of its answer";
        registry.register("request_latency_seconds", help, latency.clone());
        Metrics {
            packets: register!(packets, "Datagrams received on the packet listener"),
            forwarded: register!(forwarded, "Datagrams sent to targets"),
            openings: register!(openings, "Openings that got a target, by route"),
            repeated_openings: register!(repeated_openings, "Openings that clients repeated"),
            moved_openings: register!(moved_openings, "Repeated openings sent to another target"),
            ambiguous: register!(
                ambiguous,
                "Targets not selected because another has the same token for the address"
            ),
            resets: register!(resets, "Resets sent to clients, by cause"),
            drops: register!(drops, "Datagrams dropped, by cause"),
            send_failures: register!(send_failures, "Datagrams that the system did not take"),
            latency,
            flows: register!(flows, "Open flows observed by this VM"),
            targets: register!(targets, "Targets that take new flows"),
            evacuated_targets: register!(
                evacuated_targets,
                "Targets that get no new flows because their data centre is evacuated"
            ),
            evacuations: register!(evacuations, "Data centres whose evacuation is in force"),
            suspects: register!(suspects, "Targets suspected of not answering"),
            overloaded_services: register!(
                overloaded_services,
                "Services to which new flows are refused, because their targets are overloaded"
            ),
            cold_targets: register!(
                cold_targets,
                "Targets that started recently and get few new flows"
            ),
            openings_withheld: register!(
                openings_withheld,
                "Openings for which a target was not considered, because it is cold"
            ),
            refusals: register!(refusals, "Answers so short that a target probably refused"),
            directory_calls: register!(directory_calls, "Calls to the directory"),
            directory_failures: register!(directory_failures, "Failed calls to the directory"),
            directory_age_ms: register!(
                directory_age_ms,
                "Milliseconds since routes and targets were last confirmed"
            ),
            refused_entries: register!(refused_entries, "Directory entries that can't be used"),
            outdated: register!(
                outdated,
                "Routes and targets not applied because this VM has newer ones, by kind"
            ),
            store_epoch: register!(
                store_epoch,
                "How often the directory has been restored from a copy, as it reports"
            ),
            peer_sent: register!(peer_sent, "Datagrams sent to other VMs"),
            peer_sent_bytes: register!(peer_sent_bytes, "Bytes sent to other VMs"),
            peer_send_failures: register!(
                peer_send_failures,
                "Datagrams to other VMs that the system did not take"
            ),
            peer_received: register!(peer_received, "Datagrams received from other VMs"),
            peer_malformed: register!(peer_malformed, "Datagrams of peers that can't be read"),
            peer_refused: register!(
                peer_refused,
                "Datagrams on the peer port that no key proves, by cause"
            ),
            peer_gaps: register!(peer_gaps, "Changes of peers that did not fit what was known"),
            reads_alone: register!(
                reads_alone,
                "How often this VM began to read the directory because its peers fell silent"
            ),
            peer_unknown: register!(peer_unknown, "Messages to VMs whose address is not known"),
            source: register!(
                source,
                "1 for the source of routes and targets that is in use, 0 for the others"
            ),
            first_state_ms: register!(
                first_state_ms,
                "Milliseconds from the start of the process to its first routes and targets"
            ),
            fetches: register!(fetches, "Streams to peers opened to get routes and targets"),
            failed_fetches: register!(failed_fetches, "Those that a peer refused or that failed"),
            streams_served: register!(streams_served, "Streams of peers that were served"),
            streams_refused: register!(
                streams_refused,
                "Streams of peers that were refused because others were served"
            ),
            reloads: register!(reloads, "Settings read again and put into force"),
            reloads_refused: register!(reloads_refused, "Settings read again and refused"),
            log_lines_suppressed: register!(
                log_lines_suppressed,
                "Decisions not logged, because the volume of the log is bounded"
            ),
            log_lines_lost: register!(log_lines_lost, "Log lines lost, because output stalled"),
            registry,
        }
    }

    /// Sets the source of routes and targets that is in use.
    pub(crate) fn set_source(&self, source: &'static str) {
        for name in SOURCE_NAMES {
            self.source.get_or_create(&SourceLabel { source: name }).set(i64::from(name == source));
        }
    }

    /// Returns all metrics in the Prometheus text format.
    pub(crate) fn encode(&self) -> String {
        let mut text = String::new();
        let encoded = prometheus_client::encoding::text::encode(&mut text, &self.registry);
        if encoded.is_err() {
            log::error!(
                event = "metrics-failed";
                "encoding the metrics as text failed; the response is incomplete"
            );
        }
        text
    }
}
