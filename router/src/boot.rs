//! Start and end of the process.

#[kernel::plug::linkme::distributed_slice]
#[linkme(crate = kernel::plug::linkme)]
pub static ROUTER_PARTS: [kernel::plug::Plug<std::sync::Arc<crate::state::State>>];

macro_rules! part {
    ($label:ident, $name:literal, $order:literal, $start:expr) => {
        #[kernel::plug::linkme::distributed_slice(ROUTER_PARTS)]
        #[linkme(crate = kernel::plug::linkme)]
        static $label: kernel::plug::Plug<std::sync::Arc<crate::state::State>> =
            kernel::plug::Plug { name: $name, order: $order, start: $start };
    };
}

part!(READY, "readiness", 1, |state| drop(tokio::spawn(crate::server::readiness(state.clone()))));
part!(FOLLOW, "news", 2, |state| drop(tokio::spawn(crate::follow::run(state.clone()))));
part!(DOOR, "frontend", 3, |state| drop(tokio::spawn(crate::server::frontend(state.clone()))));

pub async fn run(env: kernel::env::Env) -> std::process::ExitCode {
    kernel::say!(crate::event::START, "node" => env.node_name.clone(), "ip" => env.ip.clone());
    let state = crate::state::State::new(env);
    let mut word = kernel::signal::watch();
    let observed = state.clone();
    telemetry::start(&state.env.ip, state.env.metrics.as_ref(), move || observed.metrics.render(&observed));
    kernel::plug::start(&ROUTER_PARTS, &state);
    let _ = word.wait_for(|word| *word == kernel::signal::Word::Leave).await;
    leave(&state).await;
    std::process::ExitCode::SUCCESS
}

/// Unready at once; new connections are still served until the platform has seen it; then what is
/// under way is finished, all well inside the grace.
pub(crate) async fn leave(state: &std::sync::Arc<crate::state::State>) {
    let order = std::sync::atomic::Ordering::Relaxed;
    state.leaving.store(true, order);
    let begun = kernel::clock::now();
    let counts = state.record.lock().expect("record").counts;
    kernel::say!(crate::event::LEAVE, "open" => state.open.load(order));
    kernel::say!(crate::event::COUNTS, "queries" => counts.queries, "hits" => counts.hits, "no_owner" => counts.no_owner,
        "stale" => counts.stale_owner, "transfer" => counts.transfer_error, "unanswered" => counts.unanswered,
        "dropped" => counts.dropped);
    let grace = (state.env.bounds.grace_s * 1000.0) as u64;
    // Two missed calls for readiness, a second apart, and what was already on its way.
    let calm = (grace / 2).min(3200);
    let last = grace.saturating_sub(600);
    loop {
        tokio::time::sleep(std::time::Duration::from_millis(50)).await;
        let spent = kernel::clock::now() - begun;
        let idle = state.open.load(order) == 0;
        if (idle && spent >= calm) || spent >= last {
            report_end(state);
            return;
        }
    }
}

/// What is left unfinished, by how far it is and whether it came before or after SIGTERM.
fn report_end(state: &crate::state::State) {
    use crate::metrics::{Phase, Stage};
    let left = |stage| state.metrics.under_way(Phase::Serving, stage) + state.metrics.under_way(Phase::Leaving, stage);
    let stages = [Stage::Reading, Stage::Forwarding, Stage::Answering];
    let late: i64 = stages.into_iter().map(|stage| state.metrics.under_way(Phase::Leaving, stage)).sum();
    kernel::say!(crate::event::GONE, "open" => state.open.load(std::sync::atomic::Ordering::Relaxed),
        "reading" => left(Stage::Reading), "forwarding" => left(Stage::Forwarding),
        "answering" => left(Stage::Answering), "taken_since" => late, "connections" => state.metrics.connections_open.get());
}
