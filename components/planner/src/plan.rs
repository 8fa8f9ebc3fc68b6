//! Planning rules for one service.

use std::collections::HashMap;
use std::time::Duration;
use std::time::Instant;

use routing::Size;
use routing::TargetView;
use types::AttemptId;
use types::Role;
use types::TargetName;
use types::Usage;

use crate::capacity::RoleCounts;
use crate::decision::Decision;
use crate::decision::Figures;
use crate::decision::Reason;
use crate::decision::Verdict;
use crate::evaluation::BestChange;
use crate::evaluation::DemandShift;
use crate::mix::Class;
use crate::mix::Mix;
use crate::settings::Settings;
use crate::targets::Availability;
use crate::targets::is_last_of_class;
use crate::targets::is_open;

/// Share of the drain time that counts as lost; the engine still serves requests while it drains.
const DRAIN_LOSS_SHARE: f64 = 0.5;

/// Tokens that were added to the demand when an attempt was dispatched.
#[derive(Debug, Clone, Copy)]
struct CountedTokens {
    class: Class,
    prefill: f64,
    decode: f64,
}

/// Expected work of a request on an engine.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RequestWork {
    /// Prompt tokens that the prefix cache is not expected to hold.
    pub prefill_tokens: f64,
    /// Expected output tokens.
    pub decode_tokens: f64,
    /// Time after which the caller is expected to give up.
    pub wait_limit_ms: Duration,
}

impl RequestWork {
    /// Takes the token counts from the size that routing estimated.
    #[must_use]
    pub fn new(size: Size, wait_limit_ms: Duration) -> Self {
        Self {
            prefill_tokens: size.prefill_tokens,
            decode_tokens: size.decode_tokens,
            wait_limit_ms,
        }
    }
}

/// How an attempt ended, which decides how its tokens count in the demand.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// The reported usage replaces the expected tokens; without usage they stay.
    Answered(Usage),
    /// Another attempt replaces this one, so its tokens are subtracted.
    Retried,
    /// The request was not answered completely; its expected tokens stay in the demand.
    Incomplete,
}

/// A role change that was ordered.
#[derive(Debug, Clone)]
struct OrderedChange {
    target: TargetName,
    from: Role,
    to: Role,
    ordered_at: Instant,
}

/// State machine that plans the role changes of one service.
#[derive(Debug)]
pub struct Planner {
    pub(crate) settings: Settings,
    pub(crate) mix: Mix,
    in_flight: HashMap<AttemptId, CountedTokens>,
    availability: Availability,
    pending: Option<OrderedChange>,
    last_change: Option<OrderedChange>,
    pub(crate) shift: Option<DemandShift>,
    last_reason: Option<Reason>,
}

impl Planner {
    /// Creates a planner without measurements.
    #[must_use]
    pub fn new(settings: Settings) -> Self {
        Self {
            mix: Mix::new(settings.rates[1], settings.fast_ms, settings.slow_ms),
            settings,
            in_flight: HashMap::new(),
            availability: Availability::default(),
            pending: None,
            last_change: None,
            shift: None,
            last_reason: None,
        }
    }

    /// Adds the expected tokens of a dispatched attempt to the demand.
    pub fn dispatched(&mut self, now: Instant, attempt: AttemptId, work: &RequestWork) {
        let (prefill, decode) = (work.prefill_tokens, work.decode_tokens);
        let counted = CountedTokens {
            class: self.class(work),
            prefill,
            decode,
        };
        self.mix.add(now, counted.class, prefill, decode);
        self.in_flight.insert(attempt, counted);
    }

    /// Corrects the demand at the end of an attempt.
    pub fn settled(&mut self, now: Instant, attempt: AttemptId, outcome: AttemptOutcome) {
        let Some(counted) = self.in_flight.remove(&attempt) else {
            return;
        };
        let (prefill, decode) = match outcome {
            // Without usage the expected tokens remain the best estimate.
            AttemptOutcome::Answered(usage) if !usage.is_known() => return,
            AttemptOutcome::Answered(usage) => {
                let prefill = usage.prompt_tokens.saturating_sub(usage.cached_tokens);
                (f64::from(prefill), f64::from(usage.output_tokens))
            }
            AttemptOutcome::Retried => (0.0, 0.0),
            AttemptOutcome::Incomplete => return,
        };
        let class = counted.class;
        self.mix.add(
            now,
            class,
            prefill - counted.prefill,
            decode - counted.decode,
        );
    }

    /// Adds a request that was refused for lack of capacity to the demand. Without refused
    /// requests, a service with the wrong roles would appear to have spare capacity.
    pub fn refused(&mut self, now: Instant, work: &RequestWork) {
        let class = self.class(work);
        self.mix
            .add(now, class, work.prefill_tokens, work.decode_tokens);
    }

    /// Class of a request. It is urgent, whatever its prefill time, if a fully loaded prefill
    /// engine would not finish the output before the caller gives up.
    fn class(&self, work: &RequestWork) -> Class {
        let rates = &self.settings.rates[RoleCounts::position(Role::Prefill)];
        let step_ms = rates.step_ms
            + rates.stream_ms * f64::from(rates.slots)
            + rates.prefill_ms_per_token * f64::from(rates.chunk_tokens);
        if work.decode_tokens * step_ms > work.wait_limit_ms.as_secs_f64() * 1e3 {
            return Class::Urgent;
        }
        self.mix.class(work.prefill_tokens, work.decode_tokens)
    }

    /// Stops waiting for the last change, because its order could not be written.
    pub fn order_failed(&mut self) {
        self.pending = None;
    }

    /// Sets the share of the service's requests that this process sees; clamped to 0.001..=1.
    pub fn set_traffic_share(&mut self, share: f64) {
        self.settings.traffic_share = share.clamp(0.001, 1.0);
    }

    /// Decides whether a target of the service changes its role. After [`Verdict::Change`] the user
    /// of the planner writes the order or calls [`Planner::order_failed`]. `weight` multiplies the
    /// cost of a change.
    pub fn consider(&mut self, now: Instant, targets: &[TargetView], weight: f64) -> Decision {
        self.mix.advance(now);
        self.availability.update(now, targets);
        self.update_pending(now, targets);
        let mut figures = Figures::default();
        let verdict = match self.decide(now, targets, weight, &mut figures) {
            Ok(verdict) => verdict,
            Err(reason) => Verdict::Keep(reason),
        };
        let reason = match &verdict {
            Verdict::Change {
                target, from, to, ..
            } => {
                self.record_change(now, target, *from, *to);
                None
            }
            Verdict::Keep(reason) => Some(reason.clone()),
        };
        let is_news = reason.is_none() || self.last_reason != reason;
        self.last_reason = reason;
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
        let best = self.evaluate(now, &open, figures);
        if let Some(target) =
            self.availability
                .unsettled(now, targets, self.settings.unavailable_limit_ms)
        {
            return Err(Reason::Unsettled { target });
        }
        let is_stale = |view: &&&TargetView| {
            view.report_age_ms
                .is_none_or(|age| age > self.settings.max_report_age_ms)
        };
        if let Some(stale) = open.iter().find(is_stale) {
            return Err(Reason::StaleLoad {
                target: stale.name.clone(),
            });
        }
        let best = best.ok_or(Reason::NoGain)?;
        let target = self.select_target(&open, best.from).ok_or(Reason::NoGain)?;
        if is_last_of_class(&open, target) {
            return Err(Reason::LastOfClass {
                target: target.name.clone(),
            });
        }
        self.check_gain(now, target, &best, weight, figures)?;
        Ok(Verdict::Change {
            target: target.name.clone(),
            from: best.from,
            to: best.to,
        })
    }

    /// Checks that the expected gain exceeds the weighted cost.
    fn check_gain(
        &self,
        now: Instant,
        target: &TargetView,
        best: &BestChange,
        weight: f64,
        figures: &mut Figures,
    ) -> Result<(), Reason> {
        let mechanisms = self.settings.mechanisms;
        let fast_s = self.settings.fast_ms.as_secs_f64();
        // A shift is expected to last as long again as it has lasted. The slow estimate predicts
        // the time after that.
        let slow_s = if mechanisms.slow_estimate {
            self.settings.slow_ms.as_secs_f64()
        } else {
            0.0
        };
        let away_s = self.settings.away_ms.as_secs_f64();
        let lost_s = away_s + DRAIN_LOSS_SHARE * self.drain_s(target);
        let is_reversal = self.reverses(now, best);
        let factor = if is_reversal {
            self.settings.reversal_factor
        } else {
            1.0
        };
        figures.cost_s = lost_s * weight * factor;
        // If the earlier demand returns, the change can be reversed, so the loss is limited to the
        // cost of a change.
        let slow_gain_s = (figures.gain_slow * slow_s).max(-lost_s * weight);
        figures.gain_s = best.gain * figures.shift_s + slow_gain_s;
        if mechanisms.shift_delay && figures.shift_s < fast_s {
            return Err(Reason::Patience);
        }
        if mechanisms.cost && figures.gain_s <= figures.cost_s {
            return Err(if is_reversal {
                Reason::Reversal
            } else {
                Reason::NotWorth
            });
        }
        Ok(())
    }

    /// Time in seconds until the engine has finished the requests that it has.
    fn drain_s(&self, target: &TargetView) -> f64 {
        let rates = &self.settings.rates[RoleCounts::position(target.role)];
        let streams = target.requests.max(1.0).min(f64::from(rates.slots));
        let step_ms = rates.step_ms + rates.stream_ms * streams;
        let prefill_ms = target.prefill_tokens * rates.prefill_ms_per_token;
        (target.decode_tokens / streams * step_ms + prefill_ms) / 1e3
    }

    /// Whether the change would reverse the last one within the reversal window.
    fn reverses(&self, now: Instant, best: &BestChange) -> bool {
        let Some(last) = &self.last_change else {
            return false;
        };
        let is_recent =
            now.saturating_duration_since(last.ordered_at) < self.settings.reversal_window_ms;
        let is_towards_prefill = |from, to| RoleCounts::position(to) < RoleCounts::position(from);
        let is_opposite =
            is_towards_prefill(last.from, last.to) != is_towards_prefill(best.from, best.to);
        self.settings.mechanisms.hysteresis && is_recent && is_opposite
    }

    /// Target in a role with the shortest drain time; ties are broken by name.
    fn select_target<'a>(&self, open: &[&'a TargetView], role: Role) -> Option<&'a TargetView> {
        let in_role = open.iter().copied().filter(|view| view.role == role);
        in_role.min_by(|a, b| {
            let order = self.drain_s(a).total_cmp(&self.drain_s(b));
            order.then_with(|| a.name.cmp(&b.name))
        })
    }

    /// Stops waiting for the pending change once it is done, timed out, or its target is removed.
    fn update_pending(&mut self, now: Instant, targets: &[TargetView]) {
        let Some(ordered) = &self.pending else {
            return;
        };
        let is_done = |view: &TargetView| view.name == ordered.target && view.role == ordered.to;
        let is_complete = targets.iter().any(|view| is_done(view) && is_open(view));
        let is_removed = !targets.iter().any(|view| view.name == ordered.target);
        let is_timed_out =
            now.saturating_duration_since(ordered.ordered_at) > self.settings.order_timeout_ms;
        if is_complete || is_removed || is_timed_out {
            self.pending = None;
        }
    }

    fn record_change(&mut self, now: Instant, target: &TargetName, from: Role, to: Role) {
        let ordered = OrderedChange {
            target: target.clone(),
            from,
            to,
            ordered_at: now,
        };
        self.last_change = Some(ordered.clone());
        self.pending = Some(ordered);
    }
}
