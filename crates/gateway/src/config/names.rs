//! The names of classes, plans and zones. Messages carry the names; the decision core knows their indices.

/// The names that the settings define, in the order of their indices.
#[derive(Clone)]
pub struct WireNames {
    /// Classes.
    pub classes: Vec<String>,
    /// Plans.
    pub plans: Vec<String>,
    /// Zones.
    pub zones: Vec<String>,
}
