//! Metrics of one entry process.

use std::sync::atomic::{AtomicI64, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};

use jasminecart_core::names::Name;
use jasminecart_core::time::Millis;
use prometheus_client::collector::Collector;
use prometheus_client::encoding::{DescriptorEncoder, EncodeLabelSet, EncodeMetric};
use prometheus_client::metrics::counter::{ConstCounter, Counter};
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::ConstGauge;
use prometheus_client::metrics::histogram::Histogram;
use prometheus_client::registry::Registry;
use serde::Serialize;
use serde_json::Value;

/// Upper bounds of the duration buckets, in seconds. The smallest distinguishes an immediate response from a
/// queued one; the largest exceeds the default deadline of a class.
const DURATION_BUCKETS: [f64; 14] =
    [0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0, 15.0, 60.0];

/// Labels of a request. Tenants and classes come from the document, which bounds their number.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(crate) struct RequestLabels {
    pub(crate) tenant: String,
    pub(crate) class: String,
}

impl RequestLabels {
    pub(crate) fn new(tenant: &Name, class: &Name) -> RequestLabels {
        RequestLabels { tenant: tenant.to_string(), class: class.to_string() }
    }
}

/// Labels of a completed request.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct OutcomeLabels {
    tenant: String,
    class: String,
    outcome: &'static str,
}

/// The outcome of a request, as seen by the client.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RequestOutcome {
    /// The client received the complete response.
    Done,
    /// The client received the response stored for its idempotency key.
    Stored,
    /// The client received an error response stating that the request did not run.
    NotRun,
    /// The client received an error response stating that the request may have run.
    Unknown,
    /// The response was truncated after its head was sent.
    Broken,
    /// The client cancelled the request or disconnected.
    Cancelled,
}

impl RequestOutcome {
    fn label(self) -> &'static str {
        match self {
            RequestOutcome::Done => "done",
            RequestOutcome::Stored => "stored",
            RequestOutcome::NotRun => "not-run",
            RequestOutcome::Unknown => "unknown",
            RequestOutcome::Broken => "broken",
            RequestOutcome::Cancelled => "cancelled",
        }
    }
}

macro_rules! entry_counters {
    ($($(#[$doc:meta])* $name:ident,)+) => {
        /// Counters of the entry process itself.
        #[derive(Debug, Default)]
        pub(crate) struct EntryCounters {
            $($(#[$doc])* pub(crate) $name: AtomicU64,)+
        }

        /// A snapshot of the counters.
        #[derive(Clone, Copy, Debug, Default, Serialize)]
        pub(crate) struct EntryCounterSnapshot {
            $(pub(crate) $name: u64,)+
        }

        impl EntryCounters {
            pub(crate) fn snapshot(&self) -> EntryCounterSnapshot {
                EntryCounterSnapshot { $($name: self.$name.load(Ordering::Relaxed),)+ }
            }
        }
    };
}

entry_counters! {
    /// Client connections accepted.
    client_connections,
    /// Client connections closed on arrival because too many are open.
    client_connections_refused,
    /// Target connections opened.
    target_connections,
    /// Target connections that could not be opened.
    target_connect_failed,
    /// Attempts that used a pooled connection.
    target_connections_reused,
    /// Pooled connections dropped because the target had closed them or sent unexpected bytes.
    target_connections_stale,
    /// Target connections dropped because they made no progress.
    target_connections_silent,
    /// Responses dropped because their length is not declared, so that truncation cannot be detected.
    answers_unframed,
    /// Responses that arrived for an attempt that was no longer needed.
    answers_late,
    /// Requests forwarded to the VM that issued their key.
    requests_forwarded,
    /// Repeated keyed requests answered with the stored response.
    answers_from_store,
    /// Responses not stored because of their size or the limit on all stored responses.
    answers_not_stored,
    /// Calls to the platform.
    platform_calls,
    /// Calls to the platform that failed.
    platform_failures,
    /// Alerts of document adoption that need an operator's attention.
    adoption_alerts,
    /// Messages to or from the packet listener that were dropped because its queue was full.
    packet_commands_dropped,
    /// Deliveries dropped because their sender claims this VM's id.
    messages_from_self,
    /// Pauses of the control actor's event loop that it detected.
    control_pauses,
    /// Requests refused before dispatch, such as for an unknown host or a malformed header.
    requests_not_admitted,
    /// Directives refused because they would run a request twice.
    second_runs_refused,
}

/// Increments a counter by one.
pub(crate) fn increment(counter: &AtomicU64) {
    counter.fetch_add(1, Ordering::Relaxed);
}

/// Gauges of the entry process.
#[derive(Debug, Default)]
pub(crate) struct Gauges {
    pub(crate) requests_in_progress: AtomicI64,
    pub(crate) client_connections_open: AtomicI64,
}

/// Increments a gauge, and decrements it when dropped.
#[derive(Debug)]
pub(crate) struct GaugeGuard(Arc<Gauges>, fn(&Gauges) -> &AtomicI64);

impl GaugeGuard {
    pub(crate) fn new(gauges: &Arc<Gauges>, which: fn(&Gauges) -> &AtomicI64) -> GaugeGuard {
        which(gauges).fetch_add(1, Ordering::Relaxed);
        GaugeGuard(gauges.clone(), which)
    }
}

impl Drop for GaugeGuard {
    fn drop(&mut self) {
        (self.1)(&self.0).fetch_sub(1, Ordering::Relaxed);
    }
}

/// The metrics of one entry process.
#[derive(Debug)]
pub(crate) struct Metrics {
    pub(crate) counters: EntryCounters,
    pub(crate) gauges: Arc<Gauges>,
    duration: Family<RequestLabels, Histogram, fn() -> Histogram>,
    queueing: Family<RequestLabels, Histogram, fn() -> Histogram>,
    requests: Family<OutcomeLabels, Counter>,
    collector: Arc<GroupCollector>,
    registry: Registry,
}

impl Metrics {
    pub(crate) fn new() -> Metrics {
        let histogram: fn() -> Histogram = || Histogram::new(DURATION_BUCKETS);
        let duration = Family::new_with_constructor(histogram);
        let queueing = Family::new_with_constructor(histogram);
        let requests = Family::default();
        let collector = Arc::new(GroupCollector::default());
        let mut registry = Registry::with_prefix("jasminecart");
        registry.register(
            "request_duration_seconds",
            "Time from the arrival of a request to the end of its answer",
            duration.clone(),
        );
        registry.register(
            "request_queueing_seconds",
            "Time from the arrival of a request to its first attempt",
            queueing.clone(),
        );
        registry.register("requests", "Requests by how they ended", requests.clone());
        registry.register_collector(Box::new(collector.clone()));
        let (counters, gauges) = (EntryCounters::default(), Arc::default());
        Metrics { counters, gauges, duration, queueing, requests, collector, registry }
    }

    pub(crate) fn observe_queueing(&self, labels: &RequestLabels, duration: Millis) {
        self.queueing.get_or_create(labels).observe(duration.as_secs_f64());
    }

    pub(crate) fn observe_end(
        &self,
        labels: &RequestLabels,
        duration: Millis,
        outcome: RequestOutcome,
    ) {
        self.duration.get_or_create(labels).observe(duration.as_secs_f64());
        let (tenant, class) = (labels.tenant.clone(), labels.class.clone());
        let labels = OutcomeLabels { tenant, class, outcome: outcome.label() };
        self.requests.get_or_create(&labels).inc();
    }

    /// Encodes all metrics in the text format. `groups` holds the current counters of the other components.
    pub(crate) fn encode(&self, mut groups: Vec<Group>) -> String {
        groups.push(Group::counters("entry", &self.counters.snapshot()));
        groups.push(Group::gauge(
            "requests_in_progress",
            self.gauges.requests_in_progress.load(Ordering::Relaxed),
        ));
        groups.push(Group::gauge(
            "client_connections_open",
            self.gauges.client_connections_open.load(Ordering::Relaxed),
        ));
        let violations = serde_json::json!({
            "invariant_violations": jasminecart_core::invariant::violations(),
        });
        groups.push(Group { prefix: "", values: violations, gauge: false });
        self.collector.set(groups);
        let mut text = String::new();
        let _ = prometheus_client::encoding::text::encode(&mut text, &self.registry);
        text
    }
}

/// A group of counters or gauges with a common prefix.
#[derive(Clone, Debug)]
pub(crate) struct Group {
    prefix: &'static str,
    values: Value,
    gauge: bool,
}

impl Group {
    /// Exports every numeric field of a structure as a counter, so that new fields need no change here.
    pub(crate) fn counters(prefix: &'static str, counters: &impl Serialize) -> Group {
        Group { prefix, values: serde_json::to_value(counters).unwrap_or_default(), gauge: false }
    }

    /// Omits a field that is exported as a separate group.
    pub(crate) fn without(mut self, field: &str) -> Group {
        if let Value::Object(fields) = &mut self.values {
            fields.remove(field);
        }
        self
    }

    /// Exports a number as a gauge, or each numeric field of a structure with its name as the label `kind`.
    pub(crate) fn gauge(name: &'static str, value: impl Serialize) -> Group {
        let values = serde_json::json!({ name: serde_json::to_value(value).unwrap_or_default() });
        Group { prefix: "", values, gauge: true }
    }
}

/// Exports the groups that were set last.
#[derive(Debug, Default)]
struct GroupCollector(Mutex<Vec<Group>>);

impl GroupCollector {
    fn set(&self, groups: Vec<Group>) {
        *self.0.lock().unwrap_or_else(PoisonError::into_inner) = groups;
    }
}

impl Collector for GroupCollector {
    fn encode(&self, mut encoder: DescriptorEncoder) -> Result<(), std::fmt::Error> {
        let groups = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        for group in groups.iter() {
            let Value::Object(fields) = &group.values else { continue };
            for (field, value) in fields {
                let separator = if group.prefix.is_empty() { "" } else { "_" };
                let name = format!("{}{separator}{field}", group.prefix);
                encode_value(&mut encoder, &name, value, group.gauge)?;
            }
        }
        Ok(())
    }
}

/// Encodes a number, or each number of a nested object with its key as the label `kind`.
fn encode_value(
    encoder: &mut DescriptorEncoder,
    name: &str,
    value: &Value,
    gauge: bool,
) -> Result<(), std::fmt::Error> {
    let help = name.replace('_', " ");
    let metric_type = if gauge {
        ConstGauge::new(0i64).metric_type()
    } else {
        ConstCounter::new(0u64).metric_type()
    };
    match value {
        Value::Number(number) => {
            let encoder = encoder.encode_descriptor(name, &help, None, metric_type)?;
            if gauge {
                ConstGauge::new(number.as_i64().unwrap_or(i64::MAX)).encode(encoder)
            } else {
                ConstCounter::new(number.as_u64().unwrap_or(0)).encode(encoder)
            }
        }
        Value::Object(fields) => {
            let mut encoder = encoder.encode_descriptor(name, &help, None, metric_type)?;
            for (key, value) in fields {
                let labels = [("kind", key.as_str())];
                let family = encoder.encode_family(&labels)?;
                let number = value.as_u64().unwrap_or(0);
                if gauge {
                    ConstGauge::new(i64::try_from(number).unwrap_or(i64::MAX)).encode(family)?;
                } else {
                    ConstCounter::new(number).encode(family)?;
                }
            }
            Ok(())
        }
        _ => Ok(()),
    }
}
