//! Numbered log events over `slog`. The catalogue is `docs/events.md`; a test holds the two together.

use std::sync::{Mutex, OnceLock};
use std::{fmt, io};

use slog::{Drain, Key, Logger, Never, OwnedKVList, Record, Serializer};

use crate::clock;
use crate::event_buffer::EventBuffer;

/// Invariant: `code` is unique over the project and never given to another meaning.
pub struct Event {
    pub code: u16,
    pub text: &'static str,
}

/// The last events of this process, for those who ask it.
static BOOK: Mutex<Option<EventBuffer<String>>> = Mutex::new(None);

/// How many events are kept.
const ROOM: usize = 512;

/// Numbered lines after `mark`.
pub fn events_since(mark: u64) -> Vec<(u64, String)> {
    let book = BOOK.lock().expect("book");
    let Some(book) = book.as_ref() else { return Vec::new() };
    let mut number = book.last().saturating_sub(book.len() as u64).max(mark);
    book.fold(mark, Vec::new(), |mut list, _, line| {
        number += 1;
        list.push((number, line.clone()));
        list
    })
}

static ROOT: OnceLock<Logger> = OnceLock::new();

/// One line an event: steady milliseconds, code, text, then key=value pairs.
struct Line;

struct Pairs<'a>(&'a mut String);

impl Serializer for Pairs<'_> {
    fn emit_arguments(&mut self, key: Key, value: &fmt::Arguments) -> slog::Result {
        use std::fmt::Write;
        let _ = write!(self.0, " {key}={value}");
        Ok(())
    }
}

impl Drain for Line {
    type Ok = ();
    type Err = Never;

    fn log(&self, record: &Record, _: &OwnedKVList) -> Result<(), Never> {
        use slog::KV;
        use std::io::Write;
        let mut text = format!("{} {} {}", clock::now(), record.level().as_short_str(), record.msg());
        let _ = record.kv().serialize(record, &mut Pairs(&mut text));
        let mut book = BOOK.lock().expect("book");
        book.get_or_insert_with(|| EventBuffer::new(ROOM)).push(clock::now(), text.clone());
        drop(book);
        text.push('\n');
        let _ = io::stdout().write_all(text.as_bytes());
        Ok(())
    }
}

pub fn root() -> &'static Logger {
    ROOT.get_or_init(|| Logger::root(Line, slog::o!()))
}

/// `log_event!(EVENT, "key" => value, ...)`: one numbered event at the level info.
#[macro_export]
macro_rules! log_event {
    ($event:expr $(, $key:literal => $value:expr)* $(,)?) => {
        slog::info!($crate::log::root(), "E{:04} {}", $event.code, $event.text; $($key => $value),*)
    };
}
