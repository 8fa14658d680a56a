//! Pieces of JSON text kept as they were written, and lists of named items merged with changes of them. The same merge
//! serves the text and the typed value, so that they cannot come apart.

use std::borrow::Cow;
use std::collections::{HashMap, HashSet};
use std::fmt;
use std::marker::PhantomData;

use serde::de::{MapAccess, Visitor};
use serde::Deserialize;
use serde_json::value::RawValue;

use super::json::FieldName;

/// The names and the texts of an object's fields, in their order.
pub type RawFields = Vec<(String, String)>;

/// An object whose fields are kept as text, in their order.
pub struct RawObject<'a>(pub Vec<(Cow<'a, str>, &'a RawValue)>);

impl<'a> RawObject<'a> {
    /// Returns the first value of a text, if it is an object.
    pub fn read(text: &'a str) -> Option<RawObject<'a>> {
        let mut deserializer = serde_json::Deserializer::from_str(text);
        Deserialize::deserialize(&mut deserializer).ok()
    }

    /// Returns the text of a field; of the last one where an earlier version accepted a name twice.
    pub fn get(&self, name: &str) -> Option<&'a str> {
        self.0.iter().rev().find(|(field, _)| field == name).map(|(_, raw)| raw.get())
    }

    /// Returns the fields as owned texts.
    pub fn to_raw_fields(&self) -> RawFields {
        self.0.iter().map(|(name, raw)| (name.to_string(), raw.get().to_string())).collect()
    }

    /// Returns the name of the item that this object describes.
    pub fn name(&self) -> Option<String> {
        serde_json::from_str(self.get("name")?).ok()
    }
}

impl<'de: 'a, 'a> Deserialize<'de> for RawObject<'a> {
    fn deserialize<D: serde::Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        struct Fields<'a>(PhantomData<&'a ()>);

        impl<'de: 'a, 'a> Visitor<'de> for Fields<'a> {
            type Value = RawObject<'a>;

            fn expecting(&self, out: &mut fmt::Formatter) -> fmt::Result {
                out.write_str("an object")
            }

            fn visit_map<A: MapAccess<'de>>(self, mut map: A) -> Result<Self::Value, A::Error> {
                let mut fields = Vec::new();
                while let Some(name) = map.next_key_seed(FieldName)? {
                    fields.push((name, map.next_value::<&RawValue>()?));
                }
                Ok(RawObject(fields))
            }
        }

        deserializer.deserialize_map(Fields(PhantomData))
    }
}

/// Returns the items of a list as text, or `None` if the text is no list.
pub fn raw_items(text: &str) -> Option<Vec<&RawValue>> {
    serde_json::from_str(text).ok()
}

/// Returns `items` without the withdrawn ones, and with each of `upserts` in the position of the item of its name, or at
/// the end.
pub fn merge<T>(items: Vec<T>, withdrawn: &[String], upserts: Vec<T>, name: impl Fn(&T) -> Option<&str>) -> Vec<T> {
    let removed: HashSet<&str> = withdrawn.iter().map(String::as_str).collect();
    let mut merged: Vec<T> =
        items.into_iter().filter(|item| !name(item).is_some_and(|name| removed.contains(name))).collect();
    let positions: HashMap<String, usize> =
        merged.iter().enumerate().filter_map(|(index, item)| Some((name(item)?.to_string(), index))).collect();
    for item in upserts {
        match name(&item).and_then(|name| positions.get(name).copied()) {
            Some(position) => merged[position] = item,
            None => merged.push(item),
        }
    }
    merged
}
