use tokio::io::{AsyncReadExt, AsyncWriteExt};

async fn echo() -> String {
    let listener = crate::sock::listen("127.0.0.1:0").expect("a port");
    let addr = listener.local_addr().expect("its address").to_string();
    let handler: super::Handler = std::sync::Arc::new(|mouth, id, msg| {
        mouth.reply(id, &msg);
    });
    tokio::spawn(super::serve(listener, handler));
    addr
}

#[tokio::test]
async fn calls_are_answered_and_casts_are_not() {
    let caller = super::Caller::start(echo().await, None);
    let msg = crate::msg::Msg::Query(Box::new((1, vec![2])));
    assert!(caller.cast(msg.clone()));
    assert_eq!(caller.call(msg.clone(), 5000).await, Some(msg));
}

#[tokio::test]
async fn a_malformed_or_too_new_message_costs_its_sender_the_connection_only() {
    let addr = echo().await;
    let good = super::Caller::start(addr.clone(), None);
    let msg = crate::msg::Msg::Query(Box::new((1, vec![2])));
    assert!(good.call(msg.clone(), 5000).await.is_some());
    let frame = crate::frame::seal(crate::frame::Kind::Ask, 1, &msg).expect("sealed");
    let mut newer = frame.clone();
    newer[4..6].copy_from_slice(&(crate::frame::NEWEST + 1).to_le_bytes());
    let mut torn = frame.clone();
    let last = torn.len() - 1;
    torn[last] ^= 0xff;
    torn[crate::frame::HEAD] ^= 0xff;
    for bad in [newer, torn, b"GET / HTTP/1.1\r\nHost: somebody\r\n\r\n".to_vec()] {
        let mut stream = tokio::net::TcpStream::connect(&addr).await.expect("connected");
        stream.write_all(&bad).await.expect("sent");
        let mut rest = Vec::new();
        let _ = stream.read_to_end(&mut rest).await;
        assert!(rest.is_empty(), "no answer, only the end");
    }
    assert!(good.call(msg, 5000).await.is_some(), "others feel nothing");
}
