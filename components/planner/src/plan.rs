//! The planner of one service.

use std::collections::HashMap;
use std::time::Duration;
use std::time::Instant;

use routing::Size;
use routing::TargetView;
use types::AttemptId;
use types::Role;
use types::TargetName;
use types::Usage;

use crate::decision::Decision;
use crate::decision::Figures;
use crate::decision::Reason;
use crate::decision::Verdict;
use crate::fluid::Roles;
use crate::measure::Best;
use crate::measure::Shift;
use crate::mix::Class;
use crate::mix::Mix;
use crate::settings::Settings;
use crate::targets::Availability;
use crate::targets::is_last_of_class;
use crate::targets::is_open;

/// Share of the drain that counts as lost, since an engine still works while it drains.
const DRAIN_LOSS: f64 = 0.5;

/// What an attempt in flight was counted as.
#[derive(Debug, Clone, Copy)]
struct Counted {
    class: Class,
    prefill: f64,
    decode: f64,
}

/// What a request asks of an engine.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Job {
    /// Prompt tokens that are not expected in the prefix cache.
    pub prefill_tokens: f64,
    /// Output tokens expected.
    pub decode_tokens: f64,
    /// Time for which its caller is expected to wait.
    pub within_ms: Duration,
}

impl Job {
    /// A request of a size known to routing.
    #[must_use]
    pub fn new(size: Size, within_ms: Duration) -> Self {
        Self {
            prefill_tokens: size.prefill_tokens,
            decode_tokens: size.decode_tokens,
            within_ms,
        }
    }
}

/// How an attempt ended, as far as it concerns the demand.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Ended {
    /// Its usage replaces what was expected of it.
    Answered(Usage),
    /// Another attempt takes its place.
    TriedAgain,
    /// It was demanded and did not get its whole answer.
    Unserved,
}

/// A change that was ordered.
#[derive(Debug, Clone)]
struct Ordered {
    target: TargetName,
    from: Role,
    to: Role,
    at: Instant,
}

/// Planner of one service.
#[derive(Debug)]
pub struct Planner {
    pub(crate) settings: Settings,
    pub(crate) mix: Mix,
    counted: HashMap<AttemptId, Counted>,
    availability: Availability,
    pending: Option<Ordered>,
    last: Option<Ordered>,
    pub(crate) shift: Option<Shift>,
    reason: Option<Reason>,
}

impl Planner {
    /// A planner that has measured nothing yet.
    #[must_use]
    pub fn new(settings: Settings) -> Self {
        Self {
            mix: Mix::new(settings.rates[1], settings.fast_ms, settings.slow_ms),
            settings,
            counted: HashMap::new(),
            availability: Availability::default(),
            pending: None,
            last: None,
            shift: None,
            reason: None,
        }
    }

    /// An attempt was dispatched.
    pub fn dispatched(&mut self, now: Instant, attempt: AttemptId, job: &Job) {
        let (prefill, decode) = (job.prefill_tokens, job.decode_tokens);
        let counted = Counted {
            class: self.class(job),
            prefill,
            decode,
        };
        self.mix.add(now, counted.class, prefill, decode);
        self.counted.insert(attempt, counted);
    }

    /// An attempt ended.
    pub fn settled(&mut self, now: Instant, attempt: AttemptId, ended: Ended) {
        let Some(counted) = self.counted.remove(&attempt) else {
            return;
        };
        let (prefill, decode) = match ended {
            // What was expected stands for what is not known.
            Ended::Answered(usage) if !usage.is_known() => return,
            Ended::Answered(usage) => {
                let prefill = usage.prompt_tokens.saturating_sub(usage.cached_tokens);
                (f64::from(prefill), f64::from(usage.output_tokens))
            }
            Ended::TriedAgain => (0.0, 0.0),
            Ended::Unserved => return,
        };
        let class = counted.class;
        self.mix.add(
            now,
            class,
            prefill - counted.prefill,
            decode - counted.decode,
        );
    }

    /// A request was refused for lack of capacity. It is part of the demand; without it, a service
    /// in the wrong roles would look as if it had capacity to spare.
    pub fn refused(&mut self, now: Instant, job: &Job) {
        let class = self.class(job);
        self.mix
            .add(now, class, job.prefill_tokens, job.decode_tokens);
    }

    /// The class of a request. One whose output would come too late at the pace of a full prefill
    /// engine is urgent, however long its prompt takes.
    fn class(&self, job: &Job) -> Class {
        let rates = &self.settings.rates[Roles::position(Role::Prefill)];
        let step_ms = rates.step_ms
            + rates.stream_ms * f64::from(rates.slots)
            + rates.prefill_ms_per_token * f64::from(rates.chunk_tokens);
        if job.decode_tokens * step_ms > job.within_ms.as_secs_f64() * 1e3 {
            return Class::Urgent;
        }
        self.mix.class(job.prefill_tokens, job.decode_tokens)
    }

    /// The order of the last change could not be written.
    pub fn order_failed(&mut self) {
        self.pending = None;
    }

    /// Sets the share of the service's requests that this process sees.
    pub fn set_traffic_share(&mut self, share: f64) {
        self.settings.traffic_share = share.clamp(0.001, 1.0);
    }

    /// Decides on the targets of the service. After a change, the caller writes the order or
    /// calls [`Planner::order_failed`].
    pub fn consider(&mut self, now: Instant, targets: &[TargetView], weight: f64) -> Decision {
        self.mix.advance(now);
        self.availability.note(now, targets);
        self.note_progress(now, targets);
        let mut figures = Figures::default();
        let verdict = match self.decide(now, targets, weight, &mut figures) {
            Ok(verdict) => verdict,
            Err(reason) => Verdict::Keep(reason),
        };
        let reason = match &verdict {
            Verdict::Change {
                target, from, to, ..
            } => {
                self.order(now, target, *from, *to);
                None
            }
            Verdict::Keep(reason) => Some(reason.clone()),
        };
        let is_news = reason.is_none() || self.reason != reason;
        self.reason = reason;
        Decision {
            verdict,
            figures,
            is_news,
        }
    }

    fn decide(
        &mut self,
        now: Instant,
        targets: &[TargetView],
        weight: f64,
        figures: &mut Figures,
    ) -> Result<Verdict, Reason> {
        let open: Vec<&TargetView> = targets.iter().filter(|view| is_open(view)).collect();
        if self.mix.measured_s() < self.settings.fast_ms.as_secs_f64() {
            return Err(Reason::TooEarly);
        }
        if let Some(ordered) = &self.pending {
            return Err(Reason::InProgress {
                target: ordered.target.clone(),
            });
        }
        let best = self.measure(now, &open, figures);
        if let Some(target) = self
            .availability
            .unsettled(now, targets, self.settings.gone_ms)
        {
            return Err(Reason::Unsettled { target });
        }
        let is_stale = |view: &&&TargetView| {
            view.report_age_ms
                .is_none_or(|age| age > self.settings.fresh_ms)
        };
        if let Some(stale) = open.iter().find(is_stale) {
            return Err(Reason::StaleLoad {
                target: stale.name.clone(),
            });
        }
        let best = best.ok_or(Reason::NoGain)?;
        let target = self.pick(&open, best.from).ok_or(Reason::NoGain)?;
        if is_last_of_class(&open, target) {
            return Err(Reason::LastOfClass {
                target: target.name.clone(),
            });
        }
        self.weigh(now, target, &best, weight, figures)?;
        Ok(Verdict::Change {
            target: target.name.clone(),
            from: best.from,
            to: best.to,
        })
    }

    /// Weighs the gain against the seconds lost.
    fn weigh(
        &self,
        now: Instant,
        target: &TargetView,
        best: &Best,
        weight: f64,
        figures: &mut Figures,
    ) -> Result<(), Reason> {
        let mechanisms = self.settings.mechanisms;
        let fast_s = self.settings.fast_ms.as_secs_f64();
        // A shift is expected to last as long again as it has lasted; after that the slow
        // estimate is the better guess.
        let later_s = if mechanisms.slow_estimate {
            self.settings.slow_ms.as_secs_f64()
        } else {
            0.0
        };
        let away_s = self.settings.away_ms.as_secs_f64();
        let lost_s = away_s + DRAIN_LOSS * self.drain_s(target);
        let reversal = self.reverses(now, best);
        let factor = if reversal {
            self.settings.reversal_factor
        } else {
            1.0
        };
        figures.cost_s = lost_s * weight * factor;
        // If the old mix comes back, the change can be reversed for what it cost.
        let later = (figures.gain_slow * later_s).max(-lost_s * weight);
        figures.gain_s = best.gain * figures.shift_s + later;
        if mechanisms.patience && figures.shift_s < fast_s {
            return Err(Reason::Patience);
        }
        if mechanisms.cost && figures.gain_s <= figures.cost_s {
            return Err(if reversal {
                Reason::Reversal
            } else {
                Reason::NotWorth
            });
        }
        Ok(())
    }

    /// Time until the engine has finished what it has.
    fn drain_s(&self, target: &TargetView) -> f64 {
        let rates = &self.settings.rates[Roles::position(target.role)];
        let streams = target.requests.max(1.0).min(f64::from(rates.slots));
        let step_ms = rates.step_ms + rates.stream_ms * streams;
        let prefill_ms = target.prefill_tokens * rates.prefill_ms_per_token;
        (target.decode_tokens / streams * step_ms + prefill_ms) / 1e3
    }

    fn reverses(&self, now: Instant, best: &Best) -> bool {
        let Some(last) = &self.last else {
            return false;
        };
        let recent = now.saturating_duration_since(last.at) < self.settings.reversal_ms;
        let direction = |from, to| Roles::position(to) < Roles::position(from);
        let opposite = direction(last.from, last.to) != direction(best.from, best.to);
        self.settings.mechanisms.hysteresis && recent && opposite
    }

    /// The target of a role that is drained soonest; the name decides between equals.
    fn pick<'a>(&self, open: &[&'a TargetView], role: Role) -> Option<&'a TargetView> {
        let in_role = open.iter().copied().filter(|view| view.role == role);
        in_role.min_by(|a, b| {
            let order = self.drain_s(a).total_cmp(&self.drain_s(b));
            order.then_with(|| a.name.cmp(&b.name))
        })
    }

    fn note_progress(&mut self, now: Instant, targets: &[TargetView]) {
        let Some(ordered) = &self.pending else {
            return;
        };
        let is_done = |view: &TargetView| view.name == ordered.target && view.role == ordered.to;
        let done = targets.iter().any(|view| is_done(view) && is_open(view));
        let gone = !targets.iter().any(|view| view.name == ordered.target);
        let late = now.saturating_duration_since(ordered.at) > self.settings.order_ms;
        if done || gone || late {
            self.pending = None;
        }
    }

    fn order(&mut self, now: Instant, target: &TargetName, from: Role, to: Role) {
        let ordered = Ordered {
            target: target.clone(),
            from,
            to,
            at: now,
        };
        self.last = Some(ordered.clone());
        self.pending = Some(ordered);
    }
}
