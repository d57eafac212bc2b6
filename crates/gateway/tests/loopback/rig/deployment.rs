//! A gateway's configuration, endpoints and discovery agent, from which tests start gateway processes.

use super::discovery_agent::DiscoveryAgent;
use super::endpoint::{Endpoint, REMOTE_ZONE};
use super::gateway_process::GatewayProcess;
use super::launch::Launch;
use super::server::Server;
use super::settings::configuration;
use serde_json::{json, Value};
use std::net::SocketAddr;
use std::path::Path;

/// The number of the class of idempotent requests.
pub const IDEMPOTENT: usize = 0;
/// The number of the class of requests with an idempotency key.
pub const KEYED: usize = 1;
/// The number of the class of requests that must never run twice.
pub const NON_IDEMPOTENT: usize = 2;

/// A deadline longer than any test.
const UNREACHABLE_DEADLINE_US: u64 = 100_000_000;
/// A connect timeout longer than any test.
const UNREACHABLE_CONNECT_TIMEOUT_US: u64 = 60_000_000;

/// A configuration under construction, with its discovery agent and the environment of its processes.
#[derive(Clone)]
pub struct Deployment {
    /// The agent that serves the endpoint list.
    pub agent: DiscoveryAgent,
    /// The gateway's configuration.
    config: Value,
    /// How its processes are started.
    launch: Launch,
}

impl Deployment {
    /// A gateway that knows these endpoints from its configuration and from discovery.
    pub fn new(endpoints: Vec<Endpoint>) -> Deployment {
        Deployment::with_agent(DiscoveryAgent::start(endpoints.clone()), &endpoints)
    }

    /// A gateway with an existing agent, which knows these endpoints from its configuration.
    pub fn with_agent(agent: DiscoveryAgent, known: &[Endpoint]) -> Deployment {
        let config = configuration(agent.address, known);
        Deployment { agent, config, launch: Launch::default() }
    }

    /// A gateway before one endpoint, `s-1`, in its own zone.
    pub fn with_endpoint(address: SocketAddr) -> Deployment {
        Deployment::new(vec![Endpoint::ready("s-1", address)])
    }

    /// A gateway before one server, `s-1`, in its own zone.
    pub fn with_server(server: &Server) -> Deployment {
        Deployment::with_endpoint(server.address)
    }

    /// A gateway before `s-1` in its own zone and `s-2` in the other one.
    pub fn with_two_zones(local: SocketAddr, remote: SocketAddr) -> Deployment {
        let remote = Endpoint::ready("s-2", remote).in_zone(REMOTE_ZONE);
        Deployment::new(vec![Endpoint::ready("s-1", local), remote])
    }

    /// Sets the value that a JSON pointer names in the configuration.
    pub fn set(mut self, pointer: &str, value: impl Into<Value>) -> Deployment {
        let (parent, key) = pointer.rsplit_once('/').expect("a JSON pointer");
        self.config.pointer_mut(parent).expect("a part of the configuration")[key] = value.into();
        self
    }

    /// Sets the deadline and the latency objective of a class.
    pub fn deadline_us(self, class: usize, deadline_us: u64) -> Deployment {
        self.set(&format!("/settings/classes/{class}/aimUs"), deadline_us)
            .set(&format!("/settings/classes/{class}/deadlineUs"), deadline_us)
    }

    /// Sets the deadline and the latency objective of all classes.
    pub fn all_deadlines_us(self, deadline_us: u64) -> Deployment {
        [IDEMPOTENT, KEYED, NON_IDEMPOTENT]
            .into_iter()
            .fold(self, |deployment, class| deployment.deadline_us(class, deadline_us))
    }

    /// Lets an idempotent request take as long as a test does.
    pub fn unlimited_deadline(self) -> Deployment {
        self.deadline_us(IDEMPOTENT, UNREACHABLE_DEADLINE_US)
    }

    /// Lets an attempt wait for its connection as long as a test takes.
    pub fn unlimited_connect_timeout(self) -> Deployment {
        self.set("/settings/limits/connectTimeoutUs", UNREACHABLE_CONNECT_TIMEOUT_US)
    }

    /// Adds a shared counter and the time that a request waits for its reply.
    pub fn shared_counter(self, counter: SocketAddr, reply_timeout_us: u64) -> Deployment {
        self.set("/counter", counter.to_string())
            .set("/settings/familyInfo/sharedCounter", true)
            .set("/settings/familyInfo/countLimitUs", reply_timeout_us)
    }

    /// Sets the refill rate per second and the depth of each customer's token bucket.
    pub fn token_bucket(self, rate: f64, depth: f64) -> Deployment {
        self.set("/settings/plans/0/rate", rate).set("/settings/plans/0/depth", depth)
    }

    /// Sets how many gateways the fleet has.
    pub fn gateway_count(self, gateways: usize) -> Deployment {
        self.set("/settings/siblings", gateways)
    }

    /// Makes the gateway poll a shared discovery service instead of an agent that pushes changes.
    pub fn polled_discovery(self) -> Deployment {
        self.set("/settings/discovery", "ask")
    }

    /// Sets the resource limit that the configuration states for descriptors.
    pub fn configured_sockets(self, sockets: u32) -> Deployment {
        self.set("/limits/sockets", sockets)
    }

    /// Lets the gateway answer operators on a port of its own.
    pub fn operator_interface(self) -> Deployment {
        self.set("/ops", "127.0.0.1:0")
    }

    /// Sets the address at which clients connect.
    pub fn listen(self, address: SocketAddr) -> Deployment {
        self.set("/listen", json!(address.to_string()))
    }

    /// Limits the descriptors of the processes, whatever the configuration says.
    pub fn descriptors(mut self, descriptors: u32) -> Deployment {
        self.launch.descriptors = descriptors;
        self
    }

    /// Starts the processes with a folder for their control sockets.
    pub fn control_folder(mut self, folder: &Path) -> Deployment {
        self.launch.control_folder = Some(folder.to_owned());
        self
    }

    /// Starts the processes with failing system calls, as `syscall_faults.c` describes them.
    pub fn faults(mut self, faults: impl Into<String>) -> Deployment {
        self.launch.faults = Some(faults.into());
        self
    }

    /// The text of the configuration.
    pub fn config_text(&self) -> String {
        self.config.to_string()
    }

    /// How its processes are started.
    pub fn launch(&self) -> &Launch {
        &self.launch
    }

    /// Starts a gateway and waits until it listens.
    pub fn start(&self) -> GatewayProcess {
        GatewayProcess::start(&self.config_text(), &self.launch)
    }
}
