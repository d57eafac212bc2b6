//! Attempts of a request at servers: whether one may be sent now, how long it is waited for, and what follows
//! its outcome.

mod dispatch;
pub(crate) mod load;
mod outcome;
mod overload;
pub(crate) mod retry_budget;
pub(crate) mod timeout;
