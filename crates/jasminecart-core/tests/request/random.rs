//! Seeded randomised runs: overlapping faults of every kind, with the invariants checked at the
//! end.

use jasminecart_core::names::Name;
use jasminecart_core::process::MemberState;
use jasminecart_core::request::{IssuedKey, RequestId};
use proptest::prelude::*;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::support::document;
use crate::world::{Mode, World};

const VMS: usize = 4;
const TARGETS: usize = 5;
/// The last target serves two services, the others only `ledger`.
const INTAKE: &str = "\
[service intake]
class = uploads
shed_status = 503
[target t4]
service = ledger, intake
data_centre = dc
address = 10.0.1.4:80
";

struct Run {
    world: World,
    rng: ChaCha8Rng,
    keys: Vec<IssuedKey>,
    recent: Vec<(usize, RequestId)>,
    revision: u64,
}

impl Run {
    fn new(seed: u64) -> Run {
        let rng = ChaCha8Rng::seed_from_u64(seed);
        let mut world = World::new(VMS, TARGETS);
        world.set_document(document(2, TARGETS - 1, INTAKE));
        Run { world, rng, keys: Vec::new(), recent: Vec::new(), revision: 2 }
    }

    fn chance(&mut self, percent: u32) -> bool {
        self.rng.random_range(0..100) < percent
    }

    fn step(&mut self) {
        let index = self.rng.random_range(0..VMS);
        match self.rng.random_range(0..100) {
            0..70 => self.submit(index),
            70..75 => {
                let key = self.world.issue_key(index);
                self.keys.push(key);
            }
            75..78 => {
                let cancelled = self.recent.pop();
                if let Some((vm, request)) = cancelled.filter(|(vm, _)| self.is_running(*vm)) {
                    self.world.cancel(vm, request);
                }
            }
            78 => {
                let pause = self.rng.random_range(10..4_000);
                self.world.vms[index].paused_until = self.world.now + pause;
            }
            79 => {
                let other = self.rng.random_range(0..VMS);
                self.world.cut_links.insert((index, other));
            }
            80..82 => drop(self.world.cut_links.pop_first()),
            82..84 => self.change_target(),
            92..94 => self.change_document(),
            94..96 => self.world.set_members(index),
            96 if self.is_running(index) => {
                self.recent.retain(|(vm, _)| *vm != index);
                self.world.restart(index);
            }
            97 if self.world.vms.iter().all(|vm| vm.state == MemberState::Active) => {
                self.world.leave(index);
            }
            98.. if self.world.vms[index].state == MemberState::Leaving => {
                self.recent.retain(|(vm, _)| *vm != index);
                self.world.restart(index);
            }
            _ => {}
        }
        let duration = self.rng.random_range(0..20);
        self.world.run(duration);
    }

    fn is_running(&self, index: usize) -> bool {
        self.world.vms[index].paused_until <= self.world.now
    }

    fn submit(&mut self, index: usize) {
        if !self.is_running(index) {
            return;
        }
        let (idempotent, repeatable) = (self.chance(40), self.chance(70));
        let class = Name::new(if self.chance(50) { "claims" } else { "uploads" });
        let tenant = Name::new(if self.chance(10) { "flood" } else { "someone" });
        let service = Name::new(if self.chance(20) { "intake" } else { "ledger" });
        let with_key = self.chance(40) && !self.keys.is_empty();
        let last = self.keys.len().min(8);
        let position = self.keys.len() - last + self.rng.random_range(0..last.max(1));
        let key = with_key.then(|| self.keys[position].clone());
        let for_ms = self.rng.random_range(1..3_000);
        let request = self.world.submit(index, for_ms, |m| {
            (m.idempotent, m.repeatable, m.key) = (idempotent, repeatable, key);
            (m.class, m.tenant, m.service) = (class, tenant, service);
        });
        self.recent.push((index, request));
    }

    fn change_target(&mut self) {
        let name = Name::new(format!("t{}", self.rng.random_range(0..TARGETS)));
        let modes = [
            Mode::Serve,
            Mode::Serve,
            Mode::Serve,
            Mode::ShedAll,
            Mode::Break,
            Mode::Refuse,
            Mode::Silent,
        ];
        let mode = modes[self.rng.random_range(0..modes.len())];
        let (slots, service_ms) = (self.rng.random_range(0..3), self.rng.random_range(1..200));
        let target = self.world.targets.get_mut(&name).unwrap();
        (target.mode, target.slots, target.service_ms) = (mode, slots, service_ms);
    }

    fn change_document(&mut self) {
        self.revision += 1;
        let targets = self.rng.random_range(1..TARGETS);
        self.world.set_document(document(self.revision, targets, INTAKE));
    }

    /// Ends all faults, waits until every request has ended and checks the invariants.
    fn finish(mut self) -> World {
        self.world.cut_links.clear();
        self.world.vms.iter_mut().for_each(|vm| vm.paused_until = 0);
        self.world.set_members_everywhere();
        self.world.run(20_000);
        self.world.check();
        for vm in &self.world.vms {
            assert!(vm.dispatcher.is_drained(), "{:?}", vm.dispatcher);
        }
        self.world
    }
}

fn run(seed: u64, steps: u32) -> World {
    let mut run = Run::new(seed);
    (0..steps).for_each(|_| run.step());
    run.finish()
}

// Guards against lost requests, second runs and a false `not-run` that only a combination of faults
// in a long run causes.
#[test]
fn a_long_run_violates_no_invariant() {
    let world = run(1, 20_000);
    assert!(world.runs.len() > 1_000, "{} requests ran", world.runs.len());
    assert!(world.runs_of_key.len() > 100, "{} keys were used", world.runs_of_key.len());
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 48, failure_persistence: None, ..ProptestConfig::default() })]

    // Guards against the same failures in many short sequences of faults. A failing seed is
    // printed.
    #[test]
    fn any_short_run_violates_no_invariant(seed in any::<u64>(), steps in 1_u32..600) {
        run(seed, steps);
    }
}
