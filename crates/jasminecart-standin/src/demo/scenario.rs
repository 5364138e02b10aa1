//! The steps of the demo.

use std::time::Duration;

use jasminecart_core::Name;

use super::Progress;
use super::entries::Vm;
use super::figures::{DemoFigures, DemoReport};
use super::services::Service;
use super::world::World;
use crate::errors::Result;
use crate::feeds::FeedFault;
use crate::platform::PlatformMode;
use crate::request_target::{Behaviour, Health};
use crate::run_log::{Outcome, Verdicts};

/// Every VM of a data centre adopts a document within 5 s (invariant I8).
const ADOPTION_TIMEOUT: Duration = Duration::from_secs(5);
/// Longer than the 3 s after which a revision is active for new flows.
const ACTIVATION_DELAY: Duration = Duration::from_millis(3_200);
/// Longer than the 5 s after publication within which a draining target may get new work, so that its work is
/// sampled after that bound.
const DRAIN_DURATION: Duration = Duration::from_millis(5_200);
/// The delay until the fabric and the clients are notified that a VM has stopped.
const FABRIC_DELAY: Duration = Duration::from_millis(300);
const SHEDDING_DURATION: Duration = Duration::from_secs(2);
/// How long the platform is unreachable, and how long it offers an old revision.
const OUTAGE_DURATION: Duration = Duration::from_secs(3);
/// A response on a feed usually arrives within a second through the lossy fabric, and within 5 s when a segment is
/// lost three times in a row. A broken feed never receives one.
const CHECK_TIMEOUT: Duration = Duration::from_secs(6);
/// A dead VM is detected within 6 s at the present number of VMs. Until then a feed whose first owner died gets no
/// response, and the retransmission that gets one follows after up to the same time again.
const CHECK_TIMEOUT_AFTER_KILL: Duration = Duration::from_secs(13);

pub(super) async fn run(world: &mut World, progress: &Progress) -> Result<DemoReport> {
    open_feeds(world, progress).await?;
    add_target(world, progress).await?;
    drain_target(world, progress).await?;
    replace_vm(world, progress).await?;
    degrade_targets(world, progress).await?;
    fail_platform(world, progress).await?;
    kill_vm(world, progress).await?;
    progress.print("waiting for the last answers");
    world.finish_requests().await;
    world.check_feeds(CHECK_TIMEOUT).await?;
    Ok(report(world))
}

async fn check(world: &mut World, progress: &Progress, step: &str) -> Result<()> {
    let timeout = if world.is_killed { CHECK_TIMEOUT_AFTER_KILL } else { CHECK_TIMEOUT };
    let new = world.check_feeds(timeout).await?;
    let totals = &world.totals;
    let broken = totals.broken_by_plan.iter().chain(&totals.broken_by_kill);
    let broken: Vec<String> =
        broken.map(|(fault, count)| format!("{count} {fault:?}").to_lowercase()).collect();
    let broken = if broken.is_empty() { "none".to_owned() } else { broken.join(", ") };
    let new: Vec<String> = new.iter().map(|(name, count)| format!("{name} {count}")).collect();
    let new = if new.is_empty() { String::new() } else { format!("; new on {}", new.join(", ")) };
    progress.print(&format!(
        "{step}: {} of {} feeds open, broken: {broken}{new}",
        totals.alive, totals.opened
    ));
    Ok(())
}

async fn open_feeds(world: &mut World, progress: &Progress) -> Result<()> {
    progress.print(
        "the entry VMs are ready; opening feeds through a fabric that sprays, loses 2 %, \
                  duplicates 2 % and reorders 10 %; sending claims and uploads",
    );
    world.open_feeds(30, 10).await?;
    check(world, progress, "start").await
}

/// Waits until a revision is current at every VM and prints how long that took.
async fn wait_in_force(world: &World, progress: &Progress, revision: u64) {
    match world.wait_revision(revision, ADOPTION_TIMEOUT).await {
        Some(duration) => {
            let secs = duration.as_secs_f64();
            progress
                .print(&format!("revision {revision} is in force everywhere after {secs:.1} s"));
        }
        None => progress.print(&format!("revision {revision} is not in force everywhere in time")),
    }
}

async fn add_target(world: &mut World, progress: &Progress) -> Result<()> {
    progress.print("publishing a document with one more target in each data centre");
    world.add_target("north", Service::Claims, 9).await?;
    world.add_target("south", Service::Claims, 9).await?;
    let revision = world.publish();
    wait_in_force(world, progress, revision).await;
    tokio::time::sleep(ACTIVATION_DELAY).await;
    world.open_feeds(15, 5).await?;
    check(world, progress, "new document").await
}

async fn drain_target(world: &mut World, progress: &Progress) -> Result<()> {
    let name = Name::new("north-claims-0");
    progress.print(&format!("publishing that {name} drains"));
    let revision = world.drain(&name);
    tokio::join!(wait_in_force(world, progress, revision), tokio::time::sleep(DRAIN_DURATION));
    world.record_work_at_bound();
    world.open_feeds(15, 5).await?;
    check(world, progress, "drain").await
}

async fn replace_vm(world: &mut World, progress: &Progress) -> Result<()> {
    progress.print("replacing north-2 by north-3");
    world.start_vm("north", "north-3").await?;
    if let Some(vm) = world.vms.last() {
        vm.wait_ready().await?;
    }
    progress.print("north-3 is ready; stopping north-2 in a planned way");
    let mut leaving = world.take_vm("north-2")?;
    leaving.is_leaving = true;
    let mut listed: Vec<_> = world.vms.iter().map(Vm::platform_vm).collect();
    listed.push(leaving.platform_vm());
    world.platform.set_vms(listed);
    let stop = tokio::spawn(leaving.stop());
    tokio::time::sleep(FABRIC_DELAY).await;
    world.entries.remove(&Name::new("north-2"));
    world.announce_vms();
    if let Ok(result) = stop.await {
        let (drained, cut_off) = (result.is_drained, result.cut_off);
        progress
            .print(&format!("north-2 stopped, drained: {drained}, requests cut off: {cut_off}"));
    }
    world.open_feeds(10, 5).await?;
    check(world, progress, "replacement").await
}

/// Stops the responses on open connections to one target, while another one sheds and reports that it is healthy.
async fn degrade_targets(world: &mut World, progress: &Progress) -> Result<()> {
    progress.print(
        "old connections to north-claims-1 go silent, and south-claims-1 sheds but looks well",
    );
    let requests = |name: &str| {
        let target = world.targets.iter().find(|target| target.name.as_str() == name);
        target.map(|target| &target.requests)
    };
    if let Some(silent) = requests("north-claims-1") {
        silent.silence_connections();
    }
    if let Some(shedding) = requests("south-claims-1") {
        shedding.set_behaviour(Behaviour { shed: true, health: Health::AlwaysHealthy });
        tokio::time::sleep(SHEDDING_DURATION).await;
        shedding.set_behaviour(Behaviour::default());
    }
    check(world, progress, "targets in trouble").await
}

async fn fail_platform(world: &mut World, progress: &Progress) -> Result<()> {
    progress.print("the platform is unreachable");
    world.platform.set_mode(PlatformMode::Unreachable);
    world.open_feeds(5, 5).await?;
    tokio::time::sleep(OUTAGE_DURATION).await;
    check(world, progress, "outage").await?;
    progress.print("the platform is back with the first revision and the list of VMs of that time");
    world.platform.set_mode(PlatformMode::Behind { revision: 1 });
    world.open_feeds(5, 5).await?;
    tokio::time::sleep(OUTAGE_DURATION).await;
    check(world, progress, "stale platform").await?;
    world.platform.set_mode(PlatformMode::Current);
    let revision = world.publish();
    wait_in_force(world, progress, revision).await;
    Ok(())
}

async fn kill_vm(world: &mut World, progress: &Progress) -> Result<()> {
    progress.print("killing north-1");
    world.is_killed = true;
    let name = Name::new("north-1");
    let entry = world.entries.get(&name);
    entry.iter().for_each(|entry| entry.mark_killed());
    world.take_vm("north-1")?.kill().await;
    tokio::time::sleep(FABRIC_DELAY).await;
    world.entries.remove(&name);
    world.announce_vms();
    world.open_feeds(10, 5).await?;
    check(world, progress, "kill").await
}

fn report(world: &World) -> DemoReport {
    let verdicts = world.log.verdicts();
    let targets = world.targets.iter().map(|target| target.packets.counts());
    let misrouted_packets: u64 = targets.map(|counts| counts.misrouted).sum();
    let totals = &world.totals;
    let broken = totals.broken_by_plan.iter().chain(&totals.broken_by_kill);
    let is_misrouted = |fault: &FeedFault| matches!(fault, FeedFault::Crossed);
    let crossed_feeds: u64 =
        broken.filter(|(fault, _)| is_misrouted(fault)).map(|(_, count)| *count).sum();
    let figures = DemoFigures {
        feeds: totals.opened,
        broken_by_plan: totals.broken_by_plan.values().sum(),
        broken_by_kill: totals.broken_by_kill.values().sum(),
        requests: verdicts.operations,
        lost: verdicts.lost.len() as u64,
        run_twice: verdicts.run_twice.len() as u64,
        false_not_run: verdicts.false_not_run.len() as u64,
        misrouted: misrouted_packets
            + verdicts.misrouted
            + verdicts.crossed.len() as u64
            + crossed_feeds,
        reverted: world.reversions() + world.work_after_drain(),
    };
    DemoReport { table: table(world, &verdicts, &figures), figures }
}

fn table(world: &World, verdicts: &Verdicts, figures: &DemoFigures) -> Vec<String> {
    let submissions = |outcome| verdicts.outcomes.get(&outcome).copied().unwrap_or(0);
    let sum = |f: fn(&super::services::Target) -> u64| world.targets.iter().map(f).sum::<u64>();
    let fabric = world.fabric.counts();
    let rows = [
        ("feeds opened", figures.feeds),
        ("feeds broken by planned changes", figures.broken_by_plan),
        ("feeds broken by the killed VM", figures.broken_by_kill),
        ("answers on feeds", sum(|target| target.packets.counts().responses)),
        ("packets of clients through the fabric", fabric.from_clients),
        ("packets lost by the fabric", fabric.lost),
        ("packets duplicated by the fabric", fabric.duplicated),
        ("packets reordered by the fabric", fabric.reordered),
        (
            "segments at a target that did not know the flow",
            sum(|t| t.packets.counts().unknown_segments),
        ),
        ("requests (operations)", figures.requests),
        ("submissions answered", submissions(Outcome::Response)),
        ("submissions refused as not run", submissions(Outcome::NotRun)),
        ("submissions refused as unknown", submissions(Outcome::Unknown)),
        ("submissions broken by the killed VM", submissions(Outcome::BrokenByKill)),
        ("claims not submitted for want of a key", verdicts.keys_refused),
        ("requests shed by targets", sum(|target| target.requests.counts().shed)),
        ("requests on silent connections", sum(|target| target.requests.counts().silent)),
        ("requests lost", figures.lost),
        ("requests run twice", figures.run_twice),
        ("requests refused as not run that ran", figures.false_not_run),
        ("packets, requests or answers misrouted", figures.misrouted),
        ("sightings of an older document", figures.reverted),
    ];
    rows.iter().map(|(name, value)| format!("{name:<52}{value:>10}")).collect()
}
