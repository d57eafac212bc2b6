//! Detection of clients that disconnect while their request is in progress.

use crate::bodies::upload::Upload;
use crate::clients::stream::ClientStream;
use crate::driver::decision_driver::DecisionDriver;
use crate::driver::request::Answer;
use grebehook_core::RequestId;
use std::future::pending;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::sleep;

/// Interval between checks for a disconnect while a streamed body is incomplete.
const DISCONNECT_CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Reports to the decision core, when dropped, that the client has disconnected. The driver ignores the
/// report if the request has received its final answer by then.
pub struct DisconnectGuard<'a> {
    driver: &'a Rc<DecisionDriver>,
    /// The request whose client is observed.
    id: RequestId,
}

impl<'a> DisconnectGuard<'a> {
    /// Creates a guard for a request.
    pub fn new(driver: &'a Rc<DecisionDriver>, id: RequestId) -> DisconnectGuard<'a> {
        DisconnectGuard { driver, id }
    }

    /// Reports at once that the client has disconnected and returns the final answer to its request.
    pub fn report(&self) -> Answer {
        self.driver.handle_client_disconnect(self.id)
    }
}

impl Drop for DisconnectGuard<'_> {
    fn drop(&mut self) {
        self.driver.handle_client_disconnect(self.id);
    }
}

/// Waits until the client of a request closes its sending side.
pub async fn wait_for_disconnect(stream: &ClientStream, body: &Upload) {
    if body.is_incomplete() {
        wait_for_disconnect_during_upload(stream, body).await;
    } else {
        stream.wait_for_disconnect().await;
    }
}

/// Waits until the client closes its sending side, while its body is incomplete: hyper reads the connection, and
/// detects its end, only as fast as a server takes the body. Later, hyper detects the end.
async fn wait_for_disconnect_during_upload(stream: &ClientStream, body: &Upload) {
    while body.is_incomplete() {
        if stream.is_read_closed() {
            return;
        }
        sleep(DISCONNECT_CHECK_INTERVAL).await;
    }
    pending::<()>().await;
}
