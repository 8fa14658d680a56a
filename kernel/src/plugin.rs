//! The registry: parts of a program announce themselves here and the program starts them in order.

/// Invariant: `name` is unique within a program; plugs start by rising `order`, then by name.
pub struct Plugin<S: 'static> {
    pub name: &'static str,
    pub order: u8,
    pub start: fn(&S),
}

/// Starts every plug of a slice in its stated order and tells their names.
pub fn start<S>(plugs: &'static [Plugin<S>], state: &S) -> Vec<&'static str> {
    let mut list: Vec<&Plugin<S>> = plugs.iter().collect();
    list.sort_by_key(|plug| (plug.order, plug.name));
    for plug in &list {
        (plug.start)(state);
    }
    list.iter().map(|plug| plug.name).collect()
}

pub use linkme;
