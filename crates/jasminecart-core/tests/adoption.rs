//! Contract tests and fault cases of adoption.

mod adoption_net;

use std::collections::BTreeSet;
use std::sync::Arc;

use jasminecart_core::invariant;
use jasminecart_core::process::Members;
use jasminecart_core::version::{
    AdoptionAlert, Digest, Document, DocumentId, DocumentMessage, Part, Piece, PlatformReply,
    Revision, Step,
};
use jasminecart_core::{Incarnation, Millis, Name, PeerMessage};
use proptest::collection::vec;
use proptest::prelude::*;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use test_case::test_case;

use self::adoption_net::{Net, document_reply, large_text, members, new_adoption, text, vm};

fn alerts(steps: &[Step]) -> Vec<&AdoptionAlert> {
    steps
        .iter()
        .filter_map(|step| if let Step::Alert(alert) = step { Some(alert) } else { None })
        .collect()
}

fn adopted_revisions(steps: &[Step]) -> Vec<Revision> {
    let adopted = |step: &Step| match step {
        Step::Adopt(document) => Some(document.revision()),
        _ => None,
    };
    steps.iter().filter_map(adopted).collect()
}

fn messages(steps: &[Step]) -> Vec<&DocumentMessage> {
    let mut messages = Vec::new();
    for step in steps {
        let Step::Message(outgoing) = step else { continue };
        if let PeerMessage::Document(message) = &outgoing.message {
            messages.push(message);
        }
    }
    messages
}

// Guards against replacing an adopted document by a lower revision (I8).
#[test_case(&[1, 2, 3], &[1, 2, 3] ; "in order")]
#[test_case(&[3, 1, 2], &[3] ; "lower revisions arrive late")]
#[test_case(&[2, 2, 2], &[2] ; "repeated")]
#[test_case(&[5, 4, 6], &[5, 6] ; "lower, then higher")]
fn adopted_revisions_only_increase(offered: &[u64], expected: &[u64]) {
    let mut adoption = new_adoption(0);
    let mut steps = adoption.start(Millis(1_000));
    for (turn, revision) in offered.iter().enumerate() {
        steps.extend(adoption.on_platform(Millis(2_000 + turn as u64), document_reply(*revision)));
    }
    let expected: Vec<Revision> = expected.iter().copied().map(Revision).collect();
    assert_eq!(adopted_revisions(&steps), expected);
}

// Guards against two texts adopted under one revision, and against an alert for each message about
// it.
#[test]
fn another_digest_of_the_same_revision_is_refused_and_reported_once() {
    let mut adoption = new_adoption(0);
    adoption.start(Millis(1_000));
    adoption.on_platform(Millis(1_010), document_reply(4));
    let ours = adoption.current().unwrap().digest();
    let other = PlatformReply::Document { revision: Revision(4), text: text(5) };
    let steps = adoption.on_platform(Millis(1_020), other.clone());
    assert!(matches!(alerts(&steps)[..], [AdoptionAlert::DigestConflict { .. }]), "{steps:?}");
    assert!(alerts(&adoption.on_platform(Millis(1_030), other)).is_empty());
    let digest = Digest::of("something else");
    let have = DocumentMessage::Have { revision: Revision(4), digest };
    let steps = adoption.on_message(Millis(1_040), &vm(1), have.clone());
    assert!(matches!(alerts(&steps)[..], [AdoptionAlert::DigestConflict { .. }]), "{steps:?}");
    assert!(alerts(&adoption.on_message(Millis(1_050), &vm(2), have)).is_empty());
    assert_eq!(adoption.current().unwrap().digest(), ours);
}

// Guards against an invalid document that replaces a valid one, and against reading it repeatedly.
#[test]
fn an_invalid_document_is_refused_and_not_read_again() {
    let mut adoption = new_adoption(0);
    adoption.start(Millis(1_000));
    adoption.on_platform(Millis(1_010), document_reply(1));
    let broken = PlatformReply::Document { revision: Revision(2), text: Arc::from("[what]") };
    let mut steps = adoption.on_platform(Millis(1_020), broken);
    assert!(matches!(alerts(&steps)[..], [AdoptionAlert::Invalid { .. }]), "{steps:?}");
    assert_eq!(adoption.current().unwrap().revision(), Revision(1));
    steps.extend(adoption.tick(Millis(3_000)));
    let watch = steps.iter().rfind(|step| matches!(step, Step::Watch { .. }));
    assert!(matches!(watch, Some(Step::Watch { after: Revision(2) })), "{steps:?}");
}

// Guards against a VM that never adopts a valid revision because it refused a higher invalid one
// before.
#[test]
fn a_revision_below_a_refused_one_is_still_adopted() {
    let mut adoption = new_adoption(0);
    adoption.start(Millis(1_000));
    adoption.on_platform(Millis(1_010), document_reply(1));
    let broken = PlatformReply::Document { revision: Revision(5), text: Arc::from("[what]") };
    adoption.on_platform(Millis(1_020), broken);
    let document = Document::parse(Revision(4), &text(4)).unwrap();
    receive_document(&mut adoption, Millis(2_000), &document);
    assert_eq!(adoption.current().unwrap().revision(), Revision(4));
}

// Guards against fetching a revision from a peer that lost it by a restart.
#[test]
fn a_restarted_peer_receives_no_fetch_for_a_lost_revision() {
    let mut adoption = new_adoption(0);
    adoption.start(Millis(1_000));
    adoption.on_platform(Millis(1_010), document_reply(1));
    adoption.set_members(Millis(2_000), &members(0, 0..2, 9));
    let have = DocumentMessage::Have { revision: Revision(1), digest: Digest::of(&*text(1)) };
    adoption.on_message(Millis(2_010), &vm(1), have);
    let mut restarted = members(0, 0..2, 1).list.to_vec();
    restarted[1].incarnation = Incarnation(2);
    let mut steps = adoption.set_members(Millis(2_020), &Members::new(vm(0), restarted));
    for tick in 0..100 {
        steps.extend(adoption.tick(Millis(2_050 + tick * 50)));
    }
    let fetches =
        messages(&steps).into_iter().filter(|m| matches!(m, DocumentMessage::Fetch { .. }));
    assert_eq!(fetches.count(), 0);
}

// Guards against a platform that was restored from an old backup and reverts the data centre
// unnoticed.
#[test]
fn a_reverted_platform_is_reported_once_and_watched_less_often() {
    let mut adoption = new_adoption(0);
    adoption.start(Millis(1_000));
    adoption.on_platform(Millis(1_010), document_reply(9));
    let mut reverted = 0;
    let mut watches = 0;
    for tick in 0..600 {
        let now = Millis(2_000 + tick * 100);
        let steps = adoption.tick(now);
        for _ in steps.iter().filter(|step| matches!(step, Step::Watch { .. })) {
            watches += 1;
            reverted += alerts(&adoption.on_platform(now, document_reply(3))).len();
        }
    }
    assert_eq!(reverted, 1);
    assert!(watches <= 15, "{watches} watches in 60 s");
    assert_eq!(adoption.current().unwrap().revision(), Revision(9));
}

fn restored_reply(number: u64, document: u64) -> PlatformReply {
    let revision = Revision::in_epoch(1, number).unwrap();
    PlatformReply::Document { revision, text: text(document) }
}

// Guards against documents that are refused for good after the platform came back from a copy and gave their revisions out
// again, and against the document of the copy that replaces a newer one (I8).
#[test]
fn documents_published_after_a_restore_are_adopted_and_restored_ones_are_not() {
    let mut adoption = new_adoption(0);
    let mut steps = adoption.start(Millis(1_000));
    for revision in 7..=9 {
        steps.extend(adoption.on_platform(Millis(1_000 + revision), document_reply(revision)));
    }
    let steps = adoption.on_platform(Millis(2_000), restored_reply(8, 8));
    assert_eq!(adoption.current().unwrap().revision(), Revision(9));
    assert!(matches!(alerts(&steps)[..], [AdoptionAlert::Reverted { .. }]));
    // The operators publish the lost document again, change it, and go back to an earlier one on purpose.
    for (number, document) in [(9, 9), (10, 11), (11, 7)] {
        let now = Millis(3_000 + number);
        let steps = adoption.on_platform(now, restored_reply(number, document));
        let expected = Revision::in_epoch(1, number).unwrap();
        assert_eq!(adopted_revisions(&steps), [expected]);
        assert_eq!(alerts(&steps).len(), 0);
    }
}

// Guards against watching a restored platform from a number that it has not reached yet.
#[test]
fn the_watch_continues_in_the_epoch_of_the_restored_platform() {
    let mut adoption = new_adoption(0);
    adoption.start(Millis(1_000));
    adoption.on_platform(Millis(1_010), document_reply(8));
    adoption.on_platform(Millis(1_020), document_reply(9));
    adoption.on_platform(Millis(1_030), restored_reply(8, 8));
    let steps: Vec<Step> = (0..50).flat_map(|n| adoption.tick(Millis(2_000 + n * 100))).collect();
    let watch = steps.iter().find_map(|step| match step {
        Step::Watch { after } => Some(*after),
        _ => None,
    });
    assert_eq!(watch, Revision::in_epoch(1, 8));
}

#[test_case(0, 0, true; "the lowest")]
#[test_case((1 << 24) - 1, (1 << 40) - 1, true; "the highest")]
#[test_case(1 << 24, 0, false; "an epoch that is too high")]
#[test_case(0, 1 << 40, false; "a number that is too high")]
fn a_revision_has_an_epoch_and_a_number(epoch: u64, number: u64, valid: bool) {
    let revision = Revision::in_epoch(epoch, number);
    assert_eq!(revision.is_some(), valid);
    if let Some(revision) = revision {
        assert_eq!((revision.epoch(), revision.number()), (epoch, number));
    }
}

// Guards against a VM that becomes ready before it has compared the platform's revision with that
// of its peers, and against one that never becomes ready because one of them does not respond.
#[test_case(true, true, 0 ; "both respond")]
#[test_case(true, false, 3_000 ; "no peer responds")]
#[test_case(false, true, 3_000 ; "the platform does not respond")]
fn a_start_waits_a_bounded_time_for_platform_and_peers(platform: bool, peers: bool, wait: u64) {
    let mut adoption = new_adoption(0);
    let started = Millis(1_000);
    let mut steps = adoption.start(started);
    assert!(steps.iter().any(|step| matches!(step, Step::ReadPlatform)));
    steps = adoption.set_members(started, &members(0, 0..4, 0));
    let requests = messages(&steps).iter().filter(|m| ***m == DocumentMessage::Ask).count();
    assert_eq!(requests, 3);
    if platform {
        adoption.on_platform(started, document_reply(3));
    } else {
        let document = Document::parse(Revision(3), &text(3)).unwrap();
        receive_document(&mut adoption, started + Millis(1_000), &document);
    }
    let digest = Digest::of(text(3).as_bytes());
    for peer in (1..4).filter(|_| peers) {
        let have = DocumentMessage::Have { revision: Revision(3), digest };
        adoption.on_message(started, &vm(peer), have);
    }
    if wait > 0 {
        adoption.tick(started + Millis(wait - 1));
        assert!(!adoption.is_ready());
        adoption.tick(started + Millis(wait));
    }
    assert!(adoption.is_ready());
}

/// Delivers a whole document from VM 1.
fn receive_document(
    adoption: &mut jasminecart_core::version::Adoption,
    now: Millis,
    document: &Document,
) {
    let document_id = DocumentId { revision: document.revision(), digest: document.digest() };
    let DocumentId { revision, digest } = document_id;
    adoption.on_message(now, &vm(1), DocumentMessage::Have { revision, digest });
    let pieces = vec![Piece::Text(document.text().to_string())];
    let part = Part { document: document_id, base: None, part: 0, parts: 1, pieces };
    adoption.on_message(now, &vm(1), DocumentMessage::Part(part));
}

// Guards against a VM that becomes ready without a document.
#[test]
fn a_vm_without_a_document_is_never_ready() {
    let mut adoption = new_adoption(0);
    adoption.start(Millis(1_000));
    adoption.on_platform(Millis(1_010), PlatformReply::Unavailable);
    for tick in 0..100 {
        adoption.tick(Millis(2_000 + tick * 100));
    }
    assert!(!adoption.is_ready());
    adoption.on_platform(Millis(20_000), document_reply(1));
    assert!(adoption.is_ready());
}

// Guards against flooding a platform that is unavailable or that completes watches at once. The
// bound of the first case is 4 requests in the first 8 s and one for each shortest backoff of 4 s;
// that of the second is one request a second.
#[test_case(PlatformReply::Unavailable, 17 ; "unavailable")]
#[test_case(PlatformReply::Unchanged, 61 ; "immediate replies")]
fn requests_to_the_platform_are_bounded(reply: PlatformReply, most: usize) {
    let mut adoption = new_adoption(0);
    adoption.start(Millis(1_000));
    let mut requests = 0;
    for tick in 0..600 {
        let now = Millis(1_000 + tick * 100);
        let mut steps = adoption.tick(now);
        while steps.iter().any(|step| matches!(step, Step::Watch { .. })) {
            requests += 1;
            steps = adoption.on_platform(now, reply.clone());
        }
        if tick == 0 {
            adoption.on_platform(now, reply.clone());
        }
    }
    assert!(requests <= most, "{requests} requests in 60 s");
}

// Guards against a backoff that starts because this VM stopped a watch itself.
#[test]
fn the_end_of_a_stopped_watch_is_not_counted_as_a_failure() {
    let mut adoption = new_adoption(0);
    adoption.start(Millis(1_000));
    adoption.on_platform(Millis(1_010), document_reply(1));
    let steps = adoption.tick(Millis(1_200));
    assert!(steps.iter().any(|step| matches!(step, Step::Watch { .. })), "{steps:?}");
    for turn in 0..10 {
        adoption.on_platform(Millis(1_210 + turn), PlatformReply::Unavailable);
    }
    assert_eq!(adoption.counters().platform_failures, 1, "only the open watch can fail");
}

// Guards against parts above the size limit of a message, and against sending the whole document
// for each change.
#[test]
fn only_changed_sections_are_sent_in_bounded_messages() {
    let mut server = new_adoption(0);
    server.start(Millis(1_000));
    let reply = |revision| PlatformReply::Document {
        revision: Revision(revision),
        text: large_text(revision),
    };
    server.on_platform(Millis(1_000), reply(1));
    server.on_platform(Millis(1_100), reply(2));
    let base = DocumentId { revision: Revision(1), digest: Digest::of(large_text(1).as_bytes()) };
    let fetch = |base, part| DocumentMessage::Fetch { base, revision: Revision(2), part };
    let steps = server.on_message(Millis(2_000), &vm(1), fetch(Some(base), 0));
    let [DocumentMessage::Part(part)] = messages(&steps)[..] else { panic!("{steps:?}") };
    assert_eq!((part.parts, part.base), (1, Some(Revision(1))));
    assert!(text_bytes(part) < 500, "{} bytes for two changed sections", text_bytes(part));

    let unknown = DocumentId { revision: Revision(1), digest: Digest::of("another") };
    let steps = server.on_message(Millis(3_000), &vm(1), fetch(Some(unknown), 0));
    let [DocumentMessage::Part(part)] = messages(&steps)[..] else { panic!("{steps:?}") };
    assert_eq!(part.base, None);
    assert!(part.parts > 10 && text_bytes(part) <= 16 << 10);
}

fn text_bytes(part: &Part) -> usize {
    let text = |piece: &Piece| if let Piece::Text(text) = piece { text.len() } else { 0 };
    part.pieces.iter().map(text).sum()
}

// Guards against a burst of parts to many peers that exceeds the rate of bulk transfers
// (`docs/design.md`, section 6).
#[test]
fn parts_are_paced() {
    let mut server = new_adoption(0);
    server.start(Millis(1_000));
    let reply = PlatformReply::Document { revision: Revision(1), text: large_text(1) };
    server.on_platform(Millis(1_000), reply);
    let mut sent = 0;
    for tick in 0..200 {
        let now = Millis(2_000 + tick * 50);
        let mut steps = server.tick(now);
        for peer in 1..20 {
            let part = (tick % 10) as u32;
            let fetch = DocumentMessage::Fetch { base: None, revision: Revision(1), part };
            steps.extend(server.on_message(now, &vm(peer), fetch));
        }
        for message in messages(&steps) {
            let DocumentMessage::Part(part) = message else { continue };
            sent += text_bytes(part);
        }
    }
    assert!(sent <= 11 * (64 << 10), "{sent} bytes in 10 s");
    assert!(sent >= 8 * (64 << 10), "{sent} bytes in 10 s");
}

// Guards against adopting a text that was assembled from a wrong base or from damaged parts.
#[test]
fn a_text_with_another_digest_is_not_adopted() {
    let mut adoption = new_adoption(0);
    adoption.start(Millis(1_000));
    adoption.on_platform(Millis(1_010), document_reply(1));
    let wrong = DocumentId { revision: Revision(2), digest: Digest::of("another") };
    let have = DocumentMessage::Have { revision: wrong.revision, digest: wrong.digest };
    adoption.on_message(Millis(2_000), &vm(1), have);
    let pieces = vec![Piece::Copy { first: 0, count: 1 }];
    let part = Part { document: wrong, base: Some(Revision(1)), part: 0, parts: 1, pieces };
    let steps = adoption.on_message(Millis(2_010), &vm(1), DocumentMessage::Part(part));
    assert!(adopted_revisions(&steps).is_empty());
    assert_eq!(adoption.counters().mismatches, 1);
    let document = Document::parse(Revision(2), &text(2)).unwrap();
    receive_document(&mut adoption, Millis(2_020), &document);
    assert_eq!(adoption.current().unwrap().revision(), Revision(2));
}

// Guards against faults that prevent a VM from adopting a new document. Each case gives the number
// of VMs, the bound in seconds and the faults that begin before the publication of revision 2.
#[test_case(9, 5, |_| {} ; "no fault at 9 vms")]
#[test_case(40, 13, |_| {} ; "no fault at 40 vms")]
#[test_case(9, 5, |net| net.platform_unreachable = net.watching() ; "platform unreachable for the watchers")]
#[test_case(9, 5, |net| net.platform_unreachable = (0..8).collect() ; "platform unreachable for all but one")]
#[test_case(9, 30, |net| net.stale = net.watching() ; "platform stale for the watchers")]
#[test_case(9, 13, |net| net.loss = 0.3 ; "messages lost")]
#[test_case(9, 5, |net| net.silent = [1, 2, 3].into() ; "some peers send nothing")]
fn a_document_is_adopted_by_every_vm(size: usize, secs: u64, fault: fn(&mut Net)) {
    let mut net = Net::new(size, 1);
    net.run(40);
    fault(&mut net);
    net.run(10);
    net.publish(2);
    net.run(secs);
    let late: Vec<usize> = (0..size).filter(|vm| net.revision(*vm) != Some(Revision(2))).collect();
    assert_eq!(late, []);
}

// Guards against a VM that adopts a lower revision, which `Net` asserts, and against VMs that never
// converge after a random mixture of faults.
#[test_case(1)]
#[test_case(2)]
#[test_case(3)]
#[test_case(4)]
fn revisions_agree_after_random_faults(seed: u64) {
    let mut net = Net::new(12, seed);
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut random_vms =
        |share: f64| -> BTreeSet<usize> { (0..12).filter(|_| rng.random_bool(share)).collect() };
    for revision in 2..60 {
        net.platform_unreachable = random_vms(0.5);
        net.stale = random_vms(0.3);
        net.silent = random_vms(0.2);
        net.paused = random_vms(0.2);
        net.loss = if revision % 3 == 0 { 0.2 } else { 0.0 };
        net.publish(revision);
        net.run(1 + revision % 5);
    }
    (net.platform_unreachable, net.stale, net.silent, net.paused) = Default::default();
    net.loss = 0.0;
    net.run(20);
    assert!((0..12).all(|vm| net.revision(vm) == Some(Revision(59))));
}

// Guards against a VM that resumes with an old revision and delays the others or reverts them.
#[test]
fn a_vm_resumed_late_catches_up_and_reverts_no_other() {
    let mut net = Net::new(9, 2);
    net.run(10);
    net.paused.insert(4);
    // More revisions than the peers retain as bases of transfers.
    for revision in 2..25 {
        net.publish(revision);
        net.run(3);
    }
    assert_eq!(net.revision(4), Some(Revision(1)));
    net.platform_unreachable.insert(4);
    net.paused.clear();
    net.run(5);
    assert!((0..9).all(|vm| net.revision(vm) == Some(Revision(24))));
}

// Guards against new VMs that get no document while the platform is unreachable for the data
// centre.
#[test]
fn peers_supply_the_document_when_the_platform_is_down() {
    let mut net = Net::new(9, 3);
    net.run(10);
    net.platform_unreachable = (0..10).collect();
    net.start(9);
    net.run(5);
    assert_eq!(net.revision(9), Some(Revision(1)));
    assert!(net.vms[9].is_ready());
}

// Guards against ignoring a higher revision of another data centre while the platform of its
// own data centre is unreachable.
#[test]
fn a_vm_of_another_data_centre_supplies_the_document() {
    let mut adoption = new_adoption(0);
    adoption.start(Millis(1_000));
    adoption.on_platform(Millis(1_010), document_reply(1));
    let here = members(0, 0..4, 1);
    let mut there = members(0, 5..6, 2).list.to_vec();
    there[0].vm.data_centre = Name::new("dc-1");
    let remote = there[0].vm.clone();
    let steps = adoption.set_members(Millis(5_000), &here.with_remote(there));
    let requested = steps.iter().any(|step| match step {
        Step::Message(outgoing) => outgoing.to == remote,
        _ => false,
    });
    assert!(requested, "{steps:?}");
}

// Guards against a change of all sections that waits for the paced transfer from a peer, which
// takes 13 s for 0.8 MB.
#[test]
fn a_slow_transfer_falls_back_to_the_platform() {
    let mut adoption = new_adoption(0);
    adoption.start(Millis(1_000));
    adoption.on_platform(Millis(1_010), document_reply(1));
    adoption.set_members(Millis(1_020), &members(0, 0..40, 1));
    let document = DocumentId { revision: Revision(2), digest: Digest::of("large") };
    let DocumentId { revision, digest } = document;
    adoption.on_message(Millis(2_000), &vm(1), DocumentMessage::Have { revision, digest });
    let pieces = vec![Piece::Text("; first".to_owned())];
    let part = Part { document, base: None, part: 0, parts: 50, pieces };
    adoption.on_message(Millis(2_010), &vm(1), DocumentMessage::Part(part));
    let mut steps = Vec::new();
    for tick in 0..25 {
        steps.extend(adoption.tick(Millis(2_050 + tick * 50)));
    }
    let watch = steps.iter().any(|step| matches!(step, Step::Watch { after: Revision(1) }));
    assert!(watch, "{steps:?}");
}

// Guards against more reads of the platform than section 8 of `docs/design.md` allows.
#[test]
fn three_vms_watch_and_the_others_check_rarely() {
    let mut net = Net::new(40, 4);
    net.run(60);
    let reads = net.reads;
    net.run(60);
    assert!(net.reads - reads <= 40 * 2 + 3 * 3, "{} reads in 60 s", net.reads - reads);
    assert!((3..=6).contains(&net.watching().len()), "{:?}", net.watching());
}

// Guards against a run that cannot be repeated from its seed.
#[test]
fn a_seed_repeats_a_run() {
    let run = || {
        let mut net = Net::new(9, 5);
        net.loss = 0.2;
        net.run(20);
        net.publish(2);
        net.run(20);
        (net.reads, net.sent)
    };
    assert_eq!(run(), run());
}

fn piece() -> impl Strategy<Value = Piece> {
    let copy = (any::<u32>(), any::<u32>()).prop_map(|(first, count)| Piece::Copy { first, count });
    let small = (0..4_u32, 0..4_u32).prop_map(|(first, count)| Piece::Copy { first, count });
    prop_oneof![copy, small, "(\\[|\\]|=|[a-z]|\n|\\PC){0,40}".prop_map(Piece::Text)]
}

fn document_id() -> impl Strategy<Value = DocumentId> {
    let revision = prop_oneof![0..4_u64, Just(u64::MAX)];
    (revision, 0..3_u64).prop_map(|(revision, other)| DocumentId {
        revision: Revision(revision),
        digest: Digest::of(text(other).as_bytes()),
    })
}

fn message() -> impl Strategy<Value = DocumentMessage> {
    let have = document_id()
        .prop_map(|DocumentId { revision, digest }| DocumentMessage::Have { revision, digest });
    let numbers = prop_oneof![0..4_u32, Just(u32::MAX)];
    let part = (document_id(), any::<bool>(), numbers.clone(), numbers.clone(), vec(piece(), 0..5))
        .prop_map(|(document, based, part, parts, pieces)| {
            let base = based.then_some(Revision(1));
            DocumentMessage::Part(Part { document, base, part, parts, pieces })
        });
    let fetch = (proptest::option::of(document_id()), 0..4_u64, numbers).prop_map(
        |(base, revision, part)| DocumentMessage::Fetch {
            base,
            revision: Revision(revision),
            part,
        },
    );
    let watch = any::<u64>().prop_map(|duration| DocumentMessage::Watch { span: Millis(duration) });
    prop_oneof![have, part, fetch, watch, Just(DocumentMessage::Ask)]
}

proptest! {
    // Guards against a panic, a violated invariant or the adoption of a lower revision after
    // arbitrary messages.
    #[test]
    fn no_message_causes_a_panic(
        messages in vec((1..4_usize, 0..3_000_u64, message()), 1..40)
    ) {
        let mut adoption = new_adoption(0);
        let mut now = Millis(1_000);
        adoption.start(now);
        adoption.set_members(now, &members(0, 0..4, 3));
        adoption.on_platform(now, document_reply(1));
        let mut revision = Revision(1);
        for (from, duration, message) in messages {
            now += Millis(duration);
            let mut steps = adoption.on_message(now, &vm(from), message);
            steps.extend(adoption.tick(now));
            prop_assert!(steps.len() < 20);
            for adopted in adopted_revisions(&steps) {
                prop_assert!(adopted > revision);
                revision = adopted;
            }
        }
        adoption.tick(Millis::MAX);
        prop_assert_eq!(invariant::violations(), 0);
    }
}
