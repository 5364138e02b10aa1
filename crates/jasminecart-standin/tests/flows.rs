//! Feeds through the fabric, packet listeners and packet targets, over loopback.

mod common;

use std::time::Duration;

use jasminecart_core::process::MemberState;
use jasminecart_standin::fabric::Impairments;
use test_case::test_case;

use crate::common::World;

const FEEDS: usize = 40;
/// Longer than the 3 s after which a revision is active for new flows.
const SETTLE: Duration = Duration::from_millis(3_500);

// Guards against a packet path that breaks feeds by itself: every packet of a feed may come to any VM.
#[test_case(1, Impairments::NONE; "perfect fabric")]
#[test_case(2, Impairments::LOSSY; "lossy fabric")]
#[test_case(3, Impairments::LOSSY; "lossy fabric, another seed")]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn feeds_survive_the_fabric_and_a_new_document(seed: u64, impairments: Impairments) {
    let mut world = World::start(seed, 3, 4, impairments).await;
    let targets = ["t0", "t1", "t2", "t3"];
    world.publish(&targets, &[], "").await;
    world.open(FEEDS).await;
    let before = world.check().await;
    assert_eq!((before.alive, before.broken.len()), (FEEDS, 0), "{before:?}");
    assert!(before.targets.len() > 1, "{before:?}");

    world.publish(&targets, &[], "progress_timeout = 5s").await;
    let after = world.check().await;
    assert_eq!(after.targets, before.targets, "{after:?}");
    let strays: u64 = targets.iter().map(|name| world.target_counts(name).strays).sum();
    assert_eq!(strays, 0);
    for index in 0..3 {
        assert!(world.counters(index).await.from_fabric > 0);
    }
}

/// A planned change while feeds are open.
#[derive(Clone, Copy)]
enum Change {
    AddTarget,
    Drain,
    DrainAndRemoveLater,
    AddVm,
    ReplaceVm,
    AddTargetSlowly,
    KillVm,
}

// Guards against feeds that a planned change breaks, with packets that come to any VM while the change
// reaches the VMs one after the other, and against feeds that one killed VM takes along.
#[test_case(11, Change::AddTarget; "a target is added")]
#[test_case(12, Change::Drain; "a target drains")]
#[test_case(13, Change::DrainAndRemoveLater; "a drained target without feeds is removed")]
#[test_case(14, Change::AddVm; "an entry VM joins")]
#[test_case(15, Change::ReplaceVm; "an entry VM is replaced after a target was added")]
#[test_case(16, Change::AddTargetSlowly; "a document reaches the VMs seconds apart")]
#[test_case(17, Change::KillVm; "an entry VM is killed after a target was added")]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn feeds_survive_a_planned_change(seed: u64, change: Change) {
    let mut world = World::start(seed, 3, 4, Impairments::LOSSY).await;
    world.publish(&["t0", "t1", "t2", "t3"], &[], "").await;
    world.pass(SETTLE).await;
    world.open(FEEDS).await;
    let before = world.check().await;
    assert_eq!(before.alive, FEEDS, "{before:?}");

    apply(&mut world, change).await;
    world.pass(SETTLE).await;
    world.open(FEEDS).await;
    let after = world.check().await;
    assert_eq!((after.alive, after.broken.len()), (world.opened, 0), "{after:?}");
    if matches!(change, Change::Drain | Change::DrainAndRemoveLater) {
        assert_eq!(after.new_targets.get("t0"), None, "{after:?}");
    }
    // Without packets between VMs, the case would not test the owners of flows.
    if !matches!(change, Change::AddVm) {
        assert!(world.counters(0).await.from_peers > 0);
    }
    // Each check of the feeds counts as another round of questions on moved and unmoved flows.
    let last = world.check().await;
    assert_eq!(last.targets, after.targets, "{last:?}");
}

async fn apply(world: &mut World, change: Change) {
    match change {
        Change::AddTarget => add_target(world).await,
        Change::Drain => world.publish(&["t0", "t1", "t2", "t3"], &["t0"], "").await,
        Change::DrainAndRemoveLater => {
            world.add_target("empty").await;
            world.publish(&["t0", "t1", "t2", "t3", "empty"], &["t0", "empty"], "").await;
            world.pass(SETTLE).await;
            world.publish(&["t0", "t1", "t2", "t3"], &["t0"], "").await;
        }
        Change::AddVm => world.add_vm("new", MemberState::Active).await,
        Change::ReplaceVm => {
            add_target(world).await;
            open_exceptions(world).await;
            replace_vm(world).await;
        }
        Change::AddTargetSlowly => {
            world.add_target("t4").await;
            let targets = ["t0", "t1", "t2", "t3", "t4"];
            world.publish_slowly(&targets, &[], "", Duration::from_secs(2)).await;
            world.open(FEEDS).await;
        }
        Change::KillVm => {
            add_target(world).await;
            open_exceptions(world).await;
            world.kill(0);
            world.open(FEEDS).await;
            world.pass(SETTLE).await;
            world.bury().await;
        }
    }
}

async fn add_target(world: &mut World) {
    world.add_target("t4").await;
    world.publish(&["t0", "t1", "t2", "t3", "t4"], &[], "").await;
}

/// Opens feeds on targets that are not the base of their buckets, so that owners have to know them.
async fn open_exceptions(world: &mut World) {
    world.pass(SETTLE).await;
    world.open(FEEDS).await;
    world.check().await;
}

async fn replace_vm(world: &mut World) {
    world.add_vm("new", MemberState::Joining).await;
    world.pass(SETTLE).await;
    world.set_state(3, MemberState::Active).await;
    world.pass(SETTLE).await;
    let drained = world.leave(0).await;
    tokio::select! {
        drained = drained => drained.unwrap(),
        () = world.pass(SETTLE * 10) => panic!("the VM does not drain"),
    }
    world.kill(0);
}
