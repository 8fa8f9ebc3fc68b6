//! Role planning at entry 0, which holds the lease of the service.

use std::time::Duration;

use fakes::engine_job::EngineSettings;
use planner::Verdict;
use types::Role;
use types::TargetState;

use super::Host;
use super::PLANNING_INTERVAL_MS;
use super::SERVICE;
use super::Simulation;
use super::engine_index;
use super::event::Event;
use crate::policy::RolePolicy;
use crate::policy::Routing;

/// Time from a decision until the agent has the order: a table write and an order hint.
const ORDER_DELAY_MS: Duration = Duration::from_millis(100);

impl Simulation<'_> {
    pub(super) fn plan(&mut self) {
        self.schedule(PLANNING_INTERVAL_MS, Event::Plan);
        let is_serving =
            |host: &Host| host.engine.is_serving() && host.target.state == TargetState::Active;
        let can_decode = |host: &&Host| is_serving(host) && host.engine.role() != Role::Prefill;
        if !self.hosts.iter().any(is_serving) {
            self.record.without_engine_s += 1;
        }
        if self.hosts.iter().filter(can_decode).count() == 0 {
            self.record.desk_gap_s += 1;
        }
        if !self.is_table_available {
            return;
        }
        let now = self.instant();
        let Routing::Fleet(fleet) = &self.entries[0].routing else {
            return;
        };
        let views = fleet.views(now, SERVICE);
        let change = match &mut self.role_policy {
            RolePolicy::None => None,
            RolePolicy::Planner(planner) => {
                let weight = self.scenario.role_change_weight;
                let decision = planner.consider(now, &views, weight);
                if self.is_explaining && decision.is_news {
                    eprintln!("{:>6.1} s  {decision}", self.now.as_secs_f64());
                }
                match decision.verdict {
                    Verdict::Change { target, to, .. } => Some((target, to)),
                    Verdict::Keep(_) => None,
                }
            }
            RolePolicy::Threshold(threshold) => {
                threshold.consider(now, &views, &EngineSettings::default().rates[1])
            }
        };
        if let Some((target, role)) = change {
            let engine = engine_index(&target);
            self.schedule(ORDER_DELAY_MS, Event::RoleChange { engine, role });
        }
    }
}
