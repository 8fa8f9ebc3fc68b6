//! Where a request goes.
//!
//! Load pattern: long prompts that share their beginnings, more of them than the engines in the
//! prefill role can read twice, in waves that differ from one engine to the other. A prompt goes
//! to the engine that will have read it first, counting what it has read already, what waits there
//! from all processes, and the engine time that the choice takes from later requests.

use std::time::Instant;

use smallvec::SmallVec;
use types::Place;
use types::Role;
use types::TargetName;

use crate::deployment::EngineFacts;
use crate::fleet::Member;
use crate::prefixes::PrefixHash;
use crate::prefixes::PrefixHints;
use crate::protocol::ModelWork;
use crate::speed;
use crate::speed::Reading;

/// Weight of the engine time that a choice takes, beside its own time to the first event: later
/// requests wait for it too.
const WORK_WEIGHT: f64 = 2.0;
/// Time that a transfer between two engines adds beside its bytes.
const TRANSFER_SETUP_MS: f64 = 6.0;
/// Factor on transfers between data centres; the same as the engines' links have.
const REMOTE_TRANSFER_FACTOR: f64 = 2.0;
/// Streams of an engine that decodes, for the duration of an answer.
const TYPICAL_STREAMS: f64 = 12.0;
/// Most that the spreading of beginnings over equal targets adds. It is less than any reading of a
/// shared beginning takes.
const SPREAD_MS: f64 = 60.0;
/// Engine time of a run on a plain service, to compare loads with failures.
const PLAIN_RUN_MS: f64 = 15.0;
/// Time that a target in another data centre adds to a call of a plain service.
const REMOTE_CALL_MS: f64 = 3.0;
/// Time that a target which fails all its calls is taken to add.
const FAILURE_MS: f64 = 400.0;

/// Where a model request goes first.
#[derive(Debug, Clone, PartialEq)]
pub struct Choice {
    /// Target.
    pub target: TargetName,
    /// Its part of the work: prefill for a transfer to another engine, or the whole request.
    pub role: Role,
    /// Expected time from now to the first event.
    pub first_event_ms: f64,
    /// Part of it that is spent behind other readings.
    pub wait_ms: f64,
    /// Expected time from the first to the last event.
    pub events_ms: f64,
    /// Engine time of the reading at nominal speed.
    pub reading_ms: f64,
    /// Tokens that the target has to read.
    pub new_tokens: u64,
}

/// What a model request needs.
#[derive(Debug, Clone)]
pub struct Need<'a> {
    /// Prompt and answer.
    pub work: &'a ModelWork,
    /// Hashes of the shared parts.
    pub hashes: &'a [PrefixHash],
    /// Targets that refused it already.
    pub refused_by: &'a [TargetName],
}

/// Chooses where a request is read: the earliest first event for the least engine time.
#[must_use]
pub fn choose_reader(
    members: &[&Member],
    hints: &PrefixHints,
    facts: &EngineFacts,
    need: &Need<'_>,
    now: Instant,
) -> Option<Choice> {
    let has_decoder = members
        .iter()
        .any(|member| member.entry.role != Role::Prefill);
    let candidates = members.iter().filter(|member| {
        !need.refused_by.contains(&member.entry.name)
            && (member.entry.role != Role::Prefill || has_decoder)
    });
    let choices = candidates.map(|member| rate(member, hints, facts, need, now));
    let best = choices.min_by(|(a, _), (b, _)| a.total_cmp(b));
    best.map(|(_, choice)| choice)
}

#[allow(clippy::cast_precision_loss)] // token counts are far below 2^52
fn rate(
    member: &Member,
    hints: &PrefixHints,
    facts: &EngineFacts,
    need: &Need<'_>,
    now: Instant,
) -> (f64, Choice) {
    let prompt_tokens = f64::from(need.work.prompt_tokens);
    let cached_tokens = cached_tokens(member, hints, facts, need).min(prompt_tokens - 1.0);
    let reading = Reading {
        new_tokens: prompt_tokens - cached_tokens,
        prompt_tokens,
    };
    let (wait_ms, runs) = (member.wait_ms(now), member.load().runs);
    let is_prefill = member.entry.role == Role::Prefill;
    let nominal_ms = reading.work_ms(member.entry.role, if is_prefill { 0.0 } else { runs });
    let own_ms = nominal_ms * member.slowness();
    let transfer_ms = if is_prefill {
        TRANSFER_SETUP_MS + transfer_ms(facts, prompt_tokens)
    } else {
        0.0
    };
    let first_event_ms = wait_ms + own_ms + transfer_ms + speed::FIRST_EVENT_MS;
    let rating = first_event_ms
        + WORK_WEIGHT * own_ms
        + FAILURE_MS * member.failures
        + SPREAD_MS * spread(member, need);
    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)] // positive and small
    let choice = Choice {
        target: member.entry.name.clone(),
        role: member.entry.role,
        first_event_ms,
        wait_ms,
        events_ms: f64::from(need.work.output_tokens()) * speed::step_ms(TYPICAL_STREAMS),
        reading_ms: nominal_ms,
        new_tokens: reading.new_tokens as u64,
    };
    (rating, choice)
}

/// Number from 0 to 1 that is the same in all processes for one prompt's beginning and one target.
#[allow(clippy::cast_precision_loss)]
fn spread(member: &Member, need: &Need<'_>) -> f64 {
    let own_part = need.work.parts.last().map_or(0, |part| part.id);
    let beginning = need.hashes.last().copied().unwrap_or(own_part);
    let mixed = (beginning ^ member.key).wrapping_mul(0x9E37_79B9_7F4A_7C15);
    (mixed >> 11) as f64 / (1_u64 << 53) as f64
}

fn cached_tokens(
    member: &Member,
    hints: &PrefixHints,
    facts: &EngineFacts,
    need: &Need<'_>,
) -> f64 {
    let matched = hints.matched(member.holder, need.hashes, facts.memory_tokens);
    let parts = need.work.parts.iter().take(matched);
    parts.map(|part| f64::from(part.tokens)).sum()
}

/// Time that the memory of so many tokens takes on a free link of one data centre.
#[allow(clippy::cast_precision_loss)]
fn transfer_ms(facts: &EngineFacts, tokens: f64) -> f64 {
    tokens * facts.token_bytes as f64 * 8.0 / facts.link_bits_per_s * 1e3
}

/// Chooses the engine that continues after a prefill elsewhere.
#[must_use]
pub fn choose_decoder(
    members: &[&Member],
    hints: &PrefixHints,
    facts: &EngineFacts,
    need: &Need<'_>,
    holder_place: &Place,
    now: Instant,
) -> Option<TargetName> {
    let candidates = members.iter().filter(|member| {
        member.entry.role != Role::Prefill && !need.refused_by.contains(&member.entry.name)
    });
    let prompt_tokens = f64::from(need.work.prompt_tokens);
    let rated = candidates.map(|member| {
        let (wait_ms, runs) = (member.wait_ms(now), member.load().runs);
        let is_remote = member.entry.data_centre != *holder_place;
        let factor = if is_remote {
            REMOTE_TRANSFER_FACTOR
        } else {
            1.0
        };
        let missing = prompt_tokens - cached_tokens(member, hints, facts, need);
        let moved_ms = factor * transfer_ms(facts, missing.max(0.0));
        // A stream gets its first event a few steps after its memory has arrived.
        let start_ms = speed::step_ms(runs) * member.slowness() * 2.0 + wait_ms * 2.0;
        let full_ms = if runs >= f64::from(facts.slots) {
            1e4
        } else {
            0.0
        };
        let rating = moved_ms + start_ms + FAILURE_MS * member.failures + full_ms;
        (rating, member)
    });
    let best = rated.min_by(|(a, _), (b, _)| a.total_cmp(b));
    best.map(|(_, member)| member.entry.name.clone())
}

/// Chooses a target of a plain service: the least loaded one, near ones first.
#[must_use]
pub fn choose_plain(
    members: &[&Member],
    own_place: &Place,
    refused_by: &[TargetName],
    draw: u64,
) -> Option<TargetName> {
    let candidates: SmallVec<[&&Member; 8]> = members
        .iter()
        .filter(|member| !refused_by.contains(&member.entry.name))
        .collect();
    let rated = candidates.iter().enumerate().map(|(at, member)| {
        let slots = f64::from(member.entry.slots.max(1));
        let wait_ms = member.load().runs / slots * PLAIN_RUN_MS;
        let is_remote = member.entry.data_centre != *own_place;
        let distance_ms = if is_remote { REMOTE_CALL_MS } else { 0.0 };
        let rating = wait_ms + distance_ms + FAILURE_MS * member.failures;
        // Equals are taken in turn, from a start that differs between requests.
        let turn = (at as u64).wrapping_add(draw) % (candidates.len() as u64);
        (rating, turn, member)
    });
    let best = rated.min_by(|a, b| a.0.total_cmp(&b.0).then(a.1.cmp(&b.1)));
    best.map(|(_, _, member)| member.entry.name.clone())
}
