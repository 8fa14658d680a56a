//! Who is there: leases of controllers and routers, and the order in which duties fall to them. Pure:
//! time comes in with every call.

use std::collections::{BTreeMap, HashMap};

use kernel::clock;

pub mod able;
pub mod duty;
pub mod platform_access;

#[derive(Clone, Debug, Default)]
pub struct Peer {
    pub zone: String,
    pub life: u64,
    pub heard: u64,
    pub fit: bool,
    pub seats: u32,
    /// The newest version of messages and bodies that it reads.
    pub reads: u64,
    /// It said that its process is about to end.
    pub leaving: bool,
    /// Requests of its routers under way, by engine.
    pub busy: Vec<(String, u32)>,
    pub resting: Vec<(String, u64)>,
    /// Where clients reach its routers.
    pub doors: Vec<String>,
}

/// A router's lease, with what it told when it renewed it.
#[derive(Clone, Debug, Default)]
pub struct RouterLease {
    pub until: u64,
    pub busy: Vec<(String, u32)>,
    pub door: String,
}

/// What a peer last told of others.
#[derive(Clone, Debug, Default)]
pub struct PeerReport {
    /// It confirmed its state at a majority a moment ago.
    pub sure: bool,
    /// Controllers that it hears and that are sure.
    pub vouches: Vec<String>,
    /// It gets no answer from the platform.
    pub platform_unreachable: bool,
}

/// Invariants: `heard` never goes back; a peer is live while it was heard within `span` ms; a
/// router holds its lease while `until` lies ahead.
#[derive(Clone, Debug, Default)]
pub struct Roster {
    pub me: String,
    pub zone: String,
    pub span: u64,
    pub controllers: BTreeMap<String, Peer>,
    pub routers: BTreeMap<String, RouterLease>,
    /// Engines about to change their part, by own order, and until when.
    pub resting: Vec<(String, u64)>,
    /// Routers as counted when last sure, or more that were seen since.
    sure_seats: u32,
    /// By peer: when it was last heard to be sure.
    sure_heard: BTreeMap<String, u64>,
    /// By peer: what it last told of others.
    pub reports: BTreeMap<String, PeerReport>,
    /// Own access to the platform.
    pub access: platform_access::PlatformAccess,
}

impl Roster {
    pub fn new(me: &str, zone: &str, span: u64) -> Self {
        Roster { me: me.into(), zone: zone.into(), span, ..Roster::default() }
    }

    pub fn hear(&mut self, ip: &str, peer: Peer) {
        let held = self.controllers.get(ip).map_or(0, |held| held.heard);
        let heard = held.max(peer.heard);
        self.controllers.insert(ip.into(), Peer { heard, ..peer });
    }

    pub fn lease(&mut self, router: &str, until: u64, busy: Vec<(String, u32)>, door: String) {
        let held = self.routers.get(router).map_or(0, |held| held.until);
        self.routers.insert(router.into(), RouterLease { until: until.max(held), busy, door });
    }

    /// Where clients reach the routers that hold a lease here.
    pub fn own_doors(&self) -> Vec<String> {
        self.routers.values().map(|lease| lease.door.clone()).filter(|door| !door.is_empty()).collect()
    }

    /// A router to send to, in turn: own ones first, as they are near.
    pub fn door(&self, now: u64, turn: usize) -> Option<String> {
        let mut list = self.own_doors();
        if list.is_empty() {
            let live = self.controllers.values().filter(|peer| now < peer.heard + self.span);
            list = live.flat_map(|peer| peer.doors.clone()).collect();
        }
        let at = turn.checked_rem(list.len())?;
        Some(list.swap_remove(at))
    }

    /// Requests under way at each engine, from the routers that hold a lease here.
    pub fn own_pressure(&self) -> Vec<(String, u32)> {
        let mut sum: BTreeMap<&str, u32> = Default::default();
        for (id, busy) in self.routers.values().flat_map(|lease| &lease.busy) {
            *sum.entry(id).or_default() += busy;
        }
        sum.into_iter().map(|(id, busy)| (id.to_string(), busy)).collect()
    }

    /// The same from all routers.
    pub fn pressure(&self, now: u64) -> HashMap<String, u32> {
        let mut sum: HashMap<String, u32> = self.own_pressure().into_iter().collect();
        let live = self.controllers.values().filter(|peer| now < peer.heard + self.span);
        for (id, busy) in live.flat_map(|peer| &peer.busy) {
            *sum.entry(id.clone()).or_default() += busy;
        }
        sum
    }

    /// Engines that this controller is about to order to change their part.
    pub fn own_resting(&self, now: u64) -> Vec<String> {
        self.resting.iter().filter(|(_, until)| *until > now).map(|(id, _)| id.clone()).collect()
    }

    /// The same from all controllers.
    pub fn resting(&self, now: u64) -> Vec<String> {
        let mut list = self.own_resting(now);
        let far = self.controllers.values().flat_map(|peer| &peer.resting);
        list.extend(far.filter(|(_, until)| *until > now).map(|(id, _)| id.clone()));
        list
    }

    /// Forgets routers whose lease has lapsed.
    pub fn sweep(&mut self, now: u64) {
        self.routers.retain(|_, lease| lease.until > now);
    }

    /// Was a controller heard within the span?
    pub fn live(&self, ip: &str, now: u64) -> bool {
        ip == self.me || self.controllers.get(ip).is_some_and(|peer| now < peer.heard + self.span)
    }

    /// How long a peer has been silent; never heard counts as for ever.
    pub fn silent(&self, ip: &str, now: u64) -> u64 {
        if ip == self.me {
            return 0;
        }
        self.controllers.get(ip).map_or(u64::MAX, |peer| now.saturating_sub(peer.heard))
    }

    /// A peer told of others.
    pub fn report(&mut self, peer: &str, report: PeerReport, now: u64) {
        if report.sure {
            self.sure_heard.insert(peer.into(), now);
        }
        self.reports.insert(peer.into(), report);
    }

    /// How long a peer has not been heard to be sure; never heard counts as for ever.
    fn unsure_ms(&self, ip: &str, now: u64) -> u64 {
        self.sure_heard.get(ip).map_or(u64::MAX, |heard| now.saturating_sub(*heard))
    }

    /// Is a controller heard here, and sure? Others are told so.
    pub fn vouches_for(&self, ip: &str, now: u64) -> bool {
        self.live(ip, now) && self.unsure_ms(ip, now) < self.span
    }

    /// How long a controller has been unable to do a duty, as far as is known: not heard to be sure, here or
    /// by any live peer. A cut between two controllers alone makes neither of them absent, and one that is
    /// heard but reaches no majority is.
    pub fn absent_ms(&self, ip: &str, now: u64) -> u64 {
        if ip == self.me {
            return 0;
        }
        let mut live = self.reports.iter().filter(|(peer, _)| peer.as_str() != ip && self.live(peer, now));
        if live.any(|(_, report)| report.vouches.iter().any(|vouched| vouched == ip)) {
            return 0;
        }
        self.unsure_ms(ip, now)
    }

    /// Who takes a duty that is free: the first in the order that is heard and sure, asked by one that is
    /// sure itself.
    pub fn first_sure(&self, duty: &str, now: u64) -> Option<String> {
        self.order("", duty).into_iter().find(|ip| *ip == self.me || self.vouches_for(ip, now))
    }

    /// Who polls the platform for a zone: the first live controller in the order that reaches the platform,
    /// or the first live one while none does.
    pub fn poller(&self, zone: &str, now: u64) -> String {
        let reaches = |ip: &String| match *ip == self.me {
            true => !self.access.unreachable(now),
            false => !self.reports.get(ip).is_some_and(|report| report.platform_unreachable),
        };
        let live: Vec<String> = self.order(zone, "list").into_iter().filter(|ip| self.live(ip, now)).collect();
        let first = live.iter().find(|ip| reaches(ip)).or(live.first());
        first.cloned().unwrap_or_else(|| self.me.clone())
    }

    /// The zone of a controller; empty while it is not known.
    pub fn zone_of(&self, ip: &str) -> &str {
        if ip == self.me {
            return &self.zone;
        }
        self.controllers.get(ip).map_or("", |peer| peer.zone.as_str())
    }

    /// How many routers hold a lease anywhere, by which shared bounds are cut. A controller that is not sure may
    /// be cut off from the others and their routers: it never tells less than when it was last sure, or
    /// each side of a cut would take the whole of a bound.
    pub fn seats(&mut self, now: u64, sure: bool) -> u32 {
        let far = self.controllers.values().filter(|peer| now < peer.heard + 2 * self.span);
        let own = self.routers.values().filter(|lease| lease.until > now).count() as u32;
        let count = own + far.map(|peer| peer.seats).sum::<u32>();
        self.sure_seats = if sure { count } else { self.sure_seats.max(count) };
        self.sure_seats
    }

    /// The agreed order of controllers for a duty bound to a zone: that zone's own first, the rest by
    /// a hash of duty and address, so that duties spread.
    pub fn order(&self, zone: &str, duty: &str) -> Vec<String> {
        let mut list: Vec<String> = self.controllers.keys().cloned().collect();
        if !list.contains(&self.me) {
            list.push(self.me.clone());
        }
        list.sort_by_key(|ip| {
            let far = self.zone_of(ip) != zone;
            (far, clock::combine_hashes(clock::hash(duty.as_bytes()), clock::hash(ip.as_bytes())))
        });
        list
    }

    /// The first live one in the order.
    pub fn holder(&self, zone: &str, duty: &str, now: u64) -> String {
        let order = self.order(zone, duty);
        order.into_iter().find(|ip| self.live(ip, now)).unwrap_or_else(|| self.me.clone())
    }
}

#[cfg(test)]
#[path = "lib_tests.rs"]
mod tests;
