//! Numbered log events on top of `slog`: one line per event on standard output; the most recent stay in memory too.
//!
//! The catalogue of events is `docs/events.md`; a test compares it with the events in the code.

use std::fmt::{Arguments, Write as _};
use std::io::{self, Write as _};
use std::sync::{Mutex, OnceLock};

#[doc(hidden)]
pub use slog;
use slog::{Drain, Key, Logger, Never, OwnedKVList, Record, Serializer, KV};

use crate::{clock, EventBuffer, NumberedEvent};

/// The number of recent events kept in memory.
const RECENT_EVENT_CAPACITY: usize = 512;

/// The most recent events of this process, as printed.
static RECENT_EVENTS: Mutex<Option<EventBuffer<String>>> = Mutex::new(None);

static ROOT_LOGGER: OnceLock<Logger> = OnceLock::new();

/// A kind of log event.
///
/// Invariant: `code` is unique in the project and is never reused for another event.
pub struct Event {
    /// The number of the event in the catalogue, printed as `E` and four digits.
    pub code: u16,
    /// A short description of what happened.
    pub text: &'static str,
}

/// Returns the recent events with a higher number than `number`, oldest first.
///
/// # Panics
///
/// Panics if a thread panicked while it held the lock on the recent events.
pub fn events_since(number: u64) -> Vec<NumberedEvent<String>> {
    let recent = RECENT_EVENTS.lock().expect("the lock on recent events is poisoned");
    recent.as_ref().map_or_else(Vec::new, |buffer| buffer.events_since(number).cloned().collect())
}

/// Returns the root logger of this process, to which `log_event!` writes.
pub fn root() -> &'static Logger {
    ROOT_LOGGER.get_or_init(|| Logger::root(LineDrain, slog::o!()))
}

/// Writes one line per event: milliseconds of the monotonic clock, level, code, text, then `key=value` pairs.
struct LineDrain;

impl Drain for LineDrain {
    type Ok = ();
    type Err = Never;

    fn log(&self, record: &Record, _: &OwnedKVList) -> Result<(), Never> {
        let mut line = format!("{} {} {}", clock::now(), record.level().as_short_str(), record.msg());
        let _ = record.kv().serialize(record, &mut PairSerializer(&mut line));
        push_recent_event(&line);
        line.push('\n');
        let _ = io::stdout().write_all(line.as_bytes());
        Ok(())
    }
}

fn push_recent_event(line: &str) {
    let mut recent = RECENT_EVENTS.lock().expect("the lock on recent events is poisoned");
    let buffer = recent.get_or_insert_with(|| EventBuffer::new(RECENT_EVENT_CAPACITY));
    buffer.push(clock::now(), line.to_string());
}

/// Appends ` key=value` to a line for each key-value pair of an event.
struct PairSerializer<'a>(&'a mut String);

impl Serializer for PairSerializer<'_> {
    fn emit_arguments(&mut self, key: Key, value: &Arguments) -> slog::Result {
        let _ = write!(self.0, " {key}={value}");
        Ok(())
    }
}

/// Logs a numbered event at level info: `log_event!(EVENT, "key" => value, ...)`.
///
/// `EVENT` is a [`log::Event`](crate::log::Event). Import the macro with `use kernel::log_event;`.
#[macro_export]
macro_rules! log_event {
    ($event:expr $(, $key:literal => $value:expr)* $(,)?) => {
        $crate::log::slog::info!($crate::log::root(), "E{:04} {}", $event.code, $event.text; $($key => $value),*)
    };
}
