//! Configuration files and temporary folders of the gateway processes under test.

use std::io::ErrorKind;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicUsize, Ordering};

/// The number in the next unique name of a file or folder.
static NEXT_NUMBER: AtomicUsize = AtomicUsize::new(0);

/// Returns a name that is unique among the files and folders of the running test programs.
fn unique_name() -> String {
    format!("grebehook-{}-{}", std::process::id(), NEXT_NUMBER.fetch_add(1, Ordering::SeqCst))
}

/// Writes a configuration to a new file and returns the file's path.
pub fn write_config(text: &str) -> PathBuf {
    let path = Path::new(env!("CARGO_TARGET_TMPDIR")).join(unique_name()).with_extension("json");
    std::fs::write(&path, text).unwrap();
    path
}

/// A new folder with a name short enough for the path of a control socket; removed when dropped.
pub struct TemporaryFolder(PathBuf);

impl TemporaryFolder {
    /// Creates a folder under a name that does not exist yet. A killed test program that had the same process
    /// id may have left folders behind.
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

    /// Returns the path of the folder.
    pub fn path(&self) -> &Path {
        &self.0
    }
}

impl Drop for TemporaryFolder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}
