//! Feeds through the fabric, packet listeners and packet targets, over loopback.

#[allow(dead_code, reason = "tests of planned changes use the rest")]
mod common;

use jasminecart_standin::fabric::Impairments;
use test_case::test_case;

use crate::common::World;

const FEEDS: usize = 40;

// Guards against a packet path that breaks feeds by itself: every packet of a feed may come to any VM.
#[test_case(1, Impairments::NONE; "perfect fabric")]
#[test_case(2, Impairments::LOSSY; "lossy fabric")]
#[test_case(3, Impairments::LOSSY; "lossy fabric, another seed")]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn feeds_survive_the_fabric_and_a_new_document(seed: u64, impairments: Impairments) {
    let mut world = World::start(seed, 3, 4, impairments).await;
    let targets = ["t0", "t1", "t2", "t3"];
    world.publish(&targets, &[], "").await;
    world.feeds.open(FEEDS).await.unwrap();
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
