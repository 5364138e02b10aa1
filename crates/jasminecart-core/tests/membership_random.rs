//! Randomised runs of membership, and messages with arbitrary content.

mod membership_net;

use jasminecart_core::names::Name;
use jasminecart_core::process::{
    Claim, DeclaredState, Head, MemberMessage, MemberState, TableHash, Update,
};
use jasminecart_core::version::Revision;
use jasminecart_core::{Incarnation, Millis};
use proptest::collection::vec;
use proptest::prelude::*;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use test_case::test_case;

use self::membership_net::{Net, START, address, hint, new_membership, vm};

const STEPS: usize = 120;

fn inject_fault(net: &mut Net, rng: &mut ChaCha8Rng, all: &[usize]) {
    let any = |rng: &mut ChaCha8Rng| all[rng.random_range(0..all.len())];
    let (one, other) = (any(rng), any(rng));
    match rng.random_range(0..10) {
        0 => drop(net.vms.remove(&one)),
        1 | 2 => net.start(one, &[0, 1, 100]),
        3 => net.pause(one, rng.random_range(1..30)),
        4 => net.cut_one_way(&[one], &[other]),
        5 => net.partition(&[one, other], all),
        6 => net.loss = rng.random_range(0.0..0.3),
        7 => net.duplication = rng.random_range(0.0..0.3),
        8 => {
            let listed: Vec<_> = all.iter().filter(|_| rng.random()).map(|n| hint(*n)).collect();
            let Some(membership) = net.vms.get_mut(&one) else { return };
            let events = membership.on_vm_list(net.now, &listed);
            net.apply_events(one, events);
        }
        _ => net.cut_links.clear(),
    }
}

// Guards against views that do not converge after a random mixture of faults, and against violated
// invariants of the program, which panic here.
#[test_case(1)]
#[test_case(2)]
#[test_case(3)]
#[test_case(4)]
#[test_case(5)]
#[test_case(6)]
fn views_converge_after_random_faults(seed: u64) {
    let all: Vec<usize> = (0..8).chain(100..104).collect();
    let mut net = Net::new(all.iter().copied(), seed);
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    for _ in 0..STEPS {
        inject_fault(&mut net, &mut rng, &all);
        net.run_ms(rng.random_range(50..4_000));
        for (number, membership) in &net.vms {
            let list = &membership.members().list;
            assert!(list.is_sorted_by(|a, b| a.vm < b.vm), "{list:?}");
            assert!(list.iter().any(|member| member.vm == vm(*number)));
        }
    }
    net.cut_links.clear();
    (net.loss, net.duplication) = (0.0, 0.0);
    // Two VMs that started while all seeds were down find each other through the platform's list,
    // and the list shows the last VM of a data centre that its peers no longer run. The longest
    // pause and the longest hold-down end meanwhile.
    for _ in 0..2 {
        let running: Vec<_> = net.vms.keys().map(|number| hint(*number)).collect();
        for number in net.vms.keys().copied().collect::<Vec<_>>() {
            let events = net.vms.get_mut(&number).unwrap().on_vm_list(net.now, &running);
            net.apply_events(number, events);
        }
        net.run(50);
    }
    assert_eq!(net.unconverged(), [], "seed {seed}");
    let stopped = all.iter().filter(|number| !net.vms.contains_key(number));
    for stopped in stopped {
        let readers = net.vms.keys().filter(|reader| **reader / 100 == stopped / 100);
        for reader in readers {
            let state = net.state(*reader, *stopped);
            assert!(
                state.is_none_or(|state| state == MemberState::Dead),
                "{reader} {stopped} {state:?}"
            );
        }
    }
}

// Guards against a run that cannot be repeated from its seed.
#[test]
fn a_seed_repeats_a_run() {
    let run = || {
        let mut net = Net::new(0..9, 21);
        net.loss = 0.2;
        net.pause(3, 10);
        net.run(30);
        net.log
    };
    assert_eq!(run(), run());
}

fn head() -> impl Strategy<Value = Head> {
    (0..4_u64, any_counter(), stated(), any::<u64>()).prop_map(
        |(incarnation, counter, stated, n)| Head {
            incarnation: Incarnation(incarnation),
            counter,
            stated,
            revision: Revision(n),
        },
    )
}

fn any_counter() -> impl Strategy<Value = u32> {
    prop_oneof![0..4_u32, Just(u32::MAX), Just(u32::MAX - 1)]
}

fn stated() -> impl Strategy<Value = DeclaredState> {
    prop_oneof![
        Just(DeclaredState::Joining),
        Just(DeclaredState::Held),
        Just(DeclaredState::Active),
        Just(DeclaredState::Leaving)
    ]
}

fn claim() -> impl Strategy<Value = Claim> {
    let state = (stated(), any::<u32>(), any::<u64>()).prop_map(|(stated, size, revision)| {
        Claim::State { stated, size, address: address(1), revision: Revision(revision) }
    });
    let revision = any::<u64>().prop_map(|revision| Claim::Revision(Revision(revision)));
    prop_oneof![state, Just(Claim::Suspect), Just(Claim::Dead), revision]
}

fn update() -> impl Strategy<Value = Update> {
    let data_centre = prop_oneof![Just(None), Just(Some(Name::new("dc-1")))];
    let parts = (data_centre, name(), 0..4_u64, any_counter(), claim());
    parts.prop_map(|(data_centre, name, incarnation, counter, claim)| Update {
        data_centre,
        name,
        incarnation: Incarnation(incarnation),
        counter,
        claim,
    })
}

fn name() -> impl Strategy<Value = Name> {
    prop_oneof![(0..4_u32).prop_map(|n| Name::new(format!("entry-{n}"))), Just(Name::new(""))]
}

fn message() -> impl Strategy<Value = MemberMessage> {
    let tables = vec((name(), any::<u64>()), 0..70).prop_map(|tables| {
        let table = |(data_centre, hash)| TableHash { data_centre, hash };
        tables.into_iter().map(table).collect::<Vec<_>>()
    });
    prop_oneof![
        (0..4_u32, head(), vec(update(), 0..300))
            .prop_map(|(seq, head, updates)| { MemberMessage::Ping { seq, head, updates } }),
        (0..4_u32, head(), vec(update(), 0..4))
            .prop_map(|(seq, head, updates)| MemberMessage::Ack { seq, head, updates }),
        (0..4_u32, name(), head(), vec(update(), 0..4)).prop_map(|(seq, target, head, updates)| {
            MemberMessage::Relay { seq, target, head, updates }
        }),
        (0..4_u32, name(), head(), head()).prop_map(|(seq, target, answer, head)| {
            MemberMessage::Relayed { seq, target, answer, head }
        }),
        (head(), update(), tables, any::<bool>()).prop_map(|(head, me, tables, answer)| {
            MemberMessage::Sync { head, me, tables, answer }
        }),
        (head(), vec(update(), 0..40), any::<u64>()).prop_map(|(head, updates, hold)| {
            MemberMessage::Table { head, updates, hold: Millis(hold) }
        }),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(200))]

    // Guards against a panic, a violated invariant or unbounded output caused by messages with
    // arbitrary content.
    #[test]
    fn no_message_causes_a_panic(
        messages in vec((prop_oneof![0..4_usize, 100..103_usize], 0..2_000_u64, message()), 1..40)
    ) {
        let mut membership = new_membership(0, 2, &[1, 100]);
        let mut now = START;
        for (from, duration, message) in messages {
            now += Millis(duration);
            let events = membership.on_message(now, &vm(from), message);
            prop_assert!(events.len() < 1_000);
            prop_assert!(membership.tick(now).len() < 1_000);
            prop_assert!(membership.members().list.len() <= 6);
        }
        membership.leave(now);
        membership.tick(Millis::MAX);
    }
}
