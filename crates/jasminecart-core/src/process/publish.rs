//! The published list of members.

use super::members::{Member, MemberState, Members};
use super::membership::Membership;
use super::table::Record;
use super::wire::DeclaredState;
use crate::invariant;
use crate::time::Millis;

impl Membership {
    /// Builds the snapshot that other modules use.
    pub(super) fn build_members(&self, now: Millis) -> Members {
        invariant!(
            !self.table.records.contains_key(&self.local_member.vm),
            "the table of other members contains this VM ({})",
            self.local_member.vm
        );
        let (local, remote): (Vec<&Record>, Vec<&Record>) =
            self.table.records.values().partition(|record| {
                record.member.vm.data_centre == self.local_member.vm.data_centre
            });
        let published = |record: &&&Record| {
            record.is_live() || now.since(record.since) < self.limits.dead_publish_time
        };
        let ignore_hold_down = self.ignore_hold_down(&local);
        let member = |record: &Record| {
            let held = record.stated == DeclaredState::Held && record.is_live();
            let state = if held && ignore_hold_down { MemberState::Active } else { record.state() };
            Member { state, ..record.member.clone() }
        };
        let mut list: Vec<Member> =
            local.iter().filter(published).map(|record| member(record)).collect();
        list.push(self.own_member(now, ignore_hold_down));
        list.sort_by(|a, b| a.vm.cmp(&b.vm));
        let remote = remote.iter().filter(|record| record.is_live());
        let remote: Vec<Member> = remote
            .map(|record| Member { state: record.state(), ..record.member.clone() })
            .collect();
        Members::new(self.local_member.vm.clone(), list).with_remote(remote)
    }

    fn own_member(&self, now: Millis, ignore_hold_down: bool) -> Member {
        let state = match self.local_member.declared_state() {
            DeclaredState::Held if ignore_hold_down => MemberState::Active,
            DeclaredState::Joining | DeclaredState::Held => MemberState::Joining,
            DeclaredState::Active => MemberState::Active,
            DeclaredState::Leaving => MemberState::Leaving,
        };
        Member {
            vm: self.local_member.vm.clone(),
            incarnation: self.local_member.incarnation,
            state,
            size: self.local_member.size,
            address: self.local_member.address,
            revision: self.local_member.revision,
            heard_at: now,
        }
    }

    /// Returns whether hold-downs are ignored because they would leave only a minority of members
    /// eligible, as when the link between two halves of the data centre flapped.
    fn ignore_hold_down(&self, local: &[&Record]) -> bool {
        let live = local.iter().filter(|record| record.is_live());
        let states = live.map(|record| record.stated).chain([self.local_member.declared_state()]);
        let (mut held, mut active) = (0, 0);
        for stated in states {
            held += usize::from(stated == DeclaredState::Held);
            active += usize::from(stated == DeclaredState::Active);
        }
        held > active
    }
}
