//! Exports usage windows: collects their counts from all controllers, commits them to a register and reports them to
//! the platform.
//!
//! This order ensures that a window never has two values: counts are sent only after they are stored on a quorum of
//! disks, and every sender and every retry sends the bytes of the register.

use std::collections::BTreeSet;
use std::sync::Arc;

use consensus::Decision;
use kernel::{clock, log_event, startup};
use membership::Peer;
use metering::{window_at, CountTables, ExportSchedule, ExportState, MissingReports, WindowId};
use protocol::message::{Message, METERING};
use protocol::metering::{MeteringQuery, MeteringTables};
use tokio::task::JoinSet;

use crate::controller::Controller;
use crate::event::{USAGE_ACKNOWLEDGED, USAGE_COMMITTED, USAGE_REFUSED};
use crate::metering::completeness::{self, ExpectedController, Reply};
use crate::metering::platform::{Platform, ReportError, RoleOwner};
use crate::replication::committed_state::CommittedState;
use crate::roles::{self, USAGE};

/// The key of the register that stores the committed windows.
pub const EXPORT_KEY: &str = "usage";
/// Interval at which due windows are checked, in ms.
const TICK_MS: u64 = 300;
/// A controller whose last heartbeat is more recent than this is expected to reply, in ms.
const RECENTLY_SEEN_MS: u64 = 60_000;
/// Timeout of a query to another controller, in ms.
const QUERY_TIMEOUT_MS: u64 = 600;
/// Timeout of one change to the register, in ms.
const COMMIT_TIMEOUT_MS: u64 = 1000;
/// Initial backoff after a failed call to the platform, in ms.
const INITIAL_BACKOFF_MS: u64 = 300;
/// Maximum backoff after a failed call to the platform, in ms.
const MAX_BACKOFF_MS: u64 = 4000;
const MS_PER_S: f64 = 1000.0;

/// Starts the task that exports windows while this controller owns the role.
pub fn start(controller: &Arc<Controller>) {
    if !controller.settings.cloud_api.takes_usage() {
        return;
    }
    let settings = &controller.settings;
    let Some(platform) = Platform::new(settings.source_ip(), &settings.cloud_api.address) else { return };
    let delay_ms = (controller.settings.bounds.usage_delay_s * MS_PER_S) as u64;
    let schedule = ExportSchedule { window_ms: controller.metering.window_ms(), delay_ms };
    let (empty, backoff) = (BTreeSet::new(), Backoff::default());
    let mut exporter = Exporter { controller: controller.clone(), platform, schedule, empty, backoff };
    tokio::spawn(async move {
        let mut ticks = startup::interval(TICK_MS);
        loop {
            ticks.tick().await;
            exporter.step().await;
        }
    });
}

/// Exponential backoff after failed calls to the platform.
#[derive(Default)]
struct Backoff {
    delay_ms: u64,
    not_before: u64,
}

impl Backoff {
    fn record_failure(&mut self, now: u64) {
        self.delay_ms = (self.delay_ms * 2).clamp(INITIAL_BACKOFF_MS, MAX_BACKOFF_MS);
        self.not_before = now + self.delay_ms;
    }
}

struct Exporter {
    controller: Arc<Controller>,
    platform: Platform,
    schedule: ExportSchedule,
    /// Windows for which all controllers reported no requests.
    empty: BTreeSet<WindowId>,
    backoff: Backoff,
}

/// The counts collected from all controllers for some windows.
struct Collected {
    tables: CountTables,
    missing: MissingReports,
}

impl Exporter {
    /// Commits the counts of due windows and reports the oldest unacknowledged window.
    async fn step(&mut self) {
        let Some(epoch) = self.acting_epoch() else { return };
        if !roles::declare_predecessor_expired(&self.controller, USAGE, epoch).await {
            return;
        }
        self.commit_due_windows().await;
        self.report_oldest().await;
    }

    fn acting_epoch(&self) -> Option<u64> {
        roles::acting_epoch(&self.controller, USAGE, clock::now())
    }

    async fn commit_due_windows(&mut self) {
        let (controller, time_ms) = (self.controller.clone(), self.controller.metering.time_ms());
        let Some(state) = controller.committed.read(known_state) else { return };
        let due = self.schedule.due_windows(&state, &self.empty, time_ms);
        if due.is_empty() {
            return;
        }
        let collected = collect(&controller, &due, time_ms).await;
        for window in due {
            let age_ms = self.schedule.age_ms(window, time_ms);
            if !self.schedule.is_ready(collected.missing, age_ms) {
                continue;
            }
            let counts = collected.tables.totals(window);
            if counts.is_empty() {
                if collected.missing == MissingReports::default() {
                    self.empty.insert(window);
                }
                continue;
            }
            let tenants = counts.len();
            let is_committed = change(&controller, |state| state.with_committed(window, counts.clone())).await;
            if is_committed {
                log_event!(USAGE_COMMITTED, "window" => window, "tenants" => tenants, "missing" => collected.missing.controllers,
                    "age_ms" => age_ms);
            }
        }
        let first_collected = self.schedule.first_collected(time_ms);
        self.empty.retain(|window| *window >= first_collected);
    }

    /// Reports the oldest unacknowledged window to the platform.
    async fn report_oldest(&mut self) {
        let now = clock::now();
        if now < self.backoff.not_before {
            return;
        }
        let window = self.controller.committed.read(|state| known_state(state)?.next_unacknowledged().cloned());
        let Some(window) = window else { return };
        // Checked again, since the role may have been lost while windows were being committed.
        let Some(epoch) = self.acting_epoch() else { return };
        let role_owner = RoleOwner { node: &self.controller.settings.node_name, epoch };
        match self.platform.report(&role_owner, &window).await {
            Ok(()) => {
                self.backoff = Backoff::default();
                change(&self.controller, |state| state.with_acknowledged(window.window)).await;
                log_event!(USAGE_ACKNOWLEDGED, "window" => window.window, "tenants" => window.counts.len(), "epoch" => epoch);
            }
            Err(error) => {
                self.backoff.record_failure(clock::now());
                if error != ReportError::RateLimited {
                    log_event!(USAGE_REFUSED, "window" => window.window, "cause" => format!("{error:?}"));
                }
            }
        }
    }
}

/// Returns the committed export state, or `None` if it cannot be decoded.
pub fn known_state(state: &CommittedState) -> Option<ExportState> {
    let body = state.entries.get(EXPORT_KEY).map_or(&[][..], |entry| &entry.body);
    ExportState::open(body)
}

/// Changes the register. Returns whether this change was written.
async fn change(controller: &Controller, next: impl Fn(&ExportState) -> Option<ExportState>) -> bool {
    let decide = |body: &[u8]| {
        let changed = ExportState::open(body).and_then(|state| next(&state));
        changed.map_or(Decision::Answer(false), |state| Decision::Write(state.to_bytes(), true))
    };
    controller.change(EXPORT_KEY, COMMIT_TIMEOUT_MS, decide).await.unwrap_or(false)
}

/// Collects the routers' reports for some windows from all controllers.
async fn collect(controller: &Arc<Controller>, windows: &[WindowId], time_ms: u64) -> Collected {
    let current = window_at(time_ms, controller.metering.window_ms());
    let mut tables = CountTables::default();
    let own = controller.metering.select(windows);
    own.routers.iter().for_each(|report| tables.merge(report, current));
    let mut calls = JoinSet::new();
    for expected in expected_controllers(controller) {
        let (client, windows) = (controller.peers.client(&expected.ip), windows.to_vec());
        calls.spawn(async move {
            let query = Message::MeteringQuery(Box::new(MeteringQuery { windows }));
            let answer = client.call(query, QUERY_TIMEOUT_MS).await;
            (expected, answer)
        });
    }
    let mut replies = Vec::new();
    while let Some(Ok((expected, answer))) = calls.join_next().await {
        let reply = match answer {
            Some(Message::MeteringTables(answer)) => {
                answer.routers.iter().for_each(|report| tables.merge(report, current));
                reply_of(&answer)
            }
            _ => Reply::None,
        };
        replies.push((expected, reply));
    }
    let settings = &controller.settings;
    let missing = completeness::missing_reports(&settings.zone, reply_of(&own), &settings.zones, &replies);
    Collected { tables, missing }
}

fn reply_of(answer: &MeteringTables) -> Reply {
    match answer.is_complete {
        true => Reply::Complete,
        // It was started recently and has lost earlier reports, and routers may not have reported again yet.
        false => Reply::Incomplete,
    }
}

/// Returns the other controllers that were seen recently, and the core members that were never seen.
fn expected_controllers(controller: &Controller) -> Vec<ExpectedController> {
    let now = clock::now();
    let core = controller.replica.membership();
    controller.peers.read(|view| {
        let others = view.controllers.iter().filter(|(ip, peer)| *ip != controller.own_ip() && peer.last_seen > 0);
        let recently_seen = others.clone().filter(|(_, peer)| peer.last_seen + RECENTLY_SEEN_MS > now);
        let metering_peers = recently_seen.filter(|(_, peer)| peer.protocol_version >= METERING);
        let with_zone =
            |(ip, peer): (&String, &Peer)| ExpectedController { ip: ip.clone(), zone: Some(peer.zone.clone()) };
        let ever_seen: BTreeSet<&str> = others.map(|(ip, _)| ip.as_str()).collect();
        let members = core.members.iter().map(|member| member.ip.as_str());
        let never_seen = members.filter(|ip| *ip != controller.own_ip() && !ever_seen.contains(ip));
        let without_zone = never_seen.map(|ip| ExpectedController { ip: ip.into(), zone: None });
        metering_peers.map(with_zone).chain(without_zone).collect()
    })
}
