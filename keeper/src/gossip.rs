//! Heartbeats between keepers.

pub fn hear(keeper: &crate::keeper::Keeper, gossip: &wire::msg::Gossip) {
    if gossip.ip == keeper.me() {
        return;
    }
    keeper.adopt(&gossip.core);
    let now = kernel::clock::now();
    let mut roster = keeper.roster.lock().expect("roster");
    let peer = roster::Peer {
        zone: gossip.zone.clone(),
        life: gossip.life,
        heard: now,
        fit: gossip.fit,
        seats: gossip.seats,
        reads: wire::msg::reads(&gossip.sheets),
        leaving: wire::msg::is_leaving(&gossip.sheets),
        busy: gossip.busy.clone(),
        doors: gossip.doors.clone(),
        resting: gossip.resting.iter().map(|id| (id.clone(), now + 2 * crate::keeper::LIVE_MS)).collect(),
    };
    roster.hear(&gossip.ip, peer);
    roster.report(&gossip.ip, crate::platform::report(gossip), now);
    for ip in &gossip.peers {
        if ip.parse::<std::net::Ipv4Addr>().is_ok() && *ip != roster.me && !roster.keepers.contains_key(ip) {
            let unseen = roster::Peer { zone: String::new(), life: 0, heard: 0, fit: false, ..Default::default() };
            roster.keepers.insert(ip.clone(), unseen);
        }
    }
    drop(roster);
    // Repair: who is behind gets what it lacks.
    let mut sheets = keeper.sheets.lock().expect("sheets");
    sheets.raise(&gossip.floors);
    for sheet in sheets.newer(&gossip.sheets) {
        keeper.peer(&gossip.ip).cast(wire::msg::Msg::Sheet(Box::new(sheet)));
    }
}

pub fn start(keeper: &std::sync::Arc<crate::keeper::Keeper>) {
    let keeper = keeper.clone();
    tokio::spawn(async move {
        let mut beat = kernel::entry::beat(crate::keeper::BEAT_MS);
        loop {
            beat.tick().await;
            tell(&keeper);
            crate::confirm::run(&keeper).await;
            if crate::quota::beat(&keeper) {
                keeper.push();
            }
        }
    });
}

/// Tells all keepers that are known how this one stands.
pub fn tell(keeper: &crate::keeper::Keeper) {
    let now = kernel::clock::now();
    let core = keeper.core();
    let (peers, seats, busy, resting, doors) = {
        let mut roster = keeper.roster.lock().expect("roster");
        roster.sweep(now);
        let live: Vec<String> = roster.keepers.keys().filter(|ip| roster.live(ip, now)).cloned().collect();
        (live, roster.routers.len() as u32, roster.own_pressure(), roster.own_resting(now), roster.own_doors())
    };
    let (mut sheets, floors) = {
        let held = keeper.sheets.lock().expect("sheets");
        let mut versions = held.versions();
        versions.push(wire::msg::told());
        if keeper.leaving.load(std::sync::atomic::Ordering::Relaxed) {
            versions.push(wire::msg::leaving());
        }
        (versions, held.floors())
    };
    sheets.extend(crate::platform::told(keeper, now));
    sheets.extend(crate::duty::told(keeper, now));
    let gossip = wire::msg::Gossip {
        ip: keeper.me().into(),
        zone: keeper.env.zone.clone(),
        life: keeper.life,
        fit: fit(keeper),
        core,
        peers,
        seats,
        busy: Vec::new(),
        resting,
        doors: Vec::new(),
        sheets,
        floors,
    };
    let holder = |duty: &str| {
        keeper.committed_state.lock().expect("committed_state").duties.get(duty).map(|duty| duty.1.clone())
    };
    let (balancer, batch_owner) = (holder(crate::duty::BALANCE), holder(crate::duty::BATCH));
    for ip in keeper.known() {
        let mut gossip = gossip.clone();
        // What grows with engines or routers goes to the one keeper that reads it.
        if balancer.as_ref() == Some(&ip) {
            gossip.busy.clone_from(&busy);
        }
        if batch_owner.as_ref() == Some(&ip) {
            gossip.doors.clone_from(&doors);
        }
        keeper.peer(&ip).cast(wire::msg::Msg::Gossip(Box::new(gossip)));
    }
}

/// May this keeper be made a member: a counted machine, or any where none has a disk.
pub fn fit(keeper: &crate::keeper::Keeper) -> bool {
    keeper.env.quorum_member && keeper.voter.lock().expect("voter").may_vote
}
