fn held(count: usize) -> super::Held {
    let text: String = (0..count).map(|at| format!("{{\"name\":\"r-{at}\",\"path_prefix\":\"/p{at}/\"}}")).collect();
    super::Held { revision: 9, text, taken: vec![1, 2, 3] }
}

fn same(one: &super::Held, two: &super::Held) -> bool {
    (one.revision, &one.text, &one.taken) == (two.revision, &two.text, &two.taken)
}

#[test]
fn both_forms_are_read_and_the_long_one_is_short_when_packed() {
    for count in [0, 1, 40, 4000] {
        let held = held(count);
        let (plain, packed) = (held.seal(false), held.seal(true));
        assert_eq!(plain, held.write_bytes(), "the plain form is that of the first version");
        assert!(same(&super::Held::open(&plain).expect("plain"), &held));
        assert!(same(&super::Held::open(&packed).expect("packed"), &held));
        assert!(count < 4000 || packed.len() * 3 < plain.len(), "{} of {}", packed.len(), plain.len());
    }
}

#[test]
fn a_torn_or_lying_one_is_told_and_never_read_as_empty() {
    let packed = held(4000).seal(true);
    for cut in (1..packed.len()).step_by(97) {
        assert!(super::Held::open(&packed[..cut]).is_none(), "cut at {cut}");
    }
    let mut lying = packed.clone();
    lying[8..12].copy_from_slice(&u32::MAX.to_le_bytes());
    assert!(super::Held::open(&lying).is_none(), "a size over the bound makes no room");
}

#[test]
fn a_packed_body_is_told_from_a_plain_one() {
    let text = format!("{{\"revision\":9,\"x\":\"{}\"}}", "abc".repeat(10_000));
    let held = super::Held { revision: 9, text, taken: Vec::new() };
    assert!(super::Held::is_packed(&held.seal(true)));
    assert!(!super::Held::is_packed(&held.seal(false)));
    assert!(!super::Held::is_packed(&[]));
}
