//! A simulated fleet in virtual time. Controllers are confirmed by a majority and learn of one another through the
//! production membership view; routers request tokens from the production shards. All of them can be partitioned or
//! frozen, and controllers can be restarted.
//!
//! `Fleet` advances in steps of fixed length, each with faults, heartbeats, updates of the routers and requests, in
//! this order. All random numbers come from one seeded generator, so that a seed reproduces a run.

mod faults;
mod fleet_tests;
mod heartbeats;
mod measurements;
mod network;
mod traffic;

use kernel::{hashing, Rng};
use membership::MembershipView;

use crate::{Allowances, Bounds, EligibleOwner, Quota, Shards};

pub use measurements::BoundViolation;

/// Length of one step, in milliseconds.
const STEP_MS: u64 = 10;
/// Interval between two heartbeats of a controller, in milliseconds.
const HEARTBEAT_MS: u64 = 350;
/// Interval between two updates of a router's list of eligible owners, in milliseconds.
const SUBSCRIPTION_MS: u64 = 400;
/// Time during which a controller counts as confirmed, in milliseconds.
const CONFIRMATION_MS: u64 = 1100;
/// Upper bound of the delay from a grant to the send, in milliseconds.
const MAX_SEND_DELAY_MS: u64 = 40;
/// Maximum time for which a router caches the denial of a tenant whose shards are empty, in milliseconds.
const DENIAL_CACHE_MS: u64 = 30;

/// The bound that all runs are checked against.
pub const BOUNDS: Bounds = Bounds { window_ms: 5000, overage: 0.1, slack: 20.0 };

/// The safeguard that is disabled. Without any one of them the bound must break, or the simulation could not detect its
/// absence.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Variant {
    /// None: the production code.
    Correct,
    /// Shards are taken over as soon as a heartbeat of their owner is missed.
    ImmediateTakeover,
    /// A controller issues tokens whether it is confirmed or not.
    NoLease,
    /// A shard that is taken over starts full.
    StartsFull,
}

/// Size of a fleet.
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
    /// Tenants of the requests that arrived while it was frozen.
    queued: Vec<usize>,
}

/// A tenant and its clients.
pub struct Tenant {
    pub name: String,
    pub quota: Quota,
    /// Requests per second that its clients send.
    pub demand: f64,
    /// The zone that most requests come from.
    pub zone: usize,
}

/// Outcomes of a tenant's requests.
#[derive(Clone, Copy, Debug, Default)]
pub struct RequestCounts {
    pub received: usize,
    pub sent: usize,
    /// Denied because the shards were empty.
    pub over_quota: usize,
    /// Denied because no owner answered and the router's allowance was used up.
    pub rejected_without_owner: usize,
}

/// A fleet and the requests that its tenants have sent.
pub struct Fleet {
    pub now: u64,
    pub rng: Rng,
    pub variant: Variant,
    pub tenants: Vec<Tenant>,
    pub counts: Vec<RequestCounts>,
    /// Times at which requests were sent, by tenant.
    pub send_times: Vec<Vec<u64>>,
    zones: usize,
    controllers: Vec<Controller>,
    routers: Vec<Router>,
    zone_partitioned_until: Vec<u64>,
    pair_partitioned_until: Vec<u64>,
}

impl Fleet {
    pub fn new(size: &Size, tenants: Vec<Tenant>, variant: Variant, seed: u64) -> Fleet {
        let controller = |index: usize| {
            let identity = EligibleOwner { ip: format!("10.0.{}.1", index), zone: format!("z{}", index % size.zones) };
            new_controller(identity, variant)
        };
        let router = |index: usize| Router {
            zone: index % size.zones,
            eligible_owners: Vec::new(),
            allowances: Allowances::new(BOUNDS, hashing::hash(format!("edge-{index}").as_bytes())),
            denied_until: vec![0; tenants.len()],
            frozen_until: 0,
            partitioned_until: 0,
            queued: Vec::new(),
        };
        Fleet {
            now: 0,
            rng: Rng::new(seed.wrapping_mul(0x9E37_79B9) + 1),
            variant,
            counts: vec![RequestCounts::default(); tenants.len()],
            send_times: vec![Vec::new(); tenants.len()],
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
