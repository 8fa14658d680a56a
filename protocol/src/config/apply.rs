//! Applies a patch to a configuration. Text and value are made of the same parts by the same merge, so that they agree;
//! what the patch does not name stays in the text as it was written, also where this version does not know it.

use serde_json::value::RawValue;
use serde_json::Value;

use super::decode;
use super::error::ConfigError;
use super::field_names::{LIMITS, REVISION, ROUTES, SERVICES, TENANTS, UPSERT};
use super::json;
use super::merge::{merge, raw_items, RawFields, RawObject};
use super::model::Config;
use super::patch::{part, ConfigPatch, ObjectChange, TableChange};

/// The text and the value of a configuration, made by one merge of the same parts.
pub struct Patched {
    /// The whole configuration as JSON.
    pub text: String,
    /// What the text says.
    pub config: Config,
}

/// Applies a patch to the text and the value of a configuration. The result is not yet checked.
pub fn apply(base_text: &str, base: &Config, patch: &ConfigPatch) -> Result<Patched, ConfigError> {
    let Some(fields) = RawObject::read(base_text) else { return Err(ConfigError::no_base_config()) };
    let mut fields = fields.to_raw_fields();
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
    let mut config = Config {
        revision: patch.revision,
        route_table: merge_typed(&base.route_table, patch.withdrawn(ROUTES), &patch.routes, |item| &item.name),
        service_table: merge_typed(&base.service_table, patch.withdrawn(SERVICES), &patch.services, |item| &item.name),
        tenant_table: merge_typed(&base.tenant_table, patch.withdrawn(TENANTS), &patch.tenants, |item| &item.name),
        limits: base.limits.clone(),
        requires_keys: present(&fields, TENANTS).is_some(),
    };
    if patch.objects.iter().any(|object| object.name == LIMITS) {
        let limits = fields.iter().rev().find(|(name, _)| name == LIMITS).map_or("{}", |(_, raw)| raw);
        config.limits = decode::limits(&json::parse_loosely(limits)?)?;
    }
    Ok(Patched { text, config })
}

/// Merges typed items as [`change_table`] merges their texts.
fn merge_typed<T: Clone>(items: &[T], withdrawn: &[String], upserts: &[T], name: fn(&T) -> &String) -> Vec<T> {
    merge(items.to_vec(), withdrawn, upserts.to_vec(), |item| Some(name(item)))
}

/// Replaces the last field of a name, or adds one.
fn set(fields: &mut RawFields, name: &str, raw: String) {
    match fields.iter_mut().rev().find(|(field, _)| field == name) {
        Some((_, text)) => *text = raw,
        None => fields.push((name.into(), raw)),
    }
}

/// Returns the text of a field that is there and not null; the last one where an earlier version accepted two.
fn present<'a>(fields: &'a [(String, String)], name: &str) -> Option<&'a str> {
    let field = fields.iter().rev().find(|(field, raw)| field == name && raw != "null");
    field.map(|(_, raw)| raw.as_str())
}

fn change_table(fields: &mut RawFields, change: &TableChange) -> Result<(), ConfigError> {
    let table = present(fields, &change.name);
    if table.is_none() && change.upserts.is_empty() {
        return Ok(());
    }
    let Some(items) = raw_items(table.unwrap_or("[]")) else {
        return Err(ConfigError::invalid_item(part(UPSERT, &change.name), "what the configuration holds there"));
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
    let Some(object) = RawObject::read(present(fields, &change.name).unwrap_or("{}")) else {
        return Err(ConfigError::invalid_item(part(UPSERT, &change.name), "what the configuration holds there"));
    };
    let mut merged = object.to_raw_fields();
    for (name, raw) in &change.fields {
        set(&mut merged, name, raw.clone());
    }
    set(fields, &change.name, write_object(&merged));
    Ok(())
}

fn write_object(fields: &[(String, String)]) -> String {
    let mut text = String::with_capacity(fields.iter().map(|(name, raw)| name.len() + raw.len() + 4).sum());
    text.push('{');
    for (index, (name, raw)) in fields.iter().enumerate() {
        if index > 0 {
            text.push(',');
        }
        text.push_str(&Value::from(name.as_str()).to_string());
        text.push(':');
        text.push_str(raw);
    }
    text.push('}');
    text
}
