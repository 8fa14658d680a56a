//! What routers tell one another of an engine that is in doubt.

/// What routers tell one another of an engine, through the controllers. Peers of earlier versions know no engine of the
/// marked names.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Word<'a> {
    /// It gave a router no sign of life: some others ask it.
    Doubted(&'a str),
    /// One of those that were drawn got no answer either.
    Dark(&'a str),
    /// It answered again.
    Answered(&'a str),
}

const DARK: &str = "\0dark/";
const ANSWERED: &str = "\0calm/";

impl<'a> Word<'a> {
    pub fn read(name: &'a str) -> Word<'a> {
        if let Some(engine) = name.strip_prefix(DARK) {
            return Word::Dark(engine);
        }
        name.strip_prefix(ANSWERED).map_or(Word::Doubted(name), Word::Answered)
    }

    pub fn write(self) -> String {
        match self {
            Word::Doubted(engine) => engine.into(),
            Word::Dark(engine) => format!("{DARK}{engine}"),
            Word::Answered(engine) => format!("{ANSWERED}{engine}"),
        }
    }

    pub fn engine(self) -> &'a str {
        let (Word::Doubted(engine) | Word::Dark(engine) | Word::Answered(engine)) = self;
        engine
    }
}
