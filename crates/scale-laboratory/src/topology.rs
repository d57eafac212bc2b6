//! Where servers and gateways stand: regions of zones of racks, assigned round-robin.

use crate::experiment::{Domain, Fleet};

/// The fleet's racks.
#[derive(Clone, Debug)]
pub struct Topology {
    /// Racks of all zones.
    racks: usize,
    /// Racks of each zone.
    racks_per_zone: usize,
    /// Zones of each region.
    zones_per_region: usize,
}

impl Topology {
    /// The racks of a fleet.
    pub fn new(fleet: &Fleet) -> Topology {
        Topology {
            racks: fleet.racks(),
            racks_per_zone: fleet.racks_per_zone,
            zones_per_region: fleet.zones_per_region,
        }
    }

    /// Zones of all regions.
    pub fn zones(&self) -> usize {
        self.racks / self.racks_per_zone
    }

    /// A server's zone.
    pub fn zone_of_server(&self, server: usize) -> usize {
        server % self.racks / self.racks_per_zone
    }

    /// A gateway's zone.
    pub fn zone_of_gateway(&self, gateway: usize) -> usize {
        gateway % self.racks / self.racks_per_zone
    }

    /// A zone's region.
    pub fn region_of_zone(&self, zone: usize) -> usize {
        zone / self.zones_per_region
    }

    /// A server's region.
    pub fn region_of_server(&self, server: usize) -> usize {
        self.region_of_zone(self.zone_of_server(server))
    }

    /// A gateway's region.
    pub fn region_of_gateway(&self, gateway: usize) -> usize {
        self.region_of_zone(self.zone_of_gateway(gateway))
    }

    /// Whether the machine of this number, server or gateway, stands in a domain.
    pub fn is_in(&self, machine: usize, domain: Domain, index: usize) -> bool {
        let zone = self.zone_of_server(machine);
        match domain {
            Domain::Rack => machine % self.racks == index,
            Domain::Zone => zone == index,
            Domain::Region => self.region_of_zone(zone) == index,
        }
    }
}
