fn sheet(count: u64, list: &[(&str, bool, u32)]) -> wire::msg::Sheet {
    let engine = |(id, up, cold_ms): &(&str, bool, u32)| wire::msg::Engine {
        id: id.to_string(),
        service: "s".into(),
        addr: format!("10.0.0.1:{}", 80 + id.len()),
        area: "a".into(),
        phase: "prefill".into(),
        model: String::new(),
        slots: 4,
        up: *up,
        cold_ms: *cold_ms,
    };
    wire::msg::Sheet { area: "a".into(), turn: 1, count, list: list.iter().map(engine).collect() }
}

#[test]
fn engines_that_drain_or_go_are_told_once_and_out_of_the_path() {
    let mut park = super::Park::default();
    assert!(park.take(&sheet(1, &[("i-1", true, 0), ("i-22", true, 900)]), 100).is_empty());
    assert_eq!(park.list[1].cold_until, 1000);
    assert_eq!(park.take(&sheet(2, &[("i-1", false, 0), ("i-22", true, 0)]), 200), ["i-1"]);
    assert!(!park.list[0].up && park.list[0].here);
    assert_eq!(park.take(&sheet(3, &[("i-22", true, 0)]), 300), ["i-1"]);
    assert!(!park.list[0].here);
    assert!(park.take(&sheet(2, &[("i-1", true, 0)]), 400).is_empty(), "an older sheet changes nothing");
    assert!(!park.list[0].here);
}

#[test]
fn pressure_moves_with_own_sends_since_the_report() {
    let mut park = super::Park::default();
    park.take(&sheet(1, &[("i-1", true, 0)]), 0);
    let stall = &mut park.list[0];
    stall.busy = 2;
    stall.report("5,1,8", 10);
    stall.busy = 3;
    assert_eq!(stall.pressure(20, 9), 7.0);
    assert_eq!(stall.pressure(9000, 9), 9.0, "an old report no longer counts");
    stall.report("nonsense", 30);
    assert_eq!(stall.load, (5, 1));
}

#[test]
fn a_dark_engine_is_left_alone_until_it_answers_and_its_address_until_never() {
    let mut park = super::Park::default();
    park.take(&sheet(1, &[("i-1", true, 0), ("i-22", true, 0)]), 0);
    park.list[0].strike(100, 20_000);
    let open = |park: &super::Park, now| {
        let view = crate::place::View { park, now, service: 0, area: 0, shut: &[], tried: &[], seats: 1, ramp: 0.0 };
        view.open(crate::place::Half::Prefill)
    };
    assert_eq!(open(&park, 5000), [1], "no request tests it");
    park.list[0].good(5000);
    assert_eq!(open(&park, 5000), [0, 1]);
    park.list[1].over();
    park.take(&sheet(2, &[("i-1", true, 0), ("i-22", true, 0)]), 6000);
    assert_eq!(open(&park, 6000), [0], "an id whose address went to another never comes back");
}
