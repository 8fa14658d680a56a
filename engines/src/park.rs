//! The engines a router knows, by dense index, with what sending to them has shown.

/// Invariants: an index is never given to another `id`; `busy` counts sends whose outcome is open;
/// nothing is sent to one that is not `up` and `here`.
#[derive(Clone, Debug)]
pub struct Stall {
    pub id: String,
    pub service: u32,
    pub addr: String,
    pub area: u32,
    pub prefill: bool,
    pub decode: bool,
    pub slots: u32,
    pub up: bool,
    pub here: bool,
    /// Its address belongs to another now, whatever the list says.
    pub dead: bool,
    pub cold_until: u64,
    pub ramp: crate::budget::Ramp,
    /// Own sends under way, and the prompt tokens that they have it read.
    pub busy: u32,
    pub tokens: u64,
    /// When it last answered anything.
    pub good_at: u64,
    /// Requests running and waiting, as last reported, when, and the own share of it then.
    pub load: (u32, u32),
    pub load_at: u64,
    pub load_busy: u32,
    /// Failures without an answer, in a row; it is left alone until `shy_until`.
    pub strikes: u32,
    pub shy_until: u64,
    /// When it was last found silent, and whether it is being asked just now.
    pub struck_at: u64,
    pub asked: bool,
    pub full_until: u64,
    /// About to change its part: nothing new until then.
    pub rest_until: u64,
}

#[derive(Default)]
pub struct Park {
    pub list: Vec<Stall>,
    index: std::collections::HashMap<String, usize>,
    services: std::collections::HashMap<String, u32>,
    areas: std::collections::HashMap<String, u32>,
    /// By area: its region. An area that is not named is a region of its own.
    regions: std::collections::HashMap<u32, String>,
    sheets: crate::sheet::Sheets,
    /// By service: the prompt tokens that a read takes on average, as sent from here.
    reads: std::collections::HashMap<u32, f64>,
}

fn dense(map: &mut std::collections::HashMap<String, u32>, name: &str) -> u32 {
    let next = map.len() as u32;
    *map.entry(name.to_string()).or_insert(next)
}

impl Park {
    pub fn service(&mut self, name: &str) -> u32 {
        dense(&mut self.services, name)
    }

    pub fn area(&mut self, name: &str) -> u32 {
        dense(&mut self.areas, name)
    }

    pub fn region(&mut self, area: &str, region: &str) {
        let area = self.area(area);
        self.regions.insert(area, region.into());
    }

    /// 0: the same area; 1: the same region; 2: another region.
    pub fn distance(&self, one: u32, two: u32) -> usize {
        if one == two {
            return 0;
        }
        let near = self.regions.get(&one).is_some_and(|region| self.regions.get(&two) == Some(region));
        2 - usize::from(near)
    }

    pub fn find(&self, id: &str) -> Option<usize> {
        self.index.get(id).copied()
    }

    pub fn rest(&mut self, ids: &[String], until: u64) {
        for id in ids {
            if let Some(at) = self.find(id) {
                self.list[at].rest_until = until;
            }
        }
    }

    pub fn note_read(&mut self, service: u32, tokens: u32) {
        let mean = self.reads.entry(service).or_insert(f64::from(tokens));
        *mean += (f64::from(tokens) - *mean) * 0.05;
    }

    pub fn mean_read(&self, service: u32) -> f64 {
        self.reads.get(&service).copied().unwrap_or(0.0)
    }

    pub fn stamps(&self) -> Vec<(String, u64, u64)> {
        self.sheets.stamps()
    }

    /// Takes a sheet; gives the ids of engines that just left or began to drain.
    pub fn take(&mut self, sheet: &wire::msg::Sheet, now: u64) -> Vec<String> {
        if !self.sheets.take(sheet) {
            return Vec::new();
        }
        let area = self.area(&sheet.area);
        let mut left = Vec::new();
        let named: std::collections::HashSet<&str> = sheet.list.iter().map(|engine| engine.id.as_str()).collect();
        for stall in self.list.iter_mut().filter(|stall| stall.area == area && stall.here) {
            if !named.contains(stall.id.as_str()) {
                stall.here = false;
                left.push(stall.id.clone());
            }
        }
        for engine in &sheet.list {
            let service = self.service(&engine.service);
            let at = match self.index.get(&engine.id) {
                Some(at) => *at,
                None => self.add(engine, service, area),
            };
            let stall = &mut self.list[at];
            if stall.up && !engine.up {
                left.push(stall.id.clone());
            }
            stall.here = !stall.dead;
            stall.up = engine.up;
            stall.addr.clone_from(&engine.addr);
            stall.prefill = engine.phase != "decode";
            stall.decode = engine.phase != "prefill";
            stall.slots = engine.slots.max(1);
            if engine.cold_ms > 0 {
                stall.cold_until = stall.cold_until.max(now + u64::from(engine.cold_ms));
            }
        }
        left
    }

    fn add(&mut self, engine: &wire::msg::Engine, service: u32, area: u32) -> usize {
        let at = self.list.len();
        self.list.push(Stall {
            id: engine.id.clone(),
            service,
            addr: engine.addr.clone(),
            area,
            prefill: false,
            decode: false,
            slots: 1,
            up: false,
            here: true,
            dead: false,
            cold_until: 0,
            ramp: Default::default(),
            busy: 0,
            tokens: 0,
            good_at: 0,
            load: (0, 0),
            load_at: 0,
            load_busy: 0,
            strikes: 0,
            struck_at: 0,
            asked: false,
            shy_until: 0,
            full_until: 0,
            rest_until: 0,
        });
        self.index.insert(engine.id.clone(), at);
        at
    }
}

impl Stall {
    /// Requests at the engine, as far as can be known here: the last report, moved on by own sends.
    pub fn pressure(&self, now: u64, seats: u32) -> f64 {
        let own = f64::from(self.busy);
        if self.load_at == 0 || now > self.load_at + 3000 {
            return own * f64::from(seats.max(1)).sqrt();
        }
        let told = f64::from(self.load.0 + self.load.1);
        (told + own - f64::from(self.load_busy)).max(own)
    }

    /// `Server-Load`: running, waiting, slots.
    pub fn report(&mut self, text: &str, now: u64) {
        let mut numbers = text.split(',').map(|piece| piece.trim().parse::<u32>());
        let (Some(Ok(run)), Some(Ok(wait))) = (numbers.next(), numbers.next()) else { return };
        self.load = (run, wait);
        self.load_at = now;
        self.load_busy = self.busy;
    }

    pub fn good(&mut self, now: u64) {
        self.good_at = now;
        self.strikes = 0;
        self.shy_until = 0;
    }

    /// It says that it is not the engine meant: this life of it is over, and no id comes back.
    pub fn over(&mut self) {
        self.here = false;
        self.dead = true;
    }

    /// No answer: left alone for so long, unless it answers before.
    pub fn strike(&mut self, now: u64, shy_ms: u64) {
        self.strikes += 1;
        self.struck_at = now;
        self.shy_until = now + shy_ms;
    }
}

#[cfg(test)]
#[path = "park_tests.rs"]
mod tests;
