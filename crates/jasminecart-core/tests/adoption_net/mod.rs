//! Adoptions of several VMs and a platform in simulated time, connected by a queue with delay and
//! loss.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;

use jasminecart_core::process::{Member, MemberState, Members, PeerAddress};
use jasminecart_core::version::{
    Adoption, AdoptionLimits, DocumentMessage, PlatformReply, Revision, Step,
};
use jasminecart_core::{Incarnation, Millis, PeerMessage, VmId};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

pub(crate) fn vm(number: usize) -> VmId {
    VmId::new("dc-0", format!("entry-{number}"))
}

pub(crate) fn new_adoption(number: usize) -> Adoption {
    Adoption::new(vm(number), 7, AdoptionLimits::default())
}

/// Returns a small document whose weight depends on the revision.
pub(crate) fn text(revision: u64) -> Arc<str> {
    Arc::from(format!(
        "[service ledger]\naddress = 10.0.0.1:443/tcp\n[target claims-1]\nservice = ledger\n\
         data_centre = dc-0\naddress = 10.0.1.1:8080\nweight = {}\n",
        revision % 1_000 + 1
    ))
}

/// Returns a document of about 200 KB in which two sections differ between consecutive revisions.
pub(crate) fn large_text(revision: u64) -> Arc<str> {
    let mut text = "[service ledger]\naddress = 10.0.0.1:443/tcp\n".to_owned();
    for target in 0..1_500 {
        let weight = if target == revision { 2 } else { 1 };
        text += &format!(
            "[target claims-{target}]\nservice = ledger\ndata_centre = dc-0\n\
             address = 10.0.1.1:8080\n; {}\nweight = {weight}\n",
            "-".repeat(40)
        );
    }
    Arc::from(text)
}

/// Returns the reply of the platform for a revision.
pub(crate) fn document_reply(revision: u64) -> PlatformReply {
    PlatformReply::Document { revision: Revision(revision), text: text(revision) }
}

/// Returns the view that VM `me` has of the members, all at one revision.
pub(crate) fn members(me: usize, all: std::ops::Range<usize>, revision: u64) -> Members {
    list(me, all.map(|number| (number, Revision(revision))))
}

fn list(me: usize, all: impl Iterator<Item = (usize, Revision)>) -> Members {
    let socket = SocketAddr::from(([10, 0, 0, 1], 7_000));
    let address = PeerAddress { control: socket, packets: socket, requests: socket };
    let member = |(number, revision)| Member {
        vm: vm(number),
        incarnation: Incarnation(1),
        state: MemberState::Active,
        size: 1,
        address,
        revision,
        heard_at: Millis(1),
    };
    let mut list: Vec<Member> = all.map(member).collect();
    list.sort_by(|a, b| a.vm.cmp(&b.vm));
    Members::new(vm(me), list)
}

enum Delivery {
    Message(usize, DocumentMessage),
    Reply(PlatformReply),
}

pub(crate) struct Net {
    pub(crate) now: Millis,
    pub(crate) vms: Vec<Adoption>,
    pub(crate) loss: f64,
    /// VMs that cannot reach the platform.
    pub(crate) platform_unreachable: BTreeSet<usize>,
    /// VMs to which the platform still returns revision 1.
    pub(crate) stale: BTreeSet<usize>,
    /// VMs whose outgoing messages are all lost.
    pub(crate) silent: BTreeSet<usize>,
    /// VMs that neither run nor receive anything.
    pub(crate) paused: BTreeSet<usize>,
    pub(crate) reads: u64,
    pub(crate) sent: u64,
    published: u64,
    adopted: BTreeMap<usize, Revision>,
    watches: BTreeMap<usize, (Revision, Millis)>,
    queue: BTreeMap<(Millis, u64), (usize, Delivery)>,
    rng: ChaCha8Rng,
}

impl Net {
    /// Starts VMs while revision 1 is published.
    pub(crate) fn new(vms: usize, seed: u64) -> Net {
        let mut net = Net {
            now: Millis(1_000),
            vms: Vec::new(),
            loss: 0.0,
            platform_unreachable: BTreeSet::new(),
            stale: BTreeSet::new(),
            silent: BTreeSet::new(),
            paused: BTreeSet::new(),
            reads: 0,
            sent: 0,
            published: 1,
            adopted: BTreeMap::new(),
            watches: BTreeMap::new(),
            queue: BTreeMap::new(),
            rng: ChaCha8Rng::seed_from_u64(seed),
        };
        (0..vms).for_each(|number| net.start(number));
        net
    }

    pub(crate) fn start(&mut self, number: usize) {
        self.vms.push(new_adoption(number));
        let steps = self.vms[number].start(self.now);
        self.apply_steps(number, steps);
    }

    pub(crate) fn publish(&mut self, revision: u64) {
        self.published = revision;
    }

    pub(crate) fn revision(&self, number: usize) -> Option<Revision> {
        self.vms[number].current().map(|document| document.revision())
    }

    pub(crate) fn watching(&self) -> BTreeSet<usize> {
        self.watches.keys().copied().collect()
    }

    /// Advances the simulated time by `secs` seconds. Each VM ticks every 50 ms and receives the
    /// revisions of the others every second.
    pub(crate) fn run(&mut self, secs: u64) {
        let end = self.now + Millis::from_secs(secs);
        while self.now < end {
            self.now += Millis(1);
            self.complete_watches();
            while let Some(entry) = self.queue.first_entry().filter(|e| e.key().0 <= self.now) {
                let (to, delivery) = entry.remove();
                self.deliver(to, delivery);
            }
            for number in (0..self.vms.len())
                .filter(|number| !self.paused.contains(number))
                .collect::<Vec<_>>()
            {
                let phase = self.now.get() + number as u64 * 7;
                if phase.is_multiple_of(1_000) {
                    let revisions =
                        (0..self.vms.len()).map(|n| (n, self.revision(n).unwrap_or_default()));
                    let members = list(number, revisions);
                    let steps = self.vms[number].set_members(self.now, &members);
                    self.apply_steps(number, steps);
                }
                if phase.is_multiple_of(50) {
                    let steps = self.vms[number].tick(self.now);
                    self.apply_steps(number, steps);
                }
            }
        }
    }

    fn deliver(&mut self, to: usize, delivery: Delivery) {
        if self.paused.contains(&to) {
            return;
        }
        let steps = match delivery {
            Delivery::Message(from, message) => {
                self.vms[to].on_message(self.now, &vm(from), message)
            }
            Delivery::Reply(reply) => self.vms[to].on_platform(self.now, reply),
        };
        self.apply_steps(to, steps);
    }

    fn enqueue(&mut self, to: usize, delivery: Delivery) {
        self.sent += 1;
        let at = self.now + Millis(self.rng.random_range(1..=4));
        self.queue.insert((at, self.sent), (to, delivery));
    }

    fn visible_revision(&self, number: usize) -> Revision {
        Revision(if self.stale.contains(&number) { 1 } else { self.published })
    }

    fn reply(&mut self, number: usize) -> PlatformReply {
        if self.platform_unreachable.contains(&number) {
            PlatformReply::Unavailable
        } else {
            document_reply(self.visible_revision(number).0)
        }
    }

    fn complete_watches(&mut self) {
        for (number, (after, until)) in self.watches.clone() {
            let unchanged = self.visible_revision(number) <= after;
            let reachable = !self.platform_unreachable.contains(&number);
            if reachable && unchanged && self.now < until {
                continue;
            }
            self.watches.remove(&number);
            let reply =
                if reachable && unchanged { PlatformReply::Unchanged } else { self.reply(number) };
            self.enqueue(number, Delivery::Reply(reply));
        }
    }

    fn apply_steps(&mut self, number: usize, steps: Vec<Step>) {
        for step in steps {
            match step {
                Step::ReadPlatform => {
                    self.reads += 1;
                    let reply = self.reply(number);
                    self.enqueue(number, Delivery::Reply(reply));
                }
                Step::Watch { after } => {
                    self.reads += 1;
                    self.watches.insert(number, (after, self.now + Millis::from_secs(30)));
                }
                Step::StopWatch => drop(self.watches.remove(&number)),
                Step::Message(outgoing) => {
                    let to = outgoing.to.name.as_str().rsplit('-').next().unwrap();
                    let PeerMessage::Document(message) = outgoing.message else { unreachable!() };
                    let lost = self.silent.contains(&number) || self.rng.random_bool(self.loss);
                    if !lost {
                        self.enqueue(to.parse().unwrap(), Delivery::Message(number, message));
                    }
                }
                Step::Adopt(document) => {
                    let before = self.adopted.insert(number, document.revision());
                    assert!(
                        before < Some(document.revision()),
                        "VM {number} adopted a lower or equal revision"
                    );
                }
                Step::Alert(_) => {}
            }
        }
    }
}
