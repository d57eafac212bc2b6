//! A gate that holds the replies of a scripted server until a test releases them.

use std::sync::mpsc::{channel, Receiver, Sender};
use std::sync::Mutex;

/// The test's side of a gate, which releases replies one at a time.
pub struct Gate(Sender<()>);

/// The server's side of a gate, which waits for releases.
pub struct GateWaiter(Mutex<Receiver<()>>);

impl Gate {
    /// Creates both sides of a closed gate.
    pub fn new() -> (Gate, GateWaiter) {
        let (sender, receiver) = channel();
        (Gate(sender), GateWaiter(Mutex::new(receiver)))
    }

    /// Releases one waiting reply, or the next one if none waits.
    pub fn release_one(&self) {
        self.0.send(()).unwrap();
    }
}

impl GateWaiter {
    /// Blocks until the test releases a reply.
    pub fn wait(&self) {
        self.0.lock().unwrap().recv().unwrap();
    }
}
