//! Validation of experiment files, and the catalog of built-in experiments.

mod common;

use common::{parse, toml};
use grebehook_scale_laboratory::catalog::BUILT_IN_EXPERIMENTS;
use grebehook_scale_laboratory::memory;

#[test]
fn error_names_the_invalid_field() {
    let cases = [
        (toml(&[("gateways = 6", "gateways = 0")], ""), "fleet.gateways"),
        (toml(&[("gateways = 6", "")], ""), "gateways"),
        (toml(&[("gateways = 6", "gateways = 6\ngatewayz = 1")], ""), "gatewayz"),
        (toml(&[("mode = \"hollow\"", "mode = \"full\"")], ""), "mode"),
        (toml(&[("duration_seconds = 6.0", "duration_seconds = 0.0")], ""), "load.duration_seconds"),
        (toml(&[("seed = 7", "seed = -7")], ""), "seed"),
        (toml(&[], "[sweep]\nparameter = \"servers\"\nvalues = []\n"), "sweep.values"),
        (toml(&[], "[sweep]\nparameter = \"servers\"\nvalues = [9, 3]\n"), "sweep.values"),
        (toml(&[], "[sweep]\nparameter = \"gateways\"\nvalues = [0, 3]\n"), "fleet.gateways"),
        (toml(&[], "[sweep]\nparameter = \"weather\"\nvalues = [1]\n"), "parameter"),
        (toml(&[], "[[fault]]\nkind = \"flood\"\nat_seconds = 1.0\n"), "kind"),
        (
            toml(
                &[],
                "[[fault]]\nkind = \"kill-gateways\"\nat_seconds = 1.0\nlasts_seconds = 1.0\n\
                 count = 7\n",
            ),
            "fault.count",
        ),
        (toml(&[], "[[fault]]\nkind = \"change-configuration\"\nat_seconds = 9.0\n"), "fault.at_seconds"),
        (
            toml(
                &[],
                "[[fault]]\nkind = \"lose\"\nat_seconds = 1.0\nlasts_seconds = 1.0\ndomain = \"rack\"\n\
                 index = 8\n",
            ),
            "fault.index",
        ),
        (
            toml(&[("mode = \"hollow\"", "mode = \"real\""), ("gateways = 6", "gateways = 151")], ""),
            "fleet.gateways",
        ),
    ];
    for (text, field) in cases {
        let error = parse(&text).expect_err(field);
        assert!(error.to_string().contains(field), "'{error}' does not name {field}");
        assert_eq!(error.exit_code(), 2);
    }
}

#[test]
fn sizes_beyond_half_of_the_memory_are_rejected() {
    let oversized = toml(
        &[("gateways = 6", "gateways = 2800"), ("servers_per_service = 24", "servers_per_service = 190000")],
        "",
    );
    let error = memory::check_estimate(&parse(&oversized).unwrap()).unwrap_err();
    assert!(error.to_string().contains("half of this machine's memory"), "{error}");
    assert_eq!(error.exit_code(), 2);
}

#[test]
fn every_experiment_file_is_built_in_and_valid() {
    let folder = concat!(env!("CARGO_MANIFEST_DIR"), "/../../experiments");
    let mut files: Vec<String> = std::fs::read_dir(folder)
        .unwrap()
        .map(|entry| entry.unwrap().path().file_stem().unwrap().to_string_lossy().into_owned())
        .collect();
    let mut listed: Vec<&str> = BUILT_IN_EXPERIMENTS.iter().map(|experiment| experiment.name).collect();
    files.sort();
    listed.sort_unstable();
    assert_eq!(files, listed);
    for built_in in BUILT_IN_EXPERIMENTS {
        let experiment = parse(built_in.toml).unwrap_or_else(|error| panic!("{}: {error}", built_in.name));
        assert_eq!(experiment.name, built_in.name);
        memory::check_estimate(&experiment).unwrap();
    }
}
