//! Catalog of the experiments that are built into the program.

/// An experiment that is built into the program.
pub struct BuiltInExperiment {
    /// Name of the experiment and of its file.
    pub name: &'static str,
    /// Content of the experiment file.
    pub toml: &'static str,
}

impl BuiltInExperiment {
    /// Returns the experiment's name and description on one line.
    pub fn summary(&self) -> String {
        let description = self.toml.lines().find_map(|line| line.strip_prefix("description = "));
        format!("{:<28}{}", self.name, description.unwrap_or_default().trim_matches('"'))
    }
}

/// Defines the catalog from the names of files in `experiments/`, and embeds their content.
macro_rules! built_in_experiments {
    ($($name:literal),+ $(,)?) => {
        /// All built-in experiments.
        pub const BUILT_IN_EXPERIMENTS: &[BuiltInExperiment] = &[$(BuiltInExperiment {
            name: $name,
            toml: include_str!(concat!("../../../experiments/", $name, ".toml")),
        }),+];
    };
}

built_in_experiments!(
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

/// Returns the built-in experiment of a name, or `None` if there is none.
pub fn find(name: &str) -> Option<&'static BuiltInExperiment> {
    BUILT_IN_EXPERIMENTS.iter().find(|experiment| experiment.name == name)
}
