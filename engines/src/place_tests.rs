fn park() -> crate::park::Park {
    let engine = |id: &str, zone: &str, phase: &str, up: bool| wire::msg::Engine {
        id: id.into(),
        service: "s".into(),
        addr: "10.0.0.1:80".into(),
        zone: zone.into(),
        phase: phase.into(),
        model: String::new(),
        slots: 8,
        up,
        cold_ms: 0,
    };
    let mut park = crate::park::Park::default();
    for zone in ["a", "b"] {
        park.region(zone, "r");
        let list = vec![
            engine(&format!("p-{zone}"), zone, "prefill", true),
            engine(&format!("d-{zone}"), zone, "decode", true),
            engine(&format!("x-{zone}"), zone, "decode", false),
        ];
        park.take(&wire::msg::Sheet { zone: zone.into(), turn: 1, count: 1, list }, 0);
    }
    park
}

fn view<'a>(park: &'a crate::park::Park, shut: &'a [u32], tried: &'a [usize]) -> super::View<'a> {
    super::View {
        park,
        now: 1000,
        service: 0,
        zone: 0,
        shut,
        tried,
        seats: 3,
        ramp: 3.0,
        weights: None,
        confirmed: true,
        arm: super::Arm::Stable,
    }
}

fn id(park: &crate::park::Park, at: Option<usize>) -> &str {
    at.map_or("", |at| park.list[at].id.as_str())
}

#[test]
fn the_longest_prefix_owner_reads_unless_it_is_pressed() {
    let mut park = park();
    let far = park.find("p-b").expect("known");
    assert_eq!(id(&park, view(&park, &[], &[]).prefill(9000, &[(far, 6000)], 6000, 5).map(|best| best.0)), "p-b");
    park.list[far].busy = 4;
    park.note_read(0, 3000);
    assert_eq!(id(&park, view(&park, &[], &[]).prefill(9000, &[(far, 6000)], 6000, 5).map(|best| best.0)), "p-a");
}

#[test]
fn all_routers_choose_the_same_reader_while_nobody_owns() {
    let park = park();
    let mut away = view(&park, &[], &[]);
    let near = away.prefill(9000, &[], 6000, 77).map(|best| best.0);
    away.zone = 1;
    assert_eq!(near, away.prefill(9000, &[], 6000, 77).map(|best| best.0));
}

#[test]
fn draining_shut_and_tried_engines_are_never_chosen() {
    let park = park();
    let tried = [park.find("d-a").expect("known")];
    assert_eq!(id(&park, view(&park, &[], &tried).decode(10, &[], None, 1)), "d-b");
    assert_eq!(id(&park, view(&park, &[0], &[]).decode(10, &[], None, 1)), "d-b");
    assert_eq!(view(&park, &[0, 1], &[]).decode(10, &[], None, 1), None);
}

#[test]
fn a_maker_reads_alone_only_when_readers_are_pressed() {
    let mut park = park();
    park.note_read(0, 3000);
    let costs = |park: &crate::park::Park| {
        let view = view(park, &[], &[]);
        (view.prefill(3000, &[], 0, 1).expect("reader").1, view.alone(3000, &[], 1).expect("maker").1)
    };
    let (reader, alone) = costs(&park);
    assert!(reader < alone);
    for at in [park.find("p-a"), park.find("p-b")].into_iter().flatten() {
        park.report(at, "8,1,8", 900);
    }
    let (reader, alone) = costs(&park);
    assert!(reader > alone);
}

#[test]
fn the_memory_stays_in_its_area() {
    let park = park();
    let from = park.find("p-b");
    assert_eq!(id(&park, view(&park, &[], &[]).decode(60_000, &[], from, 1)), "d-b");
}

#[test]
fn a_cold_engine_gets_no_more_than_its_slice() {
    let mut park = park();
    let at = park.find("d-a").expect("known");
    park.list[at].cold_until = 5000;
    park.list[at].ramp.note(900);
    assert_eq!(id(&park, view(&park, &[], &[]).decode(10, &[], None, 1)), "d-b");
    park.list[at].cold_until = 0;
    assert_eq!(id(&park, view(&park, &[], &[]).decode(10, &[], None, 1)), "d-a");
}

#[test]
fn deferrable_work_is_let_in_only_beside_calm_halves() {
    let mut park = park();
    assert!(view(&park, &[], &[]).idle(0.3));
    for id in ["d-a", "d-b"] {
        let at = park.find(id).expect("known");
        park.report(at, "4,0,8", 900);
    }
    assert!(!view(&park, &[], &[]).idle(0.3));
    assert!(view(&park, &[], &[]).idle(0.6), "nearer to its end it may press harder");
    for id in ["p-a", "p-b"] {
        let at = park.find(id).expect("known");
        park.report(at, "3,0,8", 900);
    }
    assert!(!view(&park, &[], &[]).idle(0.6), "never where readers are pressed");
}

#[test]
fn another_region_is_reached_only_for_want_of_a_nearer_engine() {
    let mut park = park();
    park.region("b", "other");
    let far = park.find("p-b").expect("known");
    assert_eq!(id(&park, view(&park, &[], &[]).prefill(9000, &[(far, 6000)], 6000, 5).map(|best| best.0)), "p-a");
    let tried = [park.find("p-a").expect("known")];
    assert_eq!(id(&park, view(&park, &[], &tried).prefill(9000, &[], 6000, 5).map(|best| best.0)), "p-b");
}

#[test]
fn it_is_full_only_when_every_maker_is() {
    let mut park = park();
    for (id, load) in [("d-a", "9,3,8"), ("d-b", "4,0,8")] {
        let at = park.find(id).expect("known");
        park.report(at, load, 900);
    }
    assert!(!view(&park, &[], &[]).full(1.25));
    let at = park.find("d-b").expect("known");
    park.report(at, "8,2,8", 900);
    assert!(view(&park, &[], &[]).full(1.25));
    assert!(!view(&park, &[], &[]).full(1.5), "what ranks higher is let in for longer");
}

#[test]
fn owners_of_a_shorter_prefix_do_not_draw_what_has_a_home_of_its_own() {
    let park = park();
    let (near, far) = (park.find("p-a").expect("known"), park.find("p-b").expect("known"));
    let chosen = |key, held: &[(usize, u32)]| view(&park, &[], &[]).prefill(9000, held, 6000, key).map(|best| best.0);
    let home = |key| park.subset(0, super::Half::Prefill, false).expect("one").homes(key, 1, |_| true)[0];
    let key = (0..).find(|key| home(*key) == near).expect("a key at home near");
    assert_eq!(chosen(key, &[(far, 2500)]), Some(near), "the part that all share is not enough");
    assert_eq!(chosen(key, &[(far, 6000)]), Some(far), "the whole shared prefix is");
}
