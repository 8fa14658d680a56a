//! The list of engines as the pollers saw it, a sheet an area.

const SEAT_BITS: u32 = 20;

/// Invariant: the stamp (turn, count) of an area's sheet never goes back.
#[derive(Default)]
pub struct Sheets {
    list: std::collections::BTreeMap<String, wire::msg::Sheet>,
    /// Turns that others were told of: the next own poll goes above them.
    floor: std::collections::BTreeMap<String, u64>,
}

impl Sheets {
    /// True when the sheet is newer than what was held.
    pub fn take(&mut self, sheet: &wire::msg::Sheet) -> bool {
        let held = self.list.get(&sheet.area).map(|held| (held.turn, held.count));
        if held >= Some((sheet.turn, sheet.count)) {
            return false;
        }
        self.list.insert(sheet.area.clone(), sheet.clone());
        true
    }

    /// What a poller saw. `turn` is its own while nobody else polled this area since; else it goes
    /// above what is held. The low bits are the poller's seat, so that no two share a turn. Gives
    /// the new sheet when something changed.
    pub fn poll(
        &mut self,
        area: &str,
        turn: &mut u64,
        seat: u64,
        list: Vec<wire::msg::Engine>,
    ) -> Option<wire::msg::Sheet> {
        let held = self.list.get(area);
        let floor = self.floor.get(area).copied().unwrap_or(0);
        let top = held.map_or(0, |held| held.turn).max(floor);
        if *turn == 0 || *turn != top {
            *turn = ((top >> SEAT_BITS) + 1) << SEAT_BITS | (seat & ((1 << SEAT_BITS) - 1));
        }
        let same = held.is_some_and(|held| held.turn == *turn && alike(&held.list, &list));
        if same {
            return None;
        }
        let count = held.filter(|held| held.turn == *turn).map_or(1, |held| held.count + 1);
        let sheet = wire::msg::Sheet { area: area.into(), turn: *turn, count, list };
        self.list.insert(area.into(), sheet.clone());
        Some(sheet)
    }

    pub fn all(&self) -> impl Iterator<Item = &wire::msg::Sheet> {
        self.list.values()
    }

    /// Those that are newer than the stamps told.
    pub fn newer(&self, told: &[(String, u64, u64)]) -> Vec<wire::msg::Sheet> {
        let stamp = |area: &str| told.iter().find(|item| item.0 == area).map(|item| (item.1, item.2));
        self.list.values().filter(|held| Some((held.turn, held.count)) > stamp(&held.area)).cloned().collect()
    }

    pub fn stamps(&self) -> Vec<(String, u64, u64)> {
        self.list.values().map(|sheet| (sheet.area.clone(), sheet.turn, sheet.count)).collect()
    }

    /// Someone holds lists of these turns: routers outlive the keepers that made them.
    pub fn raise(&mut self, told: &[(String, u64, u64)]) {
        for (area, turn, _) in told.iter().filter(|item| !wire::msg::hidden(&item.0)) {
            let floor = self.floor.entry(area.clone()).or_default();
            *floor = (*floor).max(*turn);
        }
    }

    pub fn floors(&self) -> Vec<(String, u64, u64)> {
        self.floor.iter().map(|(area, turn)| (area.clone(), *turn, 0)).collect()
    }
}

/// The same but for the running down of what is left of a cold time.
fn alike(left: &[wire::msg::Engine], right: &[wire::msg::Engine]) -> bool {
    let plain =
        |engine: &wire::msg::Engine| wire::msg::Engine { cold_ms: u32::from(engine.cold_ms > 0), ..engine.clone() };
    left.len() == right.len() && left.iter().zip(right).all(|(one, two)| plain(one) == plain(two))
}

#[cfg(test)]
mod tests {
    fn engine(id: &str, cold_ms: u32) -> wire::msg::Engine {
        wire::msg::Engine {
            id: id.into(),
            service: "s".into(),
            addr: "10.1.1.1:80".into(),
            area: "a".into(),
            phase: "decode".into(),
            model: String::new(),
            slots: 1,
            up: true,
            cold_ms,
        }
    }

    #[test]
    fn a_successor_goes_above_and_the_first_never_goes_back() {
        let (mut one, mut two) = (super::Sheets::default(), super::Sheets::default());
        let mut turn = 0;
        let first = one.poll("a", &mut turn, 1, vec![engine("i-1", 0)]).expect("new");
        assert!(two.take(&first) && !two.take(&first));
        let mut other = 0;
        let second = two.poll("a", &mut other, 2, vec![]).expect("new");
        assert!((second.turn, second.count) > (first.turn, first.count));
        assert!(one.take(&second));
        let third = one.poll("a", &mut turn, 1, vec![engine("i-1", 0)]).expect("new");
        assert!((third.turn, third.count) > (second.turn, second.count));
    }

    #[test]
    fn one_that_starts_anew_goes_above_what_it_made_before() {
        let (mut old, mut far) = (super::Sheets::default(), super::Sheets::default());
        let mut turn = 0;
        for count in 0..4 {
            far.take(&old.poll("a", &mut turn, 1, vec![engine(&format!("i-{count}"), 0)]).expect("new"));
        }
        // A restart: nothing held, no turn. The fellow sends what is newer before the next poll counts.
        let (mut new, mut again) = (super::Sheets::default(), 0);
        let lost = new.poll("a", &mut again, 1, vec![]).expect("new");
        assert!(!far.take(&lost));
        for sheet in far.newer(&new.stamps()) {
            assert!(new.take(&sheet));
        }
        let next = new.poll("a", &mut again, 1, vec![]).expect("new");
        assert!(far.take(&next) && far.newer(&new.stamps()).is_empty());
    }

    #[test]
    fn a_poller_goes_above_what_a_router_kept_from_before_all_keepers_fell() {
        let (mut old, mut router) = (super::Sheets::default(), super::Sheets::default());
        let mut turn = 0;
        router.take(&old.poll("a", &mut turn, 9, vec![engine("i-1", 0)]).expect("new"));
        let (mut new, mut again) = (super::Sheets::default(), 0);
        assert!(!router.take(&new.poll("a", &mut again, 1, vec![]).expect("new")));
        new.raise(&router.stamps());
        assert!(router.take(&new.poll("a", &mut again, 1, vec![]).expect("new")));
    }

    #[test]
    fn only_a_change_makes_a_sheet() {
        let mut list = super::Sheets::default();
        let mut turn = 0;
        assert!(list.poll("a", &mut turn, 1, vec![engine("i-1", 900)]).is_some());
        assert!(list.poll("a", &mut turn, 1, vec![engine("i-1", 400)]).is_none());
        assert!(list.poll("a", &mut turn, 1, vec![engine("i-1", 0)]).is_some());
    }
}
