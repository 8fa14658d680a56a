//! Operators' orders. One keeper is home to a key and carries out what concerns it, so that keepers do not
//! outbid each other; the others relay to it, and carry an order out themselves when it does not answer.
use crate::config_change::Outcome;
use crate::state::{Closed, Held};
use ledger::proposal::Verdict;
use wire::order::{Advance, ConfigChange, Order, OrderResult};

/// How long the home of a key may take before an order is carried out here.
const RELAY_MS: u64 = 500;
/// How long an evacuation may take: an order without a version must not be carried out after its sender gave
/// up, sent it to another keeper, and then took it back there. Below a second, after which callers give up.
pub const EVACUATE_MS: u64 = 900;

/// How long an order on the configuration may take before its outcome is told to be unclear.
pub fn wait_ms(keeper: &crate::keeper::Keeper) -> u64 {
    (keeper.env.bounds.ack_ms / 2).clamp(800, 2500)
}

/// Carries an order out, at its home where that answers in time.
pub async fn submit(keeper: &std::sync::Arc<crate::keeper::Keeper>, order: Order) -> OrderResult {
    if keeper.orders_may_be_stale() {
        return OrderResult::Unclear;
    }
    let begun = kernel::clock::now();
    if let Some(result) = relay(keeper, &order).await {
        return result;
    }
    let spent = kernel::clock::now() - begun;
    execute(keeper, &order, spent).await
}

/// An order that another keeper relayed. It is not relayed again.
pub async fn relayed(keeper: &std::sync::Arc<crate::keeper::Keeper>, order: Order) -> OrderResult {
    if keeper.orders_may_be_stale() {
        return OrderResult::Unclear;
    }
    execute(keeper, &order, 0).await
}

fn key(order: &Order) -> String {
    match order {
        Order::Change(_) | Order::ReadConfig => crate::state::CONFIG.into(),
        Order::Evacuate { zone, .. } => format!("{}{zone}", crate::state::CLOSED),
    }
}

/// The keeper that is home to a key, if that is another one: the first live member in the agreed order. It
/// has a disk and votes itself.
fn home(keeper: &crate::keeper::Keeper, key: &str) -> Option<String> {
    let now = kernel::clock::now();
    let core = keeper.core();
    let leaving = keeper.leaving.load(std::sync::atomic::Ordering::Relaxed);
    let roster = keeper.roster.lock().expect("roster");
    let first = crate::membership::first_member(&core, &roster, leaving, key, now)?;
    let takes_orders = roster.keepers.get(&first).is_some_and(|peer| peer.reads >= wire::msg::RELAYED_ORDERS);
    takes_orders.then_some(first)
}

/// Where a caller had better send an order: to the key's home, from a keeper that is no member of the core. Such
/// a one may have a slow link, and would only pass both ways on.
pub fn better_place(keeper: &crate::keeper::Keeper, order: &Order) -> Option<String> {
    if ledger::quorum::is_member(&keeper.core(), keeper.me()) {
        return None;
    }
    let own = keeper.env.bind_addresses.control_plane.as_deref()?;
    control_address(own, &home(keeper, &key(order))?)
}

/// The address at which another keeper serves control: ports are alike on all machines.
fn control_address(own: &str, peer: &str) -> Option<String> {
    let (_, port) = own.rsplit_once(':')?;
    Some(format!("{peer}:{port}"))
}

/// None: it is to be carried out here.
async fn relay(keeper: &std::sync::Arc<crate::keeper::Keeper>, order: &Order) -> Option<OrderResult> {
    let home = home(keeper, &key(order))?;
    let message = wire::msg::Msg::Order(Box::new(order.clone()));
    match keeper.peer(&home).call(message, RELAY_MS).await {
        Some(wire::msg::Msg::OrderDone(result)) if *result != OrderResult::Unclear => Some(*result),
        _ => None,
    }
}

async fn execute(keeper: &std::sync::Arc<crate::keeper::Keeper>, order: &Order, spent: u64) -> OrderResult {
    match order {
        Order::Change(change) => change_config(keeper, change).await,
        Order::Evacuate { zone, on } => evacuate(keeper, zone, *on, EVACUATE_MS.saturating_sub(spent)).await,
        Order::ReadConfig => {
            let judge = |body: &[u8]| Verdict::Answer(OrderResult::Found { body: body.to_vec() });
            keeper.change(crate::state::CONFIG, wait_ms(keeper), judge).await.unwrap_or(OrderResult::Unclear)
        }
    }
}

async fn change_config(keeper: &std::sync::Arc<crate::keeper::Keeper>, change: &ConfigChange) -> OrderResult {
    let all_read_packed = keeper.pack();
    let (mut before, mut pack) = (0, all_read_packed);
    let judge = |body: &[u8]| {
        let Some(held) = Held::open(body) else { return Verdict::Answer(OrderResult::Unclear) };
        before = kernel::clock::hash(body);
        pack = may_pack(all_read_packed, body);
        match crate::config_change::apply(change, &held) {
            Ok(Outcome::TakenBefore) => Verdict::Answer(OrderResult::Done),
            Ok(Outcome::Next(next)) => Verdict::Write(next.seal(pack), OrderResult::Done),
            Err(refusal) => {
                let (status, reason) = (refusal.status(), refusal.to_string());
                Verdict::Answer(OrderResult::Refused { status, reason })
            }
        }
    };
    let outcome = keeper.change_untold(crate::state::CONFIG, wait_ms(keeper), judge).await;
    let Some((result, owner, wrote)) = outcome else { return OrderResult::Unclear };
    if wrote {
        tell(keeper, &owner.entry, before, change, pack);
    } else if !owner.is_blank() {
        tell_again(keeper, crate::state::CONFIG, &owner.entry);
    }
    if result == OrderResult::Done {
        kernel::say!(crate::event::CONFIG, "base" => change.base, "revision" => keeper.revision());
    }
    result
}

/// May the body that follows this one be packed? Once packed, always packed: a member that is away since this
/// keeper started is unknown here, and long bodies without need fill the links until it is never heard again.
fn may_pack(all_read_packed: bool, body: &[u8]) -> bool {
    all_read_packed || Held::is_packed(body)
}

/// A committed configuration becomes known here and at the other keepers, as a change where they can make it.
fn tell(keeper: &crate::keeper::Keeper, entry: &wire::msg::Entry, before: u64, change: &ConfigChange, pack: bool) {
    keeper.learn(crate::state::CONFIG, entry, false);
    let (ballot, step) = entry.place();
    let advance = Advance {
        key: crate::state::CONFIG.into(),
        ballot,
        step,
        before,
        after: kernel::clock::hash(&entry.body),
        change: Some(change.clone()),
        revision: keeper.revision(),
        pack,
    };
    send(keeper, entry, advance);
}

/// The short form to those that read it, the whole to the others.
fn send(keeper: &crate::keeper::Keeper, entry: &wire::msg::Entry, advance: Advance) {
    let whole = wire::msg::Msg::Learn(Box::new((advance.key.clone(), entry.clone())));
    let short = wire::msg::Msg::Advance(Box::new(advance));
    for peer in keeper.known() {
        let reads = keeper.roster.lock().expect("roster").keepers.get(&peer).map_or(0, |peer| peer.reads);
        let message = if reads >= wire::msg::RELAYED_ORDERS { &short } else { &whole };
        keeper.peer(&peer).cast(message.clone());
    }
}

/// The same body was committed again, by a read or under a changed core: those that hold it need only its place.
pub fn tell_again(keeper: &crate::keeper::Keeper, key: &str, entry: &wire::msg::Entry) {
    keeper.learn(key, entry, false);
    let (ballot, step) = entry.place();
    let digest = kernel::clock::hash(&entry.body);
    let (before, after) = (digest, digest);
    let advance = Advance { key: key.into(), ballot, step, before, after, change: None, revision: 0, pack: false };
    send(keeper, entry, advance);
}

/// Makes a change that another keeper committed. What does not fit is left to the next confirmation, which
/// fetches the whole.
pub fn advance(keeper: &crate::keeper::Keeper, advance: &Advance) {
    let held = keeper.committed_state.lock().expect("committed_state").entries.get(&advance.key).cloned();
    let Some(held) = held.filter(|held| held.place() < (advance.ballot, advance.step)) else { return };
    if let Some(body) = next_body(&held.body, advance) {
        let entry = wire::msg::Entry { ballot: advance.ballot, step: advance.step, body };
        keeper.learn(&advance.key, &entry, false);
    }
}

/// The body after the change, if it is the one that was committed.
fn next_body(body: &[u8], advance: &Advance) -> Option<Vec<u8>> {
    if kernel::clock::hash(body) != advance.before {
        return None;
    }
    let Some(change) = &advance.change else { return Some(body.to_vec()) };
    let next = crate::config_change::repeat(change, advance.revision, &Held::open(body)?)?;
    let body = next.seal(advance.pack);
    (kernel::clock::hash(&body) == advance.after).then_some(body)
}

/// Begins or withdraws an evacuation on top of what is committed; answers with `answer` either way.
pub fn judge_evacuation<T>(on: bool, body: &[u8], answer: T) -> Verdict<T> {
    let held = Closed::read_bytes(body).unwrap_or_default();
    if held.on == on {
        return Verdict::Answer(answer);
    }
    Verdict::Write(Closed { version: held.version + 1, on }.write_bytes(), answer)
}

async fn evacuate(keeper: &std::sync::Arc<crate::keeper::Keeper>, zone: &str, on: bool, wait_ms: u64) -> OrderResult {
    let key = format!("{}{zone}", crate::state::CLOSED);
    if keeper.change(&key, wait_ms, |body: &[u8]| judge_evacuation(on, body, ())).await.is_none() {
        return OrderResult::Unclear;
    }
    kernel::say!(crate::event::EVACUATION, "zone" => zone, "on" => on);
    OrderResult::Done
}

#[cfg(test)]
#[path = "orders_tests.rs"]
mod tests;
