//! Concurrent conflicting operator commands for one engine, also during a replacement of its host,
//! and faulty cache events.

use fakes::CacheFaults;
use rand::RngExt;
use types::OrderKind;

use crate::repairs::Repair;
use crate::setup::ENGINES;
use crate::simulation::SimEvent;
use crate::simulation::Simulation;

impl Simulation {
    /// Sends conflicting commands for one engine at the same time.
    pub fn fault_conflicting_commands(&mut self) {
        let at = self.random_index(ENGINES);
        self.send_conflicting_commands(at);
    }

    /// Replaces the host of an engine while conflicting commands for it are being executed.
    pub fn fault_host_replaced_during_conflict(&mut self) {
        let at = self.random_index(ENGINES);
        self.record_fault("host replaced while operators race", &at.to_string());
        if self.chance(500) {
            self.send_conflicting_commands(at);
        }
        self.replace_host(at);
        let delay = self.random_ms(0, 1_500);
        self.schedule_after(delay, SimEvent::Repair(Repair::Agent(at)));
        self.send_conflicting_commands(at);
    }

    /// Delays, drops and contradicts cache events of an engine.
    pub fn fault_cache_events(&mut self) {
        let at = self.random_index(ENGINES);
        let duration = self.random_ms(3_000, 20_000);
        self.record_fault(
            "cache events late, lost or contradictory",
            &format!("{at} {duration:?}"),
        );
        self.agents[at].target.cache.faults = CacheFaults {
            lag_ms: self.random_ms(0, 5_000),
            lost_permille: self.random.random_range(0..500),
            contradicted_permille: self.random.random_range(0..500),
        };
        self.schedule_after(duration, SimEvent::Repair(Repair::Cache(at)));
    }

    fn send_conflicting_commands(&mut self, at: usize) {
        self.record_fault("operators race", &at.to_string());
        let role = self.random_role();
        self.order_target(at, OrderKind::ChangeRole { role });
        let adapter = format!("a{}", self.random_index(3));
        self.order_target(at, OrderKind::LoadAdapter { adapter });
        self.change_profile();
        self.change_profile();
    }
}
