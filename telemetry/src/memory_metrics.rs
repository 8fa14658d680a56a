//! Metrics of the memory that a process holds for its peers.

use ingress::{MemoryBudget, PURPOSES};
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::registry::{Registry, Unit};

/// The label with the purpose of the memory.
type PurposeLabel = [(&'static str, &'static str); 1];

/// The reserved bytes and the refusals of a memory budget, by purpose.
#[derive(Clone, Debug, Default)]
pub struct MemoryMetrics {
    reserved: Family<PurposeLabel, Gauge>,
    refusals: Family<PurposeLabel, Gauge>,
}

impl MemoryMetrics {
    /// Registers the metrics.
    pub fn register(&self, registry: &mut Registry) {
        // A family without a series is not exported, so these exist before the first update.
        self.update(&MemoryBudget::new(0));
        let help = "Memory reserved for clients and peers, by purpose";
        registry.register_with_unit("memory_reserved", help, Unit::Bytes, self.reserved.clone());
        let help = "Reservations of memory that were refused since the start, by purpose";
        registry.register("memory_refusals", help, self.refusals.clone());
    }

    /// Takes the values of a budget.
    pub fn update(&self, budget: &MemoryBudget) {
        for purpose in PURPOSES {
            let label = [("purpose", purpose.name())];
            self.reserved.get_or_create(&label).set(budget.used_bytes(purpose) as i64);
            self.refusals.get_or_create(&label).set(budget.refusals(purpose) as i64);
        }
    }
}
