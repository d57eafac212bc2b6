//! Attempts at servers: one exchange for each, and how it ended.

use crate::attempt::{AttemptTimes, Outgoing, Reply, Slot};
use crate::body_size::{HELD_MOST, PASSING};
use crate::headers;
use crate::pool::{Connection, Pool};
use crate::stream::{self, Answered, Download, Sending, Upload};
use bytes::Bytes;
use grebehook_core::{AttemptStatus, LoadReport, ServerId};
use hyper::body::{Body, Incoming};
use hyper::header::{HeaderMap, HeaderValue, HOST};
use hyper::{Method, Request, Response, Uri};
use std::cell::Cell;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::sync::{OwnedSemaphorePermit, Semaphore};
use tokio::time::{sleep, timeout, timeout_at};

/// An answer said to be longer is none. Servers answer with more than they take in.
const ANSWER_MOST: u64 = 64 << 20;

/// Sends attempts over the connections of a pool.
pub struct Upstream {
    /// The servers and the connections to them.
    pub pool: Pool,
    /// Room for answers that are passed on as they come, one permit each.
    room: Arc<Semaphore>,
    /// The most units that a request can count.
    most_units: f64,
}

/// The request could not be written to this connection, which had ended before its first byte.
struct Unwritten;

impl Upstream {
    /// So many bytes of room for what is held of answers that are passed on as they come.
    pub fn new(pool: Pool, room: usize, most_units: f64) -> Upstream {
        let room = (room / PASSING).max(1);
        Upstream { pool, room: Arc::new(Semaphore::new(room)), most_units }
    }

    /// Sends a request once, within the times given, and tells how that ended. `tries` counts it once it is written
    /// whole.
    pub async fn exchange(
        self: &Rc<Self>,
        server: ServerId,
        slot: &Slot,
        out: &Outgoing,
        times: AttemptTimes,
        tries: Option<&Rc<Cell<u64>>>,
    ) -> Reply {
        while let Some(connection) = self.pool.idle(server) {
            // Whatever a server sends behind an answer has come by then, and ended the connection.
            if let Some(rest) = connection.rest_left() {
                sleep(rest).await;
            }
            if Instant::now() >= times.send_by {
                self.pool.restore(server, connection);
                return Reply::bare(AttemptStatus::NotSent);
            }
            if (out.client_has_left)() {
                self.pool.restore(server, connection);
                return Reply::bare(AttemptStatus::NotSent);
            }
            // Nothing was written to a connection that hyper found closed, so nothing has been sent yet.
            if let Ok(reply) = self.over(server, connection, slot, out, times.answer_by, tries).await {
                return reply;
            }
        }
        if (out.client_has_left)() {
            return Reply::bare(AttemptStatus::NotSent);
        }
        let connection = match timeout_at(times.send_by.into(), self.pool.connect(server)).await {
            Ok(Ok(connection)) => connection,
            Ok(Err(status)) => return Reply::bare(status),
            Err(_) => return Reply::bare(AttemptStatus::NotSent),
        };
        if (out.client_has_left)() {
            self.pool.restore(server, connection);
            return Reply::bare(AttemptStatus::NotSent);
        }
        let reply = self.over(server, connection, slot, out, times.answer_by, tries).await;
        reply.unwrap_or_else(|Unwritten| Reply::bare(AttemptStatus::ConnectFailed))
    }

    async fn over(
        self: &Rc<Self>,
        server: ServerId,
        mut connection: Connection,
        slot: &Slot,
        out: &Outgoing,
        answer_by: Instant,
        tries: Option<&Rc<Cell<u64>>>,
    ) -> Result<Reply, Unwritten> {
        let mut request = Request::new(Sending::new(&out.body, connection.link.clone()));
        *request.method_mut() = out.method.clone();
        *request.uri_mut() = out.uri.clone();
        *request.headers_mut() = out.headers.clone();
        let left = answer_by.saturating_duration_since(Instant::now());
        request.headers_mut().insert(headers::BUDGET, HeaderValue::from(left.as_millis() as u64));
        slot.set(Some(connection.link.clone()));
        connection.link.begin(out.body.length());
        connection.link.count(tries);
        let response = match connection.sender.try_send_request(request).await {
            Ok(response) => response,
            Err(_) => {
                connection.link.close();
                return match (connection.link.whole(), connection.link.begun()) {
                    // What its client broke off says nothing of the server.
                    _ if out.body.broken() => Ok(Reply::bare(AttemptStatus::NotSent)),
                    (true, _) => Ok(Reply::bare(AttemptStatus::ConnectionReset)),
                    (false, true) => Ok(Reply::bare(AttemptStatus::ConnectFailed)),
                    (false, false) => {
                        slot.set(None);
                        Err(Unwritten)
                    }
                };
            }
        };
        connection.link.heard();
        let (head, body) = response.into_parts();
        // An answer that changes the protocol or does not tell where it ends is none.
        let status = head.status.as_u16();
        let sound = status > 199 && (status != 200 || headers::ends(&head.headers));
        let body = if sound { self.read(body).await } else { None };
        let Some((body, rest)) = body.filter(|(_, rest)| rest.is_none() || status == 200) else {
            connection.link.close();
            return Ok(Reply::bare(AttemptStatus::ConnectionReset));
        };
        let (used, load) = (headers::usage(&head.headers), headers::load(head.headers.get(headers::LOAD)));
        let status = match status {
            200 => AttemptStatus::Ok,
            503 | 504 if head.headers.get(headers::REJECTED).is_some_and(|v| v == "1") => {
                AttemptStatus::Rejected
            }
            _ => AttemptStatus::Error,
        };
        let settled = headers::charge(&head.headers, self.most_units).filter(|_| status == AttemptStatus::Ok);
        let link = connection.link.clone();
        let upstream = self.clone();
        let done = move || match connection.link.whole() {
            true => upstream.pool.park(server, connection),
            false => connection.link.close(),
        };
        let body = match rest {
            Some((rest, room)) => Answered::Passing(Download::new((body, rest), link, Box::new(done), room)),
            None => {
                done();
                Answered::Whole(body)
            }
        };
        let answer = (status == AttemptStatus::Ok).then(|| {
            let mut head = head;
            headers::strip(&mut head.headers);
            head.headers.remove(headers::LOAD);
            Response::from_parts(head, body)
        });
        Ok(Reply { status, used, settled, load, answer })
    }

    /// Reads a short answer's body whole. A long one waits until there is room for what is held of it on its
    /// way, and is then passed on as it comes; meanwhile its server waits in turn.
    async fn read(&self, body: Incoming) -> Option<(Bytes, Option<(Incoming, OwnedSemaphorePermit)>)> {
        let length = body.size_hint().exact();
        if length.is_some_and(|n| n > ANSWER_MOST) {
            return None;
        }
        let long = length.is_some_and(|n| n > HELD_MOST as u64);
        let (head, rest) = if long { (Bytes::new(), Some(body)) } else { stream::begin(body).await.ok()? };
        let Some(rest) = rest else { return Some((head, None)) };
        let room = self.room.clone().acquire_owned().await.ok()?;
        Some((head, Some((rest, room))))
    }

    /// Looks at a server.
    pub async fn probe(
        self: &Rc<Self>,
        server: ServerId,
        path: &'static str,
        limit: Duration,
    ) -> (AttemptStatus, Option<LoadReport>) {
        let probe = Outgoing {
            method: Method::GET,
            uri: Uri::from_static(path),
            headers: HeaderMap::from_iter([(HOST, HeaderValue::from_static("server"))]),
            body: Rc::new(Upload::none()),
            client_has_left: Box::new(|| false),
        };
        let slot = Slot::default();
        let end = Instant::now() + limit;
        let times = AttemptTimes { send_by: end, answer_by: end };
        let Ok(reply) = timeout(limit, self.exchange(server, &slot, &probe, times, None)).await else {
            slot.close();
            return (AttemptStatus::Timeout, None);
        };
        let told = reply.answer.as_ref().and_then(|a| match a.body() {
            Answered::Whole(body) => HeaderValue::from_bytes(body).ok(),
            Answered::Passing(_) => None,
        });
        (reply.status, reply.load.or_else(|| headers::load(told.as_ref())))
    }
}

#[cfg(test)]
mod tests;
