//! The export of windows: collected from all controllers, agreed on in a register, then told to the platform.
//!
//! The order is what keeps one value for a window for ever: nothing is sent before its counts are on a quorum of disks, and whoever
//! sends it, and however often, sends the bytes of the register.

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
use crate::event::{USAGE_ACKNOWLEDGED, USAGE_AGREED, USAGE_REFUSED};
use crate::metering::completeness::{self, ExpectedController, Reply};
use crate::metering::platform::{Holder, Platform, TellError};
use crate::replication::committed_state::CommittedState;
use crate::roles::{self, USAGE};

/// The key of the register that holds what is agreed on.
pub const EXPORT_KEY: &str = "usage";
/// The pause between two looks.
const TICK_MS: u64 = 300;
/// A controller that was heard within this time is expected to answer, in milliseconds.
const EXPECTED_MS: u64 = 60_000;
/// How long another controller may take to answer what routers reported to it, in milliseconds.
const QUERY_TIMEOUT_MS: u64 = 600;
/// How long one change of the register may take, in milliseconds.
const COMMIT_TIMEOUT_MS: u64 = 1000;
/// The shortest and the longest pause after a call to the platform that failed, in milliseconds.
const FIRST_RETRY_MS: u64 = 300;
const LONGEST_RETRY_MS: u64 = 4000;
const MS_PER_S: f64 = 1000.0;

/// Exports windows while this controller owns the role, for as long as the process runs.
pub fn start(controller: &Arc<Controller>) {
    if !controller.settings.cloud_api.takes_usage() {
        return;
    }
    let settings = &controller.settings;
    let Some(platform) = Platform::new(settings.source_ip(), &settings.cloud_api.address) else { return };
    let delay_ms = (controller.settings.bounds.usage_delay_s * MS_PER_S) as u64;
    let schedule = ExportSchedule { window_ms: controller.metering.window_ms(), delay_ms };
    let (empty, retry) = (BTreeSet::new(), Retry::default());
    let mut exporter = Exporter { controller: controller.clone(), platform, schedule, empty, retry };
    tokio::spawn(async move {
        let mut ticks = startup::interval(TICK_MS);
        loop {
            ticks.tick().await;
            exporter.step().await;
        }
    });
}

/// The pause after failed calls to the platform.
#[derive(Default)]
struct Retry {
    pause_ms: u64,
    not_before: u64,
}

impl Retry {
    fn fail(&mut self, now: u64) {
        self.pause_ms = (self.pause_ms * 2).clamp(FIRST_RETRY_MS, LONGEST_RETRY_MS);
        self.not_before = now + self.pause_ms;
    }
}

struct Exporter {
    controller: Arc<Controller>,
    platform: Platform,
    schedule: ExportSchedule,
    /// Windows of which all controllers said that nothing began in them.
    empty: BTreeSet<WindowId>,
    retry: Retry,
}

/// What all controllers know of some windows.
struct Collected {
    tables: CountTables,
    missing: MissingReports,
}

impl Exporter {
    /// Agrees on windows that are due, and tells the oldest that is agreed on.
    async fn step(&mut self) {
        let Some(epoch) = self.acting_epoch() else { return };
        if !roles::declare_predecessor_expired(&self.controller, USAGE, epoch).await {
            return;
        }
        self.agree().await;
        self.tell().await;
    }

    fn acting_epoch(&self) -> Option<u64> {
        roles::acting_epoch(&self.controller, USAGE, clock::now())
    }

    async fn agree(&mut self) {
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
            let is_agreed = change(&controller, |state| state.with_agreed(window, counts.clone())).await;
            if is_agreed {
                log_event!(USAGE_AGREED, "window" => window, "tenants" => tenants, "missing" => collected.missing.controllers,
                    "age_ms" => age_ms);
            }
        }
        let first = self.schedule.first_collected(time_ms);
        self.empty.retain(|window| *window >= first);
    }

    /// Tells the platform the oldest window that is agreed on.
    async fn tell(&mut self) {
        let now = clock::now();
        if now < self.retry.not_before {
            return;
        }
        let window = self.controller.committed.read(|state| known_state(state)?.next_to_tell().cloned());
        let Some(window) = window else { return };
        // Asked for again: agreeing took its time.
        let Some(epoch) = self.acting_epoch() else { return };
        let holder = Holder { node: &self.controller.settings.node_name, epoch };
        match self.platform.tell(&holder, &window).await {
            Ok(()) => {
                self.retry = Retry::default();
                change(&self.controller, |state| state.with_told(window.window)).await;
                log_event!(USAGE_ACKNOWLEDGED, "window" => window.window, "tenants" => window.counts.len(), "epoch" => epoch);
            }
            Err(error) => {
                self.retry.fail(clock::now());
                if error != TellError::RateLimited {
                    log_event!(USAGE_REFUSED, "window" => window.window, "cause" => format!("{error:?}"));
                }
            }
        }
    }
}

/// Returns what is known to be agreed on. `None`: it can't be read.
pub fn known_state(state: &CommittedState) -> Option<ExportState> {
    let body = state.entries.get(EXPORT_KEY).map_or(&[][..], |entry| &entry.body);
    ExportState::open(body)
}

/// Changes the register. Returns whether this change, and no other, was written.
async fn change(controller: &Controller, next: impl Fn(&ExportState) -> Option<ExportState>) -> bool {
    let judge = |body: &[u8]| {
        let changed = ExportState::open(body).and_then(|state| next(&state));
        changed.map_or(Decision::Answer(false), |state| Decision::Write(state.to_bytes(), true))
    };
    controller.change(EXPORT_KEY, COMMIT_TIMEOUT_MS, judge).await.unwrap_or(false)
}

/// Asks all controllers what routers reported to them of some windows.
async fn collect(controller: &Arc<Controller>, windows: &[WindowId], time_ms: u64) -> Collected {
    let present = window_at(time_ms, controller.metering.window_ms());
    let mut tables = CountTables::default();
    let own = controller.metering.select(windows);
    own.routers.iter().for_each(|report| tables.merge(report, present));
    let mut calls = JoinSet::new();
    for expected in expected(controller) {
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
                answer.routers.iter().for_each(|report| tables.merge(report, present));
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
        // It was started lately and has lost what was reported to it; routers may not have reported again.
        false => Reply::Incomplete,
    }
}

/// Returns the other controllers that were heard lately, and the members of the core that were never heard.
fn expected(controller: &Controller) -> Vec<ExpectedController> {
    let now = clock::now();
    let core = controller.replica.membership();
    controller.peers.read(|view| {
        let others = view.controllers.iter().filter(|(ip, peer)| *ip != controller.own_ip() && peer.last_seen > 0);
        let heard = others.clone().filter(|(_, peer)| peer.last_seen + EXPECTED_MS > now);
        let readers = heard.filter(|(_, peer)| peer.protocol_version >= METERING);
        let with_zone =
            |(ip, peer): (&String, &Peer)| ExpectedController { ip: ip.clone(), zone: Some(peer.zone.clone()) };
        let ever_heard: BTreeSet<&str> = others.map(|(ip, _)| ip.as_str()).collect();
        let members = core.members.iter().map(|member| member.ip.as_str());
        let unheard = members.filter(|ip| *ip != controller.own_ip() && !ever_heard.contains(ip));
        let without_zone = unheard.map(|ip| ExpectedController { ip: ip.into(), zone: None });
        readers.map(with_zone).chain(without_zone).collect()
    })
}
