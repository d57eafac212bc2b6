//! Builds the preloaded library `syscall_faults.c`, which makes the gateway's system calls fail, once for each run of the
//! tests. It is written in C, which the linker's compiler builds anyway, so that the workspace stays without unsafe code.

use std::path::{Path, PathBuf};
use std::process::Command;
use std::sync::OnceLock;

/// Faults that the whole test program runs under, in the form of [`SPECIFICATION`].
pub const ALL_TESTS: &str = "GREBEHOOK_TEST_FAULTS";
/// What the library reads: `key=number` pairs, described in `syscall_faults.c`.
pub const SPECIFICATION: &str = "SYSCALL_FAULTS";

/// Where the library is, built if it was not yet.
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
            .expect("no C compiler");
        assert!(built.success(), "the fault library does not compile");
        library
    })
}
