//! Attempts of requests at servers: whether an attempt may be sent, its timeout, and the handling of its
//! outcome.

mod dispatch;
pub(crate) mod load;
mod outcome;
mod overload;
pub(crate) mod retry_budget;
pub(crate) mod timeout;
