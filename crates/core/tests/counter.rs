//! The shared counter keeps the customer's store; a server may be full to one plan alone.

mod common;
use common::*;
use grebehook_core::*;

fn counting() -> Settings {
    let mut s = settings();
    s.gateway_count = 4;
    s.capabilities.shared_counter = true;
    s.capabilities.counter_timeout = Some(80 * MS);
    s.capabilities.usage_report_period = Some(S);
    s
}

fn call(actions: &[Action]) -> Option<(CounterId, f64)> {
    actions.iter().find_map(|a| match a {
        Action::AddToCounter { counter, amount, .. } => Some((*counter, *amount)),
        _ => None,
    })
}

fn reply(rig: &mut Rig, counter: CounterId, total: Option<f64>) -> Vec<Action> {
    rig.now += 2 * MS;
    let result = total.map_or(CounterResult::Unknown, CounterResult::Total);
    rig.event(Event::CounterReplied { counter, result, elapsed: 2 * MS })
}

#[test]
fn a_request_waits_for_the_counters_word_and_goes() {
    let mut rig = Rig::new(counting(), &[entry(1, 0)]);
    let (_, actions) = rig.request(0, 5, 2 * S);
    let (counter, amount) = call(&actions).expect("a call");
    assert_eq!((counter, amount, sent(&actions)), (CounterId(5), 1.0, None));
    assert!(sent(&reply(&mut rig, counter, Some(3.0))).is_some());
}

#[test]
fn a_store_that_others_emptied_refuses_and_what_was_reserved_is_given_back() {
    let mut rig = Rig::new(counting(), &[entry(1, 0)]);
    let (_, actions) = rig.request(0, 5, 2 * S);
    let (counter, _) = call(&actions).expect("a call");
    assert!(sent(&reply(&mut rig, counter, Some(1.0))).is_some());
    rig.run_to(rig.now + S);
    let (_, actions) = rig.request(0, 5, 2 * S);
    assert_eq!(call(&actions), Some((counter, 1.0)));
    let done = reply(&mut rig, counter, Some(1.0 + 1.0 + 5.0));
    assert!(refused(&done) && sent(&done).is_none(), "{done:?}");
    let later: Vec<_> = rig.run_to(rig.now + 300 * MS).into_iter().map(|d| d.1).collect();
    assert_eq!(call(&later), Some((counter, -1.0)));
}

/// A total that fell to nothing is a name that started anew, and no use given back.
#[test]
fn a_counter_that_came_back_empty_fills_no_store() {
    let mut rig = Rig::new(counting(), &[entry(1, 0)]);
    let (_, actions) = rig.request(0, 5, 2 * S);
    let (counter, _) = call(&actions).expect("a call");
    assert!(sent(&reply(&mut rig, counter, Some(100.0))).is_some());
    // Others use a unit, then all counts are lost: the store holds what it held.
    for total in [101.0, 103.0, 1.0] {
        rig.run_to(rig.now + 250 * MS);
        let (_, actions) = rig.request(0, 5, 2 * S);
        assert_eq!(call(&actions), Some((counter, 1.0)));
        let mut done = reply(&mut rig, counter, Some(total));
        done.extend(rig.run_to(rig.now + 10 * MS).into_iter().map(|d| d.1));
        assert!(sent(&done).is_some(), "{total}: {done:?}");
    }
    let (_, mut done) = rig.request(0, 5, 2 * S);
    done.extend(rig.run_to(rig.now + 100 * MS).into_iter().map(|d| d.1));
    assert_eq!(sent(&done), None, "the store was filled");
}

/// What others took beyond the store is owed, or each gateway would spend the whole refill anew.
#[test]
fn units_that_others_took_at_once_leave_a_debt() {
    let mut rig = Rig::new(counting(), &[entry(1, 0)]);
    let (_, actions) = rig.request(0, 5, 2 * S);
    let (counter, _) = call(&actions).expect("a call");
    assert!(sent(&reply(&mut rig, counter, Some(1.0))).is_some());
    rig.run_to(rig.now + 250 * MS);
    assert!(call(&rig.request(0, 5, 2 * S).1).is_some());
    assert!(refused(&reply(&mut rig, counter, Some(1.0 + 1.0 + 6.0))));
    let later: Vec<_> = rig.run_to(rig.now + 150 * MS).into_iter().map(|d| d.1).collect();
    assert_eq!(call(&later), Some((counter, -1.0)));
    reply(&mut rig, counter, Some(1.0 + 6.0));
    rig.run_to(rig.now + 700 * MS);
    let (_, actions) = rig.request(0, 5, 2 * S);
    assert_eq!((call(&actions), sent(&actions)), (None, None), "two units of debt are not paid yet");
}

/// What others took while the counter was away went beyond the quota for the most part, and is not owed.
#[test]
fn a_debt_is_no_more_than_the_age_of_totals_explains() {
    let mut rig = Rig::new(counting(), &[entry(1, 0)]);
    let (_, actions) = rig.request(0, 5, 2 * S);
    let (counter, _) = call(&actions).expect("a call");
    assert!(sent(&reply(&mut rig, counter, Some(1.0))).is_some());
    rig.run_to(rig.now + 250 * MS);
    assert!(call(&rig.request(0, 5, 2 * S).1).is_some());
    assert!(refused(&reply(&mut rig, counter, Some(1.0 + 1.0 + 100.0))));
    rig.run_to(rig.now + 150 * MS);
    reply(&mut rig, counter, Some(1.0 + 100.0));
    rig.run_to(rig.now + S);
    assert!(call(&rig.request(0, 5, 2 * S).1).is_some(), "two units a second have paid it by now");
}

/// A total a moment old will do while the store is ample; what is left when it is low, all its gateways see.
#[test]
fn a_store_that_runs_low_is_counted_anew() {
    let mut rig = Rig::new(counting(), &[entry(1, 0)]);
    let (_, actions) = rig.request(0, 5, 2 * S);
    let (counter, _) = call(&actions).expect("a call");
    assert!(sent(&reply(&mut rig, counter, Some(1.0))).is_some());
    let (_, ample) = rig.request(0, 5, 2 * S);
    assert!(call(&ample).is_none() && sent(&ample).is_some(), "three units of four are left: {ample:?}");
    rig.request(0, 5, 2 * S);
    let (_, low) = rig.request(0, 5, 2 * S);
    assert!(call(&low).is_some() && sent(&low).is_none(), "one unit of four is left: {low:?}");
}

/// Others who use less than the rate while this gateway is idle take nothing from a full store.
#[test]
fn what_a_full_store_spilt_pays_for_others_use() {
    let mut rig = Rig::new(counting(), &[entry(1, 0)]);
    let (_, actions) = rig.request(0, 5, 2 * S);
    let (counter, _) = call(&actions).expect("a call");
    assert!(sent(&reply(&mut rig, counter, Some(1.0))).is_some());
    rig.run_to(rig.now + 5 * S);
    assert!(call(&rig.request(0, 5, 2 * S).1).is_some());
    let done = reply(&mut rig, counter, Some(1.0 + 1.0 + 6.0));
    assert!(sent(&done).is_some(), "six units in five seconds are less than the rate: {done:?}");
}

/// A gateway that starts amid a day finds its customers new, though they may have spent what they have: where
/// the first told use is at the quota, the store holds no more than the counted total leaves of it.
#[test]
fn a_new_customer_already_at_its_quota_does_not_start_full() {
    for (total, used, goes) in [(50.0, 0.6, true), (50.0, 1.2, false), (2.0, 1.2, true)] {
        let mut rig = Rig::new(counting(), &[entry(1, 0)]);
        let (id, actions) = rig.request(0, 5, 2 * S);
        let (counter, _) = call(&actions).expect("a call");
        let server = sent(&reply(&mut rig, counter, Some(total))).expect("it goes");
        let (status, used) = (AttemptStatus::Ok, Some(used));
        let end = Event::AttemptCompleted(AttemptReport {
            id,
            attempt: 0,
            server,
            status,
            elapsed: 2 * MS,
            request_finished: true,
            reported_usage: used,
            settled_units: None,
            load_report: None,
        });
        rig.event(end);
        let (_, mut done) = rig.request(0, 5, 2 * S);
        if call(&done).is_some() {
            done.extend(reply(&mut rig, counter, Some(total + 1.0)));
        }
        assert_eq!(sent(&done).is_some(), goes, "{total} counted, {used:?} used: {done:?}");
    }
}

/// The counter hears of the true units, which the other gateways cannot see otherwise.
#[test]
fn what_a_request_settled_for_is_counted() {
    let mut rig = Rig::new(counting(), &[entry(1, 0)]);
    let (id, actions) = rig.request(0, 5, 2 * S);
    let (counter, _) = call(&actions).expect("a call");
    let server = sent(&reply(&mut rig, counter, Some(1.0))).expect("sent");
    rig.event(Event::AttemptCompleted(AttemptReport {
        id,
        attempt: 0,
        server,
        status: AttemptStatus::Ok,
        elapsed: 10 * MS,
        request_finished: true,
        reported_usage: None,
        settled_units: Some(2.5),
        load_report: None,
    }));
    let later: Vec<_> = rig.run_to(rig.now + S).into_iter().map(|d| d.1).collect();
    assert_eq!(call(&later), Some((counter, 1.5)));
}

/// Two gateways that read a total at once must not both put it right: what they add is what they use.
#[test]
fn gateways_that_count_at_once_add_no_more_than_their_use() {
    let mut pair = [Rig::new(counting(), &[entry(1, 0)]), Rig::new(counting(), &[entry(1, 0)])];
    let mut total = 0.0;
    for round in 0..20 {
        for rig in &mut pair {
            rig.run_to((1_000 + round) * S);
        }
        let mut calls: Vec<_> = pair.iter_mut().map(|rig| call(&rig.request(0, 5, 2 * S).1)).collect();
        // Both are added before either is answered, and so is what follows from the answers.
        while calls.iter().any(Option::is_some) {
            let mut totals = [None; 2];
            for (told, (counter, amount)) in
                totals.iter_mut().zip(&calls).filter_map(|(t, c)| Some((t, (*c)?)))
            {
                assert!(amount.abs() <= 1.0, "{amount} added for a request of one unit");
                total += amount;
                *told = Some((counter, total));
            }
            let rigs = pair.iter_mut().zip(totals);
            calls = rigs.map(|(rig, t)| t.and_then(|(c, total)| call(&reply(rig, c, Some(total))))).collect();
        }
    }
    assert!(total <= 40.0, "{total} counted for 40 requests of one unit");
}

#[test]
fn a_silent_counter_holds_no_longer_than_any_hold_and_is_called_less() {
    let mut rig = Rig::new(counting(), &[entry(1, 0)]);
    let mut calls = 0;
    for k in 0..100 {
        let (id, actions) = rig.request(0, 1_000 + k, 2 * S);
        let asked = call(&actions);
        let until = rig.now + 90 * MS;
        let mut done: Vec<Action> = actions;
        done.extend(rig.run_to(until).into_iter().map(|d| d.1));
        let server = sent(&done).expect("sent within the hold, as the customer is new");
        rig.outcome(id, 0, server, AttemptStatus::Ok);
        if let Some((counter, _)) = asked {
            calls += 1;
            rig.event(Event::CounterReplied { counter, result: CounterResult::Unknown, elapsed: 80 * MS });
        }
    }
    assert!((5..=40).contains(&calls), "{calls}");
}

/// A counter that is some way off is as good as a near one, as long as it answers well within the limit.
#[test]
fn a_counter_that_answers_in_good_time_is_asked_for_every_new_customer() {
    let mut rig = Rig::new(counting(), &[entry(1, 0)]);
    for k in 0..100 {
        let (_, actions) = rig.request(0, 1_000 + k, 2 * S);
        let (counter, amount) = call(&actions).expect("a call");
        rig.run_to(rig.now + 12 * MS);
        rig.event(Event::CounterReplied { counter, result: CounterResult::Total(amount), elapsed: 12 * MS });
        rig.run_to(rig.now + 50 * MS);
    }
}

#[test]
fn a_server_full_to_one_plan_still_serves_the_others() {
    let mut s = settings();
    s.plans.push(plan());
    let mut rig = Rig::new(s, &[entry(1, 0), entry(2, 0)]);
    let full_at_one =
        |server| if server == ServerId(1) { AttemptStatus::Rejected } else { AttemptStatus::Ok };
    let first = rig.play(1_000, full_at_one);
    assert_eq!(first, [ServerId(1), ServerId(2)], "turned away unseen, then served elsewhere");
    // With work out at the other server, this plan still avoids the full one; another plan goes there.
    let mine: Vec<_> = (0..3).map(|k| sent(&rig.request(0, 500 + k, 2 * S).1)).collect();
    assert_eq!(mine, [Some(ServerId(2)); 3]);
    let other = rig.event(Event::RequestArrived(RequestArrival {
        id: RequestId(5_000),
        class: 0,
        plan: 1,
        customer: CustomerId(900),
        client_timeout: 2 * S,
        units: 1.0,
        customer_gateway_count: 2,
        first_gateway: 0,
        is_retry: false,
        body_incomplete: false,
    }));
    assert_eq!(sent(&other), Some(ServerId(1)));
    rig.run_to(rig.now + 10 * S);
    assert_eq!(sent(&rig.request(0, 600, 2 * S).1), Some(ServerId(1)), "tried again after its pause");
}

#[test]
fn senseless_prices_and_numbers_name_their_field() {
    let bad = |change: fn(&mut Settings)| {
        let mut s = settings();
        change(&mut s);
        Gateway::new(s, 1, 0).err().map(|e| e.field)
    };
    assert_eq!(bad(|s| s.gateway_count = 65_536).as_deref(), Some("gateway_count"));
    assert_eq!(bad(|s| s.gateway_count = 65_535), None);
    assert_eq!(bad(|s| s.gateway_index = 2).as_deref(), Some("gateway_index"));
    assert_eq!(
        bad(|s| s.capabilities.counter_call_cost = -0.1).as_deref(),
        Some("capabilities.counter_call_cost")
    );
    assert_eq!(bad(|s| s.capabilities.gossip_cost = f64::NAN).as_deref(), Some("capabilities.gossip_cost"));
}
