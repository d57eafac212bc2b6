//! Reachability and delays of the simulated network.

use crate::topology::Topology;
use grebehook_core::Micros;
use std::collections::BTreeSet;

/// One-way delay within a zone, in microseconds.
const INTRA_ZONE_DELAY: Micros = 150;
/// One-way delay between zones of a region, in microseconds.
const INTRA_REGION_DELAY: Micros = 600;
/// Index of the region with the shared counter and the origin of discovery.
const HOME_REGION: usize = 0;

/// The network between zones and regions.
pub struct Network {
    topology: Topology,
    /// One-way delay between regions, in microseconds.
    inter_region_delay: Micros,
    /// Pairs of regions that cannot reach each other, the smaller index first.
    partitions: BTreeSet<(usize, usize)>,
}

impl Network {
    /// Returns a network without partitions.
    pub fn new(topology: Topology, inter_region_delay: Micros) -> Network {
        Network { topology, inter_region_delay, partitions: BTreeSet::new() }
    }

    /// Partitions two regions or reconnects them.
    pub fn set_partitioned(&mut self, first: usize, second: usize, partitioned: bool) {
        let pair = (first.min(second), first.max(second));
        if partitioned {
            self.partitions.insert(pair);
        } else {
            self.partitions.remove(&pair);
        }
    }

    /// Returns whether two regions can reach each other.
    pub fn reaches(&self, first: usize, second: usize) -> bool {
        !self.partitions.contains(&(first.min(second), first.max(second)))
    }

    /// Returns whether a gateway can reach the region of the shared counter and the origin of discovery.
    pub fn reaches_home_region(&self, gateway: usize) -> bool {
        self.reaches(self.topology.region_of_gateway(gateway), HOME_REGION)
    }

    /// Returns whether a gateway can reach a server.
    pub fn reaches_server(&self, gateway: usize, server: usize) -> bool {
        self.reaches(self.topology.region_of_gateway(gateway), self.topology.region_of_server(server))
    }

    /// Returns the one-way delay between a gateway and a server, in microseconds.
    pub fn delay_to_server(&self, gateway: usize, server: usize) -> Micros {
        self.delay(self.topology.zone_of_gateway(gateway), self.topology.zone_of_server(server))
    }

    /// Returns the one-way delay between two gateways, in microseconds.
    pub fn delay_to_gateway(&self, from: usize, to: usize) -> Micros {
        self.delay(self.topology.zone_of_gateway(from), self.topology.zone_of_gateway(to))
    }

    /// Returns the one-way delay between a gateway and the home region, in microseconds.
    pub fn delay_to_home_region(&self, gateway: usize) -> Micros {
        match self.topology.region_of_gateway(gateway) {
            HOME_REGION => INTRA_REGION_DELAY,
            _ => self.inter_region_delay,
        }
    }

    /// Returns the one-way delay between two zones, in microseconds.
    fn delay(&self, first_zone: usize, second_zone: usize) -> Micros {
        if first_zone == second_zone {
            INTRA_ZONE_DELAY
        } else if self.topology.region_of_zone(first_zone) == self.topology.region_of_zone(second_zone) {
            INTRA_REGION_DELAY
        } else {
            self.inter_region_delay
        }
    }
}
