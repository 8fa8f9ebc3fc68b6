//! Evaluation of all single role changes, and detection of shifts in the demand.

use std::time::Instant;

use routing::TargetView;
use types::Role;

use crate::capacity::ROLES;
use crate::capacity::RoleCounts;
use crate::decision::Figures;
use crate::mix::Demand;
use crate::plan::Planner;

/// Period in which role changes in one direction would gain capacity.
#[derive(Debug, Clone, Copy)]
pub(crate) struct DemandShift {
    pub towards_prefill: bool,
    pub since: Instant,
    /// When a useful change in this direction was last found.
    pub last_seen: Instant,
}

/// Role change of one engine with the largest gain.
#[derive(Debug, Clone, Copy)]
pub(crate) struct BestChange {
    pub from: Role,
    pub to: Role,
    /// Capacity gained in engines, by the fast estimate.
    pub gain: f64,
    /// Ratio of capacity to demand after the change, by the fast estimate.
    pub capacity: f64,
}

impl Planner {
    /// Finds the best role change, updates the current shift and fills in the figures. `None` if
    /// no change gains at least `min_gain`.
    pub(crate) fn evaluate(
        &mut self,
        now: Instant,
        open: &[&TargetView],
        figures: &mut Figures,
    ) -> Option<BestChange> {
        figures.fast = self.scaled_demand(&self.mix.fast());
        figures.slow = self.scaled_demand(&self.mix.slow());
        for view in open {
            figures.roles.add(view.role);
        }
        let rates = &self.settings.rates;
        figures.capacity = figures.roles.capacity(&figures.fast, rates);
        let best = self.best_change(figures);
        let Some(best) = best.filter(|best| best.gain >= self.settings.min_gain) else {
            self.shift = self.shift.filter(|shift| self.is_recent(now, shift));
            return None;
        };
        let towards_prefill = RoleCounts::position(best.to) < RoleCounts::position(best.from);
        let shift = self
            .shift
            .filter(|shift| shift.towards_prefill == towards_prefill && self.is_recent(now, shift));
        let since = shift.map_or(now, |shift| shift.since);
        self.shift = Some(DemandShift {
            towards_prefill,
            since,
            last_seen: now,
        });
        figures.capacity_after = best.capacity;
        figures.gain_fast = best.gain;
        figures.shift_s = now.saturating_duration_since(since).as_secs_f64();
        let after = figures.roles.with_change(best.from, best.to);
        let before = figures.roles.capacity(&figures.slow, rates);
        figures.gain_slow = self.gain(figures.roles, before, after.capacity(&figures.slow, rates));
        Some(best)
    }

    /// Whether the shift has not ended. The fast estimate is noisy, so a shift ends only after no
    /// useful change in its direction was found for `shift_timeout_ms`.
    fn is_recent(&self, now: Instant, shift: &DemandShift) -> bool {
        now.saturating_duration_since(shift.last_seen) <= self.settings.shift_timeout_ms
    }

    fn best_change(&self, figures: &Figures) -> Option<BestChange> {
        let rates = &self.settings.rates;
        let mut best: Option<BestChange> = None;
        let urgent_share = figures
            .roles
            .urgent_share(&figures.fast.competing_with_urgent(), rates);
        for from in ROLES {
            for to in ROLES {
                if from == to || figures.roles.0[RoleCounts::position(from)] == 0 {
                    continue;
                }
                let after = figures.roles.with_change(from, to);
                if after.urgent_share(&figures.fast.competing_with_urgent(), rates) < urgent_share {
                    continue;
                }
                let capacity = after.capacity(&figures.fast, rates);
                let gain = self.gain(figures.roles, figures.capacity, capacity);
                if best.is_none_or(|best| gain > best.gain) {
                    best = Some(BestChange {
                        from,
                        to,
                        gain,
                        capacity,
                    });
                }
            }
        }
        best
    }

    /// Capacity gained, in engines. Capacity beyond the headroom does not count.
    fn gain(&self, roles: RoleCounts, before: f64, after: f64) -> f64 {
        let headroom = self.settings.headroom;
        let share = (after.min(headroom) - before.min(headroom)) / headroom;
        f64::from(roles.total()) * share
    }

    /// Demand of the whole service, extrapolated from the share that this process sees.
    fn scaled_demand(&self, demand: &Demand) -> Demand {
        let mut scaled = *demand;
        for rate in [
            &mut scaled.prefill_class,
            &mut scaled.decode_class,
            &mut scaled.urgent,
        ] {
            rate.prefill /= self.settings.traffic_share;
            rate.decode /= self.settings.traffic_share;
        }
        scaled
    }
}
