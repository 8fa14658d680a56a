//! Numbered log events over `slog`. The catalogue is `docs/events.md`; a test holds the two together.

/// Invariant: `code` is unique over the project and never given to another meaning.
pub struct Event {
    pub code: u16,
    pub text: &'static str,
}

static ROOT: std::sync::OnceLock<slog::Logger> = std::sync::OnceLock::new();

/// One line an event: steady milliseconds, code, text, then key=value pairs.
struct Line;

struct Pairs<'a>(&'a mut String);

impl slog::Serializer for Pairs<'_> {
    fn emit_arguments(&mut self, key: slog::Key, value: &std::fmt::Arguments) -> slog::Result {
        use std::fmt::Write;
        let _ = write!(self.0, " {key}={value}");
        Ok(())
    }
}

impl slog::Drain for Line {
    type Ok = ();
    type Err = slog::Never;

    fn log(&self, record: &slog::Record, _: &slog::OwnedKVList) -> Result<(), slog::Never> {
        use slog::KV;
        use std::io::Write;
        let mut text = format!("{} {} {}", crate::clock::now(), record.level().as_short_str(), record.msg());
        let _ = record.kv().serialize(record, &mut Pairs(&mut text));
        text.push('\n');
        let _ = std::io::stdout().write_all(text.as_bytes());
        Ok(())
    }
}

pub fn root() -> &'static slog::Logger {
    ROOT.get_or_init(|| slog::Logger::root(Line, slog::o!()))
}

/// `say!(EVENT, "key" => value, ...)`: one numbered event at the level info.
#[macro_export]
macro_rules! say {
    ($event:expr $(, $key:literal => $value:expr)* $(,)?) => {
        slog::info!($crate::log::root(), "E{:04} {}", $event.code, $event.text; $($key => $value),*)
    };
}
