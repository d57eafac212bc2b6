//! Placement of servers and gateways in regions, zones and racks. Machines are assigned to racks round-robin.

use crate::experiment::{Domain, Fleet};

/// Racks of a fleet, grouped into zones and regions.
#[derive(Clone, Debug)]
pub struct Topology {
    /// Number of racks in all zones.
    racks: usize,
    racks_per_zone: usize,
    zones_per_region: usize,
}

impl Topology {
    /// Creates the topology from the fleet's numbers of regions, zones and racks.
    pub fn new(fleet: &Fleet) -> Topology {
        Topology {
            racks: fleet.racks(),
            racks_per_zone: fleet.racks_per_zone,
            zones_per_region: fleet.zones_per_region,
        }
    }

    /// Returns the number of zones in all regions.
    pub fn zones(&self) -> usize {
        self.racks / self.racks_per_zone
    }

    /// Returns the index of a server's zone.
    pub fn zone_of_server(&self, server: usize) -> usize {
        server % self.racks / self.racks_per_zone
    }

    /// Returns the index of a gateway's zone.
    pub fn zone_of_gateway(&self, gateway: usize) -> usize {
        gateway % self.racks / self.racks_per_zone
    }

    /// Returns the index of a zone's region.
    pub fn region_of_zone(&self, zone: usize) -> usize {
        zone / self.zones_per_region
    }

    /// Returns the index of a server's region.
    pub fn region_of_server(&self, server: usize) -> usize {
        self.region_of_zone(self.zone_of_server(server))
    }

    /// Returns the index of a gateway's region.
    pub fn region_of_gateway(&self, gateway: usize) -> usize {
        self.region_of_zone(self.zone_of_gateway(gateway))
    }

    /// Returns whether the server or gateway with the index `machine` is located in a failure domain.
    pub fn is_in_domain(&self, machine: usize, domain: Domain, index: usize) -> bool {
        let zone = self.zone_of_server(machine);
        match domain {
            Domain::Rack => machine % self.racks == index,
            Domain::Zone => zone == index,
            Domain::Region => self.region_of_zone(zone) == index,
        }
    }
}
