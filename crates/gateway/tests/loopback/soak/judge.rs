//! Holds what a run of the soak saw to the operators' terms.

use super::plan::{zone, CLASSES, WINDOW};
use super::record::{End, Receipt, Record, Sent};
use std::collections::HashMap;
use std::time::Duration;

/// The terms' slack for an answer, for the time told, for a drain and for a departed client.
const LATE_ANSWER: Duration = Duration::from_millis(500);
const TOLD_SLACK: Duration = Duration::from_millis(150);
const DRAIN_GRACE: Duration = Duration::from_millis(1_050);
const DEPARTURE_GRACE: Duration = Duration::from_millis(100);
/// What a busy machine may add to a time that is measured from outside the gateway.
const MEASURED_LATE: Duration = Duration::from_millis(150);

/// Holds what was seen to the terms.
pub fn judge(record: &Record, crowded: bool) -> Vec<String> {
    let (sent, receipts) = (record.sent.lock().unwrap(), record.receipts.lock().unwrap());
    let mut by_call: HashMap<&str, Vec<&Receipt>> = HashMap::new();
    receipts.iter().for_each(|receipt| by_call.entry(&receipt.call).or_default().push(receipt));
    let mut faults = Vec::new();
    for request in sent.iter() {
        let attempts = by_call.get(request.call.as_str()).map_or(&[][..], Vec::as_slice);
        let before = faults.len();
        judge_end(request, attempts, crowded, &mut faults);
        judge_attempts(request, attempts, &mut faults);
        if faults.len() > before {
            let since_signal = record.since_signal(request.written);
            faults.push(format!(
                "  {request:?}, {since_signal:?} after the signal to stop, attempts {attempts:#?}"
            ));
        }
    }
    for receipt in receipts.iter() {
        let started = record.life_at(receipt.first_byte).map(|life| life.started);
        for (server, told, until) in record.drains.lock().unwrap().iter() {
            // What the agent has counts as told from the first moment of a new process.
            let told = started.map_or(*told, |started| started.max(*told));
            let late = receipt.first_byte > told + DRAIN_GRACE + MEASURED_LATE;
            if receipt.server == *server && late && until.is_none_or(|until| receipt.first_byte < until) {
                faults.push(format!("drain: {} sent {:?} after", receipt.call, receipt.first_byte - told));
            }
        }
    }
    faults
}

/// One final answer, in time, and no promise that is not true.
fn judge_end(request: &Sent, attempts: &[&Receipt], crowded: bool, faults: &mut Vec<String>) {
    let Sent { call, class, budget, written, first_on_connection, end } = request;
    let may_have_run = attempts.iter().any(|receipt| !receipt.rejected);
    let mut fault = |text: &str| faults.push(format!("{text}: {call}, {}", CLASSES[*class]));
    match end {
        End::Answer { status, whole, at } => {
            if *at > *written + *budget + LATE_ANSWER + MEASURED_LATE {
                fault(&format!("lost (answered after {:?} of {budget:?})", *at - *written));
            }
            if matches!(status, 429 | 503) && may_have_run && *class == 2 {
                fault("refused, though it may have run");
            }
            if *status == 200 && *whole && !may_have_run {
                fault("served by nobody");
            }
        }
        End::Closed if !attempts.is_empty() => fault("lost (forwarded, and closed with no answer)"),
        // Idle clients fill the descriptors: new connections may be shut unread then.
        End::Closed if *first_on_connection && !crowded => fault("lost (closed on a new connection)"),
        // The close crossed the request, which its client sends again.
        End::Closed | End::Left(_) => {}
    }
}

/// No duplicate effects, nothing for a departed client, no more time told than is left.
fn judge_attempts(request: &Sent, attempts: &[&Receipt], faults: &mut Vec<String>) {
    let Sent { call, class, budget, written, end, .. } = request;
    let mut fault = |text: String| faults.push(format!("{text}: {call}, {}", CLASSES[*class]));
    let mut in_order: Vec<&&Receipt> = attempts.iter().collect();
    in_order.sort_by_key(|receipt| receipt.first_byte);
    let first_run = in_order.iter().position(|receipt| !receipt.rejected);
    for later in first_run.map_or(&[][..], |first| &in_order[first + 1..]) {
        let first = in_order[first_run.unwrap_or(0)];
        let late = later.first_byte > first.first_byte + WINDOW + MEASURED_LATE;
        if *class == 2 || *class == 1 && (zone(later.server) != zone(first.server) || late) {
            fault("duplicate".to_owned());
        }
    }
    for receipt in attempts {
        let left = (*written + *budget).saturating_duration_since(receipt.whole);
        if receipt.told > left + TOLD_SLACK + MEASURED_LATE {
            fault(format!("told {:?} with {left:?} left", receipt.told));
        }
        if let End::Left(at) = end {
            if receipt.first_byte > *at + DEPARTURE_GRACE + MEASURED_LATE {
                fault(format!("lost (begun {:?} after its client left)", receipt.first_byte - *at));
            }
        }
    }
}
