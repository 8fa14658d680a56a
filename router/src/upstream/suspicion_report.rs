//! What routers report to one another about a suspected engine, through the controllers.
//!
//! An engine that one zone cannot reach may be well for another: whether it responds is reported with the zone that it was
//! seen from.

/// A report about one engine. It travels as the engine's id with a prefix; peers of earlier versions know no engine
/// of a prefixed name and ignore it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SuspicionReport<'a> {
    /// It gave a router no sign of life: some others probe it.
    Suspected(&'a str),
    /// A router that was sampled got no response either.
    Unresponsive(Sighting<'a>),
    /// It responds again.
    Responded(Sighting<'a>),
}

/// What a probe showed of an engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Sighting<'a> {
    /// The id of the engine.
    pub engine: &'a str,
    /// The zone of the router that probed it; `None` from routers that do not tell it.
    pub seen_from: Option<&'a str>,
}

impl Sighting<'_> {
    /// Returns whether it holds for routers of a zone.
    pub fn holds_in(&self, zone: &str) -> bool {
        self.seen_from.is_none_or(|seen_from| seen_from == zone)
    }
}

/// The prefix of an unresponsive engine's id.
const UNRESPONSIVE_PREFIX: &str = "\0dark";
/// The prefix of the id of an engine that responds again.
const RESPONDED_PREFIX: &str = "\0calm";
/// Stands before the zone in a prefix.
const ZONE_MARK: char = '@';
/// Ends a prefix.
const PREFIX_END: char = '/';

/// Decodes what follows a prefix: the zone, if it is told, and the engine.
fn decode_sighting(text: &str) -> Option<Sighting<'_>> {
    if let Some(engine) = text.strip_prefix(PREFIX_END) {
        return Some(Sighting { engine, seen_from: None });
    }
    let (zone, engine) = text.strip_prefix(ZONE_MARK)?.split_once(PREFIX_END)?;
    Some(Sighting { engine, seen_from: Some(zone) })
}

fn encode_sighting(prefix: &str, sighting: Sighting<'_>) -> String {
    match sighting.seen_from.filter(|zone| !zone.contains(PREFIX_END)) {
        Some(zone) => format!("{prefix}{ZONE_MARK}{zone}{PREFIX_END}{}", sighting.engine),
        None => format!("{prefix}{PREFIX_END}{}", sighting.engine),
    }
}

impl<'a> SuspicionReport<'a> {
    /// Decodes a report from its form on the wire.
    pub fn decode(name: &'a str) -> SuspicionReport<'a> {
        let sighting = |prefix| name.strip_prefix(prefix).and_then(decode_sighting);
        if let Some(unresponsive) = sighting(UNRESPONSIVE_PREFIX) {
            return SuspicionReport::Unresponsive(unresponsive);
        }
        sighting(RESPONDED_PREFIX).map_or(SuspicionReport::Suspected(name), SuspicionReport::Responded)
    }

    /// Encodes a report for the wire.
    pub fn encode(self) -> String {
        match self {
            SuspicionReport::Suspected(engine) => engine.into(),
            SuspicionReport::Unresponsive(sighting) => encode_sighting(UNRESPONSIVE_PREFIX, sighting),
            SuspicionReport::Responded(sighting) => encode_sighting(RESPONDED_PREFIX, sighting),
        }
    }

    /// Returns the id of the engine.
    pub fn engine(self) -> &'a str {
        match self {
            SuspicionReport::Suspected(engine) => engine,
            SuspicionReport::Unresponsive(sighting) | SuspicionReport::Responded(sighting) => sighting.engine,
        }
    }
}
