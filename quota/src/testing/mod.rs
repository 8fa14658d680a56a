//! A simulated fleet in virtual time: controllers confirm themselves at a majority and learn of one another by the product's
//! own membership view, routers ask the product's shards for tokens. Everything can be partitioned, frozen or restarted.
//!
//! `Fleet` advances in steps of fixed length. In each step come first faults, then heartbeats, then what routers learn, then
//! requests. All draws come from one seeded generator in this order, so that a seed gives the same run again.

mod faults;
mod fleet_tests;
mod heartbeats;
mod measurements;
mod network;
mod traffic;

use kernel::{hashing, Rng};
use membership::MembershipView;

use crate::{Allowances, Bounds, EligibleOwner, Quota, Shards};

pub use measurements::LimitViolation;

/// Length of one step.
const STEP_MS: u64 = 10;
/// Between two heartbeats of a controller.
const HEARTBEAT_MS: u64 = 350;
/// Between two updates of a router's list of eligible owners.
const SUBSCRIPTION_MS: u64 = 400;
/// How long a controller counts as confirmed.
const CONFIRMATION_MS: u64 = 1100;
/// The longest time from a grant to the send.
const MAX_SEND_DELAY_MS: u64 = 40;
/// How long a router denies a tenant without asking after all its shards were empty.
const DENIAL_CACHE_MS: u64 = 30;

/// The bound that all runs are checked against.
pub const BOUNDS: Bounds = Bounds { window_ms: 5000, overage: 0.1, slack: 20.0 };

/// Which safeguard is missing. Without any one of them the bound must break, or the simulation shows nothing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Variant {
    /// None: the product as it is.
    Correct,
    /// Shards are taken over as soon as a heartbeat of their owner is missing.
    ImmediateTakeover,
    /// A controller issues tokens whether it is confirmed or not.
    NoLease,
    /// A shard that is taken over starts full.
    StartsFull,
}

/// How large a fleet is.
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

/// A tenant and its clients.
pub struct Tenant {
    pub name: String,
    pub quota: Quota,
    /// Requests per second that its clients make.
    pub demand: f64,
    /// The zone from which most of them come.
    pub zone: usize,
}

/// What came of a tenant's requests.
#[derive(Clone, Copy, Debug, Default)]
pub struct RequestCounts {
    pub received: usize,
    pub sent: usize,
    /// Denied because the shards were empty.
    pub over_quota: usize,
    /// Denied because no owner answered and the router's own allowance was used up.
    pub rejected_without_owner: usize,
}

/// A fleet and what its tenants sent so far.
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
            allowances: Allowances::new(BOUNDS, hashing::hash(format!("edge-{at}").as_bytes())),
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
}

fn new_controller(identity: EligibleOwner, variant: Variant) -> Controller {
    let mut shards = Shards::new(&identity.ip);
    shards.starts_full = variant == Variant::StartsFull;
    let membership = MembershipView::new(&identity.ip, &identity.zone, CONFIRMATION_MS);
    Controller { identity, membership, shards, confirmed_at: None, frozen_until: 0, partitioned_until: 0 }
}
