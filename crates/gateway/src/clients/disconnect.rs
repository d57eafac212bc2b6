//! Notices that a client disconnects while its request is in progress.

use crate::bodies::upload::Upload;
use crate::clients::stream::ClientStream;
use crate::driver::decision_driver::DecisionDriver;
use crate::driver::request::Answer;
use grebehook_core::RequestId;
use std::future::pending;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::sleep;

/// The interval of checks while the rest of a body is not read.
const CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Reports to the decision core that a client disconnected when it is dropped, unless the request has its answer by
/// then.
pub struct DisconnectGuard<'a> {
    /// The driver of the decision core.
    driver: &'a Rc<DecisionDriver>,
    /// The client's request.
    id: RequestId,
}

impl<'a> DisconnectGuard<'a> {
    /// Reports on the client of a request.
    pub fn new(driver: &'a Rc<DecisionDriver>, id: RequestId) -> DisconnectGuard<'a> {
        DisconnectGuard { driver, id }
    }

    /// Reports now that the client disconnected. Returns the final answer of its request.
    pub fn report(&self) -> Answer {
        self.driver.client_disconnected(self.id)
    }
}

impl Drop for DisconnectGuard<'_> {
    fn drop(&mut self) {
        self.driver.client_disconnected(self.id);
    }
}

/// Waits until the client of a request ends its sending side.
pub async fn client_disconnected(stream: &ClientStream, body: &Upload) {
    if body.is_incomplete() {
        disconnected_before_upload(stream, body).await;
    } else {
        stream.disconnected().await;
    }
}

/// Waits until the client of a long body ends its sending side. Once an attempt takes the body, hyper reads the
/// connection and finds its end.
async fn disconnected_before_upload(stream: &ClientStream, body: &Upload) {
    while !body.is_consumed() {
        if stream.is_end_announced() {
            return;
        }
        sleep(CHECK_INTERVAL).await;
    }
    pending::<()>().await;
}
