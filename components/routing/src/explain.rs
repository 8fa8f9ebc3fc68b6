//! Why a target was or would be chosen.

use std::time::Instant;

use request::Need;
use types::TargetName;

use crate::estimate::Estimate;
use crate::fleet::Fleet;
use crate::member::Standing;

/// One target of the service, with the estimate that it would be ranked by.
#[derive(Debug, Clone, PartialEq)]
pub struct Candidate {
    /// Name.
    pub target: TargetName,
    /// Whether it takes new work, and if not, why.
    pub standing: Standing,
    /// It has the model, version and adapter that are needed.
    pub fits: bool,
    /// This entry has no more room for requests of this kind on it.
    pub full: bool,
    /// Prompt tokens thought to be in its prefix cache.
    pub cached_tokens: f64,
    /// Parts of the estimated time to finish.
    pub estimate: Estimate,
    /// What candidates are compared by; lower is better.
    pub rank_ms: f64,
}

impl Fleet {
    /// The estimate of every target of the service, the best first.
    #[must_use]
    pub fn explain(&self, now: Instant, need: &Need) -> Vec<Candidate> {
        let Some(pool) = self.services.get(&need.service) else {
            return Vec::new();
        };
        let explained = |at: &usize| {
            let member = &self.members[*at];
            let ranked = self.ranked(now, need, *at);
            Candidate {
                target: member.target.name.clone(),
                standing: member.standing(now, &self.settings),
                fits: member.fits(&need.needs),
                full: self.is_full(*at, need),
                cached_tokens: ranked.cached_tokens,
                estimate: ranked.estimate,
                rank_ms: ranked.rank_ms,
            }
        };
        let mut candidates: Vec<_> = self.pools[*pool].members.iter().map(explained).collect();
        candidates.sort_by(|a, b| {
            let usable = |c: &Candidate| c.standing == Standing::Open && c.fits && !c.full;
            usable(b)
                .cmp(&usable(a))
                .then(a.rank_ms.total_cmp(&b.rank_ms))
                .then(a.target.cmp(&b.target))
        });
        candidates
    }
}
