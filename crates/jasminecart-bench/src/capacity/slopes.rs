//! The measurements at several sizes.

use std::fmt::Write;
use std::hint::black_box;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Instant;

use jasminecart_core::flow::{BucketRouter, FlowKey, FlowLimits, FlowPacket, PacketKind};
use jasminecart_core::request::{
    Action, DispatchLimits, Dispatcher, Outcome, RequestId, RequestMeta,
};
use jasminecart_core::version::{Document, Protocol, Revision};
use jasminecart_core::{Incarnation, Millis, Name, VmId};
use peak_alloc::PeakAlloc;

use super::fit::Slope;
use crate::{documents, lone};

/// Reads the live heap of the process; the `measure` binary installs the allocator that counts it.
const HEAP: PeakAlloc = PeakAlloc;
const ROUNDS: usize = 3;
/// The configuration of the two-year target, from `docs/design.md`, section 4.
pub(super) const TARGET_SERVICES: usize = 1_600;
const DATA_CENTRES: usize = 6;
/// Fills a document up to a size that its sections do not reach.
const COMMENT_LINE: &str = "; this comment stands for sections that do not change with the size\n";

/// A synthetic document.
#[derive(Clone, Copy, Debug)]
pub(super) struct Shape {
    pub(super) services: usize,
    pub(super) targets: usize,
    /// The least size of the text in bytes.
    pub(super) bytes: usize,
}

pub(super) fn document(shape: Shape, revision: u64) -> Arc<Document> {
    let text = text(shape, revision);
    let parsed = Document::parse(Revision(revision), &text);
    Arc::new(parsed.unwrap_or_else(|errors| unreachable!("{errors}")))
}

/// Returns the text of a document. Each revision changes the weight of one target.
fn text(shape: Shape, revision: u64) -> String {
    let Shape { services, targets, bytes } = shape;
    let mut text = String::new();
    for service in 0..services {
        let (high, low) = (service / 250, service % 250 + 1);
        let _ = writeln!(text, "[service s{service}]\naddress = 10.99.{high}.{low}:443/tcp");
    }
    for target in 0..targets.max(services) {
        let service = target % services;
        let data_centre = (target / services) % DATA_CENTRES;
        let address =
            format!("10.{}.{}.{}", target / 62_500 + 1, target / 250 % 250, target % 250 + 1);
        let changed = (revision as usize * 7) % targets.max(services) == target;
        let weight = if changed { 3 } else { 2 };
        let _ = writeln!(
            text,
            "[target t{target}]\nservice = s{service}\ndata_centre = dc-{data_centre}\n\
             address = {address}:8080\nweight = {weight}"
        );
    }
    while text.len() < bytes {
        text.push_str(COMMENT_LINE);
    }
    text
}

/// Heap and processor time of the entries of the flow table, which is the state of open flows.
pub(super) fn flows(seed: u64) -> Vec<Slope> {
    let sizes = [10_000, 40_000, 160_000];
    let measured: Vec<(f64, f64, f64)> = sizes.map(|size| flow_entries(seed, size)).to_vec();
    let heap = measured.iter().map(|(entries, heap, _)| (*entries, *heap));
    let time = measured.iter().map(|(entries, _, time)| (*entries, *time));
    vec![
        Slope::new("flow_entries_heap", "flows with an entry", "KiB", heap),
        Slope::new("flow_entries_route_time", "flows with an entry", "ns a packet", time),
    ]
}

fn flow_entries(seed: u64, flows: u32) -> (f64, f64, f64) {
    let mut router = lone_router(seed);
    let mut now = Millis(1);
    // Draining every second target unsettles about half of the buckets.
    for text in [drain_text(false), drain_text(true)] {
        let revision = if text.contains("draining") { 2 } else { 1 };
        let document = Document::parse(Revision(revision), &text).map(Arc::new);
        let document = document.unwrap_or_else(|errors| unreachable!("{errors}"));
        router.set_document(now, &document);
        wait(&mut router, &mut now);
    }
    let before = HEAP.current_usage();
    for flow in 0..flows {
        router.route(now, &packet(flow, PacketKind::Syn));
        router.route(now, &packet(flow, PacketKind::Data));
    }
    let heap = HEAP.current_usage().saturating_sub(before) as f64 / 1_024.0;
    let entries = router.measure().entries as f64;
    let nanos = fastest(|| {
        for flow in 0..flows {
            black_box(router.route(now, &packet(flow, PacketKind::Data)));
        }
    });
    (entries, heap, nanos / f64::from(flows))
}

fn drain_text(draining: bool) -> String {
    let mut text = "[service s0]\naddress = 10.99.0.1:443/tcp\n".to_owned();
    for target in 0..14 {
        let state = if draining && target % 2 == 0 { "draining" } else { "active" };
        let _ = writeln!(
            text,
            "[target t{target}]\nservice = s0\ndata_centre = dc-0\naddress = 10.1.0.{}:8080\n\
             state = {state}",
            target + 1
        );
    }
    text
}

fn packet(flow: u32, kind: PacketKind) -> FlowPacket {
    let [_, a, b, c] = flow.to_be_bytes();
    let key = FlowKey {
        protocol: Protocol::Tcp,
        source: SocketAddr::from(([100, a, b, c], 40_000)),
        destination: SocketAddr::from(([10, 99, 0, 1], 443)),
    };
    FlowPacket { key, kind, forwarded: None }
}

fn lone_router(seed: u64) -> BucketRouter {
    let me = VmId::new("dc-0", "vm");
    let mut router = BucketRouter::new(me.clone(), seed, FlowLimits::default());
    // The revision is beyond those of all documents, so that each counts as acknowledged.
    router.set_members(Millis(1), &lone::members(me, Revision(1_000)));
    router
}

// Longer than the delay after which a revision becomes active.
fn wait(router: &mut BucketRouter, now: &mut Millis) {
    for _ in 0..100 {
        *now += Millis(100);
        router.tick(*now);
    }
}

/// Heap and processor time of the routing tables by the number of services, with two targets each.
pub(super) fn services(seed: u64) -> Vec<Slope> {
    let measured = [100, 400, TARGET_SERVICES].map(|services| {
        let shape = Shape { services, targets: services * 2, bytes: 0 };
        let (heap, change) = tables(seed, shape);
        (services as f64, heap, change)
    });
    vec![
        Slope::new(
            "services_heap",
            "services",
            "KiB",
            measured.map(|(size, heap, _)| (size, heap)),
        ),
        Slope::new(
            "services_change_time",
            "services",
            "ms a change",
            measured.map(|(s, _, t)| (s, t)),
        ),
    ]
}

/// Processor time of a change by the number of targets of ten services.
pub(super) fn targets(seed: u64) -> Vec<Slope> {
    let measured = [140, 840, 3_400].map(|targets| {
        let (heap, change) = tables(seed, Shape { services: 10, targets, bytes: 0 });
        (targets as f64, heap, change)
    });
    vec![
        Slope::new("targets_heap", "targets", "KiB", measured.map(|(size, heap, _)| (size, heap))),
        Slope::new(
            "targets_change_time",
            "targets",
            "ms a change",
            measured.map(|(s, _, t)| (s, t)),
        ),
    ]
}

fn tables(seed: u64, shape: Shape) -> (f64, f64) {
    let mut now = Millis(1);
    let before = HEAP.current_usage();
    let mut router = lone_router(seed);
    router.set_document(now, &document(shape, 1));
    wait(&mut router, &mut now);
    let heap = HEAP.current_usage().saturating_sub(before) as f64 / 1_024.0;
    let mut revision = 1;
    let nanos = fastest(|| {
        revision += 1;
        let document = document(shape, revision);
        router.set_document(now, &document);
        wait(&mut router, &mut now);
    });
    (heap, nanos / 1e6)
}

/// Processor time of reading and validating a document by its size.
pub(super) fn document_size() -> Vec<Slope> {
    let measured = [16, 128, 1_000].map(|kib| {
        let bytes = kib * 1_024;
        // About 110 bytes a target, so the sections grow with the text.
        let shape = Shape { services: bytes / 1_000, targets: bytes / 220, bytes };
        let text = text(shape, 1);
        let before = HEAP.current_usage();
        let document = Document::parse(Revision(1), &text);
        let heap = HEAP.current_usage().saturating_sub(before) as f64 / 1_024.0;
        let nanos = fastest(|| {
            black_box(Document::parse(Revision(1), &text).is_ok());
        });
        drop(document);
        (text.len() as f64 / 1_024.0, heap, nanos / 1e6)
    });
    vec![
        Slope::new(
            "document_heap",
            "KiB of text",
            "KiB",
            measured.map(|(size, heap, _)| (size, heap)),
        ),
        Slope::new("document_parse_time", "KiB of text", "ms", measured.map(|(s, _, t)| (s, t))),
    ]
}

/// Processor time of one VM by the number of changes a minute, at the two-year target.
pub(super) fn changes(seed: u64, targets: usize) -> Vec<Slope> {
    let shape = Shape { services: TARGET_SERVICES, targets, bytes: 0 };
    let points = [1_u64, 6, 30].map(|changes| {
        let mut router = lone_router(seed);
        let mut now = Millis(1);
        router.set_document(now, &document(shape, 1));
        wait(&mut router, &mut now);
        let texts: Vec<String> = (2..2 + changes).map(|revision| text(shape, revision)).collect();
        let started = Instant::now();
        let period = 60_000 / changes;
        for (index, text) in texts.iter().enumerate() {
            let parsed = Document::parse(Revision(index as u64 + 2), text).map(Arc::new);
            let parsed = parsed.unwrap_or_else(|errors| unreachable!("{errors}"));
            router.set_document(now, &parsed);
            let next = now + Millis(period);
            while now < next {
                now += Millis(100);
                router.tick(now);
            }
        }
        (changes as f64, started.elapsed().as_secs_f64() / 60.0 * 100.0)
    });
    vec![Slope::new("changes_cpu", "changes a minute", "% of a core", points)]
}

/// Control bytes and processor time of membership and adoption by the number of members.
pub(super) fn members(seed: u64) -> Vec<Slope> {
    let measured = [9, 35, 105].map(|members| {
        let idle = documents::idle(members, seed);
        (members as f64, idle.bytes_per_s, idle.cpu_percent, idle.heap_kib)
    });
    vec![
        Slope::new("members_bytes", "members", "bytes/s a VM", measured.map(|m| (m.0, m.1))),
        Slope::new("members_cpu", "members", "% of a core a VM", measured.map(|m| (m.0, m.2))),
        Slope::new("members_heap", "members", "KiB a VM", measured.map(|m| (m.0, m.3))),
    ]
}

/// Processor time of dispatching one request by the number of targets of its service.
pub(super) fn requests(seed: u64) -> Vec<Slope> {
    let points = [14, 56, 224].map(|targets| {
        let shape = Shape { services: 1, targets, bytes: 0 };
        let me = VmId::new("dc-0", "vm");
        let limits = DispatchLimits::default();
        let mut dispatcher = Dispatcher::new(me, Incarnation(1), seed, limits);
        let mut now = Millis(1);
        dispatcher.set_document(now, &document(shape, 1));
        let mut id = 0;
        let count = 2_000;
        let nanos = fastest(|| {
            for _ in 0..count {
                id += 1;
                now += Millis(5);
                let actions = dispatcher.submit(now, meta(id, now));
                finish(&mut dispatcher, now, actions);
                let actions = dispatcher.tick(now);
                finish(&mut dispatcher, now, actions);
            }
        });
        (targets as f64, nanos / f64::from(count) / 1e3)
    });
    vec![Slope::new("requests_time", "targets of a service", "us a request", points)]
}

fn meta(id: u64, now: Millis) -> RequestMeta {
    RequestMeta {
        id: RequestId(id),
        service: Name::new("s0"),
        class: Name::new("default"),
        tenant: Name::new("default"),
        deadline: now + Millis::from_secs(30),
        idempotent: false,
        repeatable: true,
        key: None,
    }
}

fn finish(dispatcher: &mut Dispatcher, now: Millis, actions: Vec<Action>) {
    for action in actions {
        if let Action::Send { attempt, .. } = action {
            let next = dispatcher.on_outcome(now, attempt, Outcome::Done { status: 200 });
            finish(dispatcher, now, next);
        }
    }
}

/// Returns the time of the fastest of several rounds in nanoseconds, because other load only slows a round.
fn fastest(mut round: impl FnMut()) -> f64 {
    let time = |_| {
        let started = Instant::now();
        round();
        started.elapsed().as_nanos() as f64
    };
    (0..ROUNDS).map(time).fold(f64::INFINITY, f64::min)
}
