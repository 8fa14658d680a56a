//! Who is there: leases of keepers and routers, and the order in which duties fall to them. Pure:
//! time comes in with every call.

pub mod duty;

#[derive(Clone, Debug, Default)]
pub struct Fellow {
    pub area: String,
    pub life: u64,
    pub heard: u64,
    pub fit: bool,
    pub seats: u32,
    /// The newest version of messages and bodies that it reads.
    pub reads: u64,
    /// It said that its process is about to end.
    pub leaving: bool,
    /// Requests of its routers under way, by engine.
    pub busy: Vec<(String, u32)>,
    pub resting: Vec<(String, u64)>,
    /// Where clients reach its routers.
    pub doors: Vec<String>,
}

/// A router's lease, with what it told when it renewed it.
#[derive(Clone, Debug, Default)]
pub struct Seat {
    pub until: u64,
    pub busy: Vec<(String, u32)>,
    pub door: String,
}

/// Invariants: `heard` never goes back; a fellow is live while it was heard within `span` ms; a
/// router holds its lease while `until` lies ahead.
#[derive(Clone, Debug, Default)]
pub struct Roster {
    pub me: String,
    pub area: String,
    pub span: u64,
    pub keepers: std::collections::BTreeMap<String, Fellow>,
    pub routers: std::collections::BTreeMap<String, Seat>,
    /// Engines about to change their part, by own order, and until when.
    pub resting: Vec<(String, u64)>,
}

impl Roster {
    pub fn new(me: &str, area: &str, span: u64) -> Self {
        Roster { me: me.into(), area: area.into(), span, ..Roster::default() }
    }

    pub fn hear(&mut self, ip: &str, fellow: Fellow) {
        let held = self.keepers.get(ip).map_or(0, |held| held.heard);
        let heard = held.max(fellow.heard);
        self.keepers.insert(ip.into(), Fellow { heard, ..fellow });
    }

    pub fn lease(&mut self, router: &str, until: u64, busy: Vec<(String, u32)>, door: String) {
        let held = self.routers.get(router).map_or(0, |held| held.until);
        self.routers.insert(router.into(), Seat { until: until.max(held), busy, door });
    }

    pub fn own_doors(&self) -> Vec<String> {
        self.routers.values().map(|seat| seat.door.clone()).filter(|door| !door.is_empty()).collect()
    }

    /// A router to send to, in turn: own ones first, as they are near.
    pub fn door(&self, now: u64, turn: usize) -> Option<String> {
        let mut list = self.own_doors();
        if list.is_empty() {
            let live = self.keepers.values().filter(|fellow| now < fellow.heard + self.span);
            list = live.flat_map(|fellow| fellow.doors.clone()).collect();
        }
        let at = turn.checked_rem(list.len())?;
        Some(list.swap_remove(at))
    }

    /// Requests under way at each engine, from the routers that hold a lease here.
    pub fn own_pressure(&self) -> Vec<(String, u32)> {
        let mut sum: std::collections::BTreeMap<&str, u32> = Default::default();
        for (id, busy) in self.routers.values().flat_map(|seat| &seat.busy) {
            *sum.entry(id).or_default() += busy;
        }
        sum.into_iter().map(|(id, busy)| (id.to_string(), busy)).collect()
    }

    /// The same from all routers.
    pub fn pressure(&self, now: u64) -> std::collections::HashMap<String, u32> {
        let mut sum: std::collections::HashMap<String, u32> = self.own_pressure().into_iter().collect();
        let live = self.keepers.values().filter(|fellow| now < fellow.heard + self.span);
        for (id, busy) in live.flat_map(|fellow| &fellow.busy) {
            *sum.entry(id.clone()).or_default() += busy;
        }
        sum
    }

    pub fn own_resting(&self, now: u64) -> Vec<String> {
        self.resting.iter().filter(|(_, until)| *until > now).map(|(id, _)| id.clone()).collect()
    }

    pub fn resting(&self, now: u64) -> Vec<String> {
        let mut list = self.own_resting(now);
        let far = self.keepers.values().flat_map(|fellow| &fellow.resting);
        list.extend(far.filter(|(_, until)| *until > now).map(|(id, _)| id.clone()));
        list
    }

    pub fn sweep(&mut self, now: u64) {
        self.routers.retain(|_, seat| seat.until > now);
    }

    pub fn live(&self, ip: &str, now: u64) -> bool {
        ip == self.me || self.keepers.get(ip).is_some_and(|fellow| now < fellow.heard + self.span)
    }

    /// How long a fellow has been silent; never heard counts as for ever.
    pub fn silent(&self, ip: &str, now: u64) -> u64 {
        if ip == self.me {
            return 0;
        }
        self.keepers.get(ip).map_or(u64::MAX, |fellow| now.saturating_sub(fellow.heard))
    }

    pub fn area_of(&self, ip: &str) -> &str {
        if ip == self.me {
            return &self.area;
        }
        self.keepers.get(ip).map_or("", |fellow| fellow.area.as_str())
    }

    pub fn seats(&self, now: u64) -> u32 {
        let far = self.keepers.values().filter(|fellow| now < fellow.heard + 2 * self.span);
        self.routers.values().filter(|seat| seat.until > now).count() as u32
            + far.map(|fellow| fellow.seats).sum::<u32>()
    }

    /// The agreed order of keepers for a duty bound to an area: that area's own first, the rest by
    /// a hash of duty and address, so that duties spread.
    pub fn order(&self, area: &str, duty: &str) -> Vec<String> {
        let mut list: Vec<String> = self.keepers.keys().cloned().collect();
        if !list.contains(&self.me) {
            list.push(self.me.clone());
        }
        list.sort_by_key(|ip| {
            let far = self.area_of(ip) != area;
            (far, kernel::clock::blend(kernel::clock::hash(duty.as_bytes()), kernel::clock::hash(ip.as_bytes())))
        });
        list
    }

    /// The first live one in the order.
    pub fn holder(&self, area: &str, duty: &str, now: u64) -> String {
        let order = self.order(area, duty);
        order.into_iter().find(|ip| self.live(ip, now)).unwrap_or_else(|| self.me.clone())
    }
}

#[cfg(test)]
mod tests {
    fn fellow(area: &str, heard: u64) -> super::Fellow {
        super::Fellow {
            area: area.into(),
            life: 1,
            heard,
            fit: true,
            seats: 3,
            busy: vec![("i-1".into(), 2)],
            ..Default::default()
        }
    }

    #[test]
    fn own_area_holds_and_the_next_takes_over_when_it_is_silent() {
        let mut list = super::Roster::new("10.0.0.1", "a", 1000);
        list.hear("10.0.0.2", fellow("b", 100));
        assert_eq!(list.holder("b", "list", 1000), "10.0.0.2");
        assert_eq!(list.holder("b", "list", 1100), "10.0.0.1");
        assert_eq!(list.holder("a", "list", 1000), "10.0.0.1");
    }

    #[test]
    fn all_keepers_agree_on_an_order() {
        let mut one = super::Roster::new("10.0.0.1", "a", 1000);
        let mut two = super::Roster::new("10.0.0.2", "b", 1000);
        one.hear("10.0.0.2", fellow("b", 1));
        two.hear("10.0.0.1", fellow("a", 1));
        for duty in ["x", "y", "z"] {
            assert_eq!(one.order("c", duty), two.order("c", duty));
        }
    }

    #[test]
    fn seats_count_own_leases_and_those_of_fellows() {
        let mut list = super::Roster::new("10.0.0.1", "a", 1000);
        list.hear("10.0.0.2", fellow("b", 100));
        list.lease("edge-1", 500, vec![("i-1".into(), 5)], "10.0.0.9:80".into());
        assert_eq!(list.door(400, 7).as_deref(), Some("10.0.0.9:80"));
        assert_eq!(list.pressure(400).get("i-1"), Some(&7));
        assert_eq!(list.seats(400), 4);
        assert_eq!(list.seats(600), 3);
        list.hear("10.0.0.2", fellow("b", 50));
        assert!(list.live("10.0.0.2", 1099), "what was heard never goes back");
    }
}
