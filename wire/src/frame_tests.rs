fn sample() -> crate::msg::Msg {
    crate::msg::Msg::Query(Box::new((3, vec![1, 2, 3])))
}

fn split(frame: &[u8]) -> ([u8; super::HEAD], &[u8]) {
    let mut head = [0; super::HEAD];
    head.copy_from_slice(&frame[..super::HEAD]);
    (head, &frame[super::HEAD..])
}

#[test]
fn a_frame_comes_back_as_it_was() {
    let frame = super::seal(super::Kind::Ask, 9, &sample()).expect("sealed");
    let (head, body) = split(&frame);
    let read = super::head(&head).expect("head");
    assert_eq!((read.kind, read.id, read.len), (super::Kind::Ask, 9, body.len()));
    assert_eq!(super::open(body).expect("body"), sample());
}

#[test]
fn flaws_are_told_apart() {
    let frame = super::seal(super::Kind::Cast, 0, &sample()).expect("sealed");
    let (good, body) = split(&frame);
    let mut bad = good;
    bad[0] ^= 1;
    assert_eq!(super::head(&bad), Err(super::Flaw::Mark));
    let mut new = good;
    new[4..6].copy_from_slice(&(super::NEWEST + 1).to_le_bytes());
    assert_eq!(super::head(&new), Err(super::Flaw::Stamp(super::NEWEST + 1)));
    let mut long = good;
    long[16..20].copy_from_slice(&u32::MAX.to_le_bytes());
    assert_eq!(super::head(&long), Err(super::Flaw::Long(u32::MAX as usize)));
    assert_eq!(super::open(&body[..body.len() - 1]), Err(super::Flaw::Body));
    for at in 0..body.len() {
        let mut torn = body.to_vec();
        torn[at] ^= 0xff;
        // Either another valid message or an error; never a panic.
        let _ = super::open(&torn);
    }
}
