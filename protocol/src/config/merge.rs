//! JSON whose parts keep their original text, and the merge of a list of named items with changes to it. The text and
//! the typed value use the same merge, so that they cannot diverge.

use std::borrow::Cow;
use std::collections::{HashMap, HashSet};
use std::fmt;
use std::marker::PhantomData;

use serde::de::{MapAccess, Visitor};
use serde::Deserialize;
use serde_json::value::RawValue;

use super::json::FieldName;

/// The names and the texts of an object's fields, in the order of the text.
pub type RawFields = Vec<(String, String)>;

/// An object whose fields keep their original text and order.
pub struct RawObject<'a>(pub Vec<(Cow<'a, str>, &'a RawValue)>);

impl<'a> RawObject<'a> {
    /// Parses the first value of a text. Returns `None` if it is not an object.
    pub fn parse(text: &'a str) -> Option<RawObject<'a>> {
        let mut deserializer = serde_json::Deserializer::from_str(text);
        Deserialize::deserialize(&mut deserializer).ok()
    }

    /// Returns the text of a field; of the last one if an earlier version accepted duplicates.
    pub fn get(&self, name: &str) -> Option<&'a str> {
        self.0.iter().rev().find(|(field, _)| field == name).map(|(_, raw)| raw.get())
    }

    /// Returns the fields as owned texts.
    pub fn to_raw_fields(&self) -> RawFields {
        self.0.iter().map(|(name, raw)| (name.to_string(), raw.get().to_string())).collect()
    }

    /// Returns the value of the object's field `name`, or `None` if it is missing or not a string.
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

/// Returns the texts of the items of a list, or `None` if `text` is not a list.
pub fn raw_items(text: &str) -> Option<Vec<&RawValue>> {
    serde_json::from_str(text).ok()
}

/// Removes the withdrawn items, then puts each upsert in the place of the item with the same name, or at the end if
/// there is none.
pub fn merge<T>(items: Vec<T>, withdrawn: &[String], upserts: Vec<T>, name: impl Fn(&T) -> Option<&str>) -> Vec<T> {
    let withdrawn: HashSet<&str> = withdrawn.iter().map(String::as_str).collect();
    let mut merged: Vec<T> =
        items.into_iter().filter(|item| !name(item).is_some_and(|name| withdrawn.contains(name))).collect();
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
