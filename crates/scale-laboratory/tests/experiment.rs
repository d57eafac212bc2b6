//! Experiment files: what is refused, and the field that the refusal names.

mod common;

use common::{parse, text};
use grebehook_scale_laboratory::catalog::SHIPPED;
use grebehook_scale_laboratory::memory;

#[test]
fn error_names_the_invalid_field() {
    let cases = [
        (text(&[("gateways = 6", "gateways = 0")], ""), "fleet.gateways"),
        (text(&[("gateways = 6", "")], ""), "gateways"),
        (text(&[("gateways = 6", "gateways = 6\ngatewayz = 1")], ""), "gatewayz"),
        (text(&[("mode = \"hollow\"", "mode = \"full\"")], ""), "mode"),
        (text(&[("duration_seconds = 6.0", "duration_seconds = 0.0")], ""), "load.duration_seconds"),
        (text(&[("seed = 7", "seed = -7")], ""), "seed"),
        (text(&[], "[sweep]\nparameter = \"servers\"\nvalues = []\n"), "sweep.values"),
        (text(&[], "[sweep]\nparameter = \"servers\"\nvalues = [9, 3]\n"), "sweep.values"),
        (text(&[], "[sweep]\nparameter = \"gateways\"\nvalues = [0, 3]\n"), "fleet.gateways"),
        (text(&[], "[sweep]\nparameter = \"weather\"\nvalues = [1]\n"), "parameter"),
        (text(&[], "[[fault]]\nkind = \"flood\"\nat_seconds = 1.0\n"), "kind"),
        (text(&[], "[[fault]]\nkind = \"kill-gateways\"\nat_seconds = 1.0\nlasts_seconds = 1.0\ncount = 7\n"), "fault.count"),
        (text(&[], "[[fault]]\nkind = \"change-configuration\"\nat_seconds = 9.0\n"), "fault.at_seconds"),
        (
            text(&[], "[[fault]]\nkind = \"lose\"\nat_seconds = 1.0\nlasts_seconds = 1.0\ndomain = \"rack\"\nindex = 8\n"),
            "fault.index",
        ),
        (
            text(&[("mode = \"hollow\"", "mode = \"real\""), ("gateways = 6", "gateways = 151")], ""),
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
    let vast = text(
        &[("gateways = 6", "gateways = 2800"), ("servers_per_service = 24", "servers_per_service = 190000")],
        "",
    );
    let error = memory::check_estimate(&parse(&vast).unwrap()).unwrap_err();
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
    let mut listed: Vec<&str> = SHIPPED.iter().map(|shipped| shipped.name).collect();
    files.sort();
    listed.sort_unstable();
    assert_eq!(files, listed);
    for shipped in SHIPPED {
        let experiment = parse(shipped.text).unwrap_or_else(|error| panic!("{}: {error}", shipped.name));
        assert_eq!(experiment.name, shipped.name);
        memory::check_estimate(&experiment).unwrap();
    }
}
