use std::sync::{mpsc, Arc};
use std::time::Duration;

use ingress::{MemoryBudget, Purpose};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::task;

use super::bulk_budget::MAX_BULK_BYTES;
use super::frame_io::{read_frame, ReceivedFrame};
use super::{serve, Handler, PeerClient, ServerLimits};
use crate::dialer::Dialer;
use crate::frame::{self, Kind, HEADER_BYTES, NEWEST_VERSION};
use crate::message::Message;
use crate::socket;

fn limits() -> ServerLimits {
    ServerLimits { max_connections: 16, memory: MemoryBudget::new(64) }
}

async fn start_echo_server() -> String {
    let listener = socket::listen("127.0.0.1:0").expect("bound to a port");
    let addr = listener.local_addr().expect("the local address").to_string();
    let handler: Handler = Arc::new(|responder, id, msg| {
        responder.reply(id, &msg);
    });
    tokio::spawn(serve(listener, limits(), handler));
    addr
}

#[tokio::test]
async fn requests_get_responses_and_notifications_do_not() {
    let client = PeerClient::start(Dialer::default(), start_echo_server().await, None);
    let msg = Message::OwnerQuery(Box::new((1, vec![2])));
    assert!(client.notify(msg.clone()));
    assert_eq!(client.call(msg.clone(), 5000).await, Some(msg));
}

#[tokio::test]
async fn a_malformed_or_too_new_frame_closes_only_its_connection() {
    let addr = start_echo_server().await;
    let healthy = PeerClient::start(Dialer::default(), addr.clone(), None);
    let msg = Message::OwnerQuery(Box::new((1, vec![2])));
    assert!(healthy.call(msg.clone(), 5000).await.is_some());
    let frame = frame::encode(Kind::Request, 1, &msg).expect("encoded");
    let mut newer = frame.clone();
    newer[4..6].copy_from_slice(&(NEWEST_VERSION + 1).to_le_bytes());
    let mut corrupted = frame.clone();
    let last = corrupted.len() - 1;
    corrupted[last] ^= 0xff;
    corrupted[HEADER_BYTES] ^= 0xff;
    for bad in [newer, corrupted, b"GET / HTTP/1.1\r\nHost: somebody\r\n\r\n".to_vec()] {
        let mut stream = TcpStream::connect(&addr).await.expect("connected");
        stream.write_all(&bad).await.expect("sent");
        let mut rest = Vec::new();
        let _ = stream.read_to_end(&mut rest).await;
        assert!(rest.is_empty(), "the connection closes without a response");
    }
    assert!(healthy.call(msg, 5000).await.is_some(), "other connections are unaffected");
}

fn query(number: u64) -> Message {
    Message::OwnerQuery(Box::new((number, Vec::new())))
}

/// A client and the listener that it connects to.
async fn client_and_listener() -> (PeerClient, TcpListener) {
    let listener = socket::listen("127.0.0.1:0").expect("bound to a port");
    let addr = listener.local_addr().expect("the local address").to_string();
    (PeerClient::start(Dialer::default(), addr, None), listener)
}

async fn accept(listener: &TcpListener) -> (OwnedReadHalf, OwnedWriteHalf) {
    listener.accept().await.expect("a client connects").0.into_split()
}

async fn respond(write: &mut OwnedWriteHalf, id: u64, msg: &Message) {
    let frame = frame::encode(Kind::Response, id, msg).expect("encoded");
    write.write_all(&frame).await.expect("written");
}

#[tokio::test]
async fn reordered_and_duplicated_responses_reach_their_own_requests() {
    let (client, listener) = client_and_listener().await;
    let serve = async {
        let (mut read, mut write) = accept(&listener).await;
        let first = read_frame(&mut read, None).await.expect("the first request");
        let second = read_frame(&mut read, None).await.expect("the second request");
        for ReceivedFrame { header, message: msg, .. } in [&second, &first, &second, &first] {
            respond(&mut write, header.id, msg).await;
        }
        let third = read_frame(&mut read, None).await.expect("the third request");
        respond(&mut write, first.header.id, &first.message).await;
        respond(&mut write, third.header.id, &third.message).await;
    };
    let calls = async {
        let (first, second) = tokio::join!(client.call(query(1), 5000), client.call(query(2), 5000));
        assert_eq!((first, second), (Some(query(1)), Some(query(2))));
        assert_eq!(client.call(query(3), 5000).await, Some(query(3)));
    };
    tokio::join!(serve, calls);
}

#[tokio::test]
async fn a_request_fails_and_is_not_resent_if_its_connection_breaks() {
    let (client, listener) = client_and_listener().await;
    let serve = async {
        let (mut read, write) = accept(&listener).await;
        assert_eq!(read_frame(&mut read, None).await.expect("the first request").message, query(1));
        drop((read, write));
        let (mut read, mut write) = accept(&listener).await;
        let ReceivedFrame { header, message: msg, .. } = read_frame(&mut read, None).await.expect("the next request");
        assert_eq!(msg, query(2));
        respond(&mut write, header.id, &msg).await;
    };
    let calls = async {
        assert_eq!(client.call(query(1), 60_000).await, None, "fails at once, long before its timeout");
        assert_eq!(client.call(query(2), 5000).await, Some(query(2)));
    };
    tokio::join!(serve, calls);
}

#[tokio::test]
async fn a_queued_request_is_not_sent_after_its_timeout() {
    let (client, listener) = client_and_listener().await;
    // Exceeds the socket buffers while nobody reads, so that later frames stay queued in the client.
    let large = Message::OwnerQuery(Box::new((0, vec![7; 1_400_000])));
    assert!(client.notify(large.clone()));
    assert_eq!(client.call(query(1), 1).await, None);
    assert!(client.notify(query(2)));
    let (mut read, _write) = accept(&listener).await;
    assert_eq!(read_frame(&mut read, None).await.expect("the large message").message, large);
    assert_eq!(read_frame(&mut read, None).await.expect("the next message").message, query(2));
}

/// If a peer reads slowly or not at all, its queue is limited in bytes and still admits short messages.
#[tokio::test]
async fn the_queue_of_a_slow_peer_is_limited_in_bytes() {
    const LONG: usize = 64 * 1024;
    const SENT: usize = 400;
    let listener = socket::listen("127.0.0.1:0").expect("bound to a port");
    let addr = listener.local_addr().expect("the local address").to_string();
    let (report, accepted) = mpsc::channel();
    let handler: Handler = Arc::new(move |responder, _, _| {
        // Nothing is written before this handler returns.
        let long = (0..SENT).filter(|_| responder.notify_frame(vec![0; LONG].into())).count();
        let short = (0..10).filter(|_| responder.notify(&query(1))).count();
        let _ = report.send((long, short));
    });
    tokio::spawn(serve(listener, limits(), handler));
    let client = PeerClient::start(Dialer::default(), addr, None);
    assert!(client.notify(query(0)));
    let wait = task::spawn_blocking(move || accepted.recv_timeout(Duration::from_secs(10)));
    let (long, short) = wait.await.expect("the thread did not panic").expect("the handler ran");
    assert_eq!(long, MAX_BULK_BYTES / LONG, "admitted of {SENT} long messages");
    assert_eq!(short, 10);

    let (unread, _listener) = client_and_listener().await;
    let large = || Message::OwnerQuery(Box::new((0, vec![7; LONG / 8])));
    let queued = (0..SENT).filter(|_| unread.notify(large())).count();
    assert!(
        (1..=MAX_BULK_BYTES / LONG).contains(&queued),
        "{queued} of {SENT} long messages are queued for one connection"
    );
    assert!(unread.notify(query(1)), "a short message is still admitted");
}

#[tokio::test]
async fn a_long_frame_waits_for_memory_while_short_ones_are_received_on_other_connections() {
    let memory = MemoryBudget::new(1);
    let mut other = memory.reservation(Purpose::Frames);
    other.try_grow_to(200_000, 0).expect("there is room");
    let listener = socket::listen("127.0.0.1:0").expect("bound to a port");
    let addr = listener.local_addr().expect("the local address").to_string();
    let handler: Handler = Arc::new(|responder, id, msg| {
        responder.reply(id, &msg);
    });
    tokio::spawn(serve(listener, ServerLimits { max_connections: 2, memory: memory.clone() }, handler));
    let [held_up, ordinary] = [0, 1].map(|_| PeerClient::start(Dialer::default(), addr.clone(), None));
    let long = Message::OwnerQuery(Box::new((0, vec![7; 32 * 1024])));
    assert_eq!(held_up.call(long.clone(), 100).await, None);
    assert_eq!(ordinary.call(query(1), 5000).await, Some(query(1)));
    drop(other);
    assert_eq!(held_up.call(long.clone(), 5000).await, Some(long));
    assert_eq!(memory.used_bytes(Purpose::Frames), 0);
}

#[tokio::test(start_paused = true)]
async fn a_connection_without_a_frame_is_closed() {
    let mut silent = TcpStream::connect(start_echo_server().await).await.expect("connected");
    assert_eq!(silent.read(&mut [0]).await.expect("closed in order"), 0);
}
