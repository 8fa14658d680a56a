//! Evacuated zones, as keepers tell of them.

/// Evacuations begun or withdrawn: zone, stamp, whether it is on. Older ones than what is held change nothing.
pub fn absorb(state: &crate::state::State, list: &[(String, u64, bool)]) {
    let mut park = state.park.lock().expect("park");
    let mut held = state.news.lock().expect("news");
    for (zone, stamp, on) in list {
        if held.closed.get(zone).is_some_and(|(known, _)| known >= stamp) {
            continue;
        }
        let dense = park.area(zone);
        held.closed.insert(zone.clone(), (*stamp, *on));
        held.shut.retain(|shut| *shut != dense);
        if *on {
            held.shut.push(dense);
        }
        kernel::say!(crate::event::CLOSED, "area" => zone.clone(), "stamp" => *stamp, "on" => *on);
    }
}
