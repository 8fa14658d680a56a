//! Replicas in virtual time. Links between zones are cut, also one way; machines lose power or their disks. The four sentences
//! of `docs/counters.md` are checked at each step and at the end.

use std::collections::{BTreeMap, BTreeSet};

use kernel::Rng;
use protocol::tally::{Origin, PackedBatch, TallyBatch, TallyEntry};

use crate::{Dot, Redundancy, ReplicaSet, TallyLog, TallyRecord, VersionVector};

/// How many zones there are, and how many replicas in each.
pub const ZONES: usize = 3;
pub const IN_ZONE: usize = 2;
const REPLICAS: usize = ZONES * IN_ZONE;
/// Virtual milliseconds from one round of exchanges to the next.
const ROUND_MS: u64 = 350;
/// What is to be borne: two disks, or a zone.
const REDUNDANCY: Redundancy = Redundancy { replicas: 3, zones: 2 };
/// What one exchange carries at most, in bytes.
const EXCHANGE_BYTES: usize = 4000;
const TALLIES: u64 = 3;
const MAX_AMOUNT: u64 = 9;

/// Faults that a wrong implementation would have. Each must be found by the checks.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Defect {
    /// As it is meant to be.
    None,
    /// Acknowledges as soon as the own disk has an entry.
    AcknowledgesAlone,
    /// Takes a key again that it knows, as an entry that counts anew.
    ForgetsKeys,
    /// Answers reads at once after a start on an empty disk.
    AnswersUninformed,
    /// Sends entries to others before the own disk has them.
    SendsBeforeSync,
    /// Takes a key again whose entry is sealed, as an entry that counts anew.
    ForgetsSealedKeys,
    /// Sends the digest of a sealed key as if it were a client's key.
    SendsDigestsAsKeys,
    /// Restores sealed chunks at a start, and loses the entries behind them.
    RestoresSealedAlone,
}

/// Entries on their way, in either form.
enum Sent {
    Text(Vec<TallyBatch>),
    Packed(Vec<PackedBatch>),
}

/// One replica: what is on its disk, and what the process knows.
struct Replica {
    disk: Vec<TallyRecord>,
    /// None: without power.
    process: Option<Process>,
}

struct Process {
    log: TallyLog,
    set: ReplicaSet,
    caught_up: bool,
    /// Its disk had nothing when it started.
    needs_informed: bool,
    /// What it acknowledged in this life.
    acknowledged: Vec<Call>,
    /// Calls that wait for an acknowledgement.
    waiting: Vec<(Call, Dot)>,
}

/// One call of a client.
#[derive(Clone, Debug)]
pub struct Call {
    tally: String,
    key: String,
    amount: u64,
}

/// The world of a run.
pub struct World {
    rng: Rng,
    now: u64,
    defect: Defect,
    replicas: Vec<Replica>,
    /// Pairs of zones of which the first does not reach the second.
    cuts: BTreeSet<(usize, usize)>,
    /// Disks lost in the fault that is going on: two at most, and none during a cut.
    lost_disks: usize,
    origins: u64,
    /// The amounts of all calls by tally and key.
    sent: BTreeMap<String, BTreeMap<String, u64>>,
    acknowledged: Vec<Call>,
    /// How many of these every replica showed at the last calm time.
    settled: usize,
    /// When the last fault ended.
    calm_since: u64,
}

fn zone_of(replica: usize) -> usize {
    replica / IN_ZONE
}

fn name(replica: usize) -> String {
    format!("r{replica}")
}

impl World {
    /// Starts all replicas on empty disks.
    pub fn new(seed: u64, defect: Defect) -> World {
        let replicas = (0..REPLICAS).map(|_| Replica { disk: Vec::new(), process: None }).collect();
        let mut world = World {
            rng: Rng::new(seed),
            now: 0,
            defect,
            replicas,
            cuts: BTreeSet::new(),
            lost_disks: 0,
            origins: 0,
            sent: BTreeMap::new(),
            acknowledged: Vec::new(),
            settled: 0,
            calm_since: 0,
        };
        for replica in 0..REPLICAS {
            // The whole system starts for the first time: nobody can know anything yet.
            world.replicas[replica].disk = vec![TallyRecord::CaughtUp];
            world.start(replica);
        }
        world
    }

    fn below(&mut self, limit: u64) -> u64 {
        self.rng.next_u64() % limit
    }

    fn start(&mut self, replica: usize) {
        let is_empty = self.replicas[replica].disk.is_empty();
        if self.defect == Defect::RestoresSealedAlone {
            self.drop_unsealed(replica);
        }
        let mut log = TallyLog::default();
        self.replicas[replica].disk.iter().cloned().for_each(|record| log.replay(record));
        if log.own_origin().is_none() {
            self.origins += 1;
            let record = TallyRecord::Origin(Origin(self.origins));
            log.replay(record.clone());
            self.replicas[replica].disk.push(record);
        }
        let mut set = ReplicaSet::new(&zone_of(replica).to_string(), REDUNDANCY, log.versions());
        for other in (0..REPLICAS).filter(|other| *other != replica) {
            set.discover(&name(other), &zone_of(other).to_string(), self.now);
        }
        let caught_up = self.defect == Defect::AnswersUninformed;
        let process =
            Process { log, set, caught_up, needs_informed: is_empty, acknowledged: Vec::new(), waiting: Vec::new() };
        self.replicas[replica].process = Some(process);
    }

    /// Leaves only sealed chunks on a disk that has some.
    fn drop_unsealed(&mut self, replica: usize) {
        let disk = &mut self.replicas[replica].disk;
        if disk.iter().any(|record| matches!(record, TallyRecord::Sealed(_))) {
            disk.retain(|record| !matches!(record, TallyRecord::Batch(_) | TallyRecord::Packed(_)));
        }
    }

    /// A replica seals what it can, and rewrites its disk as a snapshot in one of two cases.
    pub fn seal(&mut self) {
        let replica = self.below(REPLICAS as u64) as usize;
        let is_rewritten = self.below(2) == 0;
        let Replica { disk, process } = &mut self.replicas[replica];
        let Some(process) = process else { return };
        let durable = process.set.own_durable().clone();
        disk.extend(process.log.seal(&durable, usize::MAX).into_iter().map(TallyRecord::Sealed));
        if is_rewritten {
            *disk = process.log.snapshot();
        }
    }

    fn reaches(&self, from: usize, to: usize) -> bool {
        !self.cuts.contains(&(zone_of(from), zone_of(to)))
    }

    /// A client calls a replica; one in three sends a key that was sent before.
    pub fn call(&mut self) {
        let replica = self.below(REPLICAS as u64) as usize;
        let tally = format!("t{}", self.below(TALLIES));
        let fresh = format!("k{}", self.sent.values().map(BTreeMap::len).sum::<usize>());
        let known = self.sent.get(&tally).map_or(0, BTreeMap::len) as u64;
        let is_repeat = known > 0 && self.below(3) == 0;
        let place = self.below(known.max(1)) as usize;
        let keys = self.sent.entry(tally.clone()).or_default();
        let key = if is_repeat { keys.keys().nth(place).cloned().unwrap_or(fresh) } else { fresh };
        let drawn = self.rng.next_u64() % MAX_AMOUNT;
        let amount = *keys.entry(key.clone()).or_insert(drawn);
        self.add(replica, Call { tally, key, amount });
    }

    fn add(&mut self, replica: usize, call: Call) {
        let defect = self.defect;
        let Replica { disk, process } = &mut self.replicas[replica];
        let Some(process) = process.as_mut().filter(|process| process.caught_up) else { return };
        let is_forgotten = |dot: &Dot| match defect {
            Defect::ForgetsKeys => true,
            Defect::ForgetsSealedKeys => process.log.is_sealed(*dot),
            _ => false,
        };
        let found = process.log.find(&call.tally, &call.key);
        let known = found.filter(|dot| !is_forgotten(dot));
        let dot = known.unwrap_or_else(|| {
            let counted = if found.is_some() { format!("{}#{}", call.key, disk.len()) } else { call.key.clone() };
            let entry = TallyEntry { tally: call.tally.clone(), instance_id: counted, amount: call.amount };
            let dot = process.log.append(entry.clone());
            let batch = TallyBatch { origin: dot.origin, start: dot.sequence, entries: vec![entry] };
            disk.push(TallyRecord::Batch(batch));
            process.set.record_own(&process.log.versions());
            dot
        });
        process.waiting.push((call, dot));
        self.settle(replica);
    }

    /// All replicas call all others once, and acknowledge what may be.
    pub fn round(&mut self) {
        for from in 0..REPLICAS {
            for to in (0..REPLICAS).filter(|to| *to != from) {
                self.exchange(from, to);
            }
        }
        self.now += ROUND_MS;
        for replica in 0..REPLICAS {
            self.settle(replica);
        }
    }

    fn exchange(&mut self, from: usize, to: usize) {
        if !self.reaches(from, to) {
            return;
        }
        let Some(sender) = &self.replicas[from].process else { return };
        let known = sender.set.durable_at(&name(to)).cloned();
        let durable = sender.set.own_durable().clone();
        let is_packed = self.rng.next_u64().is_multiple_of(2);
        let sent = match known {
            None => Sent::Text(Vec::new()),
            Some(known) if is_packed => {
                Sent::Packed(sender.log.missing_packed_at(&known, &durable, |_| true, EXCHANGE_BYTES))
            }
            Some(known) => Sent::Text(sender.log.missing_at(&known, &durable, |_| true, EXCHANGE_BYTES)),
        };
        let Some(answer) = self.receive(to, sent) else { return };
        if !self.reaches(to, from) {
            return;
        }
        let now = self.now;
        if let Some(sender) = &mut self.replicas[from].process {
            sender.set.record_answer(&name(to), answer.0, answer.1, now);
        }
    }

    fn receive(&mut self, to: usize, sent: Sent) -> Option<(VersionVector, bool)> {
        let defect = self.defect;
        let Replica { disk, process } = &mut self.replicas[to];
        let process = process.as_mut()?;
        match sent {
            Sent::Text(mut batches) => {
                if defect == Defect::SendsDigestsAsKeys {
                    strip_digest_marks(&mut batches);
                }
                disk.extend(batches.iter().filter_map(|batch| process.log.apply(batch)).map(TallyRecord::Batch));
            }
            Sent::Packed(batches) => {
                let new = batches.iter().filter_map(|batch| process.log.apply_packed(batch));
                disk.extend(new.map(|batch| TallyRecord::Packed(Box::new(batch))));
            }
        }
        process.set.record_own(&process.log.versions());
        Some((process.set.own_durable().clone(), process.caught_up))
    }

    fn settle(&mut self, replica: usize) {
        let (now, defect) = (self.now, self.defect);
        let Replica { disk, process } = &mut self.replicas[replica];
        let Some(process) = process else { return };
        if !process.caught_up && process.set.has_caught_up(process.needs_informed, now) {
            process.caught_up = true;
            disk.push(TallyRecord::CaughtUp);
        }
        let is_due = |dot: &Dot| process.set.is_durable(*dot, now) || defect == Defect::AcknowledgesAlone;
        let (done, waiting) = process.waiting.drain(..).partition(|(_, dot)| is_due(dot));
        process.waiting = waiting;
        let done: Vec<Call> = Vec::from_iter::<Vec<(Call, Dot)>>(done).into_iter().map(|(call, _)| call).collect();
        process.acknowledged.extend(done.iter().cloned());
        self.acknowledged.extend(done);
    }
}

fn strip_digest_marks(batches: &mut [TallyBatch]) {
    for entry in batches.iter_mut().flat_map(|batch| &mut batch.entries) {
        entry.instance_id = entry.instance_id.trim_start_matches('/').into();
    }
}

/// Faults.
impl World {
    /// Cuts a zone off, or two zones from each other, or one way. Inside a cut further ones may come.
    pub fn cut(&mut self) {
        let (one, other) = (self.below(ZONES as u64) as usize, self.below(ZONES as u64) as usize);
        match self.below(3) {
            0 => (0..ZONES).filter(|zone| *zone != one).for_each(|zone| {
                self.cuts.insert((one, zone));
                self.cuts.insert((zone, one));
            }),
            1 if one != other => {
                self.cuts.insert((one, other));
                self.cuts.insert((other, one));
            }
            _ if one != other => {
                self.cuts.insert((one, other));
            }
            _ => {}
        }
    }

    /// Heals all cuts.
    pub fn heal(&mut self) {
        self.cuts.clear();
        self.calm_since = self.now;
    }

    /// Power goes at some replicas, and with `lose_disks` two lose their disks, or all of a zone.
    pub fn lose(&mut self, lose_disks: bool) {
        let is_zone = self.below(3) == 0;
        let first = self.below(REPLICAS as u64) as usize;
        let second = (first + 1 + self.below(REPLICAS as u64 - 1) as usize) % REPLICAS;
        let is_all = self.below(3) == 0;
        for replica in 0..REPLICAS {
            let is_hit = if is_zone { zone_of(replica) == zone_of(first) } else { [first, second].contains(&replica) };
            if is_hit || is_all {
                self.cut_power(replica);
            }
            // A disk is lost only outside cuts, where nothing acknowledged may go with it.
            if is_hit && lose_disks && self.cuts.is_empty() && self.is_calm() {
                self.replicas[replica].disk.clear();
                self.lost_disks += 1;
            }
        }
    }

    fn cut_power(&mut self, replica: usize) {
        let Replica { disk, process } = &mut self.replicas[replica];
        if process.take().is_some() && self.defect == Defect::SendsBeforeSync {
            // The newest record was not on disk yet, though others have it.
            let is_batch = matches!(disk.last(), Some(TallyRecord::Batch(_)));
            disk.truncate(disk.len() - usize::from(is_batch));
        }
    }

    /// Gives all machines power again.
    pub fn restore(&mut self) {
        for replica in 0..REPLICAS {
            if self.replicas[replica].process.is_none() {
                self.start(replica);
            }
        }
        self.lost_disks = 0;
        self.calm_since = self.now;
    }

    fn is_calm(&self) -> bool {
        self.lost_disks == 0 && self.now > self.calm_since + 10 * ROUND_MS
    }
}

/// Checks.
impl World {
    fn totals_of(&self, calls: &[Call]) -> BTreeMap<String, u128> {
        let mut keys: BTreeMap<&str, BTreeMap<&str, u64>> = BTreeMap::new();
        for call in calls {
            keys.entry(&call.tally).or_default().insert(&call.key, call.amount);
        }
        keys.into_iter()
            .map(|(tally, keys)| (tally.into(), keys.values().map(|amount| u128::from(*amount)).sum()))
            .collect()
    }

    /// No read shows more than was sent, or less than what the same process acknowledged or all showed once.
    ///
    /// # Errors
    ///
    /// What was read and what it had to be.
    pub fn check(&self) -> Result<(), String> {
        for (index, replica) in self.replicas.iter().enumerate() {
            let Some(process) = replica.process.as_ref().filter(|process| process.caught_up) else { continue };
            let known = [&process.acknowledged, &self.acknowledged[..self.settled]].concat();
            let own = self.totals_of(&known);
            for (tally, keys) in &self.sent {
                let most: u128 = keys.values().map(|amount| u128::from(*amount)).sum();
                let least = own.get(tally).copied().unwrap_or(0);
                let total = process.log.total(tally);
                if total > most || total < least {
                    return Err(format!("{} reads {total} of {tally}, must be {least} to {most}", name(index)));
                }
            }
        }
        Ok(())
    }

    /// After calm rounds every replica answers, and shows at least all that was acknowledged anywhere.
    ///
    /// # Errors
    ///
    /// What was read and what it had to be.
    pub fn check_calm(&mut self) -> Result<(), String> {
        self.check()?;
        let all = self.totals_of(&self.acknowledged);
        for (index, replica) in self.replicas.iter().enumerate() {
            let Some(process) = &replica.process else { continue };
            if !process.caught_up {
                return Err(format!("{} does not answer", name(index)));
            }
            for (tally, least) in &all {
                let total = process.log.total(tally);
                if total < *least {
                    return Err(format!("{} reads {total} of {tally}, {least} were acknowledged", name(index)));
                }
            }
        }
        self.settled = self.acknowledged.len();
        Ok(())
    }

    /// Returns how many calls were acknowledged.
    pub fn acknowledged(&self) -> usize {
        self.acknowledged.len()
    }
}
