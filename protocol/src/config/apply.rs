//! The configuration that a change of named items leads to: text and value, made of the same parts by the same merge.

use serde_json::value::RawValue;
use serde_json::Value;

use super::decode::{self, LIMITS, REVISION, ROUTES, SERVICES, TENANTS};
use super::document::ConfigDocument;
use super::error::ConfigError;
use super::json;
use super::merge::{merge, raw_items, RawObject};
use super::model::Config;
use super::patch::{part, ConfigPatch, ObjectChange, TableChange, UPSERT};

/// Fields with their text.
type RawFields = Vec<(String, String)>;

/// The configuration that a change leads to; not yet checked.
pub fn apply(base: &ConfigDocument, patch: &ConfigPatch) -> Result<ConfigDocument, ConfigError> {
    let Some(fields) = RawObject::read(base.text()) else { return Err(ConfigError::no_base_config()) };
    let mut fields: RawFields = fields.0.iter().map(|(name, raw)| (name.to_string(), raw.get().to_string())).collect();
    set(&mut fields, REVISION, patch.revision.to_string());
    for table in [ROUTES, SERVICES] {
        if !fields.iter().any(|(name, _)| name == table) {
            fields.push((table.into(), "[]".into()));
        }
    }
    for table in &patch.tables {
        change_table(&mut fields, table)?;
    }
    for object in &patch.objects {
        change_object(&mut fields, object)?;
    }
    let text = write_object(&fields);
    let old = base.config();
    let mut config = Config {
        revision: patch.revision,
        route_table: merge_typed(&old.route_table, patch.withdrawn(ROUTES), &patch.routes, |item| &item.name),
        service_table: merge_typed(&old.service_table, patch.withdrawn(SERVICES), &patch.services, |item| &item.name),
        tenant_table: merge_typed(&old.tenant_table, patch.withdrawn(TENANTS), &patch.tenants, |item| &item.name),
        limits: old.limits.clone(),
        requires_keys: held(&fields, TENANTS).is_some(),
    };
    if patch.objects.iter().any(|object| object.name == LIMITS) {
        let limits = fields.iter().rev().find(|(name, _)| name == LIMITS).map_or("{}", |(_, raw)| raw);
        config.limits = decode::limits(&json::parse_loosely(limits)?)?;
    }
    Ok(ConfigDocument::together(text, config))
}

fn merge_typed<T: Clone>(held: &[T], withdrawn: &[String], upserts: &[T], name: fn(&T) -> &String) -> Vec<T> {
    merge(held.to_vec(), withdrawn, upserts.to_vec(), |item| Some(name(item)))
}

fn set(fields: &mut RawFields, name: &str, raw: String) {
    match fields.iter_mut().rev().find(|(field, _)| field == name) {
        Some((_, held)) => *held = raw,
        None => fields.push((name.into(), raw)),
    }
}

fn held<'a>(fields: &'a [(String, String)], name: &str) -> Option<&'a str> {
    let field = fields.iter().rev().find(|(field, raw)| field == name && raw != "null");
    field.map(|(_, raw)| raw.as_str())
}

fn change_table(fields: &mut RawFields, change: &TableChange) -> Result<(), ConfigError> {
    let table = held(fields, &change.name);
    if table.is_none() && change.upserts.is_empty() {
        return Ok(());
    }
    let Some(items) = raw_items(table.unwrap_or("[]")) else {
        return Err(decode::not_a(part(UPSERT, &change.name), "what the configuration holds there"));
    };
    let named = |raw: &RawValue| {
        let name = RawObject::read(raw.get()).and_then(|item| item.name());
        (name, raw.get().to_string())
    };
    let items = items.into_iter().map(named).collect();
    let upserts = change.upserts.iter().map(|(name, raw)| (Some(name.clone()), raw.clone())).collect();
    let merged = merge(items, &change.withdrawn, upserts, |(name, _): &(Option<String>, String)| name.as_deref());
    let items: Vec<&str> = merged.iter().map(|(_, raw)| raw.as_str()).collect();
    set(fields, &change.name, format!("[{}]", items.join(",")));
    Ok(())
}

fn change_object(fields: &mut RawFields, change: &ObjectChange) -> Result<(), ConfigError> {
    let Some(object) = RawObject::read(held(fields, &change.name).unwrap_or("{}")) else {
        return Err(decode::not_a(part(UPSERT, &change.name), "what the configuration holds there"));
    };
    let mut merged: RawFields = object.0.iter().map(|(name, raw)| (name.to_string(), raw.get().to_string())).collect();
    for (name, raw) in &change.fields {
        set(&mut merged, name, raw.clone());
    }
    set(fields, &change.name, write_object(&merged));
    Ok(())
}

fn write_object(fields: &[(String, String)]) -> String {
    let mut text = String::with_capacity(fields.iter().map(|(name, raw)| name.len() + raw.len() + 4).sum());
    text.push('{');
    for (at, (name, raw)) in fields.iter().enumerate() {
        if at > 0 {
            text.push(',');
        }
        text.push_str(&Value::from(name.as_str()).to_string());
        text.push(':');
        text.push_str(raw);
    }
    text.push('}');
    text
}
