//! A fleet of controllers and routers in virtual time, for tests: controllers confirm themselves at a majority and hear of one
//! another as the real ones do (`membership`), and everything may be cut off, frozen, killed or lose its memory.

mod fleet_tests;

use std::{iter, mem};

use kernel::clock::{self, Rng};
use membership::{MembershipView, Peer, PeerReport};

use crate::{shard_owners, Allowances, Bounds, EligibleOwner, Quota, Shards, TokenDecision, OWNER_EXPIRY_MS};

const STEP_MS: u64 = 10;
const HEARTBEAT_MS: u64 = 350;
/// How often a router hears who lives.
const SUBSCRIPTION_MS: u64 = 400;
const CONFIRMATION_MS: u64 = 1100;
/// The longest from a grant to the send.
const MAX_SEND_DELAY_MS: u64 = 40;
/// How long a router takes a tenant for refused after all its shards were empty.
const DENIAL_CACHE_MS: u64 = 30;

pub const BOUNDS: Bounds = Bounds { window_ms: 5000, overage: 0.1, slack: 20.0 };

/// Which guard is missing; each must break the bound.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Variant {
    Correct,
    /// What a controller held is taken over as soon as it is not heard.
    ImmediateTakeover,
    /// A controller gives whether it is confirmed or not.
    NoLease,
    /// Who takes a shard over begins with a full one.
    StartsFull,
}

pub struct Size {
    pub controllers: usize,
    pub zones: usize,
    pub routers: usize,
}

struct Controller {
    identity: EligibleOwner,
    membership: MembershipView,
    shards: Shards,
    confirmed_at: Option<u64>,
    frozen_until: u64,
    partitioned_until: u64,
}

struct Router {
    zone: usize,
    eligible_owners: Vec<EligibleOwner>,
    allowances: Allowances,
    denied_until: Vec<u64>,
    frozen_until: u64,
    partitioned_until: u64,
    /// Requests that came while it was frozen.
    waiting: Vec<usize>,
}

pub struct Tenant {
    pub name: String,
    pub quota: Quota,
    /// Requests a second that its clients make.
    pub demand: f64,
    /// The zone from which max of them come.
    pub zone: usize,
}

#[derive(Clone, Copy, Debug, Default)]
pub struct RequestCounts {
    pub received: usize,
    pub sent: usize,
    pub over_quota: usize,
    pub rejected_without_owner: usize,
}

pub struct Fleet {
    pub now: u64,
    pub rng: Rng,
    pub variant: Variant,
    pub tenants: Vec<Tenant>,
    pub counts: Vec<RequestCounts>,
    /// Times of sends, by tenant.
    pub sends: Vec<Vec<u64>>,
    zones: usize,
    controllers: Vec<Controller>,
    routers: Vec<Router>,
    zone_partitioned_until: Vec<u64>,
    pair_partitioned_until: Vec<u64>,
}

impl Fleet {
    pub fn new(size: &Size, tenants: Vec<Tenant>, variant: Variant, seed: u64) -> Fleet {
        let controller = |at: usize| {
            let identity = EligibleOwner { ip: format!("10.0.{}.1", at), zone: format!("z{}", at % size.zones) };
            new_controller(identity, variant)
        };
        let router = |at: usize| Router {
            zone: at % size.zones,
            eligible_owners: Vec::new(),
            allowances: Allowances::new(BOUNDS, clock::hash(format!("edge-{at}").as_bytes())),
            denied_until: vec![0; tenants.len()],
            frozen_until: 0,
            partitioned_until: 0,
            waiting: Vec::new(),
        };
        Fleet {
            now: 0,
            rng: Rng::new(seed.wrapping_mul(0x9E37_79B9) + 1),
            variant,
            counts: vec![RequestCounts::default(); tenants.len()],
            sends: vec![Vec::new(); tenants.len()],
            zones: size.zones,
            controllers: (0..size.controllers).map(controller).collect(),
            routers: (0..size.routers).map(router).collect(),
            zone_partitioned_until: vec![0; size.zones],
            pair_partitioned_until: vec![0; size.controllers * size.controllers],
            tenants,
        }
    }

    pub fn run(&mut self, time_ms: u64, has_faults: bool) {
        let end = self.now + time_ms;
        while self.now < end {
            self.now += STEP_MS;
            if has_faults {
                self.inject_fault();
            }
            self.run_heartbeats();
            self.refresh_routers();
            self.generate_requests();
        }
    }

    /// About one trouble in a second and a half.
    fn inject_fault(&mut self) {
        if self.rng.below(150) != 0 {
            return;
        }
        let until = self.now + 200 + self.rng.below(8000);
        let controller = self.rng.below(self.controllers.len() as u64) as usize;
        match self.rng.below(8) {
            0 => self.controllers[controller].frozen_until = until,
            1 => self.controllers[controller].partitioned_until = until,
            2 => {
                let other = self.rng.below(self.controllers.len() as u64) as usize;
                let pair = self.pair(controller, other);
                self.pair_partitioned_until[pair] = until;
            }
            3 => self.kill(controller, until.min(self.now + 3000)),
            4 => {
                let zone = self.rng.below(self.zones as u64) as usize;
                self.zone_partitioned_until[zone] = until;
            }
            5 => self.fault_routers(|router| router.partitioned_until = until),
            6 => self.fault_routers(|router| router.frozen_until = until),
            _ => (0..self.controllers.len()).for_each(|at| self.kill(at, self.now + 500)),
        }
    }

    fn fault_routers(&mut self, fault: impl Fn(&mut Router)) {
        let first = self.rng.below(self.routers.len() as u64) as usize;
        let count = (self.routers.len() / 6).max(1);
        for step in 0..count {
            let at = (first + step) % self.routers.len();
            fault(&mut self.routers[at]);
        }
    }

    /// Ends a controller that holds a shard of a tenant for so long.
    pub fn kill_owner(&mut self, tenant: usize, time_ms: u64) {
        let eligible: Vec<EligibleOwner> =
            self.controllers.iter().map(|controller| controller.identity.clone()).collect();
        let ip = shard_owners(&self.tenants[tenant].name, &eligible)[0].ip.clone();
        let at = self.controllers.iter().position(|controller| controller.identity.ip == ip).expect("a controller");
        self.kill(at, self.now + time_ms);
    }

    /// A new life that remembers nothing.
    fn kill(&mut self, at: usize, until: u64) {
        let identity = self.controllers[at].identity.clone();
        self.controllers[at] = Controller { frozen_until: until, ..new_controller(identity, self.variant) };
    }

    fn pair(&self, one: usize, two: usize) -> usize {
        one.min(two) * self.controllers.len() + one.max(two)
    }

    fn zone_of(&self, at: usize) -> usize {
        at % self.zones
    }

    fn are_zones_linked(&self, one: usize, two: usize) -> bool {
        one == two || (self.zone_partitioned_until[one] <= self.now && self.zone_partitioned_until[two] <= self.now)
    }

    fn is_up(&self, at: usize) -> bool {
        self.controllers[at].frozen_until <= self.now
    }

    fn are_linked(&self, one: usize, two: usize) -> bool {
        let reachable = |at: usize| self.is_up(at) && self.controllers[at].partitioned_until <= self.now;
        reachable(one)
            && reachable(two)
            && self.pair_partitioned_until[self.pair(one, two)] <= self.now
            && self.are_zones_linked(self.zone_of(one), self.zone_of(two))
    }

    /// A cut takes a controller off from other controllers; routers reach it as long as they and their zones are not cut off.
    fn reaches(&self, router: usize, controller: usize) -> bool {
        let from = &self.routers[router];
        self.is_up(controller)
            && from.partitioned_until <= self.now
            && self.are_zones_linked(from.zone, self.zone_of(controller))
    }

    fn run_heartbeats(&mut self) {
        for at in 0..self.controllers.len() {
            let is_due = (self.now + at as u64 * 70).is_multiple_of(HEARTBEAT_MS);
            if !is_due || !self.is_up(at) {
                continue;
            }
            self.send_heartbeats(at);
            let reachable =
                (0..self.controllers.len()).filter(|other| *other == at || self.are_linked(at, *other)).count();
            if reachable * 2 > self.controllers.len() {
                self.controllers[at].confirmed_at = Some(self.now);
            }
            let (now, eligible) = (self.now, self.eligible(at));
            let confirmed_at = self.confirmed_at(at);
            self.controllers[at].shards.refresh(now, confirmed_at, eligible);
        }
    }

    fn confirmed_at(&self, at: usize) -> Option<u64> {
        match self.variant {
            Variant::NoLease => Some(self.now),
            _ => self.controllers[at].confirmed_at,
        }
    }

    fn send_heartbeats(&mut self, at: usize) {
        let (ip, now) = (self.controllers[at].identity.ip.clone(), self.now);
        let own = &self.controllers[at].membership;
        let confirmations = own.controllers.keys().filter(|peer| own.confirms(peer, now)).cloned().collect();
        let confirmed = self.controllers[at].confirmed_at.is_some_and(|time| now < time + CONFIRMATION_MS);
        let report = PeerReport { confirmed, confirmations, ..Default::default() };
        let zone = self.controllers[at].identity.zone.clone();
        for other in (0..self.controllers.len()).filter(|other| *other != at) {
            if self.are_linked(at, other) {
                let peer = Peer { zone: zone.clone(), last_seen: now, ..Default::default() };
                self.controllers[other].membership.observe(&ip, peer);
                self.controllers[other].membership.report(&ip, report.clone(), now);
            }
        }
    }

    /// Who lives, as a controller sees it.
    fn eligible(&self, at: usize) -> Vec<EligibleOwner> {
        let own = &self.controllers[at];
        let is_expired = |ip: &str| match self.variant {
            Variant::ImmediateTakeover => own.membership.silent_ms(ip, self.now) > HEARTBEAT_MS + STEP_MS,
            _ => own.membership.unavailable_ms(ip, self.now) >= OWNER_EXPIRY_MS,
        };
        let others = self
            .controllers
            .iter()
            .filter(|other| other.identity.ip != own.identity.ip && !is_expired(&other.identity.ip));
        iter::once(own.identity.clone()).chain(others.map(|other| other.identity.clone())).collect()
    }

    fn refresh_routers(&mut self) {
        for router in 0..self.routers.len() {
            let is_due = (self.now + router as u64 * 30).is_multiple_of(SUBSCRIPTION_MS);
            if !is_due || self.routers[router].frozen_until > self.now {
                continue;
            }
            let zone = self.routers[router].zone;
            let same_zone = (0..self.controllers.len()).filter(|at| self.zone_of(*at) == zone);
            let source = same_zone.chain(0..self.controllers.len()).find(|at| self.reaches(router, *at));
            if let Some(source) = source {
                self.routers[router].eligible_owners = self.eligible(source);
            }
        }
    }

    fn generate_requests(&mut self) {
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
                if (self.rng.below(1_000_000) as f64) < expected.min(1.0) * 1_000_000.0 {
                    let router = self.pick_router(tenant);
                    self.request(router, tenant);
                }
                expected -= 1.0;
            }
        }
    }

    /// The router that a client of a tenant reaches: four of five in its zone.
    fn pick_router(&mut self, tenant: usize) -> usize {
        let any = self.rng.below(self.routers.len() as u64) as usize;
        if self.rng.below(5) == 0 {
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
        self.counts[tenant].received += 1;
        if self.now < self.routers[router].denied_until[tenant] {
            self.counts[tenant].over_quota += 1;
            return;
        }
        match self.acquire_token(router, tenant) {
            TokenDecision::Granted => self.send(router, tenant),
            TokenDecision::Denied { retry_after_ms } => {
                self.counts[tenant].over_quota += 1;
                self.routers[router].denied_until[tenant] = self.now + retry_after_ms.min(DENIAL_CACHE_MS);
            }
            TokenDecision::NotOwner => {
                let (name, quota) = (self.tenants[tenant].name.clone(), self.tenants[tenant].quota);
                let routers = self.routers.len() as u32;
                match self.routers[router].allowances.try_acquire(&name, &quota, routers, self.now) {
                    true => self.send(router, tenant),
                    false => self.counts[tenant].rejected_without_owner += 1,
                }
            }
        }
    }

    /// Asks one owner after the other until one grants.
    fn acquire_token(&mut self, router: usize, tenant: usize) -> TokenDecision {
        let (name, quota) = (self.tenants[tenant].name.clone(), self.tenants[tenant].quota);
        let chosen: Vec<String> =
            shard_owners(&name, &self.routers[router].eligible_owners).iter().map(|owner| owner.ip.clone()).collect();
        let first = self.rng.below(chosen.len().max(1) as u64) as usize;
        let mut result = TokenDecision::NotOwner;
        for step in 0..chosen.len() {
            let ip = &chosen[(first + step) % chosen.len()];
            let Some(at) = self.controllers.iter().position(|controller| controller.identity.ip == *ip) else {
                continue;
            };
            if !self.reaches(router, at) {
                continue;
            }
            let confirmed_at = self.confirmed_at(at);
            match self.controllers[at].shards.try_acquire(&name, quota, self.now, confirmed_at) {
                TokenDecision::Granted => return TokenDecision::Granted,
                TokenDecision::Denied { retry_after_ms } => result = TokenDecision::Denied { retry_after_ms },
                TokenDecision::NotOwner => {}
            }
        }
        result
    }

    fn send(&mut self, _router: usize, tenant: usize) {
        self.counts[tenant].sent += 1;
        let at = self.now + self.rng.below(MAX_SEND_DELAY_MS);
        self.sends[tenant].push(at);
    }

    /// The max sends of a tenant in any window.
    pub fn max_sent_in_window(&self, tenant: usize) -> usize {
        let mut times = self.sends[tenant].clone();
        times.sort_unstable();
        let mut end = 0;
        let mut max = 0;
        for start in 0..times.len() {
            while end < times.len() && times[end] < times[start] + BOUNDS.window_ms {
                end += 1;
            }
            max = max.max(end - start);
        }
        max
    }

    /// The first tenant that sent more than its limit in a window: its name, what it sent, what it might.
    pub fn first_violation(&self) -> Option<(String, usize, f64)> {
        let over = self.tenants.iter().enumerate().map(|(at, tenant)| {
            let allowed = BOUNDS.max_requests(&tenant.quota);
            (tenant.name.clone(), self.max_sent_in_window(at), allowed)
        });
        over.into_iter().find(|(_, sent, allowed)| *sent as f64 > *allowed)
    }
}

fn new_controller(identity: EligibleOwner, variant: Variant) -> Controller {
    let mut shards = Shards::new(&identity.ip);
    shards.starts_full = variant == Variant::StartsFull;
    let membership = MembershipView::new(&identity.ip, &identity.zone, CONFIRMATION_MS);
    Controller { identity, membership, shards, confirmed_at: None, frozen_until: 0, partitioned_until: 0 }
}
