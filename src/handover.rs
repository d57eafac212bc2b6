//! What a gateway knows, as text, for the process that takes its place: use, debts and verdicts outlive it.

use super::Gateway;
use crate::api::*;
use crate::customers::Customer;
use crate::parts::Rate;
use crate::servers::Server;
use std::fmt::Write;
use std::str::{FromStr, SplitAsciiWhitespace};

/// The version of the text, its first word.
const VERSION: &str = "frostgauge-1";

/// Why a text was not taken up.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HandoverError {
    /// The line at fault, from 1.
    pub line: usize,
}

impl std::fmt::Display for HandoverError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "line {} of what was handed over cannot be read", self.line)
    }
}

impl std::error::Error for HandoverError {}

fn next<T: FromStr>(words: &mut SplitAsciiWhitespace<'_>) -> Option<T> {
    words.next()?.parse().ok()
}

fn figure(words: &mut SplitAsciiWhitespace<'_>) -> Option<f64> {
    next(words).filter(|f: &f64| f.is_finite())
}

fn rate(words: &mut SplitAsciiWhitespace<'_>) -> Option<Rate> {
    Some(Rate { value: figure(words)?, at: next(words)? })
}

impl Gateway {
    /// No deadline lies past the end of this process: a request still open then would never be answered.
    pub(super) fn stop(&mut self, by: Micros, out: &mut Vec<Action>) {
        self.ends = by;
        for (id, r) in self.requests.iter_mut().filter(|(_, r)| r.deadline > by) {
            r.deadline = by;
            out.push(Action::Timer { at: by, timer: TimerId(id.0 << 1) });
        }
    }

    /// What the next process has to know. What was not counted yet is its to count; this one keeps what its
    /// open requests still settle for.
    pub fn hand_over(&mut self) -> String {
        let (s, f) = (&self.sends, &self.flow);
        let mut text = format!("{VERSION}\ngateway {} {} {} ", self.strain, self.call_share, self.metered);
        // Writing to a string cannot fail.
        let _ = writeln!(text, "{} {} {} {}", s.value, s.at, f.value, f.at);
        for (id, x) in &self.servers {
            let _ = write!(text, "server {} {} {} {} ", id.0, x.ok, x.judged, x.ejected);
            let _ = writeln!(text, "{} {} {} {}", x.ejections, x.item_us, x.credit, x.open);
        }
        for (id, c) in &mut self.customers {
            // A call that is out may have been added by the time of the next one.
            let unsure = c.unsure + c.adding;
            let counted = std::mem::take(&mut c.uncounted) + std::mem::take(&mut c.owed);
            let total = c.total.map_or("-".to_owned(), |t| t.to_string());
            let _ = write!(text, "customer {} {} {} {} ", id.0, c.plan, c.spread, c.first);
            let _ = write!(text, "{} {} {} {} {} ", c.level, c.credit, c.filled, c.mine.value, c.mine.at);
            let _ = write!(text, "{} {} {} {} ", c.demand, c.demand_at, c.delay_ms, c.interval_at);
            let _ = write!(text, "{} {} {} {counted} {unsure} ", c.arrived, c.next_leave, c.slice);
            let _ = writeln!(text, "{} {} {total}", c.counted, c.spilt);
        }
        text
    }

    /// Takes up what the process before has handed over; all of it, or nothing. Servers that are not listed are
    /// passed over.
    pub fn take_over(&mut self, now: Micros, text: &str) -> Result<(), HandoverError> {
        let mut lines = text.lines().zip(1..);
        if lines.next().is_none_or(|(version, _)| version != VERSION) {
            return Err(HandoverError { line: 1 });
        }
        let (mut gateways, mut servers, mut customers) = (Vec::new(), Vec::new(), Vec::new());
        for (text, line) in lines {
            let mut words = text.split_ascii_whitespace();
            let read = match words.next() {
                Some("gateway") => read_gateway(&mut words).map(|g| gateways.push(g)),
                Some("server") => read_server(&mut words).map(|x| servers.push(x)),
                Some("customer") => self.read_customer(&mut words).map(|c| customers.push(c)),
                _ => None,
            };
            read.ok_or(HandoverError { line })?;
        }
        for (strain, call_share, metered, sends, flow) in gateways {
            (self.strain, self.call_share, self.metered) = (strain, call_share, metered);
            (self.sends, self.flow) = (sends, flow);
        }
        for (id, seen) in servers {
            let Some(x) = self.servers.get_mut(&id) else { continue };
            (x.ok, x.judged, x.ejected, x.ejections) = (seen.ok, seen.judged, seen.ejected, seen.ejections);
            (x.item_us, x.credit) = (seen.item_us, seen.credit);
            // What the old process still has out there is others' work to this one.
            (x.others, x.reported) = (f64::from(seen.open), now);
        }
        self.changed.extend(customers.iter().map(|(id, _)| *id));
        self.customers.extend(customers);
        Ok(())
    }

    fn read_customer(&self, words: &mut SplitAsciiWhitespace<'_>) -> Option<(CustomerId, Customer)> {
        let (id, plan): (_, usize) = (CustomerId(next(words)?), next(words)?);
        let terms = self.settings.plans.get(plan)?.clone();
        let gateways = self.settings.gateways;
        let spread = next(words).filter(|s| (1..=gateways).contains(s))?;
        let first = next(words).filter(|f| *f < gateways)?;
        let customer = Customer {
            plan,
            terms,
            spread,
            first,
            level: figure(words)?,
            credit: figure(words)?,
            filled: next(words)?,
            mine: rate(words)?,
            demand: figure(words)?,
            demand_at: next(words)?,
            delay_ms: figure(words)?,
            interval_at: next(words)?,
            arrived: figure(words)?,
            next_leave: next(words)?,
            slice: figure(words)?,
            uncounted: figure(words)?,
            unsure: figure(words)?,
            counted: next(words)?,
            spilt: figure(words)?,
            total: match words.next()? {
                "-" => None,
                total => Some(total.parse().ok().filter(|t: &f64| t.is_finite())?),
            },
            ..Customer::default()
        };
        Some((id, customer))
    }
}

fn read_gateway(words: &mut SplitAsciiWhitespace<'_>) -> Option<(f64, f64, Micros, Rate, Rate)> {
    Some((figure(words)?, figure(words)?, next(words)?, rate(words)?, rate(words)?))
}

fn read_server(words: &mut SplitAsciiWhitespace<'_>) -> Option<(ServerId, Server)> {
    let id = ServerId(next(words)?);
    let seen = Server {
        ok: figure(words)?,
        judged: next(words)?,
        ejected: next(words)?,
        ejections: next(words)?,
        item_us: figure(words)?,
        credit: figure(words)?,
        open: next(words)?,
        ..Server::default()
    };
    Some((id, seen))
}
