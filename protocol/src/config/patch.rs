//! A patch: a change of named items of a configuration, as an operator sends it.

use std::collections::HashSet;

use super::decode;
use super::error::{ConfigError, ConfigErrorKind, Item};
use super::field_names::{self, LIMITS, REVISION, ROUTES, SERVICES, TENANTS, UPSERT, WITHDRAW};
use super::json::{self, Json};
use super::merge::{raw_items, RawFields, RawObject};
use super::model::{Route, Service, Tenant};
use super::values::Fields;

/// What a patch does to one table. Items stay as the operator wrote them.
#[derive(Clone, Debug, Default)]
pub(super) struct TableChange {
    pub(super) name: String,
    pub(super) withdrawn: Vec<String>,
    /// The items that are added or replaced: their names and texts.
    pub(super) upserts: RawFields,
}

/// What a patch does to one object: fields that are added or replaced.
#[derive(Clone, Debug)]
pub(super) struct ObjectChange {
    pub(super) name: String,
    pub(super) fields: RawFields,
}

/// A parsed patch. Invariants: no table is named twice, nor an item twice among the upserts of a table; the typed
/// items are those of `tables`, in their order.
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
    /// Parses a patch as an operator sends it. Whether its result is valid shows only when it is applied.
    ///
    /// # Errors
    ///
    /// When the text is not strict JSON, or holds something else than a patch; the error names the item.
    pub fn parse(text: &str) -> Result<ConfigPatch, ConfigError> {
        let value = json::parse(text)?;
        let Json::Object(fields) = &value else { return Err(ConfigError::invalid_item(Item::Body, "an object")) };
        let Some(raw) = RawObject::read(text) else { return Err(ConfigError::invalid_item(Item::Body, "an object")) };
        let mut patch = ConfigPatch::default();
        for (name, value) in fields {
            let raw = raw.get(name).unwrap_or_default();
            match name.as_ref() {
                REVISION => patch.revision = decode::revision(value)?,
                UPSERT => patch.read_upserts(value, raw)?,
                WITHDRAW => patch.read_withdrawals(value)?,
                // Fields of a whole configuration: as parts of a patch they would change nothing.
                ROUTES | SERVICES | TENANTS | LIMITS => {
                    return Err(ConfigError::invalid_item(
                        Item::Field(name.to_string()),
                        "part of a change of named items",
                    ));
                }
                _ => {}
            }
        }
        Ok(patch)
    }

    fn read_upserts(&mut self, value: &Json, raw: &str) -> Result<(), ConfigError> {
        let Some(tables) = object(UPSERT, value)? else { return Ok(()) };
        let Some(raw) = RawObject::read(raw) else {
            return Err(ConfigError::invalid_item(part(UPSERT, ""), "an object"));
        };
        for (table, value) in tables {
            let raw = raw.get(table).unwrap_or_default();
            match (table.as_ref(), value) {
                (_, Json::Null) => {}
                (ROUTES | SERVICES | TENANTS, Json::List(items)) => {
                    self.read_typed(table, value)?;
                    self.read_items(table, items, raw)?;
                }
                (LIMITS, Json::Object(_)) => {
                    decode::limits(value)?;
                    self.read_fields(table, raw)?;
                }
                (ROUTES | SERVICES | TENANTS | LIMITS | REVISION, _) => {
                    return Err(ConfigError::invalid_item(part(UPSERT, table), "what the configuration holds there"));
                }
                (_, Json::List(items)) => self.read_items(table, items, raw)?,
                (_, Json::Object(_)) => self.read_fields(table, raw)?,
                _ => return Err(ConfigError::invalid_item(part(UPSERT, table), "a list of items")),
            }
        }
        Ok(())
    }

    fn read_typed(&mut self, table: &str, value: &Json) -> Result<(), ConfigError> {
        match table {
            ROUTES => self.routes = decode::table(table, value, decode::route)?,
            SERVICES => self.services = decode::table(table, value, decode::service)?,
            _ => self.tenants = decode::table(table, value, decode::tenant)?,
        }
        Ok(())
    }

    fn read_items(&mut self, table: &str, items: &[Json], raw: &str) -> Result<(), ConfigError> {
        let mut names = HashSet::new();
        for (index, (item, raw)) in items.iter().zip(raw_items(raw).unwrap_or_default()).enumerate() {
            let entry = || Item::Entry { table: path(UPSERT, table), index };
            let Json::Object(fields) = item else { return Err(ConfigError::invalid_item(entry(), "an object")) };
            let Some(name) = decode::name(fields) else {
                return Err(ConfigError { item: entry(), kind: ConfigErrorKind::MissingField { field: "name" } });
            };
            if !names.insert(name) {
                return Err(ConfigError { item: entry(), kind: ConfigErrorKind::DuplicateName });
            }
            self.table(table).upserts.push((name.into(), raw.get().into()));
        }
        Ok(())
    }

    fn read_fields(&mut self, table: &str, raw: &str) -> Result<(), ConfigError> {
        let Some(raw) = RawObject::read(raw) else {
            return Err(ConfigError::invalid_item(part(UPSERT, table), "an object"));
        };
        self.objects.push(ObjectChange { name: table.into(), fields: raw.to_raw_fields() });
        Ok(())
    }

    fn read_withdrawals(&mut self, value: &Json) -> Result<(), ConfigError> {
        let Some(tables) = object(WITHDRAW, value)? else { return Ok(()) };
        for (table, names) in tables {
            let fail = || ConfigError::invalid_item(part(WITHDRAW, table), "a list of names of items");
            let names = match (table.as_ref(), names) {
                (LIMITS | REVISION, _) => return Err(fail()),
                (_, Json::Null) => continue,
                (_, Json::List(names)) => names,
                _ => return Err(fail()),
            };
            for name in names {
                let Json::Text(name) = name else { return Err(fail()) };
                self.table(table).withdrawn.push(name.to_string());
            }
        }
        Ok(())
    }

    fn table(&mut self, name: &str) -> &mut TableChange {
        let position = self.tables.iter().position(|table| table.name == name).unwrap_or_else(|| {
            self.tables.push(TableChange { name: name.into(), ..TableChange::default() });
            self.tables.len() - 1
        });
        &mut self.tables[position]
    }

    pub(super) fn withdrawn(&self, name: &str) -> &[String] {
        let table = self.tables.iter().find(|table| table.name == name);
        table.map_or(&[], |table| &table.withdrawn)
    }
}

/// Returns the fields of a part of the patch, or `None` where it is null.
fn object<'a>(name: &str, value: &'a Json<'a>) -> Result<Option<&'a Fields<'a>>, ConfigError> {
    match value {
        Json::Object(fields) => Ok(Some(fields)),
        Json::Null => Ok(None),
        _ => Err(ConfigError::invalid_item(Item::Field(name.into()), "an object")),
    }
}

fn path(part: &str, table: &str) -> String {
    format!("{part}.{}", field_names::shown(table))
}

pub(super) fn part(part: &str, table: &str) -> Item {
    Item::Field(path(part, table))
}
