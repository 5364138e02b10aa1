//! Contract tests and fault cases of membership.

mod membership_net;

use jasminecart_core::invariant;
use jasminecart_core::process::{
    Claim, DeclaredState, Event, Head, MemberLimits, MemberMessage, MemberState, Membership,
    Update, VmHint,
};
use jasminecart_core::version::Revision;
use jasminecart_core::{Incarnation, Millis, PeerMessage};
use test_case::test_case;

use self::membership_net::{Net, START, address, hint, new_membership, vm};

fn nine() -> std::ops::Range<usize> {
    0..9
}

fn numbers(range: std::ops::Range<usize>) -> Vec<usize> {
    range.collect()
}

// Guards against a VM that owns flows before it has the document and its share of the entries.
#[test]
fn a_vm_is_joining_until_it_is_ready() {
    let mut net = Net::new(nine(), 1);
    net.vms.insert(9, new_membership(9, net.now.get(), &[0]));
    net.run(5);
    assert!(nine().chain([9]).all(|reader| net.state(reader, 9) == Some(MemberState::Joining)));
    assert!(!net.members(0).eligible().any(|member| member.vm == vm(9)));
    let events = net.vms.get_mut(&9).unwrap().set_ready(net.now);
    net.carry_out(9, events);
    net.run(3);
    assert!(nine().chain([9]).all(|reader| net.state(reader, 9) == Some(MemberState::Active)));
}

// Guards against a planned stop that is reported as a death, and against owners on a leaving VM.
#[test]
fn a_leaving_vm_is_announced_and_its_end_is_no_death() {
    let mut net = Net::new(nine(), 2);
    let events = net.vms.get_mut(&4).unwrap().leave(net.now);
    net.carry_out(4, events);
    net.run(2);
    assert!(nine().all(|reader| net.state(reader, 4) == Some(MemberState::Leaving)));
    net.vms.remove(&4);
    net.run(8);
    assert_eq!(net.state(0, 4), Some(MemberState::Dead));
    assert_eq!(net.events("Died").len(), 0, "{:?}", net.log);
    assert_eq!(net.events("Left").len(), 8);
}

// Guards against a new process that has to wait until the old one is found dead, and against late messages
// of the old process.
#[test]
fn a_restarted_vm_replaces_the_old_one_at_once() {
    let mut net = Net::new(nine(), 3);
    let old = net.members(4).get(&vm(4)).unwrap().incarnation;
    let mut previous = net.vms.remove(&4).unwrap();
    net.start(4, &[0, 1]);
    net.run(2);
    let replaced = |net: &Net, reader: usize| net.members(reader).get(&vm(4)).unwrap().incarnation;
    assert!(nine().all(|reader| replaced(&net, reader) > old));
    assert_eq!(net.unsettled(), []);
    let events = previous.tick(net.now);
    net.carry_out(4, events);
    net.run(2);
    assert!(nine().all(|reader| replaced(&net, reader) > old));
    assert!(net.vms.values().any(|membership| membership.counters().outdated > 0));
    assert_eq!(net.events("Died").len(), 0, "{:?}", net.log);
}

// Guards against silent deaths and against bounds that no longer hold after a change of the periods.
#[test_case(9, 6 ; "at 9 members")]
#[test_case(40, 8 ; "at 40 members")]
fn a_death_is_found_by_all_in_time(size: usize, secs: u64) {
    let mut net = Net::new(0..size, 4);
    net.vms.remove(&5);
    net.run(secs);
    let readers: Vec<usize> = net.vms.keys().copied().collect();
    assert!(readers.iter().all(|reader| net.state(*reader, 5) == Some(MemberState::Dead)));
    assert_eq!(net.events("Died").len(), size - 1);
    net.run(61);
    assert!(readers.iter().all(|reader| net.state(*reader, 5).is_none()));
}

// Guards against removal of VMs that run: each case is a fault during which all VMs stay up.
#[test_case(|net| net.loss = 0.2 ; "a fifth of messages lost")]
#[test_case(|net| net.duplication = 0.5 ; "half of messages duplicated")]
#[test_case(|net| net.cut(&[2], &[5]) ; "one link cut in one direction")]
#[test_case(|net| net.split(&[2], &[5]) ; "one link cut in both directions")]
#[test_case(|net| net.cut(&[2], &[3, 4, 5, 6]) ; "half of the links of one vm cut in one direction")]
#[test_case(|net| net.split(&[0, 1], &[2, 3]) ; "four links cut")]
fn a_fault_of_links_removes_nobody(fault: fn(&mut Net)) {
    let mut net = Net::new(nine(), 5);
    fault(&mut net);
    net.run(60);
    assert_eq!(net.events("Died").len(), 0, "{:?}", net.log);
    net.loss = 0.0;
    net.cuts.clear();
    net.run(10);
    assert_eq!(net.unsettled(), []);
}

// Guards against a VM that resumes and takes the others for dead, on its own or from claims in its queue.
#[test_case(1)]
#[test_case(3)]
#[test_case(10)]
#[test_case(30)]
fn a_paused_vm_removes_nobody_and_comes_back(secs: u64) {
    let mut net = Net::new(nine(), 6);
    net.pause(6, secs);
    net.run(1);
    // VM 3 resumes 2 s after VM 6, with the claim that VM 6 is dead in its queue.
    net.pause(3, secs + 1);
    net.run(secs + 12);
    assert_eq!(net.unsettled(), []);
    let died: Vec<_> = net.events("Died").into_iter().cloned().collect();
    assert!(died.iter().all(|(_, reader, _)| *reader != 3), "{died:?}");
    assert!([3, 6].iter().all(|paused| net.vms[paused].counters().deaths == 0));
    assert!(died.iter().all(|(_, _, event)| event.contains("-3") || event.contains("-6")));
}

// Guards against heartbeats that waited in a queue and make an old revision look recent.
#[test]
fn messages_from_before_a_pause_do_not_count_as_heard() {
    let mut net = Net::new(nine(), 7);
    net.pause(3, 20);
    net.run(19);
    let heard: Vec<Millis> = net.members(3).peers().map(|member| member.heard_at).collect();
    net.run_ms(1_001);
    let cut: Vec<usize> = numbers(0..9);
    net.cut(&[3], &cut);
    net.run_ms(300);
    let after: Vec<Millis> = net.members(3).peers().map(|member| member.heard_at).collect();
    assert_eq!(heard, after);
}

// Guards against an answer to a probe from before a pause that counts as heard after it.
#[test]
fn an_answer_from_before_a_pause_does_not_count_as_heard() {
    let mut net = Net::new(0..2, 19);
    let mut membership = net.vms.remove(&0).unwrap();
    let now = net.now + Millis(500);
    let events = membership.tick(now);
    let ping = events.iter().find_map(|event| match event {
        Event::Message(outgoing) => match &outgoing.message {
            PeerMessage::Member(ping @ MemberMessage::Ping { .. }) => Some(ping.clone()),
            _ => None,
        },
        _ => None,
    });
    let ping = ping.expect("a probe is due every 400 ms");
    let heard = |membership: &Membership| membership.members().get(&vm(1)).unwrap().heard_at;
    let before = heard(&membership);
    let head = net.vms[&1].members().get(&vm(1)).unwrap().incarnation;
    let MemberMessage::Ping { seq, head: asked, .. } = ping else { unreachable!() };
    let head = Head { incarnation: head, ..asked };
    let ack = MemberMessage::Ack { seq, head, updates: Vec::new() };
    membership.tick(now + Millis(10_000));
    membership.on_message(now + Millis(10_001), &vm(1), ack);
    membership.tick(now + Millis(10_200));
    assert_eq!(heard(&membership), before);
}

// Guards against two VMs that answer each other without end about a claim that cannot be refuted.
#[test]
fn a_claim_that_is_not_refuted_causes_no_stream_of_messages() {
    let mut membership = new_membership(0, 2, &[1]);
    let head = Head {
        incarnation: Incarnation(5),
        counter: u32::MAX,
        stated: DeclaredState::Active,
        revision: Revision(0),
    };
    let address = address(1);
    let state =
        Claim::State { stated: DeclaredState::Active, size: 1, address, revision: Revision(0) };
    let update = |claim| Update {
        data_centre: None,
        name: vm(1).name,
        incarnation: Incarnation(5),
        counter: u32::MAX,
        claim,
    };
    let updates = vec![update(state), update(Claim::Suspect)];
    membership.on_message(START, &vm(1), MemberMessage::Ping { seq: 1, head, updates });
    let ack = MemberMessage::Ack { seq: 999, head, updates: Vec::new() };
    let events = membership.on_message(START, &vm(1), ack);
    assert!(!events.iter().any(|event| matches!(event, Event::Message(_))), "{events:?}");
}

// Guards against a cut-off VM that empties its list, and against forgotten seeds (section 9).
#[test]
fn a_loss_of_all_links_empties_no_list() {
    let mut net = Net::new(nine(), 8);
    let all = numbers(0..9);
    net.cut(&all, &all);
    net.run(120);
    assert_eq!(net.events("Died").len(), 0, "{:?}", net.log);
    assert!(nine().all(|reader| net.members(reader).eligible().count() == 9));
    net.cuts.clear();
    net.run(10);
    assert_eq!(net.unsettled(), []);
}

// Guards against halves of a data centre that go on alone and never meet again.
#[test_case(5, 30 ; "short")]
#[test_case(3, 600 ; "long")]
fn a_split_data_centre_heals(at: usize, secs: u64) {
    let mut net = Net::new(nine(), 9);
    net.split(&numbers(0..at), &numbers(at..9));
    net.run(secs);
    assert_eq!(net.members(0).eligible().count(), at);
    assert_eq!(net.members(8).eligible().count(), 9 - at);
    net.cuts.clear();
    net.run(15);
    assert_eq!(net.unsettled(), []);
}

// Guards against a lagging or empty list of the platform that changes the members.
#[test_case(&[] ; "empty")]
#[test_case(&[0, 1] ; "short")]
#[test_case(&[0, 1, 2, 3, 4, 5, 6, 7, 8, 20, 21] ; "with vms that are gone")]
fn a_list_of_the_platform_removes_and_adds_no_member(listed: &[usize]) {
    let mut net = Net::new(nine(), 10);
    let list: Vec<VmHint> = listed.iter().map(|number| hint(*number)).collect();
    for number in nine() {
        let events = net.vms.get_mut(&number).unwrap().on_vm_list(net.now, &list);
        net.carry_out(number, events);
    }
    net.run(20);
    assert_eq!(net.unsettled(), []);
    assert!(nine().all(|reader| net.members(reader).list.len() == 9));
}

// Guards against a VM without seeds that never finds the others.
#[test]
fn a_list_of_the_platform_leads_to_the_members() {
    let mut net = Net::new(nine(), 11);
    net.start(9, &[]);
    net.run(5);
    assert_eq!(net.members(9).list.len(), 1);
    let events = net.vms.get_mut(&9).unwrap().on_vm_list(net.now, &[hint(9), hint(5)]);
    net.carry_out(9, events);
    net.run(5);
    assert_eq!(net.unsettled(), []);
}

// Guards against a dead peer of a two-VM data centre that stays a suspect for ever: probes and list agree.
#[test]
fn probes_and_list_together_remove_the_last_peer() {
    let mut net = Net::new(0..2, 12);
    net.vms.remove(&1);
    net.run(30);
    assert_eq!(net.state(0, 1), Some(MemberState::Suspect));
    let events = net.vms.get_mut(&0).unwrap().on_vm_list(net.now, &[hint(0)]);
    net.carry_out(0, events);
    net.run(10);
    assert_eq!(net.state(0, 1), Some(MemberState::Dead));
}

// Guards against owner changes at each death of a VM that keeps crashing.
#[test]
fn a_flapping_vm_is_held_down() {
    let mut net = Net::new(nine(), 13);
    for _ in 0..3 {
        net.vms.remove(&4);
        net.run(7);
        net.start(4, &[0, 1]);
        net.run(3);
    }
    assert!(nine().all(|reader| net.state(reader, 4) == Some(MemberState::Joining)));
    net.run(70);
    assert_eq!(net.unsettled(), []);
}

// Guards against a hold-down of a whole data centre whose halves lose each other repeatedly.
#[test]
fn flapping_halves_do_not_hold_everyone_down() {
    let mut net = Net::new(nine(), 14);
    for _ in 0..4 {
        net.split(&numbers(0..4), &numbers(4..9));
        net.run(8);
        net.cuts.clear();
        net.run(6);
        assert!(nine().all(|reader| net.members(reader).eligible().count() >= 4));
    }
}

// Guards against keyed requests that cannot be forwarded because the VM that issued the key is unknown.
#[test]
fn vms_of_other_data_centres_are_known_with_their_addresses() {
    let mut net = Net::new((0..5).chain(100..105), 15);
    net.run(20);
    for (reader, other) in [(0..5, 100..105), (100..105, 0..5)] {
        for reader in reader {
            for other in other.clone() {
                let member = net.members(reader).get(&vm(other));
                assert_eq!(member.map(|member| member.address), Some(address(other)));
            }
            assert_eq!(net.members(reader).list.len(), 5, "members are those of one data centre");
        }
    }
    let (here, there) = (numbers(0..5), numbers(100..105));
    net.split(&here, &there);
    net.run(30);
    assert!(here.iter().all(|reader| net.members(*reader).remote.len() == 5));
    net.vms.remove(&103);
    net.run(10);
    net.cuts.clear();
    net.run(30);
    assert!(here.iter().all(|reader| net.state(*reader, 103).is_none()));
}

// Guards against activation that waits for members whose revision never becomes known. At 105 VMs some
// revisions stayed unknown for more than 60 s before they were part of the table hash.
#[test_case(30, 0.0, 4)]
#[test_case(105, 0.0, 5)]
#[test_case(105, 0.2, 25 ; "with messages lost")]
fn revisions_reach_every_member(size: usize, loss: f64, secs: u64) {
    let mut net = Net::new(0..size, 16);
    net.loss = loss;
    for revision in [Revision(7), Revision(8)] {
        net.vms.values_mut().for_each(|membership| membership.set_revision(revision));
        net.run(secs);
    }
    for reader in 0..size {
        let late = net.members(reader).list.iter().filter(|member| member.revision < Revision(8));
        assert_eq!(late.count(), 0, "at VM {reader}");
    }
}

// Guards against a VM that is not fresh in the steady state (section 6).
#[test_case(7)]
#[test_case(9)]
#[test_case(40)]
fn every_vm_hears_enough_members(size: usize) {
    let mut net = Net::new(0..size, 17);
    let needed = if size <= 9 { size / 2 } else { 3 };
    for _ in 0..100 {
        net.run_ms(100);
        for reader in 0..size {
            let recent = |at: Millis| net.now.since(at) <= Millis(1_500);
            let heard = net.members(reader).peers().filter(|member| recent(member.heard_at));
            assert!(heard.count() >= needed, "VM {reader} at {}", net.now);
        }
    }
}

// Guards against traffic that grows with the member count.
#[test]
fn each_vm_sends_the_same_number_of_messages_at_any_size() {
    let sent = |size: usize| {
        let mut net = Net::new(0..size, 18);
        let received = |net: &Net| -> u64 {
            net.vms.values().map(|membership| membership.counters().received).sum()
        };
        let before = received(&net);
        net.run(20);
        (received(&net) - before) / size as u64
    };
    let (small, large) = (sent(9), sent(60));
    assert!(large <= small * 11 / 10, "{small} messages at 9 members and {large} at 60");
}

// Guards against an own state that a caller reads before the first event.
#[test]
fn a_vm_lists_itself_from_the_start() {
    let mut membership = new_membership(0, 1, &[]).with_size(3);
    let member = membership.members().get(&vm(0)).cloned().unwrap();
    assert_eq!((member.state, member.size), (MemberState::Joining, 3));
    let events = membership.set_ready(START);
    assert!(matches!(events.first(), Some(Event::Changed(_))));
}

// Guards against a time to removal that would break the bounds of section 9 at a larger size.
#[test]
fn the_suspicion_grows_slowly_with_the_member_count() {
    let limits = MemberLimits::default();
    assert!(limits.suspicion_timeout(9) <= Millis(2_500));
    assert!(limits.suspicion_timeout(105) <= Millis(3_400));
    assert_eq!(invariant::violations(), 0);
}
