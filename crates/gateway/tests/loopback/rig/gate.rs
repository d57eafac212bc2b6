//! Holds a scripted server's reply until a test releases it.

use std::sync::mpsc::{channel, Receiver, Sender};
use std::sync::Mutex;

/// Releases replies, one at a time.
pub struct Gate(Sender<()>);

/// Waits for releases, in the server's script.
pub struct GateWaiter(Mutex<Receiver<()>>);

impl Gate {
    /// A closed gate and the side that waits for it.
    pub fn new() -> (Gate, GateWaiter) {
        let (sender, receiver) = channel();
        (Gate(sender), GateWaiter(Mutex::new(receiver)))
    }

    /// Lets one waiting reply, or the next, go on.
    pub fn release_one(&self) {
        self.0.send(()).unwrap();
    }
}

impl GateWaiter {
    /// Waits for a release.
    pub fn wait(&self) {
        self.0.lock().unwrap().recv().unwrap();
    }
}
