//! The disk has a thread of its own, so that one that stalls holds up votes and nothing else. What
//! is handed over is written in that order; an answer leaves once all before it is on disk.

type After = Box<dyn FnOnce() + Send>;

pub struct Disk {
    send: std::sync::mpsc::Sender<(Vec<ledger::voter::Deed>, Option<After>)>,
}

impl Disk {
    /// Without a folder everything is kept in memory only.
    pub fn start(store: Option<ledger::store::Store>, first: ledger::voter::Voter) -> Disk {
        let (send, jobs) = std::sync::mpsc::channel();
        std::thread::spawn(move || run(store, first, &jobs));
        Disk { send }
    }

    pub fn write(&self, deeds: Vec<ledger::voter::Deed>) {
        let _ = self.send.send((deeds, None));
    }

    pub fn then(&self, deeds: Vec<ledger::voter::Deed>, after: impl FnOnce() + Send + 'static) {
        let _ = self.send.send((deeds, Some(Box::new(after))));
    }
}

/// `mirror` follows what is on disk, for snapshots. A failed write is tried again for as long as it
/// fails: nothing behind it is answered before.
fn run(
    mut store: Option<ledger::store::Store>,
    mut mirror: ledger::voter::Voter,
    jobs: &std::sync::mpsc::Receiver<(Vec<ledger::voter::Deed>, Option<After>)>,
) {
    while let Ok((mut deeds, after)) = jobs.recv() {
        let mut waits: Vec<After> = after.into_iter().collect();
        while let Ok((more, after)) = jobs.try_recv() {
            deeds.extend(more);
            waits.extend(after);
        }
        if let (Some(store), false) = (&mut store, deeds.is_empty()) {
            persist(store, &deeds, &mut mirror);
        }
        for wait in waits {
            wait();
        }
    }
}

fn persist(store: &mut ledger::store::Store, deeds: &[ledger::voter::Deed], mirror: &mut ledger::voter::Voter) {
    let pause = std::time::Duration::from_millis(100);
    let mut told = false;
    while let Err(error) = store.append(deeds) {
        if !told {
            kernel::say!(crate::event::DISK_WAIT, "cause" => error.to_string());
        }
        told = true;
        std::thread::sleep(pause);
    }
    for deed in deeds {
        mirror.fold(deed.clone());
    }
    if !store.full() {
        return;
    }
    if let Err(error) = store.snapshot(&mirror.whole()) {
        kernel::say!(crate::event::DISK_WAIT, "cause" => error.to_string());
    }
}
