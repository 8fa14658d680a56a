//! Beats between keepers, and the confirmation of what is committed at a majority.

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
            confirm(&hall).await;
        }
    });
}

fn tell(hall: &crate::hall::Hall) {
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
    for ip in hall.known() {
        hall.fellow(&ip).cast(wire::msg::Msg::Gossip(Box::new(gossip.clone())));
    }
}

/// May this keeper be made a member: a counted machine, or any where none has a disk.
pub fn fit(hall: &crate::hall::Hall) -> bool {
    hall.env.quorum_member && hall.voter.lock().expect("voter").able
}

/// Reads the places of all keys at a majority. What a majority holds alike is committed; what it
/// does not is committed again under a new ballot when it stays so.
async fn confirm(hall: &std::sync::Arc<crate::hall::Hall>) {
    let begun = kernel::clock::now();
    let core = hall.core();
    if core.list.is_empty() {
        return;
    }
    let ips: Vec<String> = core.list.iter().map(|member| member.ip.clone()).collect();
    let mut votes = hall.ask(&core, wire::msg::Ask::Places, &ips);
    let need = ledger::majority(ips.len());
    let mut lists = Vec::new();
    let end = tokio::time::Instant::now() + std::time::Duration::from_millis(600);
    while lists.len() < need {
        match tokio::time::timeout_at(end, votes.recv()).await {
            Ok(Some((_, wire::msg::Vote::Places { list }))) => lists.push(list),
            Ok(Some((_, wire::msg::Vote::Newer { core }))) => return hall.adopt(&core),
            Ok(Some(_)) => {}
            _ => return,
        }
    }
    let mut top: std::collections::BTreeMap<String, (wire::msg::Ballot, u64)> = Default::default();
    for (key, ballot, step) in lists.iter().flatten() {
        let held = top.entry(key.clone()).or_default();
        *held = (*held).max((*ballot, *step));
    }
    let mut all = true;
    for (key, place) in top {
        let known = hall.board.lock().expect("board").entries.get(&key).map(wire::msg::Entry::place);
        if known >= Some(place) {
            continue;
        }
        let count =
            lists.iter().flatten().filter(|(name, ballot, step)| *name == key && (*ballot, *step) == place).count();
        all &= fetch(hall, &core, &key, place, count >= need).await;
    }
    if all {
        hall.board.lock().expect("board").sure = Some(begun);
    }
}

/// Makes one key known here: read from the members when it is committed, else by a take-over.
async fn fetch(
    hall: &std::sync::Arc<crate::hall::Hall>,
    core: &wire::msg::Core,
    key: &str,
    place: (wire::msg::Ballot, u64),
    committed: bool,
) -> bool {
    if committed {
        let ips: Vec<String> = core.list.iter().map(|member| member.ip.clone()).collect();
        let mut votes = hall.ask(core, wire::msg::Ask::Fetch { key: key.into() }, &ips);
        let end = tokio::time::Instant::now() + std::time::Duration::from_millis(500);
        while let Ok(Some((_, vote))) = tokio::time::timeout_at(end, votes.recv()).await {
            let wire::msg::Vote::Fetched { entry: Some(entry) } = vote else { continue };
            if entry.place() == place {
                hall.learn(key, &entry, false);
                return true;
            }
        }
        return false;
    }
    // Perhaps on its way: its owner gets a moment.
    tokio::time::sleep(std::time::Duration::from_millis(60)).await;
    let known = hall.board.lock().expect("board").entries.get(key).map(wire::msg::Entry::place);
    if known >= Some(place) {
        return true;
    }
    let me = hall.roster.lock().expect("roster").holder("", key, kernel::clock::now());
    if me != hall.me() {
        return false;
    }
    hall.renew(key, 600).await.is_some()
}
