//! Applies a patch to a configuration. The same merge of the same parts produces text and value, so that they agree.
//! Whatever the patch does not name keeps its text, including fields and tables that this version does not know.

use serde_json::value::RawValue;
use serde_json::Value;

use super::decode;
use super::error::ConfigError;
use super::field_names::{LIMITS, REVISION, ROUTES, SERVICES, TENANTS, UPSERT};
use super::json;
use super::merge::{merge, raw_items, RawFields, RawObject};
use super::model::Config;
use super::patch::{patch_item, ConfigPatch, ObjectChange, TableChange};

/// The text and the value of a patched configuration, produced by the same merge.
pub struct Patched {
    /// The whole configuration as JSON.
    pub text: String,
    /// The value that the text decodes to.
    pub config: Config,
}

/// Applies a patch to the text and the value of a configuration. Does not check the result.
pub fn apply(base_text: &str, base: &Config, patch: &ConfigPatch) -> Result<Patched, ConfigError> {
    let Some(fields) = RawObject::parse(base_text) else { return Err(ConfigError::no_base_config()) };
    let mut fields = fields.to_raw_fields();
    set_field(&mut fields, REVISION, patch.revision.to_string());
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
        requires_keys: non_null_field(&fields, TENANTS).is_some(),
    };
    if patch.objects.iter().any(|object| object.name == LIMITS) {
        let limits = fields.iter().rev().find(|(name, _)| name == LIMITS).map_or("{}", |(_, raw)| raw);
        config.limits = decode::limits(&json::parse_lenient(limits)?)?;
    }
    Ok(Patched { text, config })
}

/// Merges typed items the way [`change_table`] merges their texts.
fn merge_typed<T: Clone>(items: &[T], withdrawn: &[String], upserts: &[T], name: fn(&T) -> &String) -> Vec<T> {
    merge(items.to_vec(), withdrawn, upserts.to_vec(), |item| Some(name(item)))
}

/// Replaces the last field called `name`, or appends one.
fn set_field(fields: &mut RawFields, name: &str, raw: String) {
    match fields.iter_mut().rev().find(|(field, _)| field == name) {
        Some((_, text)) => *text = raw,
        None => fields.push((name.into(), raw)),
    }
}

/// Returns the text of a field unless it is missing or null; the last one if an earlier version accepted duplicates.
fn non_null_field<'a>(fields: &'a [(String, String)], name: &str) -> Option<&'a str> {
    let field = fields.iter().rev().find(|(field, raw)| field == name && raw != "null");
    field.map(|(_, raw)| raw.as_str())
}

fn change_table(fields: &mut RawFields, change: &TableChange) -> Result<(), ConfigError> {
    let table = non_null_field(fields, &change.name);
    if table.is_none() && change.upserts.is_empty() {
        return Ok(());
    }
    let Some(items) = raw_items(table.unwrap_or("[]")) else {
        return Err(ConfigError::invalid_item(
            patch_item(UPSERT, &change.name),
            "a list of items in the configuration",
        ));
    };
    let with_name = |raw: &RawValue| {
        let name = RawObject::parse(raw.get()).and_then(|item| item.name());
        (name, raw.get().to_string())
    };
    let items = items.into_iter().map(with_name).collect();
    let upserts = change.upserts.iter().map(|(name, raw)| (Some(name.clone()), raw.clone())).collect();
    let merged = merge(items, &change.withdrawn, upserts, |(name, _): &(Option<String>, String)| name.as_deref());
    let items: Vec<&str> = merged.iter().map(|(_, raw)| raw.as_str()).collect();
    set_field(fields, &change.name, format!("[{}]", items.join(",")));
    Ok(())
}

fn change_object(fields: &mut RawFields, change: &ObjectChange) -> Result<(), ConfigError> {
    let Some(object) = RawObject::parse(non_null_field(fields, &change.name).unwrap_or("{}")) else {
        return Err(ConfigError::invalid_item(patch_item(UPSERT, &change.name), "an object in the configuration"));
    };
    let mut merged = object.to_raw_fields();
    for (name, raw) in &change.fields {
        set_field(&mut merged, name, raw.clone());
    }
    set_field(fields, &change.name, write_object(&merged));
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
