//! The limit on stale weights, as one request meets it.

/// How often the want of fresh replicas is told, however many requests meet it.
const TELL_MS: u64 = 1000;

impl crate::trip::Trip {
    /// Of bound work: the model, and the oldest and newest version that will do. Nothing will while the lease
    /// has lapsed.
    pub fn weights(&self) -> Option<(u64, u64, u64)> {
        let now = kernel::clock::now();
        let floors = self.yard.floors.lock().expect("floors");
        let model = self.errand.model_key;
        match floors.limit(self.service, &self.errand.model, &self.route, now) {
            engines::floor::Limit::Free => None,
            engines::floor::Limit::Lapsed => Some((model, u64::MAX, 0)),
            engines::floor::Limit::From(floor) => match self.exact {
                Some(exact) if exact >= floor => Some((model, exact, exact)),
                _ => Some((model, floor, u64::MAX)),
            },
        }
    }

    /// Before a maker is chosen: memory of a version that is past the limit by now is given free, and without
    /// memory the version is not settled yet.
    pub fn match_handle(&mut self) {
        let fits = |(_, from, to): (u64, u64, u64)| self.exact.is_none_or(|exact| (from..=to).contains(&exact));
        if !self.weights().is_none_or(fits) {
            self.free();
        }
        if self.handle.is_none() && !self.ran {
            self.exact = None;
        }
    }

    /// What an engine was seen to have.
    pub fn learned(&self, at: usize, version: Option<u64>) {
        if let Some(version) = version {
            self.yard.park.lock().expect("park").list[at].weigh(self.errand.model_key, Some(version));
        }
    }

    /// No replica inside the limit: told once a second.
    pub fn few(&self) {
        let (now, order) = (kernel::clock::now(), std::sync::atomic::Ordering::Relaxed);
        let told = self.yard.few_at.load(order);
        if now >= told + TELL_MS && self.yard.few_at.compare_exchange(told, now, order, order).is_ok() {
            kernel::say!(crate::event::FEW, "route" => self.route.clone(), "model" => self.errand.model.clone());
        }
    }
}

/// A rule from a keeper; binds at once where it is tighter.
pub fn rule(yard: &crate::yard::Yard, rule: &wire::msg::Rule) {
    let service = yard.park.lock().expect("park").service(&rule.service);
    let now = kernel::clock::now();
    if yard.floors.lock().expect("floors").take(rule, service, now) {
        kernel::say!(crate::event::RULE, "service" => rule.service.clone(), "model" => rule.model.clone(),
            "stamp" => rule.stamp, "floor" => rule.floor(), "removed" => rule.removed);
    }
}

/// Weight versions of an area. Older ones of the same poller change nothing.
pub fn versions(yard: &crate::yard::Yard, list: &wire::msg::Versions) {
    {
        let mut held = yard.weights.lock().expect("weights");
        let stamp = held.entry(list.area.clone()).or_default();
        if stamp.0 == list.turn && stamp.1 >= list.count {
            return;
        }
        *stamp = (list.turn, list.count);
    }
    yard.park.lock().expect("park").weigh(&list.list);
}

/// A name and its stamp.
type Told = (String, u64);

/// The stamps of rules and versions held, to be told beside those of evacuations and sheets.
pub fn stamps(yard: &crate::yard::Yard) -> (Vec<Told>, Vec<(String, u64, u64)>) {
    let rules = yard.floors.lock().expect("floors").stamps();
    let weights = yard.weights.lock().expect("weights");
    let weights = weights.iter().map(|(area, (turn, count))| (wire::msg::hide(area), *turn, *count));
    (rules.into_iter().map(|(key, stamp)| (wire::msg::hide(&key), stamp)).collect(), weights.collect())
}
