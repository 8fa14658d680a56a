//! The plug-in registry: parts of a daemon register themselves and are started in a stated order.
//!
//! A daemon declares a `linkme` slice of [`Plugin`]s; each part adds itself to it where it is defined.

#[doc(hidden)]
pub use linkme;

/// A part of a daemon with the state `S`.
///
/// Invariant: `name` is unique within a daemon.
pub struct Plugin<S: 'static> {
    /// Decides between plug-ins of the same order.
    pub name: &'static str,
    /// Plug-ins start by rising order.
    pub order: u8,
    /// Starts the part; must not block.
    pub start: fn(&S),
}

/// Starts all plug-ins by rising order, then by name, and returns their names in that sequence.
pub fn start<S>(plugins: &'static [Plugin<S>], state: &S) -> Vec<&'static str> {
    let mut ordered: Vec<&Plugin<S>> = plugins.iter().collect();
    ordered.sort_by_key(|plugin| (plugin.order, plugin.name));
    for plugin in &ordered {
        (plugin.start)(state);
    }
    ordered.iter().map(|plugin| plugin.name).collect()
}
