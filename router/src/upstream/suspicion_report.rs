//! Reports about suspected engines that routers send to one another through the controllers.
//!
//! An engine that is unreachable from one zone may be healthy from another, so a report of whether it responds names
//! the zone that it was probed from.

/// A report about one engine. On the wire it is the engine's id, with a prefix in all but the first variant; peers of
/// earlier versions know no engine with a prefixed id and ignore the report.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SuspicionReport<'a> {
    /// A router's request got no response: a sample of the other routers probes the engine.
    Suspected(&'a str),
    /// The probe of a sampled router got no response either.
    Unresponsive(ProbeResult<'a>),
    /// The engine responds again.
    Responded(ProbeResult<'a>),
}

/// The engine that was probed, and from where.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ProbeResult<'a> {
    /// The id of the engine.
    pub engine: &'a str,
    /// The zone of the router that probed it; `None` if the router did not name it.
    pub probed_from: Option<&'a str>,
}

impl ProbeResult<'_> {
    /// Returns whether the result applies to the routers of a zone.
    pub fn applies_to(&self, zone: &str) -> bool {
        self.probed_from.is_none_or(|probed_from| probed_from == zone)
    }
}

/// Prefix of the id of an unresponsive engine.
const UNRESPONSIVE_PREFIX: &str = "\0dark";
/// Prefix of the id of an engine that responds again.
const RESPONDED_PREFIX: &str = "\0calm";
/// Precedes the zone in a prefix.
const ZONE_MARK: char = '@';
/// Ends a prefix.
const PREFIX_END: char = '/';

/// Decodes the text after a prefix: the zone, if it is named, and the engine.
fn decode_probe_result(text: &str) -> Option<ProbeResult<'_>> {
    if let Some(engine) = text.strip_prefix(PREFIX_END) {
        return Some(ProbeResult { engine, probed_from: None });
    }
    let (zone, engine) = text.strip_prefix(ZONE_MARK)?.split_once(PREFIX_END)?;
    Some(ProbeResult { engine, probed_from: Some(zone) })
}

fn encode_probe_result(prefix: &str, result: ProbeResult<'_>) -> String {
    match result.probed_from.filter(|zone| !zone.contains(PREFIX_END)) {
        Some(zone) => format!("{prefix}{ZONE_MARK}{zone}{PREFIX_END}{}", result.engine),
        None => format!("{prefix}{PREFIX_END}{}", result.engine),
    }
}

impl<'a> SuspicionReport<'a> {
    /// Decodes a report from the wire.
    pub fn decode(name: &'a str) -> SuspicionReport<'a> {
        let probe_result = |prefix| name.strip_prefix(prefix).and_then(decode_probe_result);
        if let Some(unresponsive) = probe_result(UNRESPONSIVE_PREFIX) {
            return SuspicionReport::Unresponsive(unresponsive);
        }
        probe_result(RESPONDED_PREFIX).map_or(SuspicionReport::Suspected(name), SuspicionReport::Responded)
    }

    /// Encodes a report for the wire.
    pub fn encode(self) -> String {
        match self {
            SuspicionReport::Suspected(engine) => engine.into(),
            SuspicionReport::Unresponsive(result) => encode_probe_result(UNRESPONSIVE_PREFIX, result),
            SuspicionReport::Responded(result) => encode_probe_result(RESPONDED_PREFIX, result),
        }
    }

    /// Returns the id of the engine.
    pub fn engine(self) -> &'a str {
        match self {
            SuspicionReport::Suspected(engine) => engine,
            SuspicionReport::Unresponsive(result) | SuspicionReport::Responded(result) => result.engine,
        }
    }
}
