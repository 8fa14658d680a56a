//! What a follower lacks, and sending it: on each of its calls, and at once when something changes.

use std::collections::BTreeMap;
use std::mem;

use kernel::clock;
use protocol::link::Responder;
use protocol::message::{self, EvacuationState, Message, StateUpdate, SubscriptionRenewal, QUOTAS, VERSION_ROLLOUTS};
use serde_json::Value;

use crate::controller::{Controller, ROUTER_LEASE_MS};
use crate::duty::CATALOG;
use crate::followers::Follower;
use crate::quota::send_holders;
use crate::rules;

impl Controller {
    /// A router renews its lease, tells what it has and gets what it lacks.
    pub fn follow(&self, mouth: Responder, id: u64, follow: SubscriptionRenewal) {
        let now = clock::now();
        self.roster.lock().expect("roster").renew_lease(
            &follow.node,
            now + ROUTER_LEASE_MS,
            follow.in_flight,
            follow.frontend_address,
        );
        self.sheets.lock().expect("sheets").raise(&follow.list_versions);
        let mut follower = Follower {
            rules: rules::told(&follow.evacuation_versions),
            until: now + ROUTER_LEASE_MS,
            mouth,
            zone: follow.zone,
            config: follow.config_revision,
            behind: false,
            reads: message::protocol_version_of(&follow.list_versions),
            closed: follow.evacuation_versions.into_iter().collect(),
            sheets: follow.list_versions.into_iter().map(|entry| (entry.name, (entry.term, entry.sequence))).collect(),
        };
        let mut news = self.missing(&follow.node, &mut follower, now);
        // A lease on bound work is renewed only for one that has confirmed every rule known here.
        // One of the first version holds none: it serves on, and no rule settles while it is there.
        news.confirmed &= follower.reads < 2 || self.confirmed(&follower);
        // Whoever is told that it is current must have been sent all.
        news.confirmed &= !follower.behind;
        follower.mouth.reply(id, &Message::StateUpdate(Box::new(news)));
        self.followers.lock().expect("followers").list.insert(follow.node, follower);
    }

    /// Doubt about an engine reaches all routers at once: each asks it for itself.
    pub fn doubt(&self, engine: &str, passed: bool) {
        let note = |passed| Message::SuspectEngine(Box::new((engine.to_string(), passed)));
        for follower in self.followers.lock().expect("followers").list.values() {
            follower.mouth.notify(&note(true));
        }
        if passed {
            return;
        }
        for ip in self.known() {
            self.peer(&ip).notify(note(true));
        }
    }

    /// Sends to each follower what it lacks.
    pub fn push(&self) {
        let now = clock::now();
        let mut list = mem::take(&mut self.followers.lock().expect("followers").list);
        let reachable = list.iter_mut().filter(|(_, follower)| !follower.behind && !follower.mouth.is_closed());
        for (node, follower) in reachable {
            let news = self.missing(node, follower, now);
            if news.config.is_some() || !news.evacuations.is_empty() || !news.endpoint_lists.is_empty() {
                follower.send(&Message::StateUpdate(Box::new(news)));
            }
        }
        let mut followers = self.followers.lock().expect("followers");
        for (node, follower) in list {
            followers.list.entry(node).or_insert(follower);
        }
        followers.forget_lapsed(now);
    }

    /// What a follower lacks. What has a message of its own is sent at once, the rest goes into the news.
    fn missing(&self, node: &str, follower: &mut Follower, now: u64) -> StateUpdate {
        let mut news = StateUpdate { confirmed: self.sure(now), ..Default::default() };
        self.add_control_state(&mut news, follower);
        self.add_roster(&mut news, node, follower, now);
        self.add_engine_lists(&mut news, follower);
        if follower.reads >= 2 {
            self.send_weights(follower);
        }
        if follower.reads >= QUOTAS && self.has_tenants() {
            send_holders(self, follower);
        }
        news
    }

    fn add_control_state(&self, news: &mut StateUpdate, follower: &mut Follower) {
        let mut committed_state = self.committed_state.lock().expect("committed_state");
        if follower.reads >= 2 {
            // Before the configuration: no route is served whose rule is known here and not there.
            rules::send(&committed_state, follower);
            // Before the news: whoever is told that it is current has it by then.
            let mouth = &follower.mouth;
            let reads = follower.reads;
            let sent =
                committed_state.history.send_missing(reads, &mut follower.config, |frame| mouth.notify_frame(frame));
            follower.behind |= !sent;
        } else if let Some((revision, text)) = committed_state.history.text_after(follower.config) {
            news.config = Some((revision, text));
            follower.config = revision;
        }
        if follower.reads >= VERSION_ROLLOUTS {
            crate::versions::send(&committed_state, follower);
        }
        follower.behind |= !committed_state.history.can_be_told(follower.reads);
        for (zone, (version, on)) in &committed_state.closed {
            let has = follower.closed.entry(zone.clone()).or_default();
            if *version > *has {
                news.evacuations.push(EvacuationState { zone: zone.clone(), version: *version, evacuated: *on });
                *has = *version;
            }
        }
        let catalog = committed_state.duties.get(CATALOG).cloned().unwrap_or_default();
        news.catalog = (catalog.0, catalog.1);
    }

    fn add_roster(&self, news: &mut StateUpdate, node: &str, follower: &Follower, now: u64) {
        let mut roster = self.roster.lock().expect("roster");
        news.router_count = roster.router_count(now, news.confirmed);
        news.reassigning = roster.reassigning(now);
        // An order of its own for each router, so that the controllers of a zone share them.
        news.peers = roster.preference_order(&follower.zone, node);
    }

    fn add_engine_lists(&self, news: &mut StateUpdate, follower: &mut Follower) {
        for sheet in self.sheets.lock().expect("sheets").all() {
            if message::is_hidden_key(&sheet.zone) && follower.reads < VERSION_ROLLOUTS {
                continue;
            }
            let has = follower.sheets.entry(sheet.zone.clone()).or_default();
            if (sheet.term, sheet.sequence) > *has {
                *has = (sheet.term, sheet.sequence);
                news.endpoint_lists.push(sheet.clone());
            }
        }
    }

    /// The view of the fleet for those who operate it.
    pub fn fleet(&self) -> Value {
        let now = clock::now();
        let core = self.core();
        let members: Vec<&str> = core.members.iter().map(|member| member.ip.as_str()).collect();
        let sure = self.sure(now);
        let revision = self.revision();
        let duties = self.committed_state.lock().expect("committed_state").duties.clone();
        let roster = self.roster.lock().expect("roster");
        let controllers: Vec<&String> = roster.controllers.keys().filter(|ip| roster.is_live(ip, now)).collect();
        let followers = self.followers.lock().expect("followers");
        let routers: BTreeMap<&String, u64> =
            followers.list.iter().map(|(node, follower)| (node, follower.config)).collect();
        serde_json::json!({
            "node_name": self.settings.node_name, "sure": sure, "revision": revision, "core": members,
            "core_stamp": core.version, "core_settled": core.stable, "live_keepers": controllers,
            "duties": duties, "routers": routers,
        })
    }
}
