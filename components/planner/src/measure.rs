//! The best single change of a role, and the shift that makes it useful.

use std::time::Instant;

use routing::TargetView;
use types::Role;

use crate::decision::Figures;
use crate::fluid::ROLES;
use crate::fluid::Roles;
use crate::mix::Demand;
use crate::plan::Planner;

/// A time in which changes in one direction look useful.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Shift {
    pub towards_prefill: bool,
    pub since: Instant,
    pub seen: Instant,
}

/// The best single change.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Best {
    pub from: Role,
    pub to: Role,
    pub gain: f64,
    pub capacity: f64,
}

impl Planner {
    /// Fills in the figures, follows the shift and finds the best change.
    pub(crate) fn measure(
        &mut self,
        now: Instant,
        open: &[&TargetView],
        figures: &mut Figures,
    ) -> Option<Best> {
        figures.fast = self.scaled(&self.mix.fast());
        figures.slow = self.scaled(&self.mix.slow());
        for view in open {
            figures.roles.add(view.role);
        }
        let rates = &self.settings.rates;
        figures.capacity = figures.roles.capacity(&figures.fast, rates);
        let best = self.best_change(figures);
        let Some(best) = best.filter(|best| best.gain >= self.settings.least_gain) else {
            self.shift = self.shift.filter(|shift| self.is_recent(now, shift));
            return None;
        };
        let towards_prefill = Roles::position(best.to) < Roles::position(best.from);
        let shift = self
            .shift
            .filter(|shift| shift.towards_prefill == towards_prefill && self.is_recent(now, shift));
        let since = shift.map_or(now, |shift| shift.since);
        self.shift = Some(Shift {
            towards_prefill,
            since,
            seen: now,
        });
        figures.capacity_after = best.capacity;
        figures.gain_fast = best.gain;
        figures.shift_s = now.saturating_duration_since(since).as_secs_f64();
        let after = figures.roles.with_change(best.from, best.to);
        let before = figures.roles.capacity(&figures.slow, rates);
        figures.gain_slow = self.gain(figures.roles, before, after.capacity(&figures.slow, rates));
        Some(best)
    }

    /// Whether the shift was seen lately; the fast estimate is noisy, so it may miss it for a while.
    fn is_recent(&self, now: Instant, shift: &Shift) -> bool {
        now.saturating_duration_since(shift.seen) <= self.settings.grace_ms
    }

    fn best_change(&self, figures: &Figures) -> Option<Best> {
        let rates = &self.settings.rates;
        let mut best: Option<Best> = None;
        let urgent = figures
            .roles
            .urgent_share(&figures.fast.beside_urgent(), rates);
        for from in ROLES {
            for to in ROLES {
                if from == to || figures.roles.0[Roles::position(from)] == 0 {
                    continue;
                }
                let after = figures.roles.with_change(from, to);
                if after.urgent_share(&figures.fast.beside_urgent(), rates) < urgent {
                    continue;
                }
                let capacity = after.capacity(&figures.fast, rates);
                let gain = self.gain(figures.roles, figures.capacity, capacity);
                if best.is_none_or(|best| gain > best.gain) {
                    best = Some(Best {
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

    /// Engines' worth of work gained. Capacity beyond the headroom is worth nothing.
    fn gain(&self, roles: Roles, before: f64, after: f64) -> f64 {
        let headroom = self.settings.headroom;
        let share = (after.min(headroom) - before.min(headroom)) / headroom;
        f64::from(roles.total()) * share
    }

    fn scaled(&self, demand: &Demand) -> Demand {
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
