//! Files and folders of the gateway processes under test.

use std::io::ErrorKind;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicUsize, Ordering};

/// Numbers the files and folders of this test program.
static NEXT_NUMBER: AtomicUsize = AtomicUsize::new(0);

/// A name that no other file of a test has.
fn unique_name() -> String {
    format!("grebehook-{}-{}", std::process::id(), NEXT_NUMBER.fetch_add(1, Ordering::SeqCst))
}

/// Writes a configuration to a new file.
pub fn write_config(text: &str) -> PathBuf {
    let path = Path::new(env!("CARGO_TARGET_TMPDIR")).join(unique_name()).with_extension("json");
    std::fs::write(&path, text).unwrap();
    path
}

/// A new folder with a name short enough for the path of a control socket; removed when dropped.
pub struct TemporaryFolder(PathBuf);

impl TemporaryFolder {
    /// Creates a folder. A test program that was killed may have left one of the same name, if this process has got
    /// its process number.
    pub fn create() -> TemporaryFolder {
        loop {
            let path = std::env::temp_dir().join(unique_name());
            match std::fs::create_dir(&path) {
                Err(error) if error.kind() == ErrorKind::AlreadyExists => {}
                created => {
                    created.unwrap();
                    return TemporaryFolder(path);
                }
            }
        }
    }

    /// Where it is.
    pub fn path(&self) -> &Path {
        &self.0
    }
}

impl Drop for TemporaryFolder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}
