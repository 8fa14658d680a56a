//! What a follower lacks, and sending it: on each of its calls, and at once when something changes.

use kernel::clock;
use protocol::link::Responder;
use protocol::message::{self, EvacuationState, Message, StateUpdate, SubscriptionRenewal, QUOTAS, VERSION_ROLLOUTS};
use serde_json::Value;

use crate::controller::{Controller, ROUTER_LEASE_MS};
use crate::delivery::limit_confirmations;
use crate::delivery::subscribers::Follower;
use crate::quota_shards::send_holders;
use crate::replication::committed_state::CommittedState;
use crate::roles::CATALOG;

impl Controller {
    /// A router renews its lease, tells what it has and gets what it lacks.
    pub fn follow(&self, mouth: Responder, id: u64, follow: SubscriptionRenewal) {
        let now = clock::now();
        let until = now + ROUTER_LEASE_MS;
        self.peers.update(|view| view.renew_lease(&follow.node, until, follow.in_flight, follow.frontend_address));
        self.engines.update(|lists| lists.observe_terms(&follow.list_versions));
        let mut follower = Follower {
            rules: limit_confirmations::told(&follow.evacuation_versions),
            until,
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
        self.subscribers.insert(follow.node, follower);
    }

    /// Doubt about an engine reaches all routers at once: each asks it for itself.
    pub fn doubt(&self, engine: &str, passed: bool) {
        let note = Message::SuspectEngine(Box::new((engine.to_string(), true)));
        self.subscribers.notify_all(&note);
        if !passed {
            self.notify_peers(&note);
        }
    }

    /// Sends to each follower what it lacks.
    pub fn push(&self) {
        let now = clock::now();
        let mut list = self.subscribers.take_all();
        let reachable = list.iter_mut().filter(|(_, follower)| !follower.behind && !follower.mouth.is_closed());
        for (node, follower) in reachable {
            let news = self.missing(node, follower, now);
            if news.config.is_some() || !news.evacuations.is_empty() || !news.endpoint_lists.is_empty() {
                follower.send(&Message::StateUpdate(Box::new(news)));
            }
        }
        self.subscribers.restore(list, now);
    }

    /// What a follower lacks. What has a message of its own is sent at once, the rest goes into the news.
    fn missing(&self, node: &str, follower: &mut Follower, now: u64) -> StateUpdate {
        let mut news = StateUpdate { confirmed: self.committed.is_confirmed(now), ..Default::default() };
        self.committed.update(|state| add_control_state(state, &mut news, follower));
        self.add_roster(&mut news, node, follower, now);
        self.add_engine_lists(&mut news, follower);
        if follower.reads >= 2 {
            self.send_weights(follower);
        }
        if follower.reads >= QUOTAS && self.committed.has_tenants() {
            send_holders(self, follower);
        }
        news
    }

    fn add_roster(&self, news: &mut StateUpdate, node: &str, follower: &Follower, now: u64) {
        self.peers.update(|view| {
            news.router_count = view.router_count(now, news.confirmed);
            news.reassigning = view.reassigning(now);
            // An order of its own for each router, so that the controllers of a zone share them.
            news.peers = view.preference_order(&follower.zone, node);
        });
    }

    fn add_engine_lists(&self, news: &mut StateUpdate, follower: &mut Follower) {
        self.engines.read(|lists| {
            for sheet in lists.iter() {
                if message::is_hidden_key(&sheet.zone) && follower.reads < VERSION_ROLLOUTS {
                    continue;
                }
                let has = follower.sheets.entry(sheet.zone.clone()).or_default();
                if (sheet.term, sheet.sequence) > *has {
                    *has = (sheet.term, sheet.sequence);
                    news.endpoint_lists.push(sheet.clone());
                }
            }
        });
    }

    /// The view of the fleet for those who operate it.
    pub fn fleet(&self) -> Value {
        let now = clock::now();
        let core = self.replica.membership();
        let members: Vec<&str> = core.members.iter().map(|member| member.ip.as_str()).collect();
        let sure = self.committed.is_confirmed(now);
        let revision = self.committed.revision();
        let duties = self.committed.roles();
        let controllers = self.peers.live_ips(now);
        let routers = self.subscribers.config_revisions();
        serde_json::json!({
            "node_name": self.settings.node_name, "sure": sure, "revision": revision, "core": members,
            "core_stamp": core.version, "core_settled": core.stable, "live_keepers": controllers,
            "duties": duties, "routers": routers,
        })
    }
}

fn add_control_state(state: &mut CommittedState, news: &mut StateUpdate, follower: &mut Follower) {
    if follower.reads >= 2 {
        // Before the configuration: no route is served whose rule is known here and not there.
        limit_confirmations::send(state, follower);
        // Before the news: whoever is told that it is current has it by then.
        let mouth = &follower.mouth;
        let reads = follower.reads;
        let sent = state.history.send_missing(reads, &mut follower.config, |frame| mouth.notify_frame(frame));
        follower.behind |= !sent;
    } else if let Some((revision, text)) = state.history.text_after(follower.config) {
        news.config = Some((revision, text));
        follower.config = revision;
    }
    if follower.reads >= VERSION_ROLLOUTS {
        crate::rollout::version_rollouts::send(state, follower);
    }
    follower.behind |= !state.history.can_be_told(follower.reads);
    for (zone, (version, on)) in &state.closed {
        let has = follower.closed.entry(zone.clone()).or_default();
        if *version > *has {
            news.evacuations.push(EvacuationState { zone: zone.clone(), version: *version, evacuated: *on });
            *has = *version;
        }
    }
    let catalog = state.duties.get(CATALOG).cloned().unwrap_or_default();
    news.catalog = (catalog.0, catalog.1);
}
