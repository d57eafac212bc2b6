//! Which parts of the network reach which, and how long a message takes.

use crate::topology::Topology;
use grebehook_core::Micros;
use std::collections::BTreeSet;

/// One-way delay within a zone.
const ZONE_DELAY: Micros = 150;
/// One-way delay between zones of a region.
const REGION_DELAY: Micros = 600;
/// The region of the counter and of discovery's origin.
const HOME_REGION: usize = 0;

/// The network between zones.
pub struct Network {
    /// Where servers and gateways stand.
    topology: Topology,
    /// One-way delay between regions.
    between_regions: Micros,
    /// Pairs of regions that cannot reach each other, the smaller number first.
    partitions: BTreeSet<(usize, usize)>,
}

impl Network {
    /// A network without partitions.
    pub fn new(topology: Topology, between_regions: Micros) -> Network {
        Network { topology, between_regions, partitions: BTreeSet::new() }
    }

    /// Two regions cannot reach each other from now on, or can again.
    pub fn set_partitioned(&mut self, first: usize, second: usize, partitioned: bool) {
        let pair = (first.min(second), first.max(second));
        if partitioned {
            self.partitions.insert(pair);
        } else {
            self.partitions.remove(&pair);
        }
    }

    /// Whether two regions reach each other.
    pub fn reaches(&self, first: usize, second: usize) -> bool {
        !self.partitions.contains(&(first.min(second), first.max(second)))
    }

    /// Whether a gateway reaches the region of the counter and of discovery's origin.
    pub fn reaches_home(&self, gateway: usize) -> bool {
        self.reaches(self.topology.region_of_gateway(gateway), HOME_REGION)
    }

    /// Whether a gateway reaches a server.
    pub fn reaches_server(&self, gateway: usize, server: usize) -> bool {
        self.reaches(self.topology.region_of_gateway(gateway), self.topology.region_of_server(server))
    }

    /// One-way delay between a gateway and a server.
    pub fn delay_to_server(&self, gateway: usize, server: usize) -> Micros {
        self.delay(self.topology.zone_of_gateway(gateway), self.topology.zone_of_server(server))
    }

    /// One-way delay between two gateways.
    pub fn delay_to_gateway(&self, from: usize, to: usize) -> Micros {
        self.delay(self.topology.zone_of_gateway(from), self.topology.zone_of_gateway(to))
    }

    /// One-way delay between a gateway and the home region.
    pub fn delay_to_home(&self, gateway: usize) -> Micros {
        match self.topology.region_of_gateway(gateway) {
            HOME_REGION => REGION_DELAY,
            _ => self.between_regions,
        }
    }

    /// One-way delay between two zones.
    fn delay(&self, first_zone: usize, second_zone: usize) -> Micros {
        if first_zone == second_zone {
            ZONE_DELAY
        } else if self.topology.region_of_zone(first_zone) == self.topology.region_of_zone(second_zone) {
            REGION_DELAY
        } else {
            self.between_regions
        }
    }
}
