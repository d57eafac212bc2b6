//! Builds the preloaded library `syscall_faults.c`, which makes system calls of the gateway fail, once per
//! run of the test program. The library is written in C to keep the workspace free of unsafe code; the C
//! compiler is needed for linking anyway.

use std::path::{Path, PathBuf};
use std::process::Command;
use std::sync::OnceLock;

/// The environment variable of the test program with the faults of all tests that set none of their own, in
/// the format of [`FAULTS_VARIABLE`].
pub const DEFAULT_FAULTS_VARIABLE: &str = "GREBEHOOK_TEST_FAULTS";
/// The environment variable that the library reads: `key=number` pairs, described in `syscall_faults.c`.
pub const FAULTS_VARIABLE: &str = "SYSCALL_FAULTS";

/// Returns the path of the library; the first call builds it.
pub fn path() -> &'static Path {
    static LIBRARY: OnceLock<PathBuf> = OnceLock::new();
    LIBRARY.get_or_init(|| {
        let source = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/loopback/syscall_faults.c");
        let name = format!("syscall-faults-{}.so", std::process::id());
        let library = Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
        let compiler = std::env::var("CC").unwrap_or_else(|_| "cc".to_owned());
        let built = Command::new(compiler)
            .args(["-shared", "-fPIC", "-O1", "-Wall", "-o"])
            .args([&library, &source])
            .arg("-ldl")
            .status()
            .expect("cannot run the C compiler");
        assert!(built.success(), "the fault library does not compile");
        library
    })
}
