use std::collections::BTreeMap;

use kernel::Rng;
use protocol::message::StalenessLimit;

use super::{Floors, Limit, EASE_MS, LEASE_MS};

fn rule(version: u64, latest: u64, lag: u64, routes: &[&str]) -> StalenessLimit {
    let routes = routes.iter().map(|route| route.to_string()).collect();
    StalenessLimit { service: "s".into(), model: "m".into(), version, latest, lag, routes, ..Default::default() }
}

fn limit(floors: &Floors, route: &str, now: u64) -> Limit {
    floors.limit(0, "m", route, now)
}

#[test]
fn a_raise_binds_at_once_and_only_what_it_names() {
    let mut floors = Floors::default();
    floors.renew(0);
    assert_eq!(limit(&floors, "r", 10), Limit::Free);
    assert!(floors.take(&rule(1, 10, 3, &["r"]), 0, 10));
    assert_eq!(limit(&floors, "r", 10), Limit::From(7));
    assert_eq!(limit(&floors, "other", 10), Limit::Free);
    assert_eq!(floors.limit(0, "n", "r", 10), Limit::Free, "another model");
    assert_eq!(floors.limit(1, "m", "r", 10), Limit::Free, "another service");
    assert!(floors.take(&rule(2, 12, 3, &["r", "t"]), 0, 20));
    assert_eq!((limit(&floors, "r", 20), limit(&floors, "t", 20)), (Limit::From(9), Limit::From(9)));
    assert!(!floors.take(&rule(1, 10, 3, &["r"]), 0, 30), "an older version changes nothing");
    assert_eq!(limit(&floors, "r", 30), Limit::From(9));
}

#[test]
fn a_loosening_waits_until_all_could_know() {
    let mut floors = Floors::default();
    floors.take(&rule(1, 10, 2, &["r", "t"]), 0, 0);
    floors.take(&rule(2, 10, 5, &["r", "u"]), 0, 100);
    floors.renew(100 + EASE_MS);
    let early = 100 + EASE_MS - 1;
    assert_eq!((limit(&floors, "r", early), limit(&floors, "t", early)), (Limit::From(8), Limit::From(8)));
    assert_eq!(limit(&floors, "u", early), Limit::From(8), "a route added is bound at once");
    assert_eq!((limit(&floors, "r", early + 1), limit(&floors, "t", early + 1)), (Limit::From(5), Limit::Free));
    let gone = StalenessLimit { removed: true, ..rule(3, 10, 5, &["r", "u"]) };
    floors.take(&gone, 0, 4000);
    floors.renew(8000);
    assert_eq!(limit(&floors, "r", 4000 + EASE_MS - 1), Limit::From(5));
    assert_eq!(limit(&floors, "r", 4000 + EASE_MS), Limit::Free);
}

#[test]
fn a_lapsed_lease_refuses_what_is_bound_and_nothing_else() {
    let mut floors = Floors::default();
    floors.take(&rule(1, 10, 2, &["r"]), 0, 0);
    assert_eq!(limit(&floors, "r", 0), Limit::Lapsed, "never renewed");
    floors.renew(100);
    assert_eq!(limit(&floors, "r", 99 + LEASE_MS), Limit::From(8));
    assert_eq!(limit(&floors, "r", 100 + LEASE_MS), Limit::Lapsed);
    assert_eq!(limit(&floors, "t", 100 + LEASE_MS), Limit::Free);
    floors.renew(50);
    assert_eq!(limit(&floors, "r", 100 + LEASE_MS), Limit::Lapsed, "a late answer to an old call");
}

const SURE_MS: u64 = 1100;
const SEAT_MS: u64 = 1600;
const WAIT_MS: u64 = SURE_MS + LEASE_MS + 200;

/// A controller: the version it knows, until when it is sure, what its routers told and until when they count.
#[derive(Clone, Default)]
struct Controller {
    knows: u64,
    sure_until: u64,
    cut_until: u64,
    /// When it last started: it has forgotten who held a lease before.
    born: u64,
    crew: BTreeMap<usize, (u64, u64)>,
}

/// A router: its floors, its controller, the next call, and until when it sleeps.
struct Router {
    floors: Floors,
    home: usize,
    next: u64,
    asleep_until: u64,
    cut_until: u64,
}

enum Mail {
    Follow { router: usize, sent: u64, version: u64 },
    Reply { router: usize, sent: u64, sure: bool },
    Rule { router: usize, version: u64 },
}

/// What is left out, to see that it is needed.
#[derive(Clone, Copy, PartialEq)]
enum Fault {
    None,
    /// A raise is acknowledged at once.
    Hasty,
    /// A controller that has just started speaks for routers that it forgot.
    Forgetful,
}

/// Gives the number of sends under a floor below one that was acknowledged, and of acknowledgements.
fn play(seed: u64, fault: Fault) -> (u32, u32) {
    let hasty = fault == Fault::Hasty;
    let mut dice = Rng::new(seed.wrapping_mul(0x9E37_79B9));
    let mut controllers = vec![Controller { knows: 1, ..Default::default() }; 4];
    let mut routers: Vec<Router> = (0..8)
        .map(|at| {
            let mut floors = Floors::default();
            floors.take(&rule(1, 1, 0, &["r"]), 0, 0);
            Router { floors, home: at % 4, next: at as u64 * 37, asleep_until: 0, cut_until: 0 }
        })
        .collect();
    let mut mail: Vec<(u64, Mail)> = Vec::new();
    let (mut version, mut committed, mut acked, mut acks, mut wrong) = (1u64, 0u64, 1u64, 0, 0);
    for now in 1..30_000u64 {
        // Controller 0 carries the changes; the others read at a majority, unless they are cut off.
        for (at, controller) in controllers.iter_mut().enumerate() {
            if now >= controller.cut_until && (now + at as u64 * 90).is_multiple_of(350) {
                controller.knows = version;
                controller.sure_until = now + SURE_MS;
            }
            if dice.below(25_000) == 0 {
                *controller = Controller { born: now, ..Default::default() };
            }
            if at > 0 && dice.below(2500) == 0 {
                controller.cut_until = now + 300 + dice.below(4000);
            }
        }
        for (at, router) in routers.iter_mut().enumerate() {
            if dice.below(3000) == 0 {
                router.asleep_until = now + dice.below(5000);
            }
            if dice.below(4000) == 0 {
                router.cut_until = now + dice.below(4000);
            }
            if dice.below(3000) == 0 {
                router.home = dice.below(4) as usize;
            }
            if now < router.asleep_until {
                continue;
            }
            // The first thing on waking: a request that was about to be sent.
            if dice.below(7) == 0 || now == router.asleep_until {
                if let Limit::From(floor) = router.floors.limit(0, "m", "r", now) {
                    wrong += u32::from(floor < acked);
                }
            }
            if now >= router.next && now >= router.cut_until {
                router.next = now + 400;
                let held = router.floors.versions()[0].1;
                mail.push((now + 1 + dice.below(60), Mail::Follow { router: at, sent: now, version: held }));
            }
        }
        let (due, rest): (Vec<_>, Vec<_>) = mail.into_iter().partition(|(at, _)| *at <= now);
        mail = rest;
        for (_, letter) in due {
            if dice.below(50) == 0 {
                continue;
            }
            match letter {
                Mail::Follow { router, sent, version } => {
                    let controller = &mut controllers[routers[router].home];
                    controller.crew.insert(router, (version, now + SEAT_MS));
                    let sure = now < controller.sure_until && version >= controller.knows;
                    let knows = controller.knows;
                    let late = now + 1 + dice.below(60);
                    if version < knows {
                        mail.push((late, Mail::Rule { router, version: knows }));
                    }
                    mail.push((late, Mail::Reply { router, sent, sure }));
                }
                Mail::Reply { router, .. } | Mail::Rule { router, .. } if now < routers[router].asleep_until => {
                    // Read when it wakes.
                    mail.push((routers[router].asleep_until + 1, letter));
                }
                Mail::Reply { router, sent, sure } => {
                    if sure {
                        routers[router].floors.renew(sent);
                    }
                }
                Mail::Rule { router, version } => {
                    routers[router].floors.take(&rule(version, version, 0, &["r"]), 0, now);
                    routers[router].next = now;
                }
            }
        }
        // One raise at a time: committed, then acknowledged once all have settled or could be waited out.
        if acked == version && dice.below(700) == 0 {
            (version, committed) = (version + 1, now);
            controllers[0].knows = version;
            if dice.below(4) == 0 {
                // A controller falls just then, and starts anew.
                controllers[1 + dice.below(3) as usize] = Controller { born: now, ..Default::default() };
            }
        }
        // The owner is lost in the middle of a raise: another one is asked again and begins to wait anew.
        if acked < version && dice.below(1500) == 0 {
            committed = now;
        }
        if acked < version && (hasty || (now - committed).is_multiple_of(60)) {
            let late = now >= committed + WAIT_MS;
            let settled = |controller: &Controller| {
                let live = controller.crew.values().filter(|(_, until)| *until > now);
                let grown = fault == Fault::Forgetful || now >= controller.born + WAIT_MS || controller.born == 0;
                grown && controller.knows >= version && live.into_iter().all(|(told, _)| *told >= version)
            };
            let good = controllers.iter().all(|controller| (now < controller.cut_until && late) || settled(controller));
            if good || hasty {
                acked = version;
                acks += 1;
            }
        }
    }
    (wrong, acks)
}

#[test]
fn nothing_bound_is_sent_under_an_older_floor_once_a_raise_is_acknowledged() {
    let mut acks = 0;
    for seed in 1..=40 {
        let (wrong, count) = play(seed, Fault::None);
        assert_eq!(wrong, 0, "seed {seed}");
        acks += count;
    }
    assert!(acks > 200, "raises must come through: {acks}");
}

#[test]
fn the_simulation_shows_the_fault_when_a_raise_is_acknowledged_at_once() {
    assert!((1..=10).any(|seed| play(seed, Fault::Hasty).0 > 0), "a test that can't fail shows nothing");
}

#[test]
fn the_simulation_shows_the_fault_when_a_new_controller_speaks_for_those_it_forgot() {
    assert!((1..=60).any(|seed| play(seed, Fault::Forgetful).0 > 0), "a test that can't fail shows nothing");
}
