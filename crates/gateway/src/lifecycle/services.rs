//! Services that start before clients are accepted: the decision driver, its transports and the control
//! plane.

use crate::config::document::{Config, RejectedSettings};
use crate::control::counter::SharedCounter;
use crate::control::current_list::CurrentList;
use crate::control::discovery::EndpointWatch;
use crate::control::peers::GossipSocket;
use crate::driver::clock::Clock;
use crate::driver::decision_driver::{DecisionDriver, Transports};
use crate::lifecycle::endpoint_exchange::EndpointExchange;
use crate::lifecycle::error::RunError;
use crate::lifecycle::resources::ResourceBudget;
use crate::lifecycle::startup;
use crate::operations::request_counts::RequestCounters;
use crate::servers::exchange::Upstream;
use crate::servers::pool::ConnectionPool;
use grebehook_core::{Gateway, LoadReports};
use std::future::Future;
use std::net::SocketAddr;
use std::rc::{Rc, Weak};
use tokio::sync::watch;
use tokio::task::{spawn_local, AbortHandle};

/// HTTP path of health checks if servers report their load.
const LOAD_REPORT_PATH: &str = "/_load";
/// HTTP path of health checks if servers do not report their load.
const PING_PATH: &str = "/ping";

/// Running services of the gateway.
pub struct Services {
    /// Driver that runs the decision core and carries out its actions.
    pub driver: Rc<DecisionDriver>,
    /// Client of the shared counter, if the gateway uses one.
    pub counter: Option<Rc<SharedCounter>>,
    /// Exchange of endpoint lists with the other processes of hand-overs.
    pub endpoints: Rc<EndpointExchange>,
    /// Sends the address of the discovery agent to the endpoint watch when it changes.
    pub discovery_address: watch::Sender<SocketAddr>,
    /// Tasks that run until all requests have their answers.
    pub tasks: ServingTasks,
}

/// Tasks without which a process can only complete what it has begun to deliver: the timers of the decision core, and
/// those that own sockets at addresses which the next process at this place needs. They end when this is dropped.
#[derive(Default)]
pub struct ServingTasks(Vec<AbortHandle>);

impl ServingTasks {
    /// Spawns a task on the current thread.
    pub fn spawn(&mut self, task: impl Future<Output = ()> + 'static) {
        self.0.push(spawn_local(task).abort_handle());
    }
}

impl Drop for ServingTasks {
    fn drop(&mut self) {
        self.0.iter().for_each(AbortHandle::abort);
    }
}

/// Starts the services. Moves the known endpoint list out of the configuration.
pub async fn start(config: &mut Config, resources: &ResourceBudget) -> Result<Services, RunError> {
    let clock = Clock::start();
    let gateway = Gateway::new(config.settings.clone(), config.seed, clock.now());
    let mut gateway = gateway.map_err(RejectedSettings::from)?;
    gateway.limit_customers(resources.customers);
    let peers = bind_gossip_socket(config).await?;
    let transports = create_transports(config, resources, peers.as_ref());
    let counter = transports.counter.clone();
    let request_counters = RequestCounters::new(config.names.classes.clone());
    let driver = DecisionDriver::new(gateway, clock, transports, request_counters);
    let known_endpoints = config.take_known_endpoints();
    let list = CurrentList::new(driver.clone(), config.discovery_address, known_endpoints);
    let mut tasks = ServingTasks::default();
    tasks.spawn(driver.clone().run_timers());
    if let Some(peers) = peers {
        let driver = driver.clone();
        tasks.spawn(peers.receive(move |from, message| driver.handle_gossip(from, message)));
    }
    let (discovery_address, addresses) = watch::channel(config.discovery_address);
    let names = config.names.clone();
    let endpoints = EndpointExchange::new(list.clone(), names.clone(), discovery_address.clone());
    tasks.spawn(EndpointWatch::new(addresses, names, list, &config.settings, config.seed).run());
    Ok(Services { driver, counter, endpoints, discovery_address, tasks })
}

/// Binds the socket for gossip, if the deployment has any.
async fn bind_gossip_socket(config: &Config) -> Result<Option<Rc<GossipSocket>>, RunError> {
    let Some(address) = config.peer_listen else { return Ok(None) };
    let bind = || GossipSocket::bind(address, config.peers.clone());
    Ok(Some(Rc::new(startup::retry_bind("gossip", bind).await?)))
}

/// Creates the transports with which the actions of the decision core are carried out.
fn create_transports(
    config: &Config,
    resources: &ResourceBudget,
    peers: Option<&Rc<GossipSocket>>,
) -> Transports {
    let pool =
        ConnectionPool::new(resources.server_connections, config.connect_timeout, config.server_idle_timeout);
    let upstream = Upstream::new(pool, resources.response_bytes, config.max_units);
    let counter_at = |address| Rc::new(SharedCounter::new(address, config.counter_timeout()));
    let reports_load = config.settings.capabilities.load_reports != LoadReports::None;
    Transports {
        upstream: Rc::new(upstream),
        peers: peers.map_or_else(Weak::new, Rc::downgrade),
        counter: config.counter_address.map(counter_at),
        health_check_path: if reports_load { LOAD_REPORT_PATH } else { PING_PATH },
    }
}
