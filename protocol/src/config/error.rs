//! Why a configuration, or a change of one, is invalid. An error names the item and never holds a value of the body
//! other than a name: any value may be a tenant's key.

use std::error;

use super::bounds::MAX_TEXT_BYTES;

/// How many characters of a name are shown.
const SHOWN: usize = 80;

/// What is wrong, and where.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ConfigError {
    pub item: Item,
    pub kind: ConfigErrorKind,
}

/// What an error is about.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Item {
    /// The body as a whole.
    Body,
    /// A field, by its path from the top.
    Field(String),
    Route(String),
    Service(String),
    Tenant(String),
    /// An item of a table that has no name to be called by.
    Entry {
        table: String,
        index: usize,
    },
}

/// How a text fails to be one JSON value.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Syntax {
    /// It ends too soon.
    UnexpectedEnd,
    Malformed,
    /// Something stands behind the value.
    TrailingCharacters,
}

/// What is wrong with an item.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ConfigErrorKind {
    Syntax {
        syntax: Syntax,
        line: usize,
        column: usize,
    },
    TooDeep,
    TooManyValues,
    TooLong {
        bytes: usize,
    },
    /// A field is there twice.
    DuplicateField,
    /// A field is not there, or null.
    MissingField {
        field: &'static str,
    },
    /// A field holds something else than it must.
    InvalidField {
        field: &'static str,
        expected: &'static str,
    },
    /// The item itself is something else than it must be.
    InvalidItem {
        expected: &'static str,
    },
    /// Another item of its table has its name.
    DuplicateName,
    InvalidPathPrefix,
    UnknownRouteType,
    ZeroTimeout,
    DuplicateMatch {
        other: String,
    },
    MissingService,
    UnknownService {
        service: String,
    },
    ZeroWeights,
    DuplicateKey {
        other: String,
    },
    EmptyKey,
    ZeroRevision,
    /// A change builds on a configuration, and there is none.
    NoBaseConfig,
}

impl ConfigError {
    /// A change of named items came before the first configuration.
    pub fn no_base_config() -> ConfigError {
        ConfigError { item: Item::Body, kind: ConfigErrorKind::NoBaseConfig }
    }

    /// An item is something else than it must be.
    pub(super) fn invalid_item(item: Item, expected: &'static str) -> ConfigError {
        ConfigError { item, kind: ConfigErrorKind::InvalidItem { expected } }
    }

    /// The status of the answer to whoever sent it.
    pub fn status(&self) -> u16 {
        match self.kind {
            ConfigErrorKind::TooLong { .. } | ConfigErrorKind::TooManyValues => 413,
            _ => 400,
        }
    }
}

/// A name as it may be shown: bounded, and on one line.
fn shown(name: &str) -> String {
    let cut: String = name.chars().take(SHOWN).collect();
    cut.escape_debug().collect()
}

impl std::fmt::Display for Item {
    fn fmt(&self, out: &mut std::fmt::Formatter) -> std::fmt::Result {
        match self {
            Item::Body => out.write_str("body"),
            Item::Field(path) => out.write_str(&shown(path)),
            Item::Route(name) => write!(out, "route `{}`", shown(name)),
            Item::Service(name) => write!(out, "service `{}`", shown(name)),
            Item::Tenant(name) => write!(out, "tenant `{}`", shown(name)),
            Item::Entry { table, index } => write!(out, "{}[{index}]", shown(table)),
        }
    }
}

impl std::fmt::Display for Syntax {
    fn fmt(&self, out: &mut std::fmt::Formatter) -> std::fmt::Result {
        out.write_str(match self {
            Syntax::UnexpectedEnd => "ends too soon",
            Syntax::Malformed => "not JSON",
            Syntax::TrailingCharacters => "something stands behind the end",
        })
    }
}

impl std::fmt::Display for ConfigErrorKind {
    fn fmt(&self, out: &mut std::fmt::Formatter) -> std::fmt::Result {
        match self {
            ConfigErrorKind::Syntax { syntax, line, column } => write!(out, "{syntax}, at line {line} column {column}"),
            ConfigErrorKind::TooDeep => out.write_str("nested too deep"),
            ConfigErrorKind::TooManyValues => out.write_str("too many values"),
            ConfigErrorKind::TooLong { bytes } => write!(out, "{bytes} bytes, at most {} can be kept", MAX_TEXT_BYTES),
            ConfigErrorKind::DuplicateField => out.write_str("is there twice"),
            ConfigErrorKind::MissingField { field } => write!(out, "{field} missing"),
            ConfigErrorKind::InvalidField { field, expected } => write!(out, "{field} is not {expected}"),
            ConfigErrorKind::InvalidItem { expected } => write!(out, "not {expected}"),
            ConfigErrorKind::DuplicateName => out.write_str("name used twice"),
            ConfigErrorKind::InvalidPathPrefix => out.write_str("path_prefix does not begin and end with a slash"),
            ConfigErrorKind::UnknownRouteType => out.write_str("route_type unknown"),
            ConfigErrorKind::ZeroTimeout => out.write_str("timeout_ms is 0"),
            ConfigErrorKind::DuplicateMatch { other } => {
                write!(out, "hostname and path_prefix are those of `{}`", shown(other))
            }
            ConfigErrorKind::MissingService => out.write_str("no service"),
            ConfigErrorKind::UnknownService { service } => write!(out, "unknown service `{}`", shown(service)),
            ConfigErrorKind::ZeroWeights => out.write_str("weights sum to 0"),
            ConfigErrorKind::DuplicateKey { other } => write!(out, "a key is also a key of tenant `{}`", shown(other)),
            ConfigErrorKind::EmptyKey => out.write_str("an empty key"),
            ConfigErrorKind::ZeroRevision => out.write_str("missing or 0"),
            ConfigErrorKind::NoBaseConfig => out.write_str("no configuration to change"),
        }
    }
}

impl std::fmt::Display for ConfigError {
    fn fmt(&self, out: &mut std::fmt::Formatter) -> std::fmt::Result {
        write!(out, "{}: {}", self.item, self.kind)
    }
}

impl error::Error for ConfigError {}
