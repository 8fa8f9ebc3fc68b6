//! How much of a demand a set of roles can carry, as a fluid.

use routing::RoleRates;
use types::Role;

use crate::mix::Demand;
use crate::mix::Rate;

/// Roles in the order of the arrays of this crate.
pub const ROLES: [Role; 3] = [Role::Prefill, Role::Mixed, Role::Decode];
/// Steps of the bisection; enough for six digits.
const BISECTION_STEPS: u32 = 24;
/// Capacity over demand above which nothing is told apart.
const LARGEST: f64 = 16.0;

/// Number of engines in each role.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, serde::Serialize)]
pub struct Roles(pub [u32; 3]);

impl Roles {
    /// Position of a role in the arrays of this crate.
    #[must_use]
    pub fn position(role: Role) -> usize {
        match role {
            Role::Prefill => 0,
            Role::Mixed => 1,
            Role::Decode => 2,
        }
    }

    /// Adds one engine.
    pub fn add(&mut self, role: Role) {
        self.0[Self::position(role)] += 1;
    }

    /// The same engines with one of them in another role.
    #[must_use]
    pub fn with_change(mut self, from: Role, to: Role) -> Self {
        self.0[Self::position(from)] = self.0[Self::position(from)].saturating_sub(1);
        self.add(to);
        self
    }

    /// Number of engines.
    #[must_use]
    pub fn total(&self) -> u32 {
        self.0.iter().sum()
    }

    /// Largest multiple of the demand that the engines can carry.
    ///
    /// Work of the prefill class goes to the roles that are best at it first. That is optimal for
    /// two classes, because the roles are ordered by the ratio of the two costs.
    #[must_use]
    pub fn capacity(&self, demand: &Demand, rates: &[RoleRates; 3]) -> f64 {
        let costs = rates.each_ref().map(|rates| demand.engine_time(rates));
        if costs
            .iter()
            .any(|(prefill, decode)| prefill + decode <= 1e-9)
        {
            return LARGEST;
        }
        let mut order = [0, 1, 2];
        order.sort_by(|a, b| {
            let ratio = |at: &usize| costs[*at].0 / costs[*at].1.max(1e-12);
            ratio(a).total_cmp(&ratio(b))
        });
        let (mut low, mut high) = (0.0, LARGEST);
        for _ in 0..BISECTION_STEPS {
            let middle = f64::midpoint(low, high);
            if self.carries(middle, &costs, order) {
                low = middle;
            } else {
                high = middle;
            }
        }
        low
    }

    /// Share of the urgent work that the engines outside the role prefill can carry, at most 1.
    #[must_use]
    pub fn urgent_share(&self, urgent: &Rate, rates: &[RoleRates; 3]) -> f64 {
        let carried: f64 = [Role::Mixed, Role::Decode]
            .into_iter()
            .map(Self::position)
            .map(|at| f64::from(self.0[at]) / urgent.engine_time(&rates[at]).max(1e-12))
            .sum();
        carried.min(1.0)
    }

    fn carries(&self, multiple: f64, costs: &[(f64, f64); 3], order: [usize; 3]) -> bool {
        // Parts of each class that still have to be placed.
        let (mut prefill, mut decode) = (multiple, multiple);
        for at in order {
            let engines = f64::from(self.0[at]);
            let (prefill_cost, decode_cost) = costs[at];
            let placed = prefill.min(engines / prefill_cost.max(1e-12));
            prefill -= placed;
            decode -= (engines - placed * prefill_cost) / decode_cost.max(1e-12);
        }
        prefill <= 1e-9 && decode <= 1e-9
    }
}
