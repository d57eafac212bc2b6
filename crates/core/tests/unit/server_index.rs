//! Unit tests of the server index against a plain map that is searched linearly.

use crate::api::{Endpoint, EndpointState, Micros, NonZeroMicros, ProtocolRules, ServerId};
use crate::endpoints::ranked_tree::Subset;
use crate::endpoints::server::Server;
use crate::endpoints::server_index::{ServerIndex, Site};
use crate::health::outlier::OutlierState;
use proptest::prelude::{prop, prop_oneof, proptest, Just, ProptestConfig, Strategy};
use std::collections::{BTreeMap, BTreeSet};

/// One second in microseconds.
const SECOND: Micros = 1_000_000;

/// A step of a random sequence, applied to the index and to the reference model.
#[derive(Clone, Debug)]
enum Step {
    /// Inserts or replaces a server, which started `age_s` seconds ago.
    List { server: u64, state: EndpointState, site: u32, age_s: Option<u64> },
    /// Changes a server's record, and ejects the server for `eject_s` seconds if given.
    Change { server: u64, eject_s: Option<u64>, in_flight: u32, service_time_us: f64 },
    /// Deletes the records of removed servers without an attempt in flight.
    PurgeRemoved,
    /// Advances the time.
    Wait { ms: u64 },
}

fn step() -> impl Strategy<Value = Step> {
    let state = prop::sample::select(vec![
        EndpointState::Ready,
        EndpointState::Ready,
        EndpointState::Draining,
        EndpointState::Removed,
    ]);
    prop_oneof![
        4 => (0u64..40, state, 0u32..6, prop::option::of(0u64..14))
            .prop_map(|(server, state, site, age_s)| Step::List { server, state, site, age_s }),
        4 => (0u64..40, prop::option::of(0u64..5), 0u32..3, 1.0..1e5)
            .prop_map(|(server, eject_s, in_flight, service_time_us)| {
                Step::Change { server, eject_s, in_flight, service_time_us }
            }),
        1 => Just(Step::PurgeRemoved),
        3 => (1u64..4_000).prop_map(|ms| Step::Wait { ms }),
    ]
}

fn rules() -> ProtocolRules {
    ProtocolRules {
        response_grace: 0,
        initial_capacity: 0.2,
        warm_up: 10 * SECOND,
        overload_multiple: 3.0,
        overload_window: SECOND,
    }
}

/// The reference model: the servers in a plain map, searched linearly.
#[derive(Default)]
struct Model(BTreeMap<ServerId, Server>);

impl Model {
    fn ready(&self) -> Vec<&Server> {
        self.0.values().filter(|server| server.endpoint.state == EndpointState::Ready).collect()
    }

    fn members(&self, subset: Subset, now: Micros) -> Vec<ServerId> {
        let is_member = |server: &&Server| match subset {
            Subset::Ready => true,
            Subset::Healthy => server.health.ejected_until() <= now,
            Subset::WarmedUp => {
                server.health.ejected_until() <= now && server.slow_start_factor(now, &rules()) >= 1.0
            }
        };
        self.ready().into_iter().filter(is_member).map(|server| server.endpoint.server).collect()
    }

    fn at_site(&self, site: Site) -> BTreeSet<ServerId> {
        let is_at_site = |server: &&Server| match site {
            Site::Zone(zone) => server.endpoint.zone == zone,
            Site::Cell(cell) => server.endpoint.cell == cell,
        };
        self.ready().into_iter().filter(is_at_site).map(|server| server.endpoint.server).collect()
    }
}

fn is_close(left: f64, right: f64) -> bool {
    (left - right).abs() <= 1e-9 * left.abs().max(1.0)
}

fn assert_matches_model(index: &ServerIndex, model: &Model, now: Micros) {
    assert_eq!(index.len(), model.0.len());
    assert!(index.iter().map(|server| server.endpoint.server).eq(model.0.keys().copied()));
    assert_eq!(
        index.listed(),
        model.0.values().filter(|server| server.endpoint.state != EndpointState::Removed).count()
    );
    for subset in [Subset::Ready, Subset::Healthy, Subset::WarmedUp] {
        let members = model.members(subset, now);
        assert_eq!(index.count(subset), members.len(), "{subset:?}");
        for (position, id) in members.iter().enumerate() {
            assert_eq!(index.at(subset, position).map(|server| server.endpoint.server), Some(*id));
            assert_eq!(index.rank(subset, *id), position);
        }
    }
    let warming_up: BTreeSet<ServerId> = index.warming_up().map(|server| server.endpoint.server).collect();
    let is_warming_up = |server: &&Server| server.slow_start_factor(now, &rules()) < 1.0;
    assert_eq!(
        warming_up,
        model.0.values().filter(is_warming_up).map(|server| server.endpoint.server).collect()
    );
    assert_eq!(
        index.ejected_at(now),
        model.ready().iter().filter(|server| server.health.ejected_until() > now).count()
    );
    for site in (0..6).map(Site::Zone).chain((0..6).map(Site::Cell)) {
        for from in [0.0, 0.3, 0.99] {
            let found: Vec<ServerId> =
                index.at_site(site, from).map(|server| server.endpoint.server).collect();
            let distinct: BTreeSet<ServerId> = found.iter().copied().collect();
            assert_eq!(found.len(), distinct.len(), "{site:?}: a server was returned twice");
            assert_eq!(distinct, model.at_site(site), "{site:?}");
        }
    }
    let factor_sum: f64 = model.ready().iter().map(|server| server.slow_start_factor(now, &rules())).sum();
    assert!(is_close(index.slow_start_factor_sum(now), factor_sum));
    let service_time_sum_us: f64 = model.0.values().map(|server| server.service_time_us).sum();
    match index.mean_service_time_us() {
        Some(mean) => assert!(is_close(mean * model.0.len() as f64, service_time_sum_us)),
        None => assert!(model.0.is_empty()),
    }
}

fn change_server(server: &mut Server, ejected_until: Option<Micros>, in_flight: u32, service_time_us: f64) {
    if let Some(until) = ejected_until {
        server.health.set_ejected_until(until);
    }
    server.attempts_in_flight = in_flight;
    server.service_time_us = service_time_us;
}

fn run_steps(steps: Vec<Step>) {
    let (mut index, mut model, mut now) = (ServerIndex::new(rules()), Model::default(), 20 * SECOND);
    for step in steps {
        match step {
            Step::List { server, state, site, age_s } => {
                let started_at = age_s.and_then(|age| NonZeroMicros::new(now - age * SECOND));
                let (id, zone, cell) = (ServerId(server), site % 3, site);
                let entry = Endpoint { server: id, state, started_at, relative_size: 1.0, zone, cell };
                let new_server = || Server {
                    endpoint: entry.clone(),
                    health: OutlierState::healthy(now),
                    service_time_us: 40e3,
                    ..Server::default()
                };
                index.insert(now, new_server());
                model.0.insert(id, new_server());
            }
            Step::Change { server, eject_s, in_flight, service_time_us } => {
                let id = ServerId(server);
                let ejected_until = eject_s.map(|eject_s| now + eject_s * SECOND);
                let change = |server: &mut Server| {
                    change_server(server, ejected_until, in_flight, service_time_us);
                };
                assert_eq!(index.update(now, id, change).is_some(), model.0.contains_key(&id));
                model.0.get_mut(&id).into_iter().for_each(change);
            }
            Step::PurgeRemoved => {
                index.purge_removed();
                model.0.retain(|_, server| {
                    server.endpoint.state != EndpointState::Removed || server.attempts_in_flight > 0
                });
            }
            Step::Wait { ms } => {
                now += ms * 1_000;
                index.advance(now);
            }
        }
        assert_matches_model(&index, &model, now);
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 200, failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn index_matches_a_plain_map(steps in prop::collection::vec(step(), 1..150)) {
        run_steps(steps);
    }
}

/// Guards against wrong sums in a table above the size up to which sums are recomputed from all records.
#[test]
fn incremental_sums_match_recomputed_sums() {
    let (mut index, now) = (ServerIndex::new(rules()), 20 * SECOND);
    for k in 0..2_000_u64 {
        let started_at = NonZeroMicros::new(now - k * 5_000).filter(|_| k % 3 == 0);
        let entry =
            Endpoint { server: ServerId(k), state: EndpointState::Ready, started_at, ..Endpoint::default() };
        index.insert(
            now,
            Server { endpoint: entry, service_time_us: 100.0 + k as f64 / 7.0, ..Server::default() },
        );
        index.update(now, ServerId(k / 2), |server| server.service_time_us *= 1.01);
    }
    for k in (0..2_000).step_by(4) {
        index.update(now, ServerId(k), |server| server.endpoint.state = EndpointState::Removed);
    }
    index.purge_removed();
    assert_eq!(index.len(), 1_500);
    let (factor_sum, service_time_sum_us): (f64, f64) = index.iter().fold((0.0, 0.0), |sum, server| {
        (sum.0 + server.slow_start_factor(now, &rules()), sum.1 + server.service_time_us)
    });
    assert!(index.warming_up().count() > 100, "the sum should cover servers that warm up and warm ones");
    assert!(is_close(index.slow_start_factor_sum(now), factor_sum));
    let mean_us = index.mean_service_time_us().expect("a table with servers has a mean service time");
    assert!(is_close(mean_us, service_time_sum_us / 1_500.0));
}
