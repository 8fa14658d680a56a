//! Graceful shutdown while clients keep sending, as happens if fewer than half of a zone's routers are ready.

use std::net::TcpListener;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::runtime::Builder;
use tokio::sync::oneshot::{self, Receiver};
use tokio::sync::Notify;
use tokio::task::{self, JoinSet};
use tokio::time;

use crate::frontend::drain::DrainPhase;
use crate::frontend::listener;
use crate::metrics::Stage;
use crate::startup;
use crate::state::State;
use crate::testing::engine::{self, engine_response, engines, events, head_and_rest, Engine, EngineAction};
use crate::testing::router::{post, status, unproved_router_with, SETTINGS};

/// The grace period of these routers, in seconds.
const GRACE_S: f64 = 1.6;
const STREAM_END: &str = "0\r\n\r\n";

/// A router in its own runtime. Like a process exit, its end drops everything that is still open.
struct Process {
    state: Arc<State>,
    address: String,
    terminate: Arc<Notify>,
    ended: Receiver<()>,
}

fn free_address() -> String {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    listener.local_addr().expect("local address").to_string()
}

impl Process {
    fn start(engines: &[Engine], is_config_proved: bool) -> Process {
        let address = free_address();
        let bounds = format!("budget_slack = 0.0, grace_s = {GRACE_S:?}");
        let settings = SETTINGS.replace("budget_slack = 0.0", &bounds);
        let settings = format!("{settings}\nbind_addresses = {{ frontend = {address:?} }}\n");
        let state = unproved_router_with(&settings, engines, 5.0);
        if is_config_proved {
            state.freshness.prove(i64::MAX);
        }
        let terminate = Arc::new(Notify::new());
        let (end_sender, ended) = oneshot::channel();
        let (router_state, signal) = (state.clone(), terminate.clone());
        thread::spawn(move || {
            let runtime = Builder::new_current_thread().enable_all().build().expect("build the runtime");
            runtime.block_on(async {
                tokio::spawn(listener::serve_frontend(router_state.clone()));
                signal.notified().await;
                startup::shut_down(&router_state).await;
            });
            drop(runtime);
            let _ = end_sender.send(());
        });
        Process { state, address, terminate, ended }
    }

    /// Connects to the router; `None` if it does not listen.
    async fn connect(address: &str) -> Option<TcpStream> {
        TcpStream::connect(address).await.ok()
    }

    /// Connects to the router as soon as it listens.
    async fn first_connection(&self) -> TcpStream {
        loop {
            match Process::connect(&self.address).await {
                Some(stream) => return stream,
                None => task::yield_now().await,
            }
        }
    }
}

/// What a client received for one request.
#[derive(Debug)]
struct Received {
    attempt: String,
    text: String,
}

/// Sends a streaming request, and returns what was received until the stream or the connection ended.
async fn request(address: String, attempt: String) -> Received {
    let mut received = Received { attempt, text: String::new() };
    let Some(mut stream) = Process::connect(&address).await else { return received };
    let text = post("stream", &received.attempt, "");
    if stream.write_all(text.as_bytes()).await.is_err() {
        return received;
    }
    let mut bytes = Vec::new();
    let mut buffer = [0; 4096];
    while let Ok(size) = stream.read(&mut buffer).await {
        bytes.extend_from_slice(&buffer[..size]);
        if size == 0 || bytes.ends_with(STREAM_END.as_bytes()) {
            break;
        }
    }
    received.text = String::from_utf8_lossy(&bytes).into_owned();
    received
}

/// Returns whether a request was lost: its response was cut off, or it failed although it had reached an engine.
fn is_lost(received: &Received, engines: &[Engine]) -> bool {
    if status(&received.text) == "200" {
        return !received.text.ends_with(STREAM_END);
    }
    engine::received_requests(engines).iter().any(|request| request.attempt() == received.attempt)
}

/// Starts engines whose streams end at the next tick after their head, so that some streams are always in flight.
async fn slow_engines() -> Vec<Engine> {
    let release = Arc::new(Notify::new());
    let releaser = release.clone();
    tokio::spawn(async move {
        let mut interval = time::interval(Duration::from_millis(150));
        loop {
            interval.tick().await;
            releaser.notify_waiters();
        }
    });
    engines("decode", 3, move |request, _| {
        let (head, rest) = head_and_rest(request);
        EngineAction::SendAndLater(head, release.clone(), rest)
    })
    .await
}

#[tokio::test]
async fn no_accepted_request_is_lost_if_requests_keep_arriving_during_shutdown() {
    let engines = slow_engines().await;
    let mut process = Process::start(&engines, true);
    drop(process.first_connection().await);
    let mut clients = JoinSet::new();
    let mut arrivals = time::interval(Duration::from_millis(15));
    let mut count = 0;
    loop {
        arrivals.tick().await;
        count += 1;
        clients.spawn(request(process.address.clone(), format!("r{count}")));
        if count == 20 {
            process.terminate.notify_one();
        }
        if process.ended.try_recv().is_ok() {
            break;
        }
        assert!(count < 1000, "the process ends within its grace period");
    }
    let received = clients.join_all().await;
    let served = received.iter().filter(|received| received.text.ends_with(STREAM_END)).count();
    assert!(served > 20, "requests are also served after SIGTERM: {served}");
    let lost: Vec<_> = received.iter().filter(|received| is_lost(received, &engines)).collect();
    assert!(lost.is_empty(), "{} of {} lost, first {:?}", lost.len(), received.len(), lost[0]);
}

#[tokio::test]
async fn a_request_that_waits_for_admission_gets_a_response_before_the_process_ends() {
    let engines =
        engines("decode", 1, |request, _| EngineAction::Send(engine_response(request, "200 OK", "hello"))).await;
    let process = Process::start(&engines, false);
    let mut stream = process.first_connection().await;
    process.terminate.notify_one();
    // The route is unknown and no freshness proof arrives, so the request waits until the router is closing.
    let accept_time = Duration::from_secs_f64(GRACE_S * 0.4);
    time::sleep(accept_time.saturating_sub(Duration::from_millis(100))).await;
    let text = post("unknown", "1", "Connection: close\r\n");
    stream.write_all(text.as_bytes()).await.expect("write to the router");
    let mut response = String::new();
    let result = stream.read_to_string(&mut response).await;
    assert!(result.is_ok() && status(&response) == "503", "{result:?} {response:?}");
    assert_eq!(process.state.metrics.requests_in_stage(DrainPhase::Draining, Stage::Reading), 0);
}

#[tokio::test]
async fn during_shutdown_a_request_longer_than_the_remaining_time_is_rejected_before_any_send() {
    let engines = engines("decode", 1, |request, _| EngineAction::Send(events(request, 1, 3, true))).await;
    let process = Process::start(&engines, true);
    drop(process.first_connection().await);
    let durations = process.state.table().route("stream").expect("route exists").durations.clone();
    (0..40).for_each(|_| durations.record(2500));
    process.terminate.notify_one();
    while process.state.drain.remaining_ms().is_none() {
        task::yield_now().await;
    }
    let long = request(process.address.clone(), "long".into()).await;
    assert_eq!(status(&long.text), "503", "{}", long.text);
    assert!(long.text.to_lowercase().contains("retry-after"), "{}", long.text);
    (0..1000).for_each(|_| durations.record(50));
    let short = request(process.address.clone(), "short".into()).await;
    assert_eq!(status(&short.text), "200", "{}", short.text);
    let requests = engine::received_requests(&engines);
    assert_eq!(requests.iter().map(|request| request.attempt()).collect::<Vec<_>>(), ["short"]);
}
