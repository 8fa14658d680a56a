//! A patch: a change of named items of a configuration that an operator sends.

use std::collections::HashSet;

use super::decode;
use super::error::{ConfigError, ConfigErrorKind, Item};
use super::field_names::{self, LIMITS, REVISION, ROUTES, SERVICES, TENANTS, UPSERT, WITHDRAW};
use super::json::{self, Json};
use super::merge::{raw_items, RawFields, RawObject};
use super::model::{Route, Service, Tenant};
use super::values::Fields;

/// The changes of a patch to one table. Items keep the text that the operator wrote.
#[derive(Clone, Debug, Default)]
pub(super) struct TableChange {
    pub(super) name: String,
    /// The names of the items that are removed.
    pub(super) withdrawn: Vec<String>,
    /// The names and texts of the items that are added or replaced.
    pub(super) upserts: RawFields,
}

/// The changes of a patch to one object: the fields that are added or replaced.
#[derive(Clone, Debug)]
pub(super) struct ObjectChange {
    pub(super) name: String,
    pub(super) fields: RawFields,
}

/// A parsed patch. Invariants: table names are unique, and so are the names of the upserts of a table; `routes`,
/// `services` and `tenants` are the decoded upserts of `tables`, in the same order.
#[derive(Clone, Debug, Default)]
pub struct ConfigPatch {
    pub(super) revision: u64,
    pub(super) tables: Vec<TableChange>,
    pub(super) objects: Vec<ObjectChange>,
    pub(super) routes: Vec<Route>,
    pub(super) services: Vec<Service>,
    pub(super) tenants: Vec<Tenant>,
}

impl ConfigPatch {
    /// Parses a patch from an operator. Whether its result is valid is checked only when it is applied.
    ///
    /// # Errors
    ///
    /// If the text is not strict JSON or not a patch; the error names the item.
    pub fn parse(text: &str) -> Result<ConfigPatch, ConfigError> {
        let value = json::parse(text)?;
        let Json::Object(fields) = &value else { return Err(ConfigError::invalid_item(Item::Body, "an object")) };
        let Some(raw) = RawObject::parse(text) else { return Err(ConfigError::invalid_item(Item::Body, "an object")) };
        let mut patch = ConfigPatch::default();
        for (name, value) in fields {
            let raw = raw.get(name).unwrap_or_default();
            match name.as_ref() {
                REVISION => patch.revision = decode::revision(value)?,
                UPSERT => patch.read_upserts(value, raw)?,
                WITHDRAW => patch.read_withdrawals(value)?,
                // Fields of a whole configuration, which would have no effect in a patch.
                ROUTES | SERVICES | TENANTS | LIMITS => {
                    return Err(ConfigError::invalid_item(
                        Item::Field(name.to_string()),
                        "inside `upsert` of a patch, not at its top level",
                    ));
                }
                _ => {}
            }
        }
        Ok(patch)
    }

    fn read_upserts(&mut self, value: &Json, raw: &str) -> Result<(), ConfigError> {
        let Some(tables) = optional_object(UPSERT, value)? else { return Ok(()) };
        let Some(raw) = RawObject::parse(raw) else {
            return Err(ConfigError::invalid_item(patch_item(UPSERT, ""), "an object"));
        };
        for (table, value) in tables {
            let raw = raw.get(table).unwrap_or_default();
            match (table.as_ref(), value) {
                (_, Json::Null) => {}
                (ROUTES | SERVICES | TENANTS, Json::Array(items)) => {
                    self.decode_items(table, value)?;
                    self.collect_items(table, items, raw)?;
                }
                (LIMITS, Json::Object(_)) => {
                    decode::limits(value)?;
                    self.collect_fields(table, raw)?;
                }
                (ROUTES | SERVICES | TENANTS | LIMITS | REVISION, _) => {
                    return Err(ConfigError::invalid_item(
                        patch_item(UPSERT, table),
                        "of the type that it has in a configuration",
                    ));
                }
                (_, Json::Array(items)) => self.collect_items(table, items, raw)?,
                (_, Json::Object(_)) => self.collect_fields(table, raw)?,
                _ => return Err(ConfigError::invalid_item(patch_item(UPSERT, table), "a list of items")),
            }
        }
        Ok(())
    }

    fn decode_items(&mut self, table: &str, value: &Json) -> Result<(), ConfigError> {
        match table {
            ROUTES => self.routes = decode::table(table, value, decode::route)?,
            SERVICES => self.services = decode::table(table, value, decode::service)?,
            _ => self.tenants = decode::table(table, value, decode::tenant)?,
        }
        Ok(())
    }

    fn collect_items(&mut self, table: &str, items: &[Json], raw: &str) -> Result<(), ConfigError> {
        let mut names = HashSet::new();
        for (index, (item, raw)) in items.iter().zip(raw_items(raw).unwrap_or_default()).enumerate() {
            let entry = || Item::Entry { table: patch_path(UPSERT, table), index };
            let Json::Object(fields) = item else { return Err(ConfigError::invalid_item(entry(), "an object")) };
            let Some(name) = decode::name(fields) else {
                return Err(ConfigError { item: entry(), kind: ConfigErrorKind::MissingField { field: "name" } });
            };
            if !names.insert(name) {
                return Err(ConfigError { item: entry(), kind: ConfigErrorKind::DuplicateName });
            }
            self.table_mut(table).upserts.push((name.into(), raw.get().into()));
        }
        Ok(())
    }

    fn collect_fields(&mut self, table: &str, raw: &str) -> Result<(), ConfigError> {
        let Some(raw) = RawObject::parse(raw) else {
            return Err(ConfigError::invalid_item(patch_item(UPSERT, table), "an object"));
        };
        self.objects.push(ObjectChange { name: table.into(), fields: raw.to_raw_fields() });
        Ok(())
    }

    fn read_withdrawals(&mut self, value: &Json) -> Result<(), ConfigError> {
        let Some(tables) = optional_object(WITHDRAW, value)? else { return Ok(()) };
        for (table, names) in tables {
            let error = || ConfigError::invalid_item(patch_item(WITHDRAW, table), "a list of item names");
            let names = match (table.as_ref(), names) {
                (LIMITS | REVISION, _) => return Err(error()),
                (_, Json::Null) => continue,
                (_, Json::Array(names)) => names,
                _ => return Err(error()),
            };
            for name in names {
                let Json::String(name) = name else { return Err(error()) };
                self.table_mut(table).withdrawn.push(name.to_string());
            }
        }
        Ok(())
    }

    /// Returns the changes to a table, which are created if there are none yet.
    fn table_mut(&mut self, name: &str) -> &mut TableChange {
        let position = self.tables.iter().position(|table| table.name == name).unwrap_or_else(|| {
            self.tables.push(TableChange { name: name.into(), ..TableChange::default() });
            self.tables.len() - 1
        });
        &mut self.tables[position]
    }

    /// Returns the names of the items that are removed from a table.
    pub(super) fn withdrawn(&self, name: &str) -> &[String] {
        let table = self.tables.iter().find(|table| table.name == name);
        table.map_or(&[], |table| &table.withdrawn)
    }
}

/// Returns the fields of a part of the patch, or `None` if it is null.
fn optional_object<'a>(name: &str, value: &'a Json<'a>) -> Result<Option<&'a Fields<'a>>, ConfigError> {
    match value {
        Json::Object(fields) => Ok(Some(fields)),
        Json::Null => Ok(None),
        _ => Err(ConfigError::invalid_item(Item::Field(name.into()), "an object")),
    }
}

/// Returns the path of a table in a part of the patch, for use in errors.
fn patch_path(part: &str, table: &str) -> String {
    format!("{part}.{}", field_names::redact_unknown(table))
}

/// Returns a table in a part of the patch as the item of an error.
pub(super) fn patch_item(part: &str, table: &str) -> Item {
    Item::Field(patch_path(part, table))
}
