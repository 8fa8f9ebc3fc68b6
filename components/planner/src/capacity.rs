//! Capacity of a set of engine roles for a demand.
//!
//! This is a fluid model: work is divisible, and queueing is ignored.

use routing::RoleRates;
use types::Role;

use crate::mix::Demand;
use crate::mix::Rate;

/// Roles in the order in which all arrays by role in this crate are indexed.
pub const ROLES: [Role; 3] = [Role::Prefill, Role::Mixed, Role::Decode];
/// Steps of the bisection; its interval shrinks from 16 to below 1e-6.
const BISECTION_STEPS: u32 = 24;
/// Upper bound of the ratio of capacity to demand; larger ratios are reported as this one.
const MAX_CAPACITY_RATIO: f64 = 16.0;

/// Number of engines in each role, indexed as [`ROLES`].
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, serde::Serialize)]
pub struct RoleCounts(pub [u32; 3]);

impl RoleCounts {
    /// Index of a role in [`ROLES`].
    #[must_use]
    pub fn position(role: Role) -> usize {
        match role {
            Role::Prefill => 0,
            Role::Mixed => 1,
            Role::Decode => 2,
        }
    }

    /// Adds one engine in a role.
    pub fn add(&mut self, role: Role) {
        self.0[Self::position(role)] += 1;
    }

    /// Counts after one engine has changed its role.
    #[must_use]
    pub fn with_change(mut self, from: Role, to: Role) -> Self {
        self.0[Self::position(from)] = self.0[Self::position(from)].saturating_sub(1);
        self.add(to);
        self
    }

    /// Number of engines in all roles.
    #[must_use]
    pub fn total(&self) -> u32 {
        self.0.iter().sum()
    }

    /// Largest multiple of the demand that the engines can serve.
    ///
    /// The prefill class is assigned to the roles in ascending order of the ratio of prefill cost
    /// to decode cost. For two classes this greedy assignment is optimal.
    #[must_use]
    pub fn capacity(&self, demand: &Demand, rates: &[RoleRates; 3]) -> f64 {
        let costs = rates.each_ref().map(|rates| demand.engine_time(rates));
        if costs
            .iter()
            .any(|(prefill, decode)| prefill + decode <= 1e-9)
        {
            return MAX_CAPACITY_RATIO;
        }
        let mut order = [0, 1, 2];
        order.sort_by(|a, b| {
            let ratio = |at: &usize| costs[*at].0 / costs[*at].1.max(1e-12);
            ratio(a).total_cmp(&ratio(b))
        });
        let (mut low, mut high) = (0.0, MAX_CAPACITY_RATIO);
        for _ in 0..BISECTION_STEPS {
            let middle = f64::midpoint(low, high);
            if self.can_serve(middle, &costs, order) {
                low = middle;
            } else {
                high = middle;
            }
        }
        low
    }

    /// Share of the urgent demand that engines in the roles mixed and decode can serve, at most 1.
    #[must_use]
    pub fn urgent_share(&self, urgent: &Rate, rates: &[RoleRates; 3]) -> f64 {
        let served: f64 = [Role::Mixed, Role::Decode]
            .into_iter()
            .map(Self::position)
            .map(|at| f64::from(self.0[at]) / urgent.engine_time(&rates[at]).max(1e-12))
            .sum();
        served.min(1.0)
    }

    fn can_serve(&self, multiple: f64, costs: &[(f64, f64); 3], order: [usize; 3]) -> bool {
        // Multiples of each class that are not assigned yet.
        let (mut prefill, mut decode) = (multiple, multiple);
        for at in order {
            let engines = f64::from(self.0[at]);
            let (prefill_cost, decode_cost) = costs[at];
            let assigned = prefill.min(engines / prefill_cost.max(1e-12));
            prefill -= assigned;
            decode -= (engines - assigned * prefill_cost) / decode_cost.max(1e-12);
        }
        prefill <= 1e-9 && decode <= 1e-9
    }
}
