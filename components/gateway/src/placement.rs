//! Placement: which target a call goes to.
//!
//! It is designed for long prompts with shared prefixes, too many for the prefill engines to
//! process twice, in bursts that load the engines unevenly. A prompt goes to the engine with the
//! lowest score, which estimates the time to the first event from the engine's cached prefixes and
//! from the prefills that all gateway processes have queued there, and adds the engine time that
//! later requests lose to this one.

use std::time::Instant;

use builds::AllowedBuilds;
use smallvec::SmallVec;
use types::DataCentre;
use types::Role;
use types::TargetName;

use crate::deployment::EngineSpec;
use crate::fleet::TargetKey;
use crate::fleet::TargetState;
use crate::prefixes::PrefixHash;
use crate::prefixes::PrefixIndex;
use crate::protocol::ModelWork;
use crate::speed;
use crate::speed::PrefillWork;

/// Weight of the prefill's engine time in the score, in addition to its share of the time to the
/// first event: later requests wait for it too.
const WORK_WEIGHT: f64 = 2.0;
/// Fixed cost of a KV cache transfer between two engines.
const TRANSFER_SETUP_MS: f64 = 6.0;
/// Factor on the time of a transfer between data centres; the same as on the engines' links.
const REMOTE_TRANSFER_FACTOR: f64 = 2.0;
/// Running streams of a decode engine that are assumed when the duration of an answer is estimated.
const TYPICAL_STREAMS: f64 = 12.0;
/// Largest tie-break between equal targets, which spreads the prefixes over them. It is less than
/// the prefill of any shared prefix takes, so it never causes one to be repeated.
const TIE_BREAK_MS: f64 = 60.0;
/// Assumed duration of a run on a plain service, which converts load into time for the score.
const PLAIN_RUN_MS: f64 = 15.0;
/// Time added to the score of a plain service's target in another data centre.
const REMOTE_CALL_MS: f64 = 3.0;
/// Time added to the score of a target whose calls all fail; scaled by its failure rate.
const FAILURE_PENALTY_MS: f64 = 400.0;

/// Engine chosen for a model request, with the expected times.
#[derive(Debug, Clone, PartialEq)]
pub struct Placement {
    /// Engine that gets the call.
    pub target: TargetName,
    /// Role of the engine: `Prefill` hands the KV cache to another engine, others run the request.
    pub role: Role,
    /// Expected time from now to the first event.
    pub first_event_ms: f64,
    /// Part of `first_event_ms` spent in the queue behind other prefills.
    pub wait_ms: f64,
    /// Expected time from the first to the last event.
    pub events_ms: f64,
    /// Duration of the prefill at nominal speed.
    pub prefill_ms: f64,
    /// Prompt tokens that are not in the engine's prefix cache.
    pub new_tokens: u64,
}

/// A model request to be placed.
#[derive(Debug, Clone)]
pub struct PlacementRequest<'a> {
    /// Sizes of the prompt and the answer.
    pub work: &'a ModelWork,
    /// Prefix hashes of the shared parts of the prompt.
    pub hashes: &'a [PrefixHash],
    /// Targets that have refused or failed a call of this request.
    pub tried_targets: &'a [TargetName],
    /// Whether another engine than that of the run may do the prefill, which takes one more call.
    pub may_transfer: bool,
}

/// Chooses the engine for the prefill: the best trade-off of time to first event and engine time.
#[must_use]
pub fn choose_first_engine(
    targets: &[&TargetState],
    prefix_index: &PrefixIndex,
    spec: &EngineSpec,
    request: &PlacementRequest<'_>,
    now: Instant,
) -> Option<Placement> {
    // A KV cache fits only engines of the same build.
    let can_transfer = |from: &TargetState| {
        let fits = AllowedBuilds::same_as(from.entry.build.as_ref());
        let mut runners = targets.iter().filter(|state| {
            state.entry.role != Role::Prefill && !request.tried_targets.contains(&state.entry.name)
        });
        request.may_transfer && runners.any(|state| fits.allow(state.entry.build.as_ref()))
    };
    let candidates = targets.iter().filter(|state| {
        !request.tried_targets.contains(&state.entry.name)
            && (state.entry.role != Role::Prefill || can_transfer(state))
    });
    let placements = candidates.map(|state| score(state, prefix_index, spec, request, now));
    let best = placements.min_by(|(a, _), (b, _)| a.total_cmp(b));
    best.map(|(_, placement)| placement)
}

#[allow(clippy::cast_precision_loss)] // token counts are far below 2^52
fn score(
    state: &TargetState,
    prefix_index: &PrefixIndex,
    spec: &EngineSpec,
    request: &PlacementRequest<'_>,
    now: Instant,
) -> (f64, Placement) {
    let prompt_tokens = f64::from(request.work.prompt_tokens);
    let cached_tokens = cached_tokens(state, prefix_index, spec, request).min(prompt_tokens - 1.0);
    let work = PrefillWork {
        new_tokens: prompt_tokens - cached_tokens,
        prompt_tokens,
    };
    let (wait_ms, runs) = (state.wait_ms(now), state.load().runs);
    let is_prefill = state.entry.role == Role::Prefill;
    let nominal_ms = work.duration_ms(state.entry.role, if is_prefill { 0.0 } else { runs });
    let own_ms = nominal_ms * state.slowdown();
    let transfer_ms = if is_prefill {
        TRANSFER_SETUP_MS + transfer_ms(spec, prompt_tokens)
    } else {
        0.0
    };
    let first_event_ms = wait_ms + own_ms + transfer_ms + speed::FIRST_EVENT_MS;
    let score_ms = first_event_ms
        + WORK_WEIGHT * own_ms
        + FAILURE_PENALTY_MS * state.health.failure_rate()
        + TIE_BREAK_MS * tie_break(state, request);
    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)] // positive and small
    let placement = Placement {
        target: state.entry.name.clone(),
        role: state.entry.role,
        first_event_ms,
        wait_ms,
        events_ms: f64::from(request.work.output_tokens()) * speed::step_ms(TYPICAL_STREAMS),
        prefill_ms: nominal_ms,
        new_tokens: work.new_tokens as u64,
    };
    (score_ms, placement)
}

/// Number from 0 to 1 that is the same in all processes for a prompt's prefix and a target.
#[allow(clippy::cast_precision_loss)]
fn tie_break(state: &TargetState, request: &PlacementRequest<'_>) -> f64 {
    let own_part = request.work.parts.last().map_or(0, |part| part.id);
    let prefix = request.hashes.last().copied().unwrap_or(own_part);
    let mixed = (prefix ^ state.key).wrapping_mul(0x9E37_79B9_7F4A_7C15);
    (mixed >> 11) as f64 / (1_u64 << 53) as f64
}

fn cached_tokens(
    state: &TargetState,
    prefix_index: &PrefixIndex,
    spec: &EngineSpec,
    request: &PlacementRequest<'_>,
) -> f64 {
    let matching_prefixes =
        prefix_index.matching_prefixes(state.instance, request.hashes, spec.kv_capacity_tokens);
    let parts = request.work.parts.iter().take(matching_prefixes);
    parts.map(|part| f64::from(part.tokens)).sum()
}

/// Time to transfer the KV cache of `tokens` over an idle link within a data centre.
#[allow(clippy::cast_precision_loss)]
fn transfer_ms(spec: &EngineSpec, tokens: f64) -> f64 {
    tokens * spec.kv_token_bytes as f64 * 8.0 / spec.link_bits_per_s * 1e3
}

/// Chooses the engine that decodes after a prefill on another engine.
#[must_use]
pub fn choose_decode_engine(
    targets: &[&TargetState],
    prefix_index: &PrefixIndex,
    spec: &EngineSpec,
    request: &PlacementRequest<'_>,
    source_data_centre: &DataCentre,
    now: Instant,
) -> Option<TargetName> {
    let candidates = targets.iter().filter(|state| {
        state.entry.role != Role::Prefill && !request.tried_targets.contains(&state.entry.name)
    });
    let prompt_tokens = f64::from(request.work.prompt_tokens);
    let scored = candidates.map(|state| {
        let (wait_ms, runs) = (state.wait_ms(now), state.load().runs);
        let is_remote = state.entry.data_centre != *source_data_centre;
        let factor = if is_remote {
            REMOTE_TRANSFER_FACTOR
        } else {
            1.0
        };
        let missing = prompt_tokens - cached_tokens(state, prefix_index, spec, request);
        let transfer_ms = factor * transfer_ms(spec, missing.max(0.0));
        // The first event follows about two steps after the KV cache has arrived.
        let start_ms = speed::step_ms(runs) * state.slowdown() * 2.0 + wait_ms * 2.0;
        let full_penalty_ms = if runs >= f64::from(spec.slots) {
            1e4
        } else {
            0.0
        };
        let score_ms = transfer_ms
            + start_ms
            + FAILURE_PENALTY_MS * state.health.failure_rate()
            + full_penalty_ms;
        (score_ms, state)
    });
    let best = scored.min_by(|(a, _), (b, _)| a.total_cmp(b));
    best.map(|(_, state)| state.entry.name.clone())
}

/// Leaves the target for a request that may crash it: the one with the fewest other requests,
/// preferably one that has not been reported as crashed.
pub fn retain_trial_target(
    targets: &mut Vec<&TargetState>,
    tried_targets: &[TargetName],
    has_crashed: impl Fn(TargetKey) -> bool,
) {
    targets.retain(|state| !tried_targets.contains(&state.entry.name));
    let least = targets.iter().copied().min_by(|a, b| {
        let runs = a.load().runs.total_cmp(&b.load().runs);
        has_crashed(a.key).cmp(&has_crashed(b.key)).then(runs)
    });
    targets.clear();
    targets.extend(least);
}

/// Chooses a target of a plain service by load, failures and data centre.
#[must_use]
pub fn choose_plain_target(
    targets: &[&TargetState],
    own_data_centre: &DataCentre,
    tried_targets: &[TargetName],
    draw: u64,
) -> Option<TargetName> {
    let candidates: SmallVec<[&&TargetState; 8]> = targets
        .iter()
        .filter(|state| !tried_targets.contains(&state.entry.name))
        .collect();
    let scored = candidates.iter().enumerate().map(|(at, state)| {
        let slots = f64::from(state.entry.slots.max(1));
        let wait_ms = state.load().runs / slots * PLAIN_RUN_MS;
        let is_remote = state.entry.data_centre != *own_data_centre;
        let distance_ms = if is_remote { REMOTE_CALL_MS } else { 0.0 };
        let score_ms = wait_ms + distance_ms + FAILURE_PENALTY_MS * state.health.failure_rate();
        // Equal scores are resolved in round-robin order from a random start.
        let turn = (at as u64).wrapping_add(draw) % (candidates.len() as u64);
        (score_ms, turn, state)
    });
    let best = scored.min_by(|a, b| a.0.total_cmp(&b.0).then(a.1.cmp(&b.1)));
    best.map(|(_, _, state)| state.entry.name.clone())
}
