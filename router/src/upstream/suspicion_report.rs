//! What routers report to one another about a suspected engine, through the controllers.

/// A report about one engine. It travels as the engine's id with a prefix; peers of earlier versions know no engine
/// of a prefixed name and ignore it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SuspicionReport<'a> {
    /// It gave a router no sign of life: some others probe it.
    Suspected(&'a str),
    /// A router that was sampled got no response either.
    Unresponsive(&'a str),
    /// It responds again.
    Responded(&'a str),
}

/// The prefix of an unresponsive engine's id.
const UNRESPONSIVE_PREFIX: &str = "\0dark/";
/// The prefix of the id of an engine that responds again.
const RESPONDED_PREFIX: &str = "\0calm/";

impl<'a> SuspicionReport<'a> {
    /// Decodes a report from its form on the wire.
    pub fn decode(name: &'a str) -> SuspicionReport<'a> {
        if let Some(engine) = name.strip_prefix(UNRESPONSIVE_PREFIX) {
            return SuspicionReport::Unresponsive(engine);
        }
        name.strip_prefix(RESPONDED_PREFIX).map_or(SuspicionReport::Suspected(name), SuspicionReport::Responded)
    }

    /// Encodes a report for the wire.
    pub fn encode(self) -> String {
        match self {
            SuspicionReport::Suspected(engine) => engine.into(),
            SuspicionReport::Unresponsive(engine) => format!("{UNRESPONSIVE_PREFIX}{engine}"),
            SuspicionReport::Responded(engine) => format!("{RESPONDED_PREFIX}{engine}"),
        }
    }

    /// Returns the id of the engine.
    pub fn engine(self) -> &'a str {
        let (SuspicionReport::Suspected(engine)
        | SuspicionReport::Unresponsive(engine)
        | SuspicionReport::Responded(engine)) = self;
        engine
    }
}
