//! Heartbeats between keepers.

pub fn hear(hall: &crate::hall::Hall, gossip: &wire::msg::Gossip) {
    if gossip.ip == hall.me() {
        return;
    }
    hall.adopt(&gossip.core);
    let now = kernel::clock::now();
    let mut roster = hall.roster.lock().expect("roster");
    let fellow = roster::Fellow {
        area: gossip.area.clone(),
        life: gossip.life,
        heard: now,
        fit: gossip.fit,
        seats: gossip.seats,
        reads: wire::msg::reads(&gossip.sheets),
        leaving: wire::msg::is_leaving(&gossip.sheets),
        busy: gossip.busy.clone(),
        doors: gossip.doors.clone(),
        resting: gossip.resting.iter().map(|id| (id.clone(), now + 2 * crate::hall::LIVE_MS)).collect(),
    };
    roster.hear(&gossip.ip, fellow);
    roster.report(&gossip.ip, crate::platform::report(gossip), now);
    for ip in &gossip.fellows {
        if ip.parse::<std::net::Ipv4Addr>().is_ok() && *ip != roster.me && !roster.keepers.contains_key(ip) {
            let unseen = roster::Fellow { area: String::new(), life: 0, heard: 0, fit: false, ..Default::default() };
            roster.keepers.insert(ip.clone(), unseen);
        }
    }
    drop(roster);
    // Repair: who is behind gets what it lacks.
    let mut sheets = hall.sheets.lock().expect("sheets");
    sheets.raise(&gossip.floors);
    for sheet in sheets.newer(&gossip.sheets) {
        hall.fellow(&gossip.ip).cast(wire::msg::Msg::Sheet(Box::new(sheet)));
    }
}

pub fn start(hall: &std::sync::Arc<crate::hall::Hall>) {
    let hall = hall.clone();
    tokio::spawn(async move {
        let mut beat = kernel::entry::beat(crate::hall::BEAT_MS);
        loop {
            beat.tick().await;
            tell(&hall);
            crate::confirm::run(&hall).await;
        }
    });
}

/// Tells all keepers that are known how this one stands.
pub fn tell(hall: &crate::hall::Hall) {
    let now = kernel::clock::now();
    let core = hall.core();
    let (fellows, seats, busy, resting, doors) = {
        let mut roster = hall.roster.lock().expect("roster");
        roster.sweep(now);
        let live: Vec<String> = roster.keepers.keys().filter(|ip| roster.live(ip, now)).cloned().collect();
        (live, roster.routers.len() as u32, roster.own_pressure(), roster.own_resting(now), roster.own_doors())
    };
    let (mut sheets, floors) = {
        let held = hall.sheets.lock().expect("sheets");
        let mut stamps = held.stamps();
        stamps.push(wire::msg::told());
        if hall.leaving.load(std::sync::atomic::Ordering::Relaxed) {
            stamps.push(wire::msg::leaving());
        }
        (stamps, held.floors())
    };
    sheets.extend(crate::platform::told(hall, now));
    sheets.extend(crate::duty::told(hall, now));
    let gossip = wire::msg::Gossip {
        ip: hall.me().into(),
        area: hall.env.zone.clone(),
        life: hall.life,
        fit: fit(hall),
        core,
        fellows,
        seats,
        busy,
        resting,
        doors,
        sheets,
        floors,
    };
    let holder = |duty: &str| hall.board.lock().expect("board").duties.get(duty).map(|duty| duty.1.clone());
    let (balancer, batch_owner) = (holder(crate::duty::BALANCE), holder(crate::duty::BATCH));
    for ip in hall.known() {
        let mut gossip = gossip.clone();
        // What grows with engines or routers goes to the one keeper that reads it.
        if balancer.as_ref() != Some(&ip) {
            gossip.busy.clear();
        }
        if batch_owner.as_ref() != Some(&ip) {
            gossip.doors.clear();
        }
        hall.fellow(&ip).cast(wire::msg::Msg::Gossip(Box::new(gossip)));
    }
}

/// May this keeper be made a member: a counted machine, or any where none has a disk.
pub fn fit(hall: &crate::hall::Hall) -> bool {
    hall.env.quorum_member && hall.voter.lock().expect("voter").able
}
