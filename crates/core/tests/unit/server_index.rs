use crate::api::{Endpoint, EndpointState, Micros, ProtocolRules, ServerId};
use crate::endpoints::ranked_tree::Subset;
use crate::endpoints::server::Server;
use crate::endpoints::server_index::{ServerIndex, Site};
use crate::health::outlier::OutlierState;
use proptest::prelude::{prop, prop_oneof, proptest, Just, ProptestConfig, Strategy};
use std::collections::{BTreeMap, BTreeSet};

const SECOND: Micros = 1_000_000;

#[derive(Clone, Debug)]
enum Step {
    List { server: u64, state: EndpointState, site: u32, age_s: Option<u64> },
    Change { server: u64, eject_s: Option<u64>, in_flight: u32, service_time_us: f64 },
    Sweep,
    Wait { ms: u64 },
}

fn step() -> impl Strategy<Value = Step> {
    let state = prop::sample::select(vec![
        EndpointState::Ready,
        EndpointState::Ready,
        EndpointState::Draining,
        EndpointState::Gone,
    ]);
    prop_oneof![
        4 => (0u64..40, state, 0u32..6, prop::option::of(0u64..14))
            .prop_map(|(server, state, site, age_s)| Step::List { server, state, site, age_s }),
        4 => (0u64..40, prop::option::of(0u64..5), 0u32..3, 1.0..1e5)
            .prop_map(|(server, eject_s, in_flight, service_time_us)| Step::Change { server, eject_s, in_flight, service_time_us }),
        1 => Just(Step::Sweep),
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

/// The servers in a plain map, searched from end to end.
#[derive(Default)]
struct Model(BTreeMap<ServerId, Server>);

impl Model {
    fn ready(&self) -> Vec<&Server> {
        self.0.values().filter(|server| server.endpoint.state == EndpointState::Ready).collect()
    }

    fn members(&self, subset: Subset, now: Micros) -> Vec<ServerId> {
        let is_member = |server: &&Server| match subset {
            Subset::Ready => true,
            Subset::Trusted => server.health.ejected_until() <= now,
            Subset::Available => {
                server.health.ejected_until() <= now && server.slow_start_factor(now, &rules()) >= 1.0
            }
        };
        self.ready().into_iter().filter(is_member).map(|server| server.endpoint.server).collect()
    }

    fn at_site(&self, site: Site) -> BTreeSet<ServerId> {
        let is_there = |server: &&Server| match site {
            Site::Zone(zone) => server.endpoint.zone == zone,
            Site::Cell(cell) => server.endpoint.cell == cell,
        };
        self.ready().into_iter().filter(is_there).map(|server| server.endpoint.server).collect()
    }
}

fn close_to(left: f64, right: f64) -> bool {
    (left - right).abs() <= 1e-9 * left.abs().max(1.0)
}

fn agree(index: &ServerIndex, model: &Model, now: Micros) {
    assert_eq!(index.len(), model.0.len());
    assert!(index.iter().map(|server| server.endpoint.server).eq(model.0.keys().copied()));
    assert_eq!(
        index.listed(),
        model.0.values().filter(|server| server.endpoint.state != EndpointState::Gone).count()
    );
    for subset in [Subset::Ready, Subset::Trusted, Subset::Available] {
        let members = model.members(subset, now);
        assert_eq!(index.count(subset), members.len(), "{subset:?}");
        for (position, id) in members.iter().enumerate() {
            assert_eq!(index.at(subset, position).map(|server| server.endpoint.server), Some(*id));
            assert_eq!(index.rank(subset, *id), position);
        }
    }
    let cold: BTreeSet<ServerId> = index.warming_up().map(|server| server.endpoint.server).collect();
    let ramping = |server: &&Server| server.slow_start_factor(now, &rules()) < 1.0;
    assert_eq!(cold, model.0.values().filter(ramping).map(|server| server.endpoint.server).collect());
    assert_eq!(
        index.ejected_at(now),
        model.ready().iter().filter(|server| server.health.ejected_until() > now).count()
    );
    for site in (0..6).map(Site::Zone).chain((0..6).map(Site::Cell)) {
        for from in [0.0, 0.3, 0.99] {
            let found: Vec<ServerId> =
                index.at_site(site, from).map(|server| server.endpoint.server).collect();
            let distinct: BTreeSet<ServerId> = found.iter().copied().collect();
            assert_eq!(found.len(), distinct.len(), "{site:?}: one twice");
            assert_eq!(distinct, model.at_site(site), "{site:?}");
        }
    }
    let ramps: f64 = model.ready().iter().map(|server| server.slow_start_factor(now, &rules())).sum();
    assert!(close_to(index.slow_start_factor_sum(now), ramps));
    let items: f64 = model.0.values().map(|server| server.service_time_us).sum();
    match index.mean_service_time_us() {
        Some(mean) => assert!(close_to(mean * model.0.len() as f64, items)),
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

fn play(steps: Vec<Step>) {
    let (mut index, mut model, mut now) = (ServerIndex::new(rules()), Model::default(), 20 * SECOND);
    for step in steps {
        match step {
            Step::List { server, state, site, age_s } => {
                let started_at = age_s.map(|age| now - age * SECOND);
                let (id, zone, cell) = (ServerId(server), site % 3, site);
                let entry = Endpoint { server: id, state, started_at, relative_size: 1.0, zone, cell };
                let fresh = || Server {
                    endpoint: entry.clone(),
                    health: OutlierState::healthy(now),
                    service_time_us: 40e3,
                    ..Server::default()
                };
                index.insert(now, fresh());
                model.0.insert(id, fresh());
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
            Step::Sweep => {
                index.remove_vacated();
                model.0.retain(|_, server| {
                    server.endpoint.state != EndpointState::Gone || server.attempts_in_flight > 0
                });
            }
            Step::Wait { ms } => {
                now += ms * 1_000;
                index.advance(now);
            }
        }
        agree(&index, &model, now);
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 200, failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn the_index_agrees_with_a_plain_map(steps in prop::collection::vec(step(), 1..150)) {
        play(steps);
    }
}

/// Past the size that is summed one by one.
#[test]
fn sums_kept_by_changes_agree_with_sums_made_anew() {
    let (mut index, now) = (ServerIndex::new(rules()), 20 * SECOND);
    for k in 0..2_000_u64 {
        let started_at = (k % 3 == 0).then(|| now - k * 5_000);
        let entry =
            Endpoint { server: ServerId(k), state: EndpointState::Ready, started_at, ..Endpoint::default() };
        index.insert(
            now,
            Server { endpoint: entry, service_time_us: 100.0 + k as f64 / 7.0, ..Server::default() },
        );
        index.update(now, ServerId(k / 2), |server| server.service_time_us *= 1.01);
    }
    for k in (0..2_000).step_by(4) {
        index.update(now, ServerId(k), |server| server.endpoint.state = EndpointState::Gone);
    }
    index.remove_vacated();
    assert_eq!(index.len(), 1_500);
    let (ramps, items): (f64, f64) = index.iter().fold((0.0, 0.0), |sum, server| {
        (sum.0 + server.slow_start_factor(now, &rules()), sum.1 + server.service_time_us)
    });
    assert!(index.warming_up().count() > 100, "both kinds of ramp are summed");
    assert!(close_to(index.slow_start_factor_sum(now), ramps));
    assert!(close_to(index.mean_service_time_us().expect("not empty"), items / 1_500.0));
}
