//! One request on its way: what was sent, what is open, what is held for it.

/// One request on its way. Invariants: `sends` counts arrivals that the operator counts; `seats`
/// are the engines at which it is under way; what is left open is closed on drop.
pub struct Trip {
    pub yard: std::sync::Arc<crate::yard::Yard>,
    pub errand: crate::errand::Errand,
    pub kind: crate::table::Kind,
    pub repeatable: bool,
    pub tries: u32,
    pub target_ms: u64,
    pub priority: u32,
    pub service: u32,
    pub spec: crate::table::Service,
    pub shut: Vec<u32>,
    /// The name of its route.
    pub route: String,
    /// Bound work goes on at this version only: its prompt was read, or its answer begun, with it.
    pub exact: Option<u64>,
    pub held: crate::plan::Held,
    pub sends: u32,
    pub arrived: bool,
    pub ran: bool,
    pub tried: Vec<usize>,
    pub seats: Vec<(usize, u64)>,
    pub handle: Option<crate::handle::Handle>,
}

impl Drop for Trip {
    fn drop(&mut self) {
        while let Some((at, _)) = self.seats.last().copied() {
            self.close(at);
        }
        self.free();
        let order = std::sync::atomic::Ordering::Relaxed;
        self.yard.open.fetch_sub(1, order);
        self.yard.held.fetch_sub(self.errand.body.len(), order);
    }
}

impl Trip {
    pub fn left(&self) -> u64 {
        self.errand.left(kernel::clock::now())
    }

    /// Deferrable work is the least urgent there is; the rest goes by the operator's rank where the
    /// request has halves to be ranked in.
    pub fn urgency(&self) -> Option<u32> {
        if self.errand.spare.is_some() {
            return Some(9);
        }
        (!self.errand.keys.is_empty()).then_some((4 + self.priority).min(8))
    }

    pub fn streams(&self) -> bool {
        self.kind == crate::table::Kind::Streaming
    }

    pub fn resumes(&self) -> bool {
        self.streams() && self.repeatable
    }

    /// May the request be sent to another engine once this one is found dark?
    pub fn again(&self) -> bool {
        self.repeatable && self.sends < self.tries
    }

    pub fn endpoint(&self, at: usize) -> crate::pool::Endpoint {
        let park = self.yard.park.lock().expect("park");
        crate::pool::Endpoint { addr: park.list[at].addr.clone(), engine: park.list[at].id.clone() }
    }

    /// May one more send be made that the operator counts? The first arrival draws on no budget.
    pub fn allow(&self) -> bool {
        if self.sends >= self.tries {
            return false;
        }
        if !self.arrived {
            return true;
        }
        let part = self.yard.env.bounds.budget_slack * 0.5 / f64::from(self.yard.seats());
        self.yard.budget.lock().expect("budget").allow(self.service, kernel::clock::now(), part)
    }

    pub fn view<T>(&self, look: impl FnOnce(&engines::place::View) -> T) -> T {
        let table = self.yard.table();
        let ramp = table.services.get(&self.service).map_or(0.0, |spec| spec.ramp_per_s);
        let seats = self.yard.seats();
        let weights = self.weights();
        let park = self.yard.park.lock().expect("park");
        look(&engines::place::View {
            park: &park,
            now: kernel::clock::now(),
            service: self.service,
            area: self.yard.area,
            shut: &self.shut,
            tried: &self.tried,
            seats,
            ramp: ramp * self.yard.env.bounds.ramp_overage,
            weights,
        })
    }

    /// Connections that this router may have to one engine.
    pub fn most(&self) -> usize {
        let all = if self.spec.connections == 0 { 1024 } else { self.spec.connections };
        ((f64::from(all) * 0.9) / f64::from(self.yard.seats())).max(2.0) as usize
    }

    /// Its prompt is read: only the making of tokens is left there.
    pub fn read(&mut self, at: usize) {
        let Some((_, tokens)) = self.seats.iter_mut().find(|(seat, _)| *seat == at) else { return };
        let tokens = std::mem::take(tokens);
        let mut park = self.yard.park.lock().expect("park");
        park.list[at].tokens = park.list[at].tokens.saturating_sub(tokens);
    }

    pub fn close(&mut self, at: usize) {
        let Some(place) = self.seats.iter().position(|(seat, _)| *seat == at) else { return };
        let (at, tokens) = self.seats.swap_remove(place);
        let mut park = self.yard.park.lock().expect("park");
        let stall = &mut park.list[at];
        stall.busy = stall.busy.saturating_sub(1);
        stall.tokens = stall.tokens.saturating_sub(tokens);
    }

    /// One send to one engine, with what it shows about that engine noted.
    /// `reads`: prompt tokens that the engine is to read. `again`: it may be sent elsewhere when the
    /// engine is found dark; one that answers others, or a probe, is only slow.
    pub async fn send(
        &mut self,
        at: usize,
        mut extra: crate::send::Extra,
        reads: u32,
        again: bool,
    ) -> crate::send::Outcome {
        let now = kernel::clock::now();
        let tokens = u64::from(reads);
        let weights = self.weights();
        extra.guard = weights.is_some().then(|| self.route.clone());
        let to = self.endpoint(at);
        {
            let mut park = self.yard.park.lock().expect("park");
            let stall = &mut park.list[at];
            extra.expect = weights.and_then(|(model, _, _)| stall.weight(model));
            stall.busy += 1;
            stall.tokens += tokens;
            stall.ramp.note(now);
        }
        self.seats.push((at, tokens));
        let stage = extra.stage;
        extra.budget_ms = self.errand.left(now).max(1);
        let wait = self.errand.left(now);
        let outcome = {
            let call = crate::send::send(&self.yard, &self.errand, self.service, &to, self.most(), &extra, wait);
            tokio::pin!(call);
            loop {
                let span = std::time::Duration::from_millis(crate::doubt::SIGN_MS.min(wait.max(1)));
                if let Ok(outcome) = tokio::time::timeout(span, &mut call).await {
                    break outcome;
                }
                if self.left() == 0 || (self.silent(at, now) && again) {
                    break crate::send::Outcome::Lost;
                }
            }
        };
        self.shown(at, &outcome);
        let answer = matches!(outcome, crate::send::Outcome::Answer(_));
        let unsent = matches!(outcome, crate::send::Outcome::Unsent(_));
        // The first read that an engine takes up is no arrival that counts. One without an answer
        // may never have been taken up, and counts.
        let free = answer && stage;
        self.arrived |= !unsent && !free;
        if !matches!(outcome, crate::send::Outcome::Answer(_)) {
            self.close(at);
        }
        outcome
    }

    /// Was the engine found dark since then? Raises doubt when it gave no sign of life for a while.
    pub fn silent(&self, at: usize, since: u64) -> bool {
        let now = kernel::clock::now();
        let (seen, struck) = {
            let park = self.yard.park.lock().expect("park");
            (park.list[at].good_at.max(since), park.list[at].struck_at)
        };
        if struck > seen {
            return true;
        }
        if now >= seen + crate::doubt::SIGN_MS {
            crate::doubt::raise(&self.yard, at, true);
        }
        false
    }

    /// Notes what an outcome shows about the engine.
    fn shown(&self, at: usize, outcome: &crate::send::Outcome) {
        let now = kernel::clock::now();
        let mut park = self.yard.park.lock().expect("park");
        let stall = &mut park.list[at];
        match outcome {
            crate::send::Outcome::Answer(answer) => {
                stall.good(now);
                if let Some(version) = crate::verdict::version(&answer.head.headers) {
                    stall.weigh(self.errand.model_key, Some(version));
                }
                if let Some(load) = answer.head.headers.get(wire::word::LOAD).and_then(|value| value.to_str().ok()) {
                    park.report(at, load, now);
                }
            }
            crate::send::Outcome::Other => stall.over(),
            crate::send::Outcome::Unrun => {
                stall.good(now);
                stall.full_until = now + 60;
            }
            crate::send::Outcome::Aged(version) => {
                stall.good(now);
                stall.weigh(self.errand.model_key, *version);
            }
            crate::send::Outcome::Unsent(crate::pool::Hitch::Behind) => {}
            crate::send::Outcome::Unsent(crate::pool::Hitch::Full) => stall.full_until = now + 20,
            _ => {
                drop(park);
                crate::doubt::raise(&self.yard, at, true);
            }
        }
    }
}
