//! The likeliest causes of the known crashes.
//!
//! The part that is common to most crashes is taken as their cause, then the next one for the
//! crashes that are left. So a sound part that often occurs beside a deadly one is not blamed for
//! its crashes.
//!
//! Crashes count against a part only until an answer begins on it again. The more answers a part was
//! sound in, the likelier is a run of crashes by chance than that the part has turned deadly: each
//! tenfold of answers allows one more crash in a row. For such a part, calls that are lost at one
//! moment are one crash, as they are likely to have one cause, such as the network of a host.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;
use std::time::Instant;

use smallvec::SmallVec;

use crate::PartId;
use crate::ProcessKey;
use crate::evidence::Evidence;
use crate::state::Entry;

/// Weight of a crash under a request whose answer had begun, and under one that had none. The
/// latter may only have waited, or its engine loses answers and has not crashed.
const BEGUN_WEIGHT: usize = 2;
const WAITING_WEIGHT: usize = 1;
/// Weight of the crashes of which a part must be the likeliest cause to be quarantined.
pub(crate) const QUARANTINE_WEIGHT: usize = 3;
/// Weight of the crashes in a row that a part may be beside and still not be suspect, for each tenfold
/// of the answers that it was sound in. Crashes of waiting requests do not count for such a part.
const ALLOWED_WEIGHT: usize = BEGUN_WEIGHT;
/// Most tenfolds that count, so that a part that turns deadly is suspect after four crashes.
const ALLOWED_TENFOLDS: usize = 3;
/// Time in which losses may have one cause. Resets of connections reach a process together; telling
/// another process of them takes up to 25 ms.
const MOMENT_MS: Duration = Duration::from_millis(100);

/// A crash that is attributed to a part.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct AttributedCrash {
    pub(crate) process: ProcessKey,
    pub(crate) at: Instant,
    /// The answer to the request with the part had begun.
    pub(crate) is_likely: bool,
}

/// Crashes that are attributed to a part.
pub(crate) type Crashes = SmallVec<[AttributedCrash; 4]>;

/// Weight of crashes that are attributed to a part.
pub(crate) fn weight(crashes: &[AttributedCrash]) -> usize {
    let weights = crashes.iter().map(|crash| crash_weight(crash.is_likely));
    weights.sum()
}

fn crash_weight(is_likely: bool) -> usize {
    if is_likely {
        BEGUN_WEIGHT
    } else {
        WAITING_WEIGHT
    }
}

/// Parts by their relation to the known crashes.
#[derive(Debug, Default)]
pub(crate) struct Causes {
    /// Parts that are quarantined.
    pub(crate) quarantined: BTreeMap<PartId, Crashes>,
    /// Other parts that may have crashed a process.
    pub(crate) suspects: BTreeSet<PartId>,
    /// Parts beside which a process has crashed since they were last sound.
    pub(crate) candidates: BTreeSet<PartId>,
}

/// A part that may be the cause of a crash.
#[derive(Debug, Clone, Copy)]
struct Candidate {
    part: PartId,
    /// Position in the prompt; a whole request is after all parts.
    depth: usize,
    /// Answers that have begun on the part.
    sound_count: u32,
    crash: AttributedCrash,
}

type Candidates = BTreeMap<ProcessKey, Vec<Candidate>>;

impl Causes {
    /// Finds the causes of the reported crashes, and of those that `entries` alone still tell of.
    pub(crate) fn find(evidence: &Evidence, entries: &BTreeMap<PartId, Entry>) -> Self {
        let mut crashes = reported_crashes(evidence);
        for (part, entry) in entries {
            for crash in &entry.crashes {
                let process = crash.process;
                if !evidence.is_cleared(*part, crash.at)
                    && !evidence.is_refuted(process, crash.at)
                    && !has_report(evidence, process)
                {
                    crashes.entry(process).or_default().push(Candidate {
                        part: *part,
                        depth: 0,
                        sound_count: evidence.sound_count(*part),
                        crash: *crash,
                    });
                }
            }
        }
        let candidates = crashes.values().flatten();
        let mut causes = Self {
            candidates: candidates.map(|candidate| candidate.part).collect(),
            ..Self::default()
        };
        while let Some((part, weight)) = likeliest(&crashes) {
            if weight < QUARANTINE_WEIGHT {
                break;
            }
            let mut attributed = Crashes::new();
            crashes.retain(|_, candidates| {
                let candidate = candidates.iter().find(|candidate| candidate.part == part);
                attributed.extend(candidate.map(|candidate| candidate.crash));
                candidate.is_none()
            });
            if evidence.sound_count(part) > 0 {
                keep_one_of_each_moment(&mut attributed);
            }
            causes.quarantined.insert(part, attributed);
        }
        let weights = weights(&crashes);
        let suspects = weights.into_iter().filter(|(_, rank)| rank.weight > 0);
        causes.suspects = suspects.map(|(part, _)| part).collect();
        causes
    }
}

fn has_report(evidence: &Evidence, process: ProcessKey) -> bool {
    let mut reports = evidence.reports().iter();
    reports.any(|report| report.process == process)
}

/// Candidates for each crash: the parts of requests whose answer had begun, or of all requests if
/// there is none.
fn reported_crashes(evidence: &Evidence) -> Candidates {
    let begun: BTreeSet<ProcessKey> = evidence
        .reports()
        .iter()
        .filter(|report| report.is_likely)
        .map(|report| report.process)
        .collect();
    let mut crashes = Candidates::new();
    for report in evidence.reports() {
        if !report.is_likely && begun.contains(&report.process) {
            continue;
        }
        let candidates = crashes.entry(report.process).or_default();
        for (depth, part) in report.possible_causes().enumerate() {
            if !evidence.is_cleared(part, report.at) {
                candidates.push(Candidate {
                    part,
                    depth,
                    sound_count: evidence.sound_count(part),
                    crash: AttributedCrash {
                        process: report.process,
                        at: report.at,
                        is_likely: report.is_likely,
                    },
                });
            }
        }
    }
    crashes
}

/// Strength of the suspicion against a part, in the order in which the fields decide.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
struct Rank {
    weight: usize,
    was_never_sound: bool,
    /// Fewer requests share the later parts of a prompt.
    depth: usize,
}

fn weights(crashes: &Candidates) -> BTreeMap<PartId, Rank> {
    let mut weights: BTreeMap<PartId, Rank> = BTreeMap::new();
    let mut sound: BTreeMap<PartId, (u32, Crashes)> = BTreeMap::new();
    for candidates in crashes.values() {
        let mut counted = BTreeSet::new();
        for candidate in candidates {
            if !counted.insert(candidate.part) {
                continue;
            }
            let rank = weights.entry(candidate.part).or_default();
            rank.was_never_sound = candidate.sound_count == 0;
            rank.depth = rank.depth.max(candidate.depth);
            let is_likely = candidate.crash.is_likely;
            if rank.was_never_sound {
                rank.weight += crash_weight(is_likely);
            } else if is_likely {
                let (count, crashes) = sound.entry(candidate.part).or_default();
                *count = candidate.sound_count;
                crashes.push(candidate.crash);
            }
        }
    }
    for (part, (sound_count, mut crashes)) in sound {
        keep_one_of_each_moment(&mut crashes);
        let weight = weight(&crashes).saturating_sub(allowed_weight(sound_count));
        weights.entry(part).or_default().weight = weight;
    }
    weights
}

/// Weight of crashes that do not make a part suspect that was sound in this many answers.
fn allowed_weight(sound_count: u32) -> usize {
    let tenfolds = sound_count
        .checked_ilog10()
        .map_or(0, |log| log as usize + 1);
    ALLOWED_WEIGHT * tenfolds.min(ALLOWED_TENFOLDS)
}

fn keep_one_of_each_moment(crashes: &mut Crashes) {
    crashes.sort_by_key(|crash| crash.at);
    crashes.dedup_by(|later, earlier| later.at - earlier.at < MOMENT_MS);
}

fn likeliest(crashes: &Candidates) -> Option<(PartId, usize)> {
    let weights = weights(crashes);
    let likeliest = weights.into_iter().max_by_key(|(_, rank)| *rank)?;
    Some((likeliest.0, likeliest.1.weight))
}
