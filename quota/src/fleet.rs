//! A fleet of controllers and routers in virtual time, for tests: controllers confirm themselves at a majority and hear of one
//! another as the real ones do (`roster`), and everything may be cut off, frozen, killed or lose its memory.

use std::{iter, mem};

use kernel::{hashing, Rng};
use membership::{MembershipView, Peer, PeerReport};

use crate::{holders, Allowances, Bounds, Holder, Quota, Shards, TokenDecision, TAKE_OVER_MS};

const STEP_MS: u64 = 10;
const BEAT_MS: u64 = 350;
/// How often a router hears who lives.
const FOLLOW_MS: u64 = 400;
const SURE_MS: u64 = 1100;
/// The longest from a grant to the send.
const LATEST_SEND_MS: u64 = 40;
/// How long a router takes a tenant for refused after all its shards were empty.
const MEMORY_MS: u64 = 30;

pub const BOUNDS: Bounds = Bounds { window_ms: 5000, overage: 0.1, slack: 20.0 };

/// Which guard is missing; each must break the bound.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Variant {
    Sound,
    /// What a controller held is taken over as soon as it is not heard.
    TakesOverAtOnce,
    /// A controller gives whether it is confirmed or not.
    GivesWithoutLease,
    /// Who takes a shard over begins with a full one.
    BeginsFull,
}

pub struct Size {
    pub controllers: usize,
    pub zones: usize,
    pub routers: usize,
}

struct Controller {
    at: Holder,
    roster: MembershipView,
    shards: Shards,
    confirmed_at: Option<u64>,
    frozen_until: u64,
    cut_until: u64,
}

struct Router {
    zone: usize,
    known: Vec<Holder>,
    allowances: Allowances,
    denied_until: Vec<u64>,
    frozen_until: u64,
    cut_until: u64,
    /// Requests that came while it was frozen.
    waiting: Vec<usize>,
}

pub struct Tenant {
    pub name: String,
    pub quota: Quota,
    /// Requests a second that its clients make.
    pub demand: f64,
    /// The zone from which most of them come.
    pub zone: usize,
}

#[derive(Clone, Copy, Debug, Default)]
pub struct Count {
    pub asked: usize,
    pub sent: usize,
    pub over_quota: usize,
    pub refused_alone: usize,
}

pub struct Fleet {
    pub now: u64,
    pub dice: Rng,
    pub variant: Variant,
    pub tenants: Vec<Tenant>,
    pub counts: Vec<Count>,
    /// Times of sends, by tenant.
    pub sends: Vec<Vec<u64>>,
    zones: usize,
    controllers: Vec<Controller>,
    routers: Vec<Router>,
    zone_cut_until: Vec<u64>,
    pair_cut_until: Vec<u64>,
}

impl Fleet {
    pub fn new(size: &Size, tenants: Vec<Tenant>, variant: Variant, seed: u64) -> Fleet {
        let controller = |at: usize| {
            let place = Holder { ip: format!("10.0.{}.1", at), zone: format!("z{}", at % size.zones) };
            new_controller(place, variant)
        };
        let router = |at: usize| Router {
            zone: at % size.zones,
            known: Vec::new(),
            allowances: Allowances::new(BOUNDS, hashing::hash(format!("edge-{at}").as_bytes())),
            denied_until: vec![0; tenants.len()],
            frozen_until: 0,
            cut_until: 0,
            waiting: Vec::new(),
        };
        Fleet {
            now: 0,
            dice: Rng::new(seed.wrapping_mul(0x9E37_79B9) + 1),
            variant,
            counts: vec![Count::default(); tenants.len()],
            sends: vec![Vec::new(); tenants.len()],
            zones: size.zones,
            controllers: (0..size.controllers).map(controller).collect(),
            routers: (0..size.routers).map(router).collect(),
            zone_cut_until: vec![0; size.zones],
            pair_cut_until: vec![0; size.controllers * size.controllers],
            tenants,
        }
    }

    pub fn run(&mut self, time_ms: u64, trouble: bool) {
        let end = self.now + time_ms;
        while self.now < end {
            self.now += STEP_MS;
            if trouble {
                self.trouble();
            }
            self.beat_controllers();
            self.follow();
            self.demand();
        }
    }

    /// About one trouble in a second and a half.
    fn trouble(&mut self) {
        if self.dice.below(150) != 0 {
            return;
        }
        let until = self.now + 200 + self.dice.below(8000);
        let controller = self.dice.below(self.controllers.len() as u64) as usize;
        match self.dice.below(8) {
            0 => self.controllers[controller].frozen_until = until,
            1 => self.controllers[controller].cut_until = until,
            2 => {
                let other = self.dice.below(self.controllers.len() as u64) as usize;
                let pair = self.pair(controller, other);
                self.pair_cut_until[pair] = until;
            }
            3 => self.kill(controller, until.min(self.now + 3000)),
            4 => {
                let zone = self.dice.below(self.zones as u64) as usize;
                self.zone_cut_until[zone] = until;
            }
            5 => self.harm_routers(|router| router.cut_until = until),
            6 => self.harm_routers(|router| router.frozen_until = until),
            _ => (0..self.controllers.len()).for_each(|at| self.kill(at, self.now + 500)),
        }
    }

    fn harm_routers(&mut self, harm: impl Fn(&mut Router)) {
        let first = self.dice.below(self.routers.len() as u64) as usize;
        let count = (self.routers.len() / 6).max(1);
        for step in 0..count {
            let at = (first + step) % self.routers.len();
            harm(&mut self.routers[at]);
        }
    }

    /// Ends a controller that holds a shard of a tenant for so long.
    pub fn kill_holder(&mut self, tenant: usize, time_ms: u64) {
        let live: Vec<Holder> = self.controllers.iter().map(|controller| controller.at.clone()).collect();
        let ip = holders(&self.tenants[tenant].name, &live)[0].ip.clone();
        let at = self.controllers.iter().position(|controller| controller.at.ip == ip).expect("a controller");
        self.kill(at, self.now + time_ms);
    }

    /// A new life that remembers nothing.
    fn kill(&mut self, at: usize, until: u64) {
        let place = self.controllers[at].at.clone();
        self.controllers[at] = Controller { frozen_until: until, ..new_controller(place, self.variant) };
    }

    fn pair(&self, one: usize, two: usize) -> usize {
        one.min(two) * self.controllers.len() + one.max(two)
    }

    fn zone_of(&self, at: usize) -> usize {
        at % self.zones
    }

    fn zones_linked(&self, one: usize, two: usize) -> bool {
        one == two || (self.zone_cut_until[one] <= self.now && self.zone_cut_until[two] <= self.now)
    }

    fn is_up(&self, at: usize) -> bool {
        self.controllers[at].frozen_until <= self.now
    }

    fn linked(&self, one: usize, two: usize) -> bool {
        let reachable = |at: usize| self.is_up(at) && self.controllers[at].cut_until <= self.now;
        reachable(one)
            && reachable(two)
            && self.pair_cut_until[self.pair(one, two)] <= self.now
            && self.zones_linked(self.zone_of(one), self.zone_of(two))
    }

    /// A cut takes a controller off from other controllers; routers reach it as long as they and their zones are not cut off.
    fn reaches(&self, router: usize, controller: usize) -> bool {
        let from = &self.routers[router];
        self.is_up(controller) && from.cut_until <= self.now && self.zones_linked(from.zone, self.zone_of(controller))
    }

    fn beat_controllers(&mut self) {
        for at in 0..self.controllers.len() {
            let beat = (self.now + at as u64 * 70).is_multiple_of(BEAT_MS);
            if !beat || !self.is_up(at) {
                continue;
            }
            self.gossip(at);
            let heard = (0..self.controllers.len()).filter(|other| *other == at || self.linked(at, *other)).count();
            if heard * 2 > self.controllers.len() {
                self.controllers[at].confirmed_at = Some(self.now);
            }
            let (now, live) = (self.now, self.live(at));
            let confirmed_at = self.confirmed_at(at);
            self.controllers[at].shards.beat(now, confirmed_at, live);
        }
    }

    fn confirmed_at(&self, at: usize) -> Option<u64> {
        match self.variant {
            Variant::GivesWithoutLease => Some(self.now),
            _ => self.controllers[at].confirmed_at,
        }
    }

    fn gossip(&mut self, at: usize) {
        let (ip, now) = (self.controllers[at].at.ip.clone(), self.now);
        let own = &self.controllers[at].roster;
        let vouches = own.controllers.keys().filter(|peer| own.confirms(peer, now)).cloned().collect();
        let sure = self.controllers[at].confirmed_at.is_some_and(|time| now < time + SURE_MS);
        let report = PeerReport { confirmed: sure, confirmations: vouches, ..Default::default() };
        let zone = self.controllers[at].at.zone.clone();
        for other in (0..self.controllers.len()).filter(|other| *other != at) {
            if self.linked(at, other) {
                let peer = Peer { zone: zone.clone(), last_seen: now, ..Default::default() };
                self.controllers[other].roster.observe(&ip, peer);
                self.controllers[other].roster.record_report(&ip, report.clone(), now);
            }
        }
    }

    /// Who lives, as a controller sees it.
    fn live(&self, at: usize) -> Vec<Holder> {
        let own = &self.controllers[at];
        let gone = |ip: &str| match self.variant {
            Variant::TakesOverAtOnce => own.roster.silent_ms(ip, self.now) > BEAT_MS + STEP_MS,
            _ => own.roster.unavailable_ms(ip, self.now) >= TAKE_OVER_MS,
        };
        let others = self.controllers.iter().filter(|other| other.at.ip != own.at.ip && !gone(&other.at.ip));
        iter::once(own.at.clone()).chain(others.map(|other| other.at.clone())).collect()
    }

    fn follow(&mut self) {
        for router in 0..self.routers.len() {
            let beat = (self.now + router as u64 * 30).is_multiple_of(FOLLOW_MS);
            if !beat || self.routers[router].frozen_until > self.now {
                continue;
            }
            let zone = self.routers[router].zone;
            let near = (0..self.controllers.len()).filter(|at| self.zone_of(*at) == zone);
            let home = near.chain(0..self.controllers.len()).find(|at| self.reaches(router, *at));
            if let Some(home) = home {
                self.routers[router].known = self.live(home);
            }
        }
    }

    fn demand(&mut self) {
        for router in 0..self.routers.len() {
            if self.routers[router].frozen_until <= self.now {
                for tenant in mem::take(&mut self.routers[router].waiting) {
                    self.request(router, tenant);
                }
            }
        }
        for tenant in 0..self.tenants.len() {
            let mut expected = self.tenants[tenant].demand * STEP_MS as f64 / 1000.0;
            while expected > 0.0 {
                if (self.dice.below(1_000_000) as f64) < expected.min(1.0) * 1_000_000.0 {
                    let router = self.client(tenant);
                    self.request(router, tenant);
                }
                expected -= 1.0;
            }
        }
    }

    /// The router that a client of a tenant reaches: four of five in its zone.
    fn client(&mut self, tenant: usize) -> usize {
        let any = self.dice.below(self.routers.len() as u64) as usize;
        if self.dice.below(5) == 0 {
            return any;
        }
        let zone = self.tenants[tenant].zone;
        (any - any % self.zones + zone).min(self.routers.len() - 1)
    }

    fn request(&mut self, router: usize, tenant: usize) {
        if self.routers[router].frozen_until > self.now {
            self.routers[router].waiting.push(tenant);
            return;
        }
        self.counts[tenant].asked += 1;
        if self.now < self.routers[router].denied_until[tenant] {
            self.counts[tenant].over_quota += 1;
            return;
        }
        match self.ask(router, tenant) {
            TokenDecision::Granted => self.send(router, tenant),
            TokenDecision::Denied { retry_after_ms } => {
                self.counts[tenant].over_quota += 1;
                self.routers[router].denied_until[tenant] = self.now + retry_after_ms.min(MEMORY_MS);
            }
            TokenDecision::NotHeld => {
                let (name, quota) = (self.tenants[tenant].name.clone(), self.tenants[tenant].quota);
                let routers = self.routers.len() as u32;
                match self.routers[router].allowances.take(&name, &quota, routers, self.now) {
                    true => self.send(router, tenant),
                    false => self.counts[tenant].refused_alone += 1,
                }
            }
        }
    }

    /// Asks one holder after the other until one grants.
    fn ask(&mut self, router: usize, tenant: usize) -> TokenDecision {
        let (name, quota) = (self.tenants[tenant].name.clone(), self.tenants[tenant].quota);
        let chosen: Vec<String> =
            holders(&name, &self.routers[router].known).iter().map(|holder| holder.ip.clone()).collect();
        let first = self.dice.below(chosen.len().max(1) as u64) as usize;
        let mut result = TokenDecision::NotHeld;
        for step in 0..chosen.len() {
            let ip = &chosen[(first + step) % chosen.len()];
            let Some(at) = self.controllers.iter().position(|controller| controller.at.ip == *ip) else { continue };
            if !self.reaches(router, at) {
                continue;
            }
            let confirmed_at = self.confirmed_at(at);
            match self.controllers[at].shards.spend(&name, quota, self.now, confirmed_at) {
                TokenDecision::Granted => return TokenDecision::Granted,
                TokenDecision::Denied { retry_after_ms } => result = TokenDecision::Denied { retry_after_ms },
                TokenDecision::NotHeld => {}
            }
        }
        result
    }

    fn send(&mut self, _router: usize, tenant: usize) {
        self.counts[tenant].sent += 1;
        let at = self.now + self.dice.below(LATEST_SEND_MS);
        self.sends[tenant].push(at);
    }

    /// The most sends of a tenant in any window.
    pub fn busiest_window(&self, tenant: usize) -> usize {
        let mut times = self.sends[tenant].clone();
        times.sort_unstable();
        let mut end = 0;
        let mut most = 0;
        for start in 0..times.len() {
            while end < times.len() && times[end] < times[start] + BOUNDS.window_ms {
                end += 1;
            }
            most = most.max(end - start);
        }
        most
    }

    /// The first tenant that sent more than its limit in a window: its name, what it sent, what it might.
    pub fn first_over(&self) -> Option<(String, usize, f64)> {
        let over = self.tenants.iter().enumerate().map(|(at, tenant)| {
            let allowed = BOUNDS.most(&tenant.quota);
            (tenant.name.clone(), self.busiest_window(at), allowed)
        });
        over.into_iter().find(|(_, sent, allowed)| *sent as f64 > *allowed)
    }
}

fn new_controller(at: Holder, variant: Variant) -> Controller {
    let mut shards = Shards::new(&at.ip);
    shards.begins_full = variant == Variant::BeginsFull;
    let roster = MembershipView::new(&at.ip, &at.zone, SURE_MS);
    Controller { at, roster, shards, confirmed_at: None, frozen_until: 0, cut_until: 0 }
}
