//! The names of classes, plans and zones: the wire has them, the decision core has their numbers.

/// WireNames on the wire whose place in the settings is what the module knows.
#[derive(Clone)]
pub struct WireNames {
    /// Classes.
    pub classes: Vec<String>,
    /// Plans.
    pub plans: Vec<String>,
    /// Zones.
    pub zones: Vec<String>,
}
