//! Role planning at the entry that holds the lease.

use std::time::Duration;

use fakes::engine_job::Constants;
use planner::Verdict;
use types::Role;
use types::TargetState;

use super::Host;
use super::PLAN;
use super::SERVICE;
use super::World;
use super::event::Event;
use super::index;
use crate::policy::Roleplan;
use crate::policy::Routing;

/// From the decision to the agent: a table write and a hint.
const ORDER: Duration = Duration::from_millis(100);

impl World<'_> {
    pub(super) fn plan(&mut self) {
        self.after(PLAN, Event::Plan);
        let serving =
            |host: &Host| host.engine.is_serving() && host.target.state == TargetState::Active;
        let for_desk = |host: &&Host| serving(host) && host.engine.role() != Role::Prefill;
        if !self.hosts.iter().any(serving) {
            self.record.dark_s += 1;
        }
        if self.hosts.iter().filter(for_desk).count() == 0 {
            self.record.desk_gap_s += 1;
        }
        if !self.table_up {
            return;
        }
        let now = self.instant();
        let Routing::Ours(fleet) = &self.entries[0].routing else {
            return;
        };
        let views = fleet.views(now, SERVICE);
        let change = match &mut self.roleplan {
            Roleplan::None => None,
            Roleplan::Ours(planner) => {
                let weight = self.scenario.role_change_weight;
                let decision = planner.consider(now, &views, weight);
                if self.explain && decision.is_news {
                    eprintln!("{:>6.1} s  {decision}", self.now.as_secs_f64());
                }
                match decision.verdict {
                    Verdict::Change { target, to, .. } => Some((target, to)),
                    Verdict::Keep(_) => None,
                }
            }
            Roleplan::Bare(bare) => bare.consider(now, &views, &Constants::default().rates[1]),
        };
        if let Some((target, role)) = change {
            let engine = index(&target);
            self.after(ORDER, Event::Order { engine, role });
        }
    }
}
