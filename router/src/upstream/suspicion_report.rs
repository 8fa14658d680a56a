//! What routers tell one another of an engine that is in doubt.

/// What routers tell one another of an engine, through the controllers. Peers of earlier versions know no engine of the
/// marked names.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SuspicionReport<'a> {
    /// It gave a router no sign of life: some others ask it.
    Suspected(&'a str),
    /// One of those that were drawn got no answer either.
    Unresponsive(&'a str),
    /// It answered again.
    Responded(&'a str),
}

const UNRESPONSIVE_PREFIX: &str = "\0dark/";
const RESPONDED_PREFIX: &str = "\0calm/";

impl<'a> SuspicionReport<'a> {
    pub fn decode(name: &'a str) -> SuspicionReport<'a> {
        if let Some(engine) = name.strip_prefix(UNRESPONSIVE_PREFIX) {
            return SuspicionReport::Unresponsive(engine);
        }
        name.strip_prefix(RESPONDED_PREFIX).map_or(SuspicionReport::Suspected(name), SuspicionReport::Responded)
    }

    pub fn encode(self) -> String {
        match self {
            SuspicionReport::Suspected(engine) => engine.into(),
            SuspicionReport::Unresponsive(engine) => format!("{UNRESPONSIVE_PREFIX}{engine}"),
            SuspicionReport::Responded(engine) => format!("{RESPONDED_PREFIX}{engine}"),
        }
    }

    pub fn engine(self) -> &'a str {
        let (SuspicionReport::Suspected(engine)
        | SuspicionReport::Unresponsive(engine)
        | SuspicionReport::Responded(engine)) = self;
        engine
    }
}
