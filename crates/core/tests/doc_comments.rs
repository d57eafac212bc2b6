//! Tests of `.ci/doc-comments`, the continuous integration script that checks doc comments.

use std::path::Path;
use std::process::Command;

/// Runs the script on a folder with one file of the given text. Returns whether the script accepted the file,
/// and its output.
fn run_script(name: &str, text: &str) -> (bool, String) {
    let folder = Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("doc-comments-{name}"));
    std::fs::create_dir_all(&folder).expect("the sample folder is created");
    std::fs::write(folder.join("sample.rs"), text).expect("the sample file is written");
    let script = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../.ci/doc-comments");
    let output = Command::new("bash").args([&script, &folder]).output().expect("bash starts the script");
    let output_text = String::from_utf8(output.stdout).expect("the script's output is UTF-8");
    (output.status.success(), output_text)
}

/// Asserts that the script rejects a file with a single report, which states the given line and reason.
fn assert_rejected(name: &str, text: &str, line: usize, reason: &str) {
    let (accepted, output_text) = run_script(name, text);
    assert!(!accepted, "{name}: the script accepted the file");
    assert!(
        output_text.ends_with(&format!("sample.rs:{line}: {reason}\n")),
        "{name}: unexpected report: {output_text}"
    );
    assert_eq!(output_text.lines().count(), 1, "{name}: more than one report: {output_text}");
}

/// Returns the text of a file that contains a documented module with one item.
fn with_module_comment(item: &str) -> String {
    format!("//! Items that the script under test examines.\n\n{item}\n")
}

#[test]
fn modules_types_traits_constants_and_public_items_need_a_doc_comment() {
    let items = [
        ("module", "mod inner {}", "inner"),
        ("struct", "struct Alpha;", "Alpha"),
        ("enum", "enum Alpha {\n    One,\n}", "Alpha"),
        ("trait", "trait Alpha {}", "Alpha"),
        ("type", "type Alpha = u32;", "Alpha"),
        ("constant", "const LIMIT: u32 = 1;", "LIMIT"),
        ("static", "static LIMIT: u32 = 1;", "LIMIT"),
        ("pub", "pub fn start() {}", "start"),
        ("pub-crate", "pub(crate) async fn start() {}", "start"),
        ("pub-super", "#[must_use]\npub(super) const fn start() -> u32 {\n    1\n}", "start"),
    ];
    for (name, item, identifier) in items {
        let line = if name == "pub-super" { 4 } else { 3 };
        let reason = format!("'{identifier}' has no doc comment");
        assert_rejected(&format!("missing-{name}"), &with_module_comment(item), line, &reason);
    }
    let method = "/// Requests in order of arrival.\nstruct Queue;\n\nimpl Queue {\n    pub(crate) fn pop(&self) {}\n}";
    assert_rejected("missing-method", &with_module_comment(method), 7, "'pop' has no doc comment");
    let field = "/// Requests in order of arrival.\nstruct Queue {\n    pub(crate) length: usize,\n}";
    assert_rejected("missing-field", &with_module_comment(field), 5, "'length' has no doc comment");
    assert_rejected("missing-file", "use std::fmt;\n", 1, "the module has no doc comment");
}

#[test]
fn comment_that_only_repeats_name_and_type_is_rejected() {
    let items = [
        ("struct", "/// The request queue.\nstruct RequestQueue;", "RequestQueue", 4),
        ("constant", "/// The limit.\nconst LIMIT: u32 = 1;", "LIMIT", 4),
        (
            "field",
            "/// Requests in order of arrival.\nstruct Queue {\n    /// Its id.\n    id: QueueId,\n}",
            "id",
            6,
        ),
        (
            "type",
            "/// Requests in order of arrival.\nstruct Queue {\n    /// The server.\n    to: Server,\n}",
            "to",
            6,
        ),
        (
            "variant",
            "/// Why a request ended.\nenum End {\n    /// Timed out.\n    TimedOut,\n}",
            "TimedOut",
            6,
        ),
        ("function", "/// Returns the size of it.\nfn size() -> u32 {\n    1\n}", "size", 4),
        (
            "signature",
            "/// The deadlines of the requests.\nfn deadline(\n    request: &Request,\n) -> u32 {\n    1\n}",
            "deadline",
            4,
        ),
    ];
    for (name, item, identifier, line) in items {
        let reason = format!("the doc comment of '{identifier}' only repeats its name and type");
        assert_rejected(&format!("repeats-{name}"), &with_module_comment(item), line, &reason);
    }
    let reason = "the doc comment of the module only repeats its name";
    assert_rejected("repeats-module", "//! A sample.\n\nuse std::fmt;\n", 1, reason);
}

#[test]
fn private_members_need_no_comment_and_informative_ones_pass() {
    let text = "/// Requests that wait for a connection.\n\
                #[derive(\n    Debug,\n)]\n\
                pub struct Queue {\n    first: u32,\n    /// Milliseconds.\n    pub limit: u32,\n}\n\n\
                impl Queue {\n    fn pop(&self) {\n        const STEP: u32 = 1;\n        let _ = STEP;\n    }\n}\n\n\
                impl Iterator for Queue {\n    type Item = u32;\n}\n\n\
                /// Why a request left the queue early.\n\
                pub(crate) enum End {\n    TimedOut { after: u32 },\n    Cancelled,\n}\n\n\
                fn start() {}\n";
    let (accepted, output_text) = run_script("accepted", &with_module_comment(text));
    assert!(accepted, "the script rejected the file: {output_text}");
    assert_eq!(output_text, "");
}
