//! Crowds of clients that don't behave, against real processes.
//!
//! Guards against processes that run out of memory or descriptors, or serve nobody else, because of what clients hold
//! there: bodies that stop short of their end or go beyond every limit, heads and frames that don't end, and responses that nobody reads.
//! Each test checks that the process lives, that its peak memory and open descriptors stay within its settings, and that
//! ordinary requests, a small and a largest one, are answered while the crowd stands and after it has gone. None checks
//! times.

#[path = "../../../tidepoint/tests/stand/proc.rs"]
#[allow(dead_code)] // These tests use only some of the functions.
mod proc;
#[path = "../../../tidepoint/tests/stand/mod.rs"]
#[allow(dead_code)] // These tests use only some of the fakes.
mod stand;

mod crowd;
mod deployment;

use std::sync::{Mutex, MutexGuard, PoisonError};

use crowd::{in_chunks, in_one_chunk, unfinished_head, with_length, Crowd, Then};
use deployment::{
    client_fields, configuration, Daemon, Deployment, Net, ANSWER_BYTES_HEADER, MAX_BODY_BYTES, MAX_CONFIG_BYTES,
};

const CLIENT_START: &str = "POST /x/1";
const OPERATOR_START: &str = "PUT /config";
const OPERATOR_FIELDS: &str = "Host: c\r\nIf-Match: 1\r\n";
const CHUNK_BYTES: usize = 64 * 1024;
/// Content that a frame between daemons may announce, in bytes.
const FRAME_BODY_BYTES: usize = 12 * 1024 * 1024;

static ONE_AT_A_TIME: Mutex<()> = Mutex::new(());

/// Keeps the tests of this file from running side by side.
fn alone() -> MutexGuard<'static, ()> {
    ONE_AT_A_TIME.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Plays a crowd at the router's address for clients.
fn play_at_router(net: u8, size: usize, message: Vec<u8>, then: Then) {
    let _alone = alone();
    let mut deployment = Deployment::start_configured(Net(net));
    deployment.assert_serves_largest_body();
    let crowd = Crowd::gather(size, &deployment.net.frontend(), message, then);
    deployment.assert_within_limits(Daemon::Router);
    deployment.assert_serves("hello");
    deployment.assert_ready();
    deployment.assert_serves_largest_body();
    drop(crowd);
    deployment.assert_serves("hello");
    deployment.assert_serves_largest_body();
    deployment.assert_within_limits(Daemon::Router);
    deployment.finish();
}

/// Plays a crowd at one of the controller's addresses.
fn play_at_controller(net: u8, size: usize, address: impl Fn(Net) -> String, message: Vec<u8>) {
    let _alone = alone();
    let mut deployment = Deployment::start_configured(Net(net));
    let crowd = Crowd::gather(size, &address(deployment.net), message, Then::StaysSilent);
    deployment.assert_within_limits(Daemon::Controller);
    deployment.assert_takes_configuration(1, "");
    deployment.assert_serves("hello");
    drop(crowd);
    let largest = "f".repeat(MAX_CONFIG_BYTES - configuration(3, "").len());
    deployment.assert_takes_configuration(2, &largest);
    deployment.assert_serves("hello");
    deployment.assert_within_limits(Daemon::Controller);
    deployment.finish();
}

#[test]
fn whole_bodies_with_a_length() {
    let message = with_length(CLIENT_START, &client_fields(), MAX_BODY_BYTES, MAX_BODY_BYTES);
    play_at_router(111, 110, message, Then::Reads);
}

#[test]
fn whole_bodies_in_chunks() {
    let mut message = in_chunks(CLIENT_START, &client_fields(), CHUNK_BYTES, MAX_BODY_BYTES);
    message.extend_from_slice(b"0\r\n\r\n");
    play_at_router(112, 110, message, Then::Reads);
}

#[test]
fn bodies_with_a_length_short_of_their_end() {
    let message = with_length(CLIENT_START, &client_fields(), MAX_BODY_BYTES, MAX_BODY_BYTES - 1);
    play_at_router(113, 110, message, Then::StaysSilent);
}

#[test]
fn bodies_that_trickle_near_their_end() {
    let message = with_length(CLIENT_START, &client_fields(), MAX_BODY_BYTES, MAX_BODY_BYTES - 1000);
    play_at_router(132, 110, message, Then::Trickles);
}

#[test]
fn bodies_in_chunks_short_of_their_end() {
    let message = in_chunks(CLIENT_START, &client_fields(), CHUNK_BYTES, MAX_BODY_BYTES);
    play_at_router(114, 110, message, Then::StaysSilent);
}

#[test]
fn half_bodies_in_chunks() {
    let message = in_chunks(CLIENT_START, &client_fields(), CHUNK_BYTES, MAX_BODY_BYTES / 2);
    play_at_router(115, 220, message, Then::StaysSilent);
}

#[test]
fn chunked_bodies_far_over_the_limit() {
    let message = in_chunks(CLIENT_START, &client_fields(), CHUNK_BYTES, 4 * MAX_BODY_BYTES);
    play_at_router(116, 400, message, Then::StaysSilent);
}

#[test]
fn one_chunk_announced_as_huge() {
    let message = in_one_chunk(CLIENT_START, &client_fields(), u32::MAX as usize, MAX_BODY_BYTES);
    play_at_router(117, 110, message, Then::StaysSilent);
}

#[test]
fn bodies_in_chunks_of_one_byte() {
    let message = in_chunks(CLIENT_START, &client_fields(), 1, 60_000);
    play_at_router(118, 110, message, Then::StaysSilent);
}

#[test]
fn announced_lengths_over_the_limit() {
    let message = with_length(CLIENT_START, &client_fields(), 64 * MAX_BODY_BYTES, MAX_BODY_BYTES);
    play_at_router(119, 400, message, Then::StaysSilent);
}

#[test]
fn small_bodies_short_of_their_end() {
    let message = with_length(CLIENT_START, &client_fields(), CHUNK_BYTES, CHUNK_BYTES - 1);
    play_at_router(131, 800, message, Then::StaysSilent);
}

#[test]
fn heads_short_of_their_end() {
    play_at_router(120, 800, unfinished_head(CLIENT_START, 16_000), Then::StaysSilent);
}

#[test]
fn answers_that_nobody_reads() {
    let fields = format!("{}{ANSWER_BYTES_HEADER}: {}\r\n", client_fields(), 16 * MAX_BODY_BYTES);
    play_at_router(121, 110, with_length(CLIENT_START, &fields, 0, 0), Then::StaysSilent);
}

#[test]
fn bodies_before_the_first_configuration() {
    let _alone = alone();
    let mut deployment = Deployment::start(Net(122));
    let message = with_length(CLIENT_START, &client_fields(), 2 * MAX_BODY_BYTES, 2 * MAX_BODY_BYTES - 1);
    let crowd = Crowd::gather(60, &deployment.net.frontend(), message, Then::StaysSilent);
    deployment.assert_within_limits(Daemon::Router);
    deployment.configure();
    drop(crowd);
    deployment.assert_serves_largest_body();
    deployment.assert_within_limits(Daemon::Router);
    deployment.finish();
}

#[test]
fn readiness_checks_short_of_their_end() {
    let _alone = alone();
    let mut deployment = Deployment::start_configured(Net(123));
    let message = unfinished_head("GET /ready", 4000);
    let crowd = Crowd::gather(100, &deployment.net.readiness(), message, Then::StaysSilent);
    deployment.assert_ready();
    deployment.assert_within_limits(Daemon::Router);
    drop(crowd);
    deployment.assert_ready();
    deployment.finish();
}

#[test]
fn scrapes_short_of_their_end() {
    let _alone = alone();
    let mut deployment = Deployment::start_configured(Net(133));
    let message = unfinished_head("GET /metrics", 4000);
    let crowd = Crowd::gather(20, &deployment.net.router_metrics(), message, Then::StaysSilent);
    deployment.assert_reports_metrics();
    deployment.assert_within_limits(Daemon::Router);
    drop(crowd);
    deployment.assert_reports_metrics();
    deployment.finish();
}

#[test]
fn several_crowds_at_once() {
    let _alone = alone();
    let mut deployment = Deployment::start_configured(Net(134));
    let unread = format!("{}{ANSWER_BYTES_HEADER}: {}\r\n", client_fields(), 16 * MAX_BODY_BYTES);
    let messages = [
        with_length(CLIENT_START, &unread, 0, 0),
        unfinished_head(CLIENT_START, 16_000),
        in_chunks(CLIENT_START, &client_fields(), CHUNK_BYTES, MAX_BODY_BYTES),
        with_length(CLIENT_START, &client_fields(), CHUNK_BYTES, CHUNK_BYTES - 1),
    ];
    let crowds = messages.map(|message| Crowd::gather(200, &deployment.net.frontend(), message, Then::StaysSilent));
    deployment.assert_within_limits(Daemon::Router);
    deployment.assert_serves("hello");
    deployment.assert_serves_largest_body();
    drop(crowds);
    deployment.assert_serves("hello");
    deployment.assert_within_limits(Daemon::Router);
    deployment.finish();
}

#[test]
fn configurations_short_of_their_end() {
    let message = with_length(OPERATOR_START, OPERATOR_FIELDS, MAX_CONFIG_BYTES, MAX_CONFIG_BYTES - 1);
    play_at_controller(124, 60, Net::control, message);
}

#[test]
fn configurations_over_the_limit() {
    let message = in_chunks(OPERATOR_START, OPERATOR_FIELDS, CHUNK_BYTES, 4 * MAX_CONFIG_BYTES);
    play_at_controller(125, 60, Net::control, message);
}

#[test]
fn whole_configurations_of_the_largest_size() {
    let filler = "f".repeat(MAX_CONFIG_BYTES - configuration(9, "").len());
    let body = configuration(9, &filler);
    let mut message = with_length(OPERATOR_START, "Host: c\r\nIf-Match: 7\r\n", body.len(), 0);
    message.extend_from_slice(body.as_bytes());
    play_at_controller(126, 60, Net::control, message);
}

#[test]
fn configurations_that_nobody_reads() {
    let _alone = alone();
    let mut deployment = Deployment::start_configured(Net(130));
    let largest = "f".repeat(MAX_CONFIG_BYTES - configuration(2, "").len());
    deployment.assert_takes_configuration(1, &largest);
    let message = with_length("GET /config", "Host: c\r\n", 0, 0);
    let crowd = Crowd::gather(60, &deployment.net.control(), message, Then::StaysSilent);
    deployment.assert_within_limits(Daemon::Controller);
    deployment.assert_takes_configuration(2, "");
    drop(crowd);
    deployment.assert_serves("hello");
    deployment.assert_within_limits(Daemon::Controller);
    deployment.finish();
}

#[test]
fn operators_heads_short_of_their_end() {
    play_at_controller(127, 2200, Net::control, unfinished_head(OPERATOR_START, 300_000));
}

#[test]
fn frames_short_of_their_end() {
    play_at_controller(128, 60, Net::peers, unfinished_frame(FRAME_BODY_BYTES - 1));
}

#[test]
fn connections_of_peers_that_send_nothing() {
    play_at_controller(129, 2200, Net::peers, Vec::new());
}

/// Returns a frame between daemons that announces the longest body, of which `sent` bytes are sent.
fn unfinished_frame(sent: usize) -> Vec<u8> {
    const MAGIC: u32 = 0x7464_7031;
    const VERSION: u16 = 1;
    const NOTIFICATION: u16 = 3;
    let mut frame = MAGIC.to_le_bytes().to_vec();
    frame.extend_from_slice(&VERSION.to_le_bytes());
    frame.extend_from_slice(&NOTIFICATION.to_le_bytes());
    frame.extend_from_slice(&0u64.to_le_bytes());
    frame.extend_from_slice(&(FRAME_BODY_BYTES as u32).to_le_bytes());
    frame.resize(frame.len() + sent, 0);
    frame
}
