//! The experiments that are built into the program.

/// An experiment that is built into the program.
pub struct Shipped {
    /// Its name.
    pub name: &'static str,
    /// Its file.
    pub text: &'static str,
}

impl Shipped {
    /// Its name and description in one line.
    pub fn line(&self) -> String {
        let description = self.text.lines().find_map(|line| line.strip_prefix("description = "));
        format!("{:<28}{}", self.name, description.unwrap_or_default().trim_matches('"'))
    }
}

/// The list of the experiments, each with the text of its file.
macro_rules! shipped {
    ($($name:literal),+ $(,)?) => {
        /// All experiments that are built in.
        pub const SHIPPED: &[Shipped] = &[$(Shipped {
            name: $name,
            text: include_str!(concat!("../../../experiments/", $name, ".toml")),
        }),+];
    };
}

shipped!(
    "quick",
    "core-gateways",
    "core-servers",
    "core-services",
    "core-tenants",
    "fault-control",
    "fault-counter-quota",
    "fault-cut",
    "fault-cut-none",
    "fault-domains",
    "hollow-changes",
    "hollow-configurations",
    "hollow-crowded-counter",
    "hollow-idle",
    "hollow-in-force",
    "hollow-list",
    "hollow-requests",
    "hollow-restarts",
    "hollow-server-gateways",
    "hollow-tenants",
    "real-connections",
    "real-faults",
    "real-gateways",
    "real-listed",
    "real-requests",
    "real-servers",
    "real-tenants",
);

/// The experiment of a name.
pub fn find(name: &str) -> Option<&'static Shipped> {
    SHIPPED.iter().find(|shipped| shipped.name == name)
}
