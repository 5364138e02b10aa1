//! The published list of members.

use super::members::{Member, MemberState, Members};
use super::membership::Membership;
use super::table::Record;
use super::wire::Stated;
use crate::invariant;
use crate::time::Millis;

impl Membership {
    /// Builds the list as other modules see it.
    pub(super) fn build(&self, now: Millis) -> Members {
        invariant!(
            !self.table.records.contains_key(&self.own.vm),
            "the table of others holds {} itself",
            self.own.vm
        );
        let (local, remote): (Vec<&Record>, Vec<&Record>) = self
            .table
            .records
            .values()
            .partition(|record| record.member.vm.data_centre == self.own.vm.data_centre);
        let shown = |record: &&&Record| {
            record.is_live() || now.since(record.since) < self.limits.dead_shown
        };
        let ignore_hold_down = self.ignore_hold_down(&local);
        let view = |record: &Record| {
            let held = record.stated == Stated::Held && record.is_live();
            let state = if held && ignore_hold_down { MemberState::Active } else { record.state() };
            Member { state, ..record.member.clone() }
        };
        let mut list: Vec<Member> = local.iter().filter(shown).map(|record| view(record)).collect();
        list.push(self.own_member(now, ignore_hold_down));
        list.sort_by(|a, b| a.vm.cmp(&b.vm));
        let remote = remote.iter().filter(|record| record.is_live());
        let remote: Vec<Member> = remote
            .map(|record| Member { state: record.state(), ..record.member.clone() })
            .collect();
        Members::new(self.own.vm.clone(), list).with_remote(remote)
    }

    fn own_member(&self, now: Millis, ignore_hold_down: bool) -> Member {
        let state = match self.own.stated() {
            Stated::Held if ignore_hold_down => MemberState::Active,
            Stated::Joining | Stated::Held => MemberState::Joining,
            Stated::Active => MemberState::Active,
            Stated::Leaving => MemberState::Leaving,
        };
        Member {
            vm: self.own.vm.clone(),
            incarnation: self.own.incarnation,
            state,
            size: self.own.size,
            address: self.own.address,
            revision: self.own.revision,
            heard_at: now,
        }
    }

    /// Tells whether hold-downs are void because they would leave a minority of members eligible, as after
    /// a link that flapped between two halves of the data centre.
    fn ignore_hold_down(&self, local: &[&Record]) -> bool {
        let live = local.iter().filter(|record| record.is_live());
        let states = live.map(|record| record.stated).chain([self.own.stated()]);
        let (mut held, mut active) = (0, 0);
        for stated in states {
            held += usize::from(stated == Stated::Held);
            active += usize::from(stated == Stated::Active);
        }
        held > active
    }
}
