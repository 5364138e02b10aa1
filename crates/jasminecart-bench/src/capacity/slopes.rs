//! Measurements of cost at several sizes.

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
use crate::{documents, single_vm};

/// Reads the live heap of the process, which the allocator of the `measure` binary tracks.
const HEAP: PeakAlloc = PeakAlloc;
const ROUNDS: usize = 3;
/// The services of the two-year target, from `docs/design.md`, section 4.
pub(super) const TARGET_SERVICES: usize = 1_600;
const DATA_CENTRES: usize = 6;
/// Pads a document to a size that its sections alone do not reach.
const COMMENT_LINE: &str = "; this comment stands for sections that do not change with the size\n";

/// The dimensions of a generated document.
#[derive(Clone, Copy, Debug)]
pub(super) struct DocumentShape {
    pub(super) services: usize,
    pub(super) targets: usize,
    /// The minimum size of the text in bytes.
    pub(super) bytes: usize,
}

pub(super) fn document(shape: DocumentShape, revision: u64) -> Arc<Document> {
    let text = text(shape, revision);
    let parsed = Document::parse(Revision(revision), &text);
    Arc::new(parsed.unwrap_or_else(|errors| unreachable!("{errors}")))
}

/// Returns the text of a document. Each revision gives another target the higher weight.
fn text(shape: DocumentShape, revision: u64) -> String {
    let DocumentShape { services, targets, bytes } = shape;
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

/// Measures heap and processor time by the number of flow table entries.
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
    let mut router = single_vm_router(seed);
    let mut now = Millis(1);
    // Draining every second target unsettles about half of the buckets, so their flows get entries.
    for text in [document_with_draining(false), document_with_draining(true)] {
        let revision = if text.contains("draining") { 2 } else { 1 };
        let document = Document::parse(Revision(revision), &text).map(Arc::new);
        let document = document.unwrap_or_else(|errors| unreachable!("{errors}"));
        router.set_document(now, &document);
        settle(&mut router, &mut now);
    }
    let before = HEAP.current_usage();
    for flow in 0..flows {
        router.route(now, &packet(flow, PacketKind::Syn));
        router.route(now, &packet(flow, PacketKind::Data));
    }
    let heap = HEAP.current_usage().saturating_sub(before) as f64 / 1_024.0;
    let entries = router.measure().entries as f64;
    let nanos = fastest_ns(|| {
        for flow in 0..flows {
            black_box(router.route(now, &packet(flow, PacketKind::Data)));
        }
    });
    (entries, heap, nanos / f64::from(flows))
}

fn document_with_draining(draining: bool) -> String {
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

fn single_vm_router(seed: u64) -> BucketRouter {
    let me = VmId::new("dc-0", "vm");
    let mut router = BucketRouter::new(me.clone(), seed, FlowLimits::default());
    // The revision is beyond those of all documents, so that each counts as acknowledged.
    router.set_members(Millis(1), &single_vm::members(me, Revision(1_000)));
    router
}

/// Advances time by 10 s, which is longer than the delay after which a revision becomes active.
fn settle(router: &mut BucketRouter, now: &mut Millis) {
    for _ in 0..100 {
        *now += Millis(100);
        router.tick(*now);
    }
}

/// Measures heap and processor time of the routing tables by the number of services with two
/// targets each.
pub(super) fn services(seed: u64) -> Vec<Slope> {
    let measured = [100, 400, TARGET_SERVICES].map(|services| {
        let shape = DocumentShape { services, targets: services * 2, bytes: 0 };
        let (heap, change) = routing_tables(seed, shape);
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

/// Measures heap and processor time of the routing tables by the number of targets of ten services.
pub(super) fn targets(seed: u64) -> Vec<Slope> {
    let measured = [140, 840, 3_400].map(|targets| {
        let (heap, change) =
            routing_tables(seed, DocumentShape { services: 10, targets, bytes: 0 });
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

fn routing_tables(seed: u64, shape: DocumentShape) -> (f64, f64) {
    let mut now = Millis(1);
    let before = HEAP.current_usage();
    let mut router = single_vm_router(seed);
    router.set_document(now, &document(shape, 1));
    settle(&mut router, &mut now);
    let heap = HEAP.current_usage().saturating_sub(before) as f64 / 1_024.0;
    let mut revision = 1;
    let nanos = fastest_ns(|| {
        revision += 1;
        let document = document(shape, revision);
        router.set_document(now, &document);
        settle(&mut router, &mut now);
    });
    (heap, nanos / 1e6)
}

/// Measures heap and processor time of parsing and validating a document by its size.
pub(super) fn document_size() -> Vec<Slope> {
    let measured = [16, 128, 1_000].map(|kib| {
        let bytes = kib * 1_024;
        // A target takes about 110 bytes, so the numbers of services and targets grow with the
        // text.
        let shape = DocumentShape { services: bytes / 1_000, targets: bytes / 220, bytes };
        let text = text(shape, 1);
        let before = HEAP.current_usage();
        let document = Document::parse(Revision(1), &text);
        let heap = HEAP.current_usage().saturating_sub(before) as f64 / 1_024.0;
        let nanos = fastest_ns(|| {
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

/// Measures the processor time of one VM by the number of changes a minute, at the two-year
/// target's size.
pub(super) fn changes(seed: u64, targets: usize) -> Vec<Slope> {
    let shape = DocumentShape { services: TARGET_SERVICES, targets, bytes: 0 };
    let points = [1_u64, 6, 30].map(|changes| {
        let mut router = single_vm_router(seed);
        let mut now = Millis(1);
        router.set_document(now, &document(shape, 1));
        settle(&mut router, &mut now);
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

/// Measures control bytes, processor time and heap of membership and adoption by the number of
/// members.
pub(super) fn members(seed: u64) -> Vec<Slope> {
    let measured = [9, 35, 105].map(|members| {
        let cost = documents::idle_cost(members, seed);
        (members as f64, cost.bytes_per_s, cost.cpu_percent, cost.heap_kib)
    });
    vec![
        Slope::new("members_bytes", "members", "bytes/s a VM", measured.map(|m| (m.0, m.1))),
        Slope::new("members_cpu", "members", "% of a core a VM", measured.map(|m| (m.0, m.2))),
        Slope::new("members_heap", "members", "KiB a VM", measured.map(|m| (m.0, m.3))),
    ]
}

/// Measures the processor time of dispatching one request by the number of targets of its service.
pub(super) fn requests(seed: u64) -> Vec<Slope> {
    let points = [14, 56, 224].map(|targets| {
        let shape = DocumentShape { services: 1, targets, bytes: 0 };
        let me = VmId::new("dc-0", "vm");
        let limits = DispatchLimits::default();
        let mut dispatcher = Dispatcher::new(me, Incarnation(1), seed, limits);
        let mut now = Millis(1);
        dispatcher.set_document(now, &document(shape, 1));
        let mut id = 0;
        let count = 2_000;
        let nanos = fastest_ns(|| {
            for _ in 0..count {
                id += 1;
                now += Millis(5);
                let actions = dispatcher.submit(now, meta(id, now));
                complete(&mut dispatcher, now, actions);
                let actions = dispatcher.tick(now);
                complete(&mut dispatcher, now, actions);
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

fn complete(dispatcher: &mut Dispatcher, now: Millis, actions: Vec<Action>) {
    for action in actions {
        if let Action::Send { attempt, .. } = action {
            let next = dispatcher.on_outcome(now, attempt, Outcome::Done { status: 200 });
            complete(dispatcher, now, next);
        }
    }
}

/// Returns the nanoseconds of the fastest of several rounds, because other load on the machine only
/// slows a round.
fn fastest_ns(mut round: impl FnMut()) -> f64 {
    let time = |_| {
        let started = Instant::now();
        round();
        started.elapsed().as_nanos() as f64
    };
    (0..ROUNDS).map(time).fold(f64::INFINITY, f64::min)
}
