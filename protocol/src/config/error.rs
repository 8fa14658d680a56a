//! Why a configuration, or a patch of one, is invalid. An error names the item and never holds a value of the body other
//! than a name: any value may be a tenant's key. Operators read the texts.

use std::{error, fmt};

use super::bounds::MAX_TEXT_BYTES;

/// How many characters of a name are shown.
const MAX_NAME_CHARS: usize = 80;

/// What is wrong with a configuration, and where.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ConfigError {
    /// The item that is invalid.
    pub item: Item,
    /// What is wrong with it.
    pub kind: ConfigErrorKind,
}

/// What an error is about.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Item {
    /// The body as a whole.
    Body,
    /// A field, by its path from the top.
    Field(String),
    /// A route, by its name.
    Route(String),
    /// A service, by its name.
    Service(String),
    /// A tenant, by its name.
    Tenant(String),
    /// An item of a table that has no name to be called by.
    Entry {
        /// The table, by its path from the top.
        table: String,
        /// The position in the table, from 0.
        index: usize,
    },
}

/// Why a text is not one JSON value.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Syntax {
    /// It ends too soon.
    UnexpectedEnd,
    /// It is no JSON.
    Malformed,
    /// More than white space follows the value.
    TrailingCharacters,
}

/// What is wrong with an item.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ConfigErrorKind {
    /// The text is not one JSON value.
    Syntax {
        /// Why not.
        syntax: Syntax,
        /// The line where the parser stopped, from 1.
        line: usize,
        /// The column where the parser stopped.
        column: usize,
    },
    /// Objects and lists are nested too deep.
    TooDeep,
    /// The text holds too many values.
    TooManyValues,
    /// The text is too long.
    TooLong {
        /// Its length in bytes.
        bytes: usize,
    },
    /// A field is there twice.
    DuplicateField,
    /// A field is not there, or null.
    MissingField {
        /// The field.
        field: &'static str,
    },
    /// A field holds something else than it must.
    InvalidField {
        /// The field.
        field: &'static str,
        /// What it must be.
        expected: &'static str,
    },
    /// The item itself is something else than it must be.
    InvalidItem {
        /// What it must be.
        expected: &'static str,
    },
    /// Another item of its table has its name.
    DuplicateName,
    /// A path prefix does not begin and end with a slash.
    InvalidPathPrefix,
    /// The protocol does not define a route's type.
    UnknownRouteType,
    /// A route's timeout is 0.
    ZeroTimeout,
    /// Another route matches the same host and path prefix.
    DuplicateMatch {
        /// That route's name.
        other: String,
    },
    /// A route leads to no service.
    MissingService,
    /// A route leads to a service that the configuration does not have.
    UnknownService {
        /// That service's name.
        service: String,
    },
    /// The weights of a traffic split sum to 0.
    ZeroWeights,
    /// Another tenant has one of the keys.
    DuplicateKey {
        /// That tenant's name.
        other: String,
    },
    /// A tenant has an empty key.
    EmptyKey,
    /// The revision is missing or 0.
    ZeroRevision,
    /// A patch builds on a configuration, and there is none.
    NoBaseConfig,
}

impl ConfigError {
    /// Returns the error of a patch that came before the first configuration.
    pub fn no_base_config() -> ConfigError {
        ConfigError { item: Item::Body, kind: ConfigErrorKind::NoBaseConfig }
    }

    /// Returns the error of an item that is something else than it must be.
    pub(super) fn invalid_item(item: Item, expected: &'static str) -> ConfigError {
        ConfigError { item, kind: ConfigErrorKind::InvalidItem { expected } }
    }

    /// Returns the HTTP status of the response to whoever sent the configuration.
    pub fn status(&self) -> u16 {
        match self.kind {
            ConfigErrorKind::TooLong { .. } | ConfigErrorKind::TooManyValues => 413,
            _ => 400,
        }
    }
}

/// Returns a name as it may be shown: of bounded length, and on one line.
fn shown(name: &str) -> String {
    let cut: String = name.chars().take(MAX_NAME_CHARS).collect();
    cut.escape_debug().collect()
}

impl fmt::Display for Item {
    fn fmt(&self, out: &mut fmt::Formatter) -> fmt::Result {
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

impl fmt::Display for Syntax {
    fn fmt(&self, out: &mut fmt::Formatter) -> fmt::Result {
        out.write_str(match self {
            Syntax::UnexpectedEnd => "ends too soon",
            Syntax::Malformed => "not JSON",
            Syntax::TrailingCharacters => "something stands behind the end",
        })
    }
}

impl fmt::Display for ConfigErrorKind {
    fn fmt(&self, out: &mut fmt::Formatter) -> fmt::Result {
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

impl fmt::Display for ConfigError {
    fn fmt(&self, out: &mut fmt::Formatter) -> fmt::Result {
        write!(out, "{}: {}", self.item, self.kind)
    }
}

impl error::Error for ConfigError {}
