//! Memory lost, members added and removed: one step at a time, by the keeper that is first in order.

pub fn start(hall: &std::sync::Arc<crate::hall::Hall>) {
    let hall = hall.clone();
    tokio::spawn(async move {
        let mut beat = kernel::entry::beat(400);
        loop {
            beat.tick().await;
            if !hall.voter.lock().expect("voter").able {
                regain(&hall).await;
                continue;
            }
            tend(&hall).await;
        }
    });
}

/// An empty disk: either never a voter, or one that must read so many that no commit goes unseen.
async fn regain(hall: &std::sync::Arc<crate::hall::Hall>) {
    let core = hall.core();
    if kernel::clock::now() < ledger::AMNESIA_MS || core.list.is_empty() {
        return;
    }
    let others: Vec<String> = hall.voter.lock().expect("voter").witnesses();
    let member = ledger::holds(&core, hall.me());
    let mut votes = hall.ask(&core, if member { wire::msg::Ask::Whole } else { wire::msg::Ask::Places }, &others);
    let end = tokio::time::Instant::now() + std::time::Duration::from_millis(800);
    let (mut reads, mut from) = (Vec::new(), Vec::new());
    let mut seen = 0;
    let enough = |from: &[String]| hall.voter.lock().expect("voter").enough(from);
    while seen < others.len() && !(member && enough(&from)) {
        match tokio::time::timeout_at(end, votes.recv()).await {
            Ok(Some((ip, wire::msg::Vote::Whole { slots }))) => {
                reads.push(slots);
                from.push(ip);
                seen += 1;
            }
            Ok(Some((_, wire::msg::Vote::Places { .. }))) => seen += 1,
            Ok(Some((_, wire::msg::Vote::Newer { core }))) => return hall.adopt(&core),
            Ok(Some(_)) => {}
            _ => break,
        }
    }
    if member {
        if enough(&from) {
            let deeds = hall.voter.lock().expect("voter").recall(reads);
            hall.disk.write(deeds);
            kernel::say!(crate::event::RECALLED, "from" => from.join(","));
        }
        return;
    }
    // A majority says that this core is the current one and we are not in it: we never voted in it.
    if seen >= ledger::majority(core.list.len()) {
        let mut voter = hall.voter.lock().expect("voter");
        voter.able = true;
        hall.disk.write(vec![ledger::voter::Deed::Vote]);
        kernel::say!(crate::event::FRESH, "core" => core.stamp);
    }
}

/// Settles an unsettled core, else adds one that waits, else removes one that is gone.
async fn tend(hall: &std::sync::Arc<crate::hall::Hall>) {
    let now = kernel::clock::now();
    let core = hall.core();
    if core.list.is_empty() || !hall.sure(now) {
        return;
    }
    let next = {
        let roster = hall.roster.lock().expect("roster");
        let first =
            roster.order("", ledger::CORE).into_iter().find(|ip| roster.live(ip, now) && ledger::holds(&core, ip));
        if first.as_deref() != Some(hall.me()) {
            return;
        }
        if core.settled {
            let Some(next) = changed(&core, &roster, now) else { return };
            Some(next)
        } else {
            None
        }
    };
    match next {
        None => settle(hall, &core).await,
        Some(next) => {
            let stamp = core.stamp;
            let judge = |body: &[u8]| match crate::state::read_core(body) {
                Some(held) if held.stamp != stamp || !held.settled => crate::council::Verdict::Answer(()),
                _ => crate::council::Verdict::Write(crate::state::write_core(&next), ()),
            };
            if hall.change(ledger::CORE, 1500, judge).await.is_some() {
                settle(hall, &hall.core()).await;
            }
        }
    }
}

/// How long a member must be silent before it may be taken for gone, once another stands ready.
const GONE_MS: u64 = 2500;

/// The next core, if any: one member more, or one less where there is one too many.
pub fn changed(core: &wire::msg::Core, roster: &roster::Roster, now: u64) -> Option<wire::msg::Core> {
    let waits = |ip: &str| !ledger::holds(core, ip) && roster.live(ip, now);
    let joiner = roster.keepers.iter().find(|(ip, fellow)| fellow.fit && waits(ip));
    let prev = core.list.clone();
    let next = |list| Some(wire::msg::Core { stamp: core.stamp + 1, list, prev: prev.clone(), settled: false });
    let silent = core.list.iter().find(|member| roster.silent(&member.ip, now) > GONE_MS);
    if let (Some(silent), true) = (silent, core.list.len().is_multiple_of(2)) {
        return next(core.list.iter().filter(|member| *member != silent).cloned().collect());
    }
    let (ip, fellow) = joiner?;
    let quick = core.list.iter().filter(|member| roster.live(&member.ip, now)).count() + 1;
    if quick < ledger::majority(core.list.len() + 1) {
        return None;
    }
    let mut list = core.list.clone();
    list.push(wire::msg::Member { ip: ip.clone(), area: fellow.area.clone() });
    next(list)
}

/// Before the next change: majorities of the old and the new members know the new core, and every
/// key is committed again under it.
async fn settle(hall: &std::sync::Arc<crate::hall::Hall>, core: &wire::msg::Core) {
    let mut all: Vec<String> = core.list.iter().chain(&core.prev).map(|member| member.ip.clone()).collect();
    all.sort();
    all.dedup();
    let mut votes = hall.ask(core, wire::msg::Ask::Places, &all);
    let (mut knows, mut keys) = (Vec::new(), std::collections::BTreeSet::new());
    let enough = |list: &[wire::msg::Member], knows: &[String]| {
        list.iter().filter(|member| knows.contains(&member.ip)).count() >= ledger::majority(list.len())
    };
    let end = tokio::time::Instant::now() + std::time::Duration::from_millis(800);
    while !(enough(&core.list, &knows) && enough(&core.prev, &knows)) {
        let Ok(Some((from, vote))) = tokio::time::timeout_at(end, votes.recv()).await else { return };
        match vote {
            wire::msg::Vote::Newer { core } => return hall.adopt(&core),
            wire::msg::Vote::Places { list } => keys.extend(list.into_iter().map(|(key, _, _)| key)),
            _ => {}
        }
        knows.push(from);
    }
    keys.insert(ledger::CORE.into());
    for key in keys {
        if hall.renew(&key, 1500).await.is_none() {
            return;
        }
    }
    let stamp = core.stamp;
    let judge = |body: &[u8]| match crate::state::read_core(body) {
        Some(held) if held.stamp == stamp && !held.settled => {
            let calm = wire::msg::Core { settled: true, prev: Vec::new(), ..held };
            crate::council::Verdict::Write(crate::state::write_core(&calm), ())
        }
        _ => crate::council::Verdict::Answer(()),
    };
    let _ = hall.change(ledger::CORE, 1500, judge).await;
}

#[cfg(test)]
mod tests {
    fn core(ips: &[&str]) -> wire::msg::Core {
        let list = ips.iter().map(|ip| wire::msg::Member { ip: ip.to_string(), area: String::new() }).collect();
        wire::msg::Core { stamp: 4, list, prev: Vec::new(), settled: true }
    }

    fn roster(heard: &[(&str, u64)]) -> roster::Roster {
        let mut list = roster::Roster::new("10.0.0.1", "a", crate::hall::LIVE_MS);
        for (ip, heard) in heard {
            let fellow = roster::Fellow { heard: *heard, fit: true, ..Default::default() };
            list.hear(ip, fellow);
        }
        list
    }

    fn names(core: &wire::msg::Core) -> Vec<&str> {
        core.list.iter().map(|member| member.ip.as_str()).collect()
    }

    #[test]
    fn a_newcomer_is_added_and_then_the_one_that_is_gone_removed() {
        let list = roster(&[("10.0.0.2", 9900), ("10.0.0.3", 5000), ("10.0.0.4", 9900)]);
        let next = super::changed(&core(&["10.0.0.1", "10.0.0.2", "10.0.0.3"]), &list, 10_000).expect("added");
        assert_eq!(names(&next), ["10.0.0.1", "10.0.0.2", "10.0.0.3", "10.0.0.4"]);
        assert_eq!((next.stamp, next.settled, next.prev.len()), (5, false, 3));
        let last = super::changed(&next, &list, 10_000).expect("removed");
        assert_eq!(names(&last), ["10.0.0.1", "10.0.0.2", "10.0.0.4"]);
    }

    #[test]
    fn nobody_is_removed_without_one_too_many_and_nobody_added_without_a_majority() {
        let gone = roster(&[("10.0.0.2", 9900), ("10.0.0.3", 100)]);
        assert_eq!(super::changed(&core(&["10.0.0.1", "10.0.0.2", "10.0.0.3"]), &gone, 10_000), None);
        let few = roster(&[("10.0.0.2", 100), ("10.0.0.3", 100), ("10.0.0.4", 9900)]);
        assert_eq!(super::changed(&core(&["10.0.0.1", "10.0.0.2", "10.0.0.3"]), &few, 10_000), None);
    }
}
