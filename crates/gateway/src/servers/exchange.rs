//! Attempts at servers: one exchange for each, and how it ended.

use crate::bodies::forwarding::{self, Download, RequestBody, ResponseContent, Upload};
use crate::bodies::size::{FORWARDING_BUFFER_BYTES, MAX_BUFFERED_BODY_BYTES};
use crate::network::headers;
use crate::servers::attempt::{AttemptConnection, AttemptResponse, AttemptTimes, OutgoingRequest};
use crate::servers::pool::{Connection, Pool};
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
    body_memory: Arc<Semaphore>,
    /// The most units that a request can count.
    max_units: f64,
}

/// The request could not be written to this connection, which had ended before its first byte.
struct Unwritten;

impl Upstream {
    /// So many bytes of room for what is held of answers that are passed on as they come.
    pub fn new(pool: Pool, room: usize, most_units: f64) -> Upstream {
        let room = (room / FORWARDING_BUFFER_BYTES).max(1);
        Upstream { pool, body_memory: Arc::new(Semaphore::new(room)), max_units: most_units }
    }

    /// Sends a request once, within the times given, and tells how that ended. `tries` counts it once it is written
    /// whole.
    pub async fn exchange(
        self: &Rc<Self>,
        server: ServerId,
        slot: &AttemptConnection,
        out: &OutgoingRequest,
        times: AttemptTimes,
        tries: Option<&Rc<Cell<u64>>>,
    ) -> AttemptResponse {
        while let Some(connection) = self.pool.take_idle(server) {
            // Whatever a server sends behind an answer has come by then, and ended the connection.
            if let Some(rest) = connection.rest_left() {
                sleep(rest).await;
            }
            if Instant::now() >= times.send_by {
                self.pool.restore(server, connection);
                return AttemptResponse::without_response(AttemptStatus::NotSent);
            }
            if (out.client_has_left)() {
                self.pool.restore(server, connection);
                return AttemptResponse::without_response(AttemptStatus::NotSent);
            }
            // Nothing was written to a connection that hyper found closed, so nothing has been sent yet.
            if let Ok(reply) = self.over(server, connection, slot, out, times.answer_by, tries).await {
                return reply;
            }
        }
        if (out.client_has_left)() {
            return AttemptResponse::without_response(AttemptStatus::NotSent);
        }
        let connection = match timeout_at(times.send_by.into(), self.pool.connect(server)).await {
            Ok(Ok(connection)) => connection,
            Ok(Err(status)) => return AttemptResponse::without_response(status),
            Err(_) => return AttemptResponse::without_response(AttemptStatus::NotSent),
        };
        if (out.client_has_left)() {
            self.pool.restore(server, connection);
            return AttemptResponse::without_response(AttemptStatus::NotSent);
        }
        let reply = self.over(server, connection, slot, out, times.answer_by, tries).await;
        reply.unwrap_or_else(|Unwritten| AttemptResponse::without_response(AttemptStatus::ConnectFailed))
    }

    async fn over(
        self: &Rc<Self>,
        server: ServerId,
        mut connection: Connection,
        slot: &AttemptConnection,
        out: &OutgoingRequest,
        answer_by: Instant,
        tries: Option<&Rc<Cell<u64>>>,
    ) -> Result<AttemptResponse, Unwritten> {
        let mut request = Request::new(RequestBody::new(&out.body, connection.link.clone()));
        *request.method_mut() = out.method.clone();
        *request.uri_mut() = out.uri.clone();
        *request.headers_mut() = out.headers.clone();
        let left = answer_by.saturating_duration_since(Instant::now());
        request.headers_mut().insert(headers::BUDGET, HeaderValue::from(left.as_millis() as u64));
        slot.set(Some(connection.link.clone()));
        connection.link.begin_request(out.body.length());
        connection.link.count_written(tries);
        let response = match connection.sender.try_send_request(request).await {
            Ok(response) => response,
            Err(_) => {
                connection.link.close();
                return match (connection.link.request_written(), connection.link.has_begun_writing()) {
                    // What its client broke off says nothing of the server.
                    _ if out.body.is_broken() => {
                        Ok(AttemptResponse::without_response(AttemptStatus::NotSent))
                    }
                    (true, _) => Ok(AttemptResponse::without_response(AttemptStatus::ConnectionReset)),
                    (false, true) => Ok(AttemptResponse::without_response(AttemptStatus::ConnectFailed)),
                    (false, false) => {
                        slot.set(None);
                        Err(Unwritten)
                    }
                };
            }
        };
        connection.link.response_received();
        let (head, body) = response.into_parts();
        // An answer that changes the protocol or does not tell where it ends is none.
        let status = head.status.as_u16();
        let sound = status > 199 && (status != 200 || headers::ends(&head.headers));
        let body = if sound { self.read(body).await } else { None };
        let Some((body, rest)) = body.filter(|(_, rest)| rest.is_none() || status == 200) else {
            connection.link.close();
            return Ok(AttemptResponse::without_response(AttemptStatus::ConnectionReset));
        };
        let (used, load) = (headers::usage(&head.headers), headers::load(head.headers.get(headers::LOAD)));
        let status = match status {
            200 => AttemptStatus::Ok,
            503 | 504 if head.headers.get(headers::REJECTED).is_some_and(|v| v == "1") => {
                AttemptStatus::Rejected
            }
            _ => AttemptStatus::Error,
        };
        let settled = headers::charge(&head.headers, self.max_units).filter(|_| status == AttemptStatus::Ok);
        let link = connection.link.clone();
        let upstream = self.clone();
        let done = move || match connection.link.request_written() {
            true => upstream.pool.keep_idle(server, connection),
            false => connection.link.close(),
        };
        let body = match rest {
            Some((rest, room)) => {
                ResponseContent::Forwarded(Download::new((body, rest), link, Box::new(done), room))
            }
            None => {
                done();
                ResponseContent::Buffered(body)
            }
        };
        let answer = (status == AttemptStatus::Ok).then(|| {
            let mut head = head;
            headers::strip(&mut head.headers);
            head.headers.remove(headers::LOAD);
            Response::from_parts(head, body)
        });
        Ok(AttemptResponse {
            status,
            reported_usage: used,
            settled_units: settled,
            load_report: load,
            response: answer,
        })
    }

    /// Reads a short answer's body whole. A long one waits until there is room for what is held of it on its
    /// way, and is then passed on as it comes; meanwhile its server waits in turn.
    async fn read(&self, body: Incoming) -> Option<(Bytes, Option<(Incoming, OwnedSemaphorePermit)>)> {
        let length = body.size_hint().exact();
        if length.is_some_and(|n| n > ANSWER_MOST) {
            return None;
        }
        let long = length.is_some_and(|n| n > MAX_BUFFERED_BODY_BYTES as u64);
        let (head, rest) =
            if long { (Bytes::new(), Some(body)) } else { forwarding::begin(body).await.ok()? };
        let Some(rest) = rest else { return Some((head, None)) };
        let room = self.body_memory.clone().acquire_owned().await.ok()?;
        Some((head, Some((rest, room))))
    }

    /// Looks at a server.
    pub async fn probe(
        self: &Rc<Self>,
        server: ServerId,
        path: &'static str,
        limit: Duration,
    ) -> (AttemptStatus, Option<LoadReport>) {
        let probe = OutgoingRequest {
            method: Method::GET,
            uri: Uri::from_static(path),
            headers: HeaderMap::from_iter([(HOST, HeaderValue::from_static("server"))]),
            body: Rc::new(Upload::none()),
            client_has_left: Box::new(|| false),
        };
        let slot = AttemptConnection::default();
        let end = Instant::now() + limit;
        let times = AttemptTimes { send_by: end, answer_by: end };
        let Ok(reply) = timeout(limit, self.exchange(server, &slot, &probe, times, None)).await else {
            slot.close();
            return (AttemptStatus::Timeout, None);
        };
        let told = reply.response.as_ref().and_then(|a| match a.body() {
            ResponseContent::Buffered(body) => HeaderValue::from_bytes(body).ok(),
            ResponseContent::Forwarded(_) => None,
        });
        (reply.status, reply.load_report.or_else(|| headers::load(told.as_ref())))
    }
}

#[cfg(test)]
mod tests;
