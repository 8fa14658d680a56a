//! The plug-in registry: components of a daemon register themselves and are started in a defined order.
//!
//! A daemon declares a `linkme` slice of [`Plugin`]s; each component adds its entry where it is defined.

#[doc(hidden)]
pub use linkme;

/// A component of a daemon whose state is `S`.
///
/// Invariant: `name` is unique within a daemon.
pub struct Plugin<S: 'static> {
    /// The name, which also sorts plug-ins of the same order.
    pub name: &'static str,
    /// The start position: plug-ins start in ascending order.
    pub order: u8,
    /// Starts the component; must not block.
    pub start: fn(&S),
}

/// Starts all plug-ins in ascending order, then by name, and returns their names in that sequence.
pub fn start<S>(plugins: &'static [Plugin<S>], state: &S) -> Vec<&'static str> {
    let mut ordered: Vec<&Plugin<S>> = plugins.iter().collect();
    ordered.sort_by_key(|plugin| (plugin.order, plugin.name));
    for plugin in &ordered {
        (plugin.start)(state);
    }
    ordered.iter().map(|plugin| plugin.name).collect()
}
