//! Names of classes, plans and zones. Messages carry names, while the decision core uses indices.

/// Names defined by the settings, each list in index order.
#[derive(Clone)]
pub struct WireNames {
    /// Names of the request classes.
    pub classes: Vec<String>,
    /// Names of the customers' plans.
    pub plans: Vec<String>,
    /// Names of the zones in which gateways and servers run.
    pub zones: Vec<String>,
}
