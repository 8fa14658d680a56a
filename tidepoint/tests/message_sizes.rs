//! Checks the encoded sizes of messages: those that go to many receivers must not grow with the fleet.

use std::collections::HashMap;

use load_balancing::{summarize_usage, UsageSample};
use protocol::frame::{self, Kind};
use protocol::message::{
    EndpointList, EndpointUpdate, Engine, EngineLoad, Gossip, Message, PrefixLookup, PrefixLookupResponse,
    PrefixRegistration, Record,
};

/// Returns the encoded size of a message in bytes.
fn encoded_size(message: &Message) -> u64 {
    frame::encode(Kind::Notification, 0, message).map_or(0, |frame| frame.len() as u64)
}

fn engine(number: usize) -> Engine {
    Engine {
        id: format!("i-{:08x}", number * 0x9E37_79B9 % 0xffff_fffb),
        service: "huvo11a".into(),
        addr: format!("10.1.{}.{}:8080", number / 250, number % 250),
        zone: "zone-a".into(),
        phase: if number.is_multiple_of(4) { "prefill" } else { "decode" }.into(),
        model: "m".into(),
        slots: 16,
        up: true,
        cold_ms: 0,
    }
}

/// Returns the size of a controller's heartbeat to a balancer of an earlier version, when its routers have requests at
/// `engines` engines.
fn heartbeat_with_loads(engines: usize) -> u64 {
    let gossip = Gossip {
        ip: "10.0.0.1".into(),
        zone: "a".into(),
        incarnation: 1,
        eligible: true,
        membership: Default::default(),
        peers: Vec::new(),
        router_count: 67,
        in_flight: (0..engines).map(|at| (format!("i-{at:010}"), 3)).collect(),
        reassigning: Vec::new(),
        frontend_addresses: (0..67).map(|at| format!("10.0.1.{at}:8000")).collect(),
        list_versions: Vec::new(),
        observed_list_versions: Vec::new(),
    };
    encoded_size(&Message::Gossip(Box::new(gossip)))
}

/// Returns the size of the usage report to a balancer of this version, when the sender's routers have requests at all
/// engines.
fn usage_report(engines: usize) -> u64 {
    let list: Vec<Engine> = (0..engines).map(engine).collect();
    let in_flight: HashMap<&str, u32> = list.iter().map(|engine| (engine.id.as_str(), 3)).collect();
    let eligible: Vec<&Engine> = list.iter().collect();
    let usage = summarize_usage("10.0.0.1", &eligible, &UsageSample::of(list.iter()), &in_flight);
    encoded_size(&Message::EngineUsage(Box::new(usage)))
}

#[test]
fn catalog_messages_of_one_request_stay_below_2000_bytes() {
    let loads =
        |count: u64| (0..count).map(|name| EngineLoad { engine_hash: name, load: 3, age_ms: 90 }).collect::<Vec<_>>();
    let record = |key| Record { key, engine: "i-0123456789".into() };
    let registration = PrefixRegistration { epoch: 1, owners: (0..3).map(record).collect(), loads: loads(1) };
    let owners = vec![vec!["i-0123456789".to_string(); 2]; 2];
    let messages = [
        Message::PrefixLookup(Box::new(PrefixLookup { epoch: 1, keys: vec![1, 2], sample: (0..10).collect() })),
        Message::PrefixLookupResponse(Box::new(PrefixLookupResponse { epoch: 1, owners, list: loads(12) })),
        Message::PrefixRegistration(Box::new(registration.clone())),
        Message::Flush(Box::new((1, 3))),
        Message::Flushed(Box::new((1, 0))),
        Message::PrefixRegistration(Box::new(registration)),
    ];
    let sizes: Vec<u64> = messages.iter().map(encoded_size).collect();
    println!("catalog messages of one request: {sizes:?}, {} B", sizes.iter().sum::<u64>());
    // These sizes do not depend on the size of the fleet and must stay so.
    assert!(sizes.iter().sum::<u64>() < 2000, "{sizes:?}");
}

#[test]
fn usage_report_has_a_bounded_size_whatever_the_fleet() {
    let fleets = [400, 1600, 6400];
    let (heartbeats, reports) = (fleets.map(heartbeat_with_loads), fleets.map(usage_report));
    println!(
        "loads with 400, 1600, 6400 engines in use: {heartbeats:?} B as one entry per engine, {reports:?} B \
         as sums and a sample"
    );
    assert!(heartbeats[2] > heartbeats[0]);
    assert!(reports.iter().all(|bytes| *bytes < 4096), "{reports:?}");
}

#[test]
fn endpoint_update_of_one_engine_is_smaller_than_the_list() {
    let list = |engines: Vec<Engine>, sequence| EndpointList { zone: "zone-a".into(), term: 9, sequence, engines };
    let old = list((0..640).map(engine).collect(), 1);
    let mut engines = old.engines.clone();
    engines[7].up = false;
    let new = list(engines, 2);
    let sizes = [
        Message::EndpointList(Box::new(new.clone())),
        Message::EndpointUpdate(Box::new(EndpointUpdate::whole(&new))),
        Message::EndpointUpdate(Box::new(EndpointUpdate::between(&old, &new))),
    ];
    let [full_list, full_update, change] = sizes.map(|message| encoded_size(&message));
    println!(
        "a zone of 640 engines: {full_list} B as a list, {full_update} B as a full update, {change} B for one \
         engine"
    );
    assert!(change < 400 && full_update * 2 < full_list, "{full_list} {full_update} {change}");
}
