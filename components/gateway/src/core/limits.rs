//! Applies the limits that targets name on their requests.

use std::time::Duration;
use std::time::Instant;

use builds::AllowedBuilds;
use limits::NamedRate;
use limits::Notice;
use limits::Rate;
use limits::Room;
use limits::Statement;
use rand::RngExt;
use smallvec::SmallVec;
use types::Incarnation;
use types::Role;
use types::ServiceName;

use crate::admission;
use crate::core::Core;
use crate::core::RequestNumber;
use crate::core::active::ActiveRequest;
use crate::core::decision::Ending;
use crate::core::decision::RefusalCause;
use crate::core::millis;
use crate::core::plan;
use crate::fleet::TargetChange;
use crate::fleet::TargetKey;
use crate::log_event::LogEvent;
use crate::protocol::Transfer;

impl Core {
    /// Records what the answer to a request's current call says of its target. An answer that
    /// refuses the request does not end a limit by not naming it.
    pub fn record_statement(
        &mut self,
        now: Instant,
        number: RequestNumber,
        statement: &Statement,
        is_refusal: bool,
    ) {
        let active = self.requests.get(&number);
        let Some(call) = active.and_then(|active| active.current.as_ref()) else {
            return;
        };
        let (key, started) = (call.key, call.started);
        self.record_standing(now, key, statement);
        let named = statement.rate;
        if is_refusal && named == NamedRate::Absent {
            return;
        }
        self.fleet.limits.record_answer(now, started, key, named);
        self.log_limit_changes();
    }

    /// Records what the answer to the release of a KV cache says of the engine.
    pub fn record_release_answer(
        &mut self,
        now: Instant,
        transfer: &Transfer,
        statement: &Statement,
    ) {
        self.record_standing(now, transfer.process, statement);
    }

    fn record_standing(&mut self, now: Instant, key: TargetKey, statement: &Statement) {
        let before = self.fleet.limits.standing(key).pause_end(now);
        if self.fleet.limits.record_statement(now, key, statement) {
            self.leaving_reports.push(key);
            self.log_leaving(key);
        }
        let pause_end = self.fleet.limits.standing(key).pause_end(now);
        if let Some(end) = pause_end.filter(|_| before.is_none())
            && let Some(target) = self.fleet.name_of(key)
        {
            self.log_events.push(LogEvent::PauseBegun {
                target,
                pause_ms: millis(end.saturating_duration_since(now)),
            });
        }
    }

    /// Number of targets that have asked this process for a pause which has not ended.
    #[must_use]
    pub fn paused_count(&self, now: Instant) -> usize {
        let limits = &self.fleet.limits;
        let is_paused = |key| limits.standing(key).pause_end(now).is_some();
        let targets = self.fleet.targets();
        targets.filter(|state| is_paused(state.key)).count()
    }

    /// Applies a peer's report that a target has said that it leaves.
    pub fn peer_reports_leaving(&mut self, now: Instant, key: TargetKey) {
        let statement = Statement {
            is_leaving: true,
            ..Statement::default()
        };
        if self.fleet.limits.record_statement(now, key, &statement) {
            self.log_leaving(key);
        }
    }

    fn log_leaving(&mut self, key: TargetKey) {
        let change = Some(TargetChange::SaidLeaving);
        if let Some(target) = self.fleet.name_of(key) {
            self.log_target_change(target, change);
        }
    }

    /// Takes the targets that have said that they leave and were not reported to the peers yet.
    pub fn take_leaving_reports(&mut self) -> Vec<TargetKey> {
        std::mem::take(&mut self.leaving_reports)
    }

    /// Applies a peer's notice about limits.
    pub fn receive_limit_notice(&mut self, now: Instant, sender: Incarnation, notice: &Notice) {
        self.fleet.limits.receive(now, sender, notice);
        self.log_limit_changes();
    }

    /// Takes the notices about limits that are due to be sent to the peers.
    pub fn take_limit_notices(&mut self, now: Instant) -> Vec<Notice> {
        self.fleet.limits.take_notices(now)
    }

    pub(super) fn tick_limits(&mut self, now: Instant) {
        let processes = self.sharing_processes(now);
        self.fleet.tick_limits(now, processes);
    }

    fn log_limit_changes(&mut self) {
        for change in self.fleet.limits.take_changes() {
            let Some(target) = self.fleet.name_of(change.target) else {
                continue;
            };
            self.log_events
                .push(LogEvent::LimitChange { target, change });
        }
    }

    /// Records that requests of a service arrive here, so that its limits are used here.
    pub(super) fn record_demand(&mut self, now: Instant, service: &ServiceName) {
        if self.fleet.limits.limited_count() == 0 {
            return;
        }
        let targets = self.fleet.healthy(service, AllowedBuilds::Any, now);
        let keys: SmallVec<[TargetKey; 8]> = targets.iter().map(|state| state.key).collect();
        for key in keys {
            self.fleet.limits.record_demand(now, key);
        }
    }

    /// Reserves room for the run after a prefill, if only engines with a limit can run it.
    pub(super) fn reserve_run(&mut self, now: Instant, active: &mut ActiveRequest) {
        let mut runners = self.fleet.usable(&active.service, active.builds(), now);
        runners.retain(|state| {
            state.entry.role != Role::Prefill && !active.tried_targets.contains(&state.entry.name)
        });
        let limits = &self.fleet.limits;
        if runners.iter().any(|state| limits.rate(state.key).is_none()) {
            return;
        }
        let least_loaded = runners
            .iter()
            .min_by(|a, b| a.load().runs.total_cmp(&b.load().runs))
            .map(|state| state.key);
        if let Some(key) = least_loaded {
            self.fleet.limits.record_call(now, key);
            active.reserved_call = Some(key);
        }
    }

    /// Uses the room that a limit leaves for a call.
    pub(super) fn use_room(
        &mut self,
        now: Instant,
        active: &mut ActiveRequest,
        key: TargetKey,
        is_prefill: bool,
    ) {
        if !is_prefill && active.reserved_call == Some(key) {
            active.reserved_call = None;
            return;
        }
        self.fleet.limits.record_call(now, key);
    }

    /// Whether the limit of an engine leaves room for the call that releases a KV cache. The engine
    /// releases it by itself otherwise.
    pub(super) fn use_room_for_release(&mut self, now: Instant, transfer: &Transfer) -> bool {
        let has_room = self.fleet.has_room(now, transfer.process);
        if has_room {
            self.fleet.limits.record_call(now, transfer.process);
        }
        has_room
    }

    /// Refusal of a request that no target takes now.
    pub(super) fn no_target(&mut self, now: Instant, active: &ActiveRequest) -> Ending {
        let healthy = self.fleet.healthy(&active.service, active.builds(), now);
        if healthy.is_empty() && active.builds() != AllowedBuilds::Any {
            return Ending::Refuse {
                retry_after_ms: plan::NO_TARGET_RETRY_AFTER_MS,
                cause: RefusalCause::NoBuild,
            };
        }
        let untried = healthy
            .iter()
            .filter(|state| !active.tried_targets.contains(&state.entry.name));
        let limits = &self.fleet.limits;
        let pauses = healthy
            .iter()
            .filter_map(|state| limits.standing(state.key).pause_end(now));
        let paused_until = pauses.min();
        let limited = untried.filter_map(|state| {
            let rate = limits.rate(state.key)?;
            Some((rate, limits.room(now, state.key)))
        });
        let limited: SmallVec<[(Rate, Room); 8]> = limited.collect();
        let sum: f64 = limited.iter().map(|(rate, _)| rate.requests_per_s()).sum();
        let processes = u32::try_from(self.sharing_processes(now)).unwrap_or(u32::MAX);
        let longest = admission::longest_retry_after(active.time_left(now));
        let draw = self.random.random::<f64>();
        let Some(own_rate) = Rate::per_second(sum / f64::from(processes)) else {
            return match paused_until {
                Some(at) => Ending::Refuse {
                    retry_after_ms: admission::spread(
                        at.saturating_duration_since(now),
                        longest,
                        draw,
                    ),
                    cause: RefusalCause::Limited,
                },
                None => plan::no_target(),
            };
        };
        let open_at = limited.iter().filter_map(|(_, room)| match room {
            Room::From(at) => Some(*at),
            _ => None,
        });
        let open_at = open_at.min().unwrap_or(now);
        let returns = self.returns.entry(active.service.clone()).or_default();
        let after = returns.retry_after(now, open_at, own_rate, longest, draw);
        Ending::Refuse {
            retry_after_ms: after.max(Duration::from_millis(1)),
            cause: RefusalCause::Limited,
        }
    }
}
