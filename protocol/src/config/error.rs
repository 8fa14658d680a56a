//! Errors of invalid configurations and patches. An error names the item; other than names it holds no values of the
//! body, since any of them may be a tenant's API key. Operators read the messages.

use std::{error, fmt};

use super::bounds::{MAX_DEPTH, MAX_TEXT_BYTES, MAX_VALUES};

/// Maximum number of characters of a name in an error message.
const MAX_NAME_CHARS: usize = 80;

/// What is wrong with a configuration, and where.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ConfigError {
    /// The item that is invalid.
    pub item: Item,
    /// What is wrong with it.
    pub kind: ConfigErrorKind,
}

/// The part of a configuration that an error is about.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Item {
    /// The body as a whole.
    Body,
    /// A field, by its path from the root.
    Field(String),
    /// A route, by its name.
    Route(String),
    /// A service, by its name.
    Service(String),
    /// A tenant, by its name.
    Tenant(String),
    /// An item of a table, by its index, because it has no usable name.
    Entry {
        /// The path of the table from the root.
        table: String,
        /// The zero-based index in the table.
        index: usize,
    },
}

/// Why a text is not a single JSON value.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Syntax {
    /// The text ends inside the value.
    UnexpectedEnd,
    /// The text is not JSON.
    Malformed,
    /// Something other than whitespace follows the value.
    TrailingCharacters,
}

/// What is wrong with an item.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ConfigErrorKind {
    /// The text is not a single JSON value.
    Syntax {
        /// The reason.
        syntax: Syntax,
        /// The line at which the parser stopped, from 1.
        line: usize,
        /// The column at which the parser stopped.
        column: usize,
    },
    /// Objects and arrays are nested too deeply.
    TooDeep,
    /// The text contains too many values.
    TooManyValues,
    /// The text is too long.
    TooLong {
        /// Its length in bytes.
        bytes: usize,
    },
    /// An object has the same field twice.
    DuplicateField,
    /// A required field is missing or null.
    MissingField {
        /// The field.
        field: &'static str,
    },
    /// The value of a field has the wrong type or range.
    InvalidField {
        /// The field.
        field: &'static str,
        /// What was expected instead.
        expected: &'static str,
    },
    /// The item itself has the wrong type or range.
    InvalidItem {
        /// What was expected instead.
        expected: &'static str,
    },
    /// Another item of the same table has the same name.
    DuplicateName,
    /// A path prefix does not begin and end with a slash.
    InvalidPathPrefix,
    /// A route has a type that the protocol does not define.
    UnknownRouteType,
    /// A route's timeout is 0.
    ZeroTimeout,
    /// Another route has the same hostname and path prefix.
    DuplicateMatch {
        /// The name of the other route.
        other: String,
    },
    /// A route names no service.
    MissingService,
    /// A route names a service that is not in the configuration.
    UnknownService {
        /// The name of the missing service.
        service: String,
    },
    /// The weights of a traffic split sum to 0.
    ZeroWeights,
    /// Another tenant has one of the API keys.
    DuplicateKey {
        /// The name of the other tenant.
        other: String,
    },
    /// A tenant has an empty API key.
    EmptyKey,
    /// The revision is missing or 0.
    ZeroRevision,
    /// A patch needs a configuration to apply to, and there is none.
    NoBaseConfig,
}

impl ConfigError {
    /// Returns the error for a patch that arrives before the first configuration.
    pub fn no_base_config() -> ConfigError {
        ConfigError { item: Item::Body, kind: ConfigErrorKind::NoBaseConfig }
    }

    /// Returns the error for an item that has the wrong type or range.
    pub(super) fn invalid_item(item: Item, expected: &'static str) -> ConfigError {
        ConfigError { item, kind: ConfigErrorKind::InvalidItem { expected } }
    }

    /// Returns the HTTP status code of the response to the operator.
    pub fn status(&self) -> u16 {
        match self.kind {
            ConfigErrorKind::TooLong { .. } | ConfigErrorKind::TooManyValues => 413,
            _ => 400,
        }
    }
}

/// Truncates a name and escapes control characters, so that an error message stays short and on one line.
fn sanitized(name: &str) -> String {
    let truncated: String = name.chars().take(MAX_NAME_CHARS).collect();
    truncated.escape_debug().collect()
}

impl fmt::Display for Item {
    fn fmt(&self, out: &mut fmt::Formatter) -> fmt::Result {
        match self {
            Item::Body => out.write_str("body"),
            Item::Field(path) => out.write_str(&sanitized(path)),
            Item::Route(name) => write!(out, "route `{}`", sanitized(name)),
            Item::Service(name) => write!(out, "service `{}`", sanitized(name)),
            Item::Tenant(name) => write!(out, "tenant `{}`", sanitized(name)),
            Item::Entry { table, index } => write!(out, "{}[{index}]", sanitized(table)),
        }
    }
}

impl fmt::Display for Syntax {
    fn fmt(&self, out: &mut fmt::Formatter) -> fmt::Result {
        out.write_str(match self {
            Syntax::UnexpectedEnd => "unexpected end of text",
            Syntax::Malformed => "not JSON",
            Syntax::TrailingCharacters => "trailing characters after the value",
        })
    }
}

impl fmt::Display for ConfigErrorKind {
    fn fmt(&self, out: &mut fmt::Formatter) -> fmt::Result {
        match self {
            ConfigErrorKind::Syntax { syntax, line, column } => write!(out, "{syntax} at line {line}, column {column}"),
            ConfigErrorKind::TooDeep => write!(out, "nested too deeply, the maximum depth is {MAX_DEPTH}"),
            ConfigErrorKind::TooManyValues => write!(out, "too many JSON values, fewer than {MAX_VALUES} are allowed"),
            ConfigErrorKind::TooLong { bytes } => {
                write!(out, "too long: {bytes} bytes, the maximum is {MAX_TEXT_BYTES}")
            }
            ConfigErrorKind::DuplicateField => out.write_str("duplicate field"),
            ConfigErrorKind::MissingField { field } => write!(out, "{field} is missing"),
            ConfigErrorKind::InvalidField { field, expected } => write!(out, "{field} must be {expected}"),
            ConfigErrorKind::InvalidItem { expected } => write!(out, "must be {expected}"),
            ConfigErrorKind::DuplicateName => out.write_str("duplicate name, names must be unique within a table"),
            ConfigErrorKind::InvalidPathPrefix => out.write_str("path_prefix must begin and end with `/`"),
            ConfigErrorKind::UnknownRouteType => {
                out.write_str("route_type must be `idempotent`, `non_idempotent` or `streaming`")
            }
            ConfigErrorKind::ZeroTimeout => out.write_str("timeout_ms is 0, it must be at least 1"),
            ConfigErrorKind::DuplicateMatch { other } => {
                write!(out, "same hostname and path_prefix as route `{}`", sanitized(other))
            }
            ConfigErrorKind::MissingService => out.write_str("no service, set service or traffic_split"),
            ConfigErrorKind::UnknownService { service } => {
                write!(out, "unknown service `{}`, it must be in service_table", sanitized(service))
            }
            ConfigErrorKind::ZeroWeights => {
                out.write_str("weights of traffic_split sum to 0, at least one must be positive")
            }
            ConfigErrorKind::DuplicateKey { other } => {
                write!(out, "api_keys contains a key that also belongs to tenant `{}`", sanitized(other))
            }
            ConfigErrorKind::EmptyKey => out.write_str("api_keys contains an empty key"),
            ConfigErrorKind::ZeroRevision => out.write_str("missing or 0, must be a positive integer"),
            ConfigErrorKind::NoBaseConfig => {
                out.write_str("a patch needs a configuration to apply to, and there is none")
            }
        }
    }
}

impl fmt::Display for ConfigError {
    fn fmt(&self, out: &mut fmt::Formatter) -> fmt::Result {
        write!(out, "{}: {}", self.item, self.kind)
    }
}

impl error::Error for ConfigError {}
