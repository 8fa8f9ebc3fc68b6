//! Operators whose commands for one engine conflict, also while its host is replaced, and engines
//! whose cache events are wrong.

use fakes::CacheFaults;
use rand::RngExt;
use types::OrderKind;

use crate::repair::Repair;
use crate::setup::ENGINES;
use crate::world::Happening;
use crate::world::World;

impl World {
    /// Two operators give conflicting commands at the same time.
    pub fn fault_race(&mut self) {
        let at = self.pick(ENGINES);
        self.race(at);
    }

    /// The host is replaced while two operators' commands for its engine are under way.
    pub fn fault_replaced_in_race(&mut self) {
        let at = self.pick(ENGINES);
        self.did("host replaced while operators race", &at.to_string());
        if self.chance(500) {
            self.race(at);
        }
        self.replace_host(at);
        let delay = self.millis(0, 1_500);
        self.after(delay, Happening::Repair(Repair::Agent(at)));
        self.race(at);
    }

    /// Cache events of an engine are late, have gaps and contradict each other.
    pub fn fault_cache_events(&mut self) {
        let at = self.pick(ENGINES);
        let time = self.millis(3_000, 20_000);
        self.did(
            "cache events late, lost or contradictory",
            &format!("{at} {time:?}"),
        );
        self.agents[at].target.cache.faults = CacheFaults {
            lag_ms: self.millis(0, 5_000),
            lost_permille: self.random.random_range(0..500),
            contradicted_permille: self.random.random_range(0..500),
        };
        self.after(time, Happening::Repair(Repair::Cache(at)));
    }

    fn race(&mut self, at: usize) {
        self.did("operators race", &at.to_string());
        let role = self.role();
        self.order(at, OrderKind::ChangeRole { role });
        let adapter = format!("a{}", self.pick(3));
        self.order(at, OrderKind::LoadAdapter { adapter });
        self.change_profile();
        self.change_profile();
    }
}
