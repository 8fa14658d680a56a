//! A simulation of replicas in virtual time. Links between zones are cut, also in one direction only; machines lose
//! power or their disks. The four guarantees of `docs/counters.md` are checked after each round and at the end.

use std::collections::{BTreeMap, BTreeSet};

use kernel::Rng;
use protocol::tally::{Origin, PackedBatch, TallyBatch, TallyEntry};

use crate::{Dot, Redundancy, ReplicaSet, TallyLog, TallyRecord, VersionVector};

/// Number of zones.
pub const ZONES: usize = 3;
/// Number of replicas in each zone.
pub const REPLICAS_PER_ZONE: usize = 2;
const REPLICAS: usize = ZONES * REPLICAS_PER_ZONE;
/// Interval between two rounds of exchanges, in virtual milliseconds.
const ROUND_MS: u64 = 350;
/// Tolerates the loss of two disks or of one zone.
const REDUNDANCY: Redundancy = Redundancy { replicas: 3, zones: 2 };
/// Maximum size of the entries in one exchange, in bytes.
const EXCHANGE_BYTES: usize = 4000;
/// Number of tallies.
const TALLIES: u64 = 3;
/// Exclusive upper bound of the amount of a call.
const AMOUNT_BOUND: u64 = 9;

/// Defects that an implementation could have. The checks must detect each of them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Defect {
    /// A correct implementation.
    None,
    /// Acknowledges an entry as soon as it is on the own disk.
    AcknowledgesWithoutReplication,
    /// Accepts a known key again and counts it twice.
    ForgetsKeys,
    /// Answers reads immediately after a start with an empty disk.
    AnswersBeforeCatchingUp,
    /// Sends entries to other replicas before they are on the own disk.
    SendsBeforeSync,
    /// Accepts the key of a sealed entry again and counts it twice.
    ForgetsSealedKeys,
    /// Sends the digest of a sealed key as if it were a client's key.
    SendsDigestsAsKeys,
    /// Restores only sealed chunks at a start, and loses the entries after them.
    RestoresOnlySealed,
    /// Takes every silence of other replicas for a network partition, whatever other processes answer.
    TakesSilenceForPartition,
    /// Takes only those for replicas that have answered since the start of the process.
    ForgetsSilentMembers,
}

/// The entries of one exchange, in either form.
enum SentEntries {
    Text(Vec<TallyBatch>),
    Packed(Vec<PackedBatch>),
}

/// One replica: its disk and its process.
struct Replica {
    disk: Vec<TallyRecord>,
    /// `None` without power.
    process: Option<Process>,
}

struct Process {
    log: TallyLog,
    set: ReplicaSet,
    caught_up: bool,
    /// Whether it has not caught up since its disk was empty.
    needs_caught_up_peer: bool,
    /// The calls that it has acknowledged since it started.
    acknowledged: Vec<Call>,
    /// Calls that are not yet acknowledged, with the positions of their entries.
    waiting: Vec<(Call, Dot)>,
}

/// A client's call that adds an amount.
#[derive(Clone, Debug)]
pub struct Call {
    tally: String,
    key: String,
    amount: u64,
}

/// The state of one simulated run.
pub struct Simulation {
    rng: Rng,
    now: u64,
    defect: Defect,
    replicas: Vec<Replica>,
    /// Pairs of zones of which the first can't send to the second.
    cuts: BTreeSet<(usize, usize)>,
    /// Disks lost since power was last restored: at most two, and none while links are cut.
    lost_disks: usize,
    /// Number of origins assigned so far.
    origins: u64,
    /// The amounts of all calls by tally and key.
    submitted: BTreeMap<String, BTreeMap<String, u64>>,
    acknowledged: Vec<Call>,
    /// How many of these every replica had counted at the last [`check_converged`](Self::check_converged).
    converged: usize,
    /// When links or power were last restored.
    restored_at: u64,
}

fn zone_of(replica: usize) -> usize {
    replica / REPLICAS_PER_ZONE
}

fn name(replica: usize) -> String {
    format!("r{replica}")
}

impl Simulation {
    /// Starts all replicas on empty disks.
    pub fn new(seed: u64, defect: Defect) -> Simulation {
        let replicas = (0..REPLICAS).map(|_| Replica { disk: Vec::new(), process: None }).collect();
        let mut simulation = Simulation {
            rng: Rng::new(seed),
            now: 0,
            defect,
            replicas,
            cuts: BTreeSet::new(),
            lost_disks: 0,
            origins: 0,
            submitted: BTreeMap::new(),
            acknowledged: Vec::new(),
            converged: 0,
            restored_at: 0,
        };
        for replica in 0..REPLICAS {
            // No replica of a new system can have entries, so that all of them count as caught up.
            simulation.replicas[replica].disk = vec![TallyRecord::CaughtUp];
            simulation.start(replica);
        }
        simulation
    }

    fn random_below(&mut self, limit: u64) -> u64 {
        self.rng.next_u64() % limit
    }

    fn start(&mut self, replica: usize) {
        if self.defect == Defect::RestoresOnlySealed {
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
        let others = (0..REPLICAS).filter(|other| *other != replica);
        let members: Vec<_> = others.map(|other| (name(other), zone_of(other).to_string())).collect();
        // Heartbeats come only from running replicas; the core membership names all.
        for (index, (ip, zone)) in (0..REPLICAS).filter(|other| *other != replica).zip(&members) {
            if self.replicas[index].process.is_some() {
                set.discover(ip, zone, self.now);
            }
        }
        if self.defect != Defect::ForgetsSilentMembers {
            set.set_members(members);
        }
        let (caught_up, needs_caught_up_peer) = (self.defect == Defect::AnswersBeforeCatchingUp, !log.had_caught_up());
        let process =
            Process { log, set, caught_up, needs_caught_up_peer, acknowledged: Vec::new(), waiting: Vec::new() };
        self.replicas[replica].process = Some(process);
    }

    /// Removes unsealed entries from a disk that has sealed chunks.
    fn drop_unsealed(&mut self, replica: usize) {
        let disk = &mut self.replicas[replica].disk;
        if disk.iter().any(|record| matches!(record, TallyRecord::Sealed(_))) {
            disk.retain(|record| !matches!(record, TallyRecord::Batch(_) | TallyRecord::Packed(_)));
        }
    }

    /// Seals all possible chunks of one replica, and replaces its disk by a snapshot in half of the cases.
    pub fn seal(&mut self) {
        let replica = self.random_below(REPLICAS as u64) as usize;
        let is_compacted = self.random_below(2) == 0;
        let Replica { disk, process } = &mut self.replicas[replica];
        let Some(process) = process else { return };
        let durable = process.set.own_durable().clone();
        disk.extend(process.log.seal(&durable, usize::MAX).into_iter().map(TallyRecord::Sealed));
        if is_compacted {
            *disk = process.log.snapshot();
        }
    }

    fn reaches(&self, from: usize, to: usize) -> bool {
        !self.cuts.contains(&(zone_of(from), zone_of(to)))
    }

    /// A client calls a replica; one call in three repeats an earlier key.
    pub fn submit_call(&mut self) {
        let replica = self.random_below(REPLICAS as u64) as usize;
        let tally = format!("t{}", self.random_below(TALLIES));
        let new_key = format!("k{}", self.submitted.values().map(BTreeMap::len).sum::<usize>());
        let known = self.submitted.get(&tally).map_or(0, BTreeMap::len) as u64;
        let is_repeat = known > 0 && self.random_below(3) == 0;
        let index = self.random_below(known.max(1)) as usize;
        let keys = self.submitted.entry(tally.clone()).or_default();
        let key = if is_repeat { keys.keys().nth(index).cloned().unwrap_or(new_key) } else { new_key };
        let random_amount = self.rng.next_u64() % AMOUNT_BOUND;
        let amount = *keys.entry(key.clone()).or_insert(random_amount);
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
            let key = if found.is_some() { format!("{}#{}", call.key, disk.len()) } else { call.key.clone() };
            let entry = TallyEntry { tally: call.tally.clone(), instance_id: key, amount: call.amount };
            let dot = process.log.append(entry.clone());
            let batch = TallyBatch { origin: dot.origin, start: dot.sequence, entries: vec![entry] };
            disk.push(TallyRecord::Batch(batch));
            process.set.record_own(&process.log.versions());
            dot
        });
        process.waiting.push((call, dot));
        self.update_replica(replica);
    }

    /// Every replica exchanges entries with every other one, then acknowledges all calls that it may.
    pub fn run_round(&mut self) {
        for from in 0..REPLICAS {
            for to in (0..REPLICAS).filter(|to| *to != from) {
                self.exchange(from, to);
            }
        }
        self.now += ROUND_MS;
        for replica in 0..REPLICAS {
            self.probe_zones(replica);
            self.update_replica(replica);
        }
    }

    /// A replica probes the zones of silent replicas. Each zone has processes other than replicas, which always run.
    fn probe_zones(&mut self, replica: usize) {
        let (now, own_zone, takes_silence) =
            (self.now, zone_of(replica), self.defect == Defect::TakesSilenceForPartition);
        let Some(process) = &mut self.replicas[replica].process else { return };
        for zone in process.set.start_probes(now) {
            let index = zone.parse().expect("zones are named by their index");
            let is_cut = self.cuts.contains(&(own_zone, index)) || self.cuts.contains(&(index, own_zone));
            match is_cut || takes_silence {
                true => process.set.record_unanswered_probe(&zone, now),
                false => process.set.record_zone_answer(&zone, now),
            }
        }
    }

    fn exchange(&mut self, from: usize, to: usize) {
        if !self.reaches(from, to) || self.replicas[to].process.is_none() {
            return;
        }
        let now = self.now;
        let Some(sender) = &mut self.replicas[from].process else { return };
        sender.set.discover(&name(to), &zone_of(to).to_string(), now);
        let known = sender.set.durable_at(&name(to)).cloned();
        let durable = sender.set.own_durable().clone();
        let is_packed = self.rng.next_u64().is_multiple_of(2);
        let sent = match known {
            None => SentEntries::Text(Vec::new()),
            Some(known) if is_packed => {
                SentEntries::Packed(sender.log.missing_packed_at(&known, &durable, |_| true, EXCHANGE_BYTES))
            }
            Some(known) => SentEntries::Text(sender.log.missing_at(&known, &durable, |_| true, EXCHANGE_BYTES)),
        };
        let Some(answer) = self.receive(to, sent) else { return };
        if !self.reaches(to, from) {
            return;
        }
        if let Some(sender) = &mut self.replicas[from].process {
            sender.set.record_answer(&name(to), answer.0, answer.1, now);
        }
    }

    fn receive(&mut self, to: usize, sent: SentEntries) -> Option<(VersionVector, bool)> {
        let defect = self.defect;
        let Replica { disk, process } = &mut self.replicas[to];
        let process = process.as_mut()?;
        match sent {
            SentEntries::Text(mut batches) => {
                if defect == Defect::SendsDigestsAsKeys {
                    strip_digest_prefixes(&mut batches);
                }
                disk.extend(batches.iter().filter_map(|batch| process.log.apply(batch)).map(TallyRecord::Batch));
            }
            SentEntries::Packed(batches) => {
                let new = batches.iter().filter_map(|batch| process.log.apply_packed(batch));
                disk.extend(new.map(|batch| TallyRecord::Packed(Box::new(batch))));
            }
        }
        process.set.record_own(&process.log.versions());
        Some((process.set.own_durable().clone(), process.caught_up))
    }

    /// Marks a replica as caught up once it is, and acknowledges the calls whose entries are durable.
    fn update_replica(&mut self, replica: usize) {
        let (now, defect) = (self.now, self.defect);
        let Replica { disk, process } = &mut self.replicas[replica];
        let Some(process) = process else { return };
        if !process.caught_up && process.set.has_caught_up(process.needs_caught_up_peer, now) {
            process.caught_up = true;
            process.log.replay(TallyRecord::CaughtUp);
            disk.push(TallyRecord::CaughtUp);
        }
        let may_acknowledge =
            |dot: &Dot| process.set.is_durable(*dot, now) || defect == Defect::AcknowledgesWithoutReplication;
        let (done, waiting) = process.waiting.drain(..).partition(|(_, dot)| may_acknowledge(dot));
        process.waiting = waiting;
        let done: Vec<Call> = Vec::from_iter::<Vec<(Call, Dot)>>(done).into_iter().map(|(call, _)| call).collect();
        process.acknowledged.extend(done.iter().cloned());
        self.acknowledged.extend(done);
    }
}

fn strip_digest_prefixes(batches: &mut [TallyBatch]) {
    for entry in batches.iter_mut().flat_map(|batch| &mut batch.entries) {
        entry.instance_id = entry.instance_id.trim_start_matches('/').into();
    }
}

/// Faults.
impl Simulation {
    /// Cuts the links of a zone to all others, those between two zones, or those in one direction. Cuts accumulate
    /// until [`restore_links`](Self::restore_links).
    pub fn cut_links(&mut self) {
        let (one, other) = (self.random_below(ZONES as u64) as usize, self.random_below(ZONES as u64) as usize);
        match self.random_below(3) {
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

    /// Restores all links.
    pub fn restore_links(&mut self) {
        self.cuts.clear();
        self.restored_at = self.now;
    }

    /// Cuts the power of two replicas, of one zone or of all replicas. With `lose_disks`, the two or those of the zone
    /// also lose their disks.
    pub fn fail_power(&mut self, lose_disks: bool) {
        let is_zone = self.random_below(3) == 0;
        let first = self.random_below(REPLICAS as u64) as usize;
        let second = (first + 1 + self.random_below(REPLICAS as u64 - 1) as usize) % REPLICAS;
        let is_all = self.random_below(3) == 0;
        for replica in 0..REPLICAS {
            let is_hit = if is_zone { zone_of(replica) == zone_of(first) } else { [first, second].contains(&replica) };
            if is_hit || is_all {
                self.cut_power(replica);
            }
            // A disk is lost only while all links are up: then every acknowledged entry must survive the loss.
            if is_hit && lose_disks && self.cuts.is_empty() && self.is_fault_free() {
                self.replicas[replica].disk.clear();
                self.lost_disks += 1;
            }
        }
    }

    /// Kills one replica. It also loses its disk if `lose_disk` is set and fewer disks are lost than the redundancy
    /// tolerates, however many replicas are down.
    pub fn kill(&mut self, lose_disk: bool) {
        let replica = self.random_below(REPLICAS as u64) as usize;
        self.cut_power(replica);
        if lose_disk && self.lost_disks + 1 < REDUNDANCY.replicas && !self.replicas[replica].disk.is_empty() {
            self.replicas[replica].disk.clear();
            self.lost_disks += 1;
        }
    }

    /// Kills all replicas.
    pub fn kill_all(&mut self) {
        (0..REPLICAS).for_each(|replica| self.cut_power(replica));
    }

    /// Restarts one replica if it is down.
    pub fn restart(&mut self) {
        let replica = self.random_below(REPLICAS as u64) as usize;
        if self.replicas[replica].process.is_none() {
            self.start(replica);
        }
    }

    fn cut_power(&mut self, replica: usize) {
        let Replica { disk, process } = &mut self.replicas[replica];
        if process.take().is_some() && self.defect == Defect::SendsBeforeSync {
            // The newest record was not yet on disk, although other replicas have its entries.
            let is_batch = matches!(disk.last(), Some(TallyRecord::Batch(_)));
            disk.truncate(disk.len() - usize::from(is_batch));
        }
    }

    /// Restores the power of all machines.
    pub fn restore_power(&mut self) {
        for replica in 0..REPLICAS {
            if self.replicas[replica].process.is_none() {
                self.start(replica);
            }
        }
        self.lost_disks = 0;
        self.restored_at = self.now;
    }

    fn is_fault_free(&self) -> bool {
        self.lost_disks == 0 && self.now > self.restored_at + 10 * ROUND_MS
    }
}

/// Checks.
impl Simulation {
    fn totals_of(&self, calls: &[Call]) -> BTreeMap<String, u128> {
        let mut keys: BTreeMap<&str, BTreeMap<&str, u64>> = BTreeMap::new();
        for call in calls {
            keys.entry(&call.tally).or_default().insert(&call.key, call.amount);
        }
        keys.into_iter()
            .map(|(tally, keys)| (tally.into(), keys.values().map(|amount| u128::from(*amount)).sum()))
            .collect()
    }

    /// Checks that no total exceeds the sum of all calls, and that each includes the calls that the same process
    /// acknowledged and those that all replicas had counted before.
    ///
    /// # Errors
    ///
    /// The total read and the allowed range.
    pub fn check(&self) -> Result<(), String> {
        for (index, replica) in self.replicas.iter().enumerate() {
            let Some(process) = replica.process.as_ref().filter(|process| process.caught_up) else { continue };
            let required = [&process.acknowledged, &self.acknowledged[..self.converged]].concat();
            let minimums = self.totals_of(&required);
            for (tally, keys) in &self.submitted {
                let maximum: u128 = keys.values().map(|amount| u128::from(*amount)).sum();
                let minimum = minimums.get(tally).copied().unwrap_or(0);
                let total = process.log.total(tally);
                if total > maximum || total < minimum {
                    return Err(format!(
                        "{} has total {total} of {tally}, expected {minimum} to {maximum}",
                        name(index)
                    ));
                }
            }
        }
        Ok(())
    }

    /// Checks after rounds without faults that every replica answers reads, and that its totals include all
    /// acknowledged calls.
    ///
    /// # Errors
    ///
    /// The replica that does not answer, or the total read and its minimum.
    pub fn check_converged(&mut self) -> Result<(), String> {
        self.check()?;
        let minimums = self.totals_of(&self.acknowledged);
        for (index, replica) in self.replicas.iter().enumerate() {
            let Some(process) = &replica.process else { continue };
            if !process.caught_up {
                return Err(format!("{} does not answer reads", name(index)));
            }
            for (tally, minimum) in &minimums {
                let total = process.log.total(tally);
                if total < *minimum {
                    return Err(format!(
                        "{} has total {total} of {tally}, but {minimum} was acknowledged",
                        name(index)
                    ));
                }
            }
        }
        self.converged = self.acknowledged.len();
        Ok(())
    }

    /// Returns the number of acknowledged calls.
    pub fn acknowledged(&self) -> usize {
        self.acknowledged.len()
    }
}
