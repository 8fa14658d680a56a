//! Trouble in the simulated world: falls, wipes, returns, and the reading at the end.

impl super::World {
    /// Power loss: what is not synced is gone. `wipe`: the disk too.
    pub fn fall(&mut self, at: usize, wipe: bool) {
        let now = self.now;
        let seat = &mut self.seats[at];
        seat.up = false;
        seat.wet.clear();
        (seat.helm, seat.work) = (None, None);
        seat.reads.clear();
        if wipe {
            let core = seat.disk.core.clone();
            seat.disk = crate::voter::Voter::new(&super::ip(at));
            seat.disk.core = core;
            seat.disk.able = self.hasty;
        }
        seat.born = now;
    }

    pub fn rise(&mut self, at: usize) {
        let now = self.now;
        let seat = &mut self.seats[at];
        if seat.up {
            return;
        }
        seat.up = true;
        seat.life += 1;
        seat.born = now;
        seat.turn = 0;
        seat.voter = seat.disk.clone();
    }

    /// What a majority read says at the end, with all up and whole.
    pub fn settle(&mut self) -> Vec<u8> {
        self.cut.clear();
        (0..self.seats.len()).for_each(|at| self.rise(at));
        for seat in &mut self.seats {
            (seat.helm, seat.work) = (None, None);
        }
        for _ in 0..60_000 {
            self.step();
            if let Some(helm) = &self.seats[0].helm {
                return helm.entry.body.clone();
            }
            if self.now.is_multiple_of(40) {
                self.propose(0);
            }
        }
        panic!("no reader became owner within a minute of virtual time");
    }
}
