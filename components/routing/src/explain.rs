//! Explains target selection to operators: the estimate and rank of each target of a service.

use std::time::Instant;

use request::Requirements;
use types::TargetName;

use crate::estimate::Estimate;
use crate::fleet::Fleet;
use crate::member::Standing;

/// Target of a service with the estimate used to rank it.
#[derive(Debug, Clone, PartialEq)]
pub struct Candidate {
    /// Name in the target's row.
    pub target: TargetName,
    /// Whether it accepts new work, and if not, why.
    pub standing: Standing,
    /// Whether it has loaded the required model, version and adapters.
    pub is_compatible: bool,
    /// Whether this entry's requests on it have reached the concurrency limit.
    pub is_full: bool,
    /// Prompt tokens expected in its prefix cache.
    pub cached_tokens: f64,
    /// Estimated time to complete the request, by part.
    pub estimate: Estimate,
    /// Sort key of candidates; lower is better.
    pub rank_ms: f64,
}

impl Fleet {
    /// Candidates of a service: usable ones first, then by ascending rank.
    #[must_use]
    pub fn explain(&self, now: Instant, requirements: &Requirements) -> Vec<Candidate> {
        let Some(pool) = self.pools_by_service.get(&requirements.service) else {
            return Vec::new();
        };
        let to_candidate = |position: &usize| {
            let member = &self.members[*position];
            let ranked = self.rank_member(now, requirements, *position);
            Candidate {
                target: member.target.name.clone(),
                standing: member.standing(now, &self.settings),
                is_compatible: member.is_compatible_with(&requirements.needs),
                is_full: self.is_full(*position, requirements),
                cached_tokens: ranked.cached_tokens,
                estimate: ranked.estimate,
                rank_ms: ranked.rank_ms,
            }
        };
        let mut candidates: Vec<_> = self.pools[*pool].members.iter().map(to_candidate).collect();
        candidates.sort_by(|a, b| {
            let usable =
                |c: &Candidate| c.standing == Standing::Open && c.is_compatible && !c.is_full;
            usable(b)
                .cmp(&usable(a))
                .then(a.rank_ms.total_cmp(&b.rank_ms))
                .then(a.target.cmp(&b.target))
        });
        candidates
    }
}
