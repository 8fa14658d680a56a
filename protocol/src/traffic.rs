//! Counters of the messages exchanged with other daemons, by kind of message and direction.
//!
//! The counters are global to the process: every connection updates them, and the metrics of the process export them.

use std::sync::LazyLock;

use prometheus_client::encoding::{EncodeLabelSet, EncodeLabelValue};
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::registry::Registry;

use crate::frame;
use crate::message::MessageKind;

/// Whether a message was sent or received. Variants are label values of metrics.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, EncodeLabelValue)]
pub enum Direction {
    /// Written to a connection.
    Sent,
    /// Read from a connection.
    Received,
}

/// The labels of the message metrics.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct TrafficLabels {
    message: MessageKind,
    direction: Direction,
}

#[derive(Default)]
struct Traffic {
    messages: Family<TrafficLabels, Counter>,
    bytes: Family<TrafficLabels, Counter>,
    dropped: Counter,
}

static TRAFFIC: LazyLock<Traffic> = LazyLock::new(Traffic::default);

/// Counts a frame, including its header.
pub(crate) fn record(direction: Direction, bytes: &[u8]) {
    let Some(message) = frame::message_kind(bytes) else { return };
    let labels = TrafficLabels { message, direction };
    TRAFFIC.messages.get_or_create(&labels).inc();
    TRAFFIC.bytes.get_or_create(&labels).inc_by(bytes.len() as u64);
}

/// Counts a frame that was dropped because the queue of its connection was full.
pub(crate) fn record_dropped() {
    TRAFFIC.dropped.inc();
}

/// Registers the counters of messages between daemons.
pub fn register(registry: &mut Registry) {
    // A family without a series is not exported, so these exist even if the process has not sent anything yet.
    let labels = TrafficLabels { message: MessageKind::Rejected, direction: Direction::Sent };
    TRAFFIC.messages.get_or_create(&labels).inc_by(0);
    TRAFFIC.bytes.get_or_create(&labels).inc_by(0);
    let help = "Messages exchanged with other daemons";
    registry.register("messages", help, TRAFFIC.messages.clone());
    let help = "Bytes of messages exchanged with other daemons, including headers";
    registry.register("message_bytes", help, TRAFFIC.bytes.clone());
    let help = "Messages dropped because the send queue of their connection was full";
    registry.register("messages_dropped", help, TRAFFIC.dropped.clone());
}

#[cfg(test)]
#[path = "traffic_tests.rs"]
mod tests;
