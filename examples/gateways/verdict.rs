//! Records what callers observed and compares it with what the engines ran.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;
use std::time::Instant;

use serde_json::Value;
use serde_json::json;
use standin::staged_engine::Ledger;
use testbed::GatewayTestbed;

use crate::retries;
use crate::retries::Service;

/// Time after which a leaving engine receives no new work from an undisturbed gateway; required
/// by the users.
const NEW_WORK_LIMIT_MS: Duration = Duration::from_secs(2);
/// Time after a disturbance during which that limit does not apply; allowed by the users.
const DISTURBANCE_GRACE_MS: Duration = Duration::from_secs(3);
/// Timeout stated by the callers (3 s) plus the time within which a final answer must follow.
const ANSWER_LIMIT_MS: Duration = Duration::from_millis(3_000 + 500);
/// Span in which an engine counts requests under a limit that it names, and time after which the
/// limit has to hold; required by the users.
const LIMIT_SPAN_MS: Duration = Duration::from_secs(4);
const LIMIT_CONTACT_MS: Duration = Duration::from_secs(3);
/// Time after which a pause that an engine asks for has to hold; required by the users.
const PAUSE_CONTACT_MS: Duration = Duration::from_millis(500);
/// Most engines that a part of prompts may crash: five, after which the users allow three further
/// requests with it.
const CRASH_LIMIT: usize = 8;
/// Most engines that a request may crash: three, after which the users allow three further retries.
const REQUEST_CRASH_LIMIT: usize = 6;
/// Minimum share of requests answered successfully after all faults have ended.
const RECOVERED_SHARE: f64 = 0.95;

/// Response that a caller received.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Answer {
    /// A complete response.
    Complete {
        status: u16,
        /// The body is the engine's answer to this request.
        is_expected: bool,
    },
    /// No response, or an incomplete one.
    Missing { detail: String },
}

#[derive(Debug)]
struct Request {
    prefix: &'static str,
    sent: Instant,
    answer: Answer,
}

#[derive(Debug)]
struct Leaving {
    engine: String,
    from: Instant,
    /// `None` while the engine is leaving.
    until: Option<Instant>,
    /// It says so in its answers, and its entry does not.
    is_said: bool,
}

impl Leaving {
    /// Describes calls of an engine after it has said for long that it leaves. A gateway that is
    /// started or was paused may make one call before it is told.
    fn violation(&self, ledger: &Ledger, disturbances: usize) -> Option<String> {
        let mut said = ledger.leaving_said.iter();
        let said = said.find(|said| said.engine == self.engine && said.at >= self.from)?;
        let from = said.at + NEW_WORK_LIMIT_MS;
        let until = self.until.unwrap_or(from).max(from);
        let calls = ledger.calls_after(said, from, until.saturating_duration_since(from));
        let engine = &self.engine;
        (self.is_said && calls > disturbances)
            .then(|| format!("{engine}: {calls} calls long after it said that it leaves"))
    }
}

/// Observations and violations of a run.
#[derive(Debug, Default)]
pub struct Verdict {
    /// Violations found, printed with the seed.
    pub violations: Vec<String>,
    requests: BTreeMap<String, Request>,
    /// Requests that crash engines.
    deadly: BTreeSet<String>,
    leaving: Vec<Leaving>,
    /// Periods in which a gateway was not running or could not read the store.
    disturbances: Vec<(Instant, Instant)>,
    faults: BTreeMap<&'static str, u32>,
    crashes: usize,
    request_crashes: usize,
    limits: Vec<NamedLimit>,
}

/// Time in which an engine named a limit.
#[derive(Debug)]
struct NamedLimit {
    engine: String,
    requests_per_s: f64,
    from: Instant,
    until: Instant,
}

impl NamedLimit {
    /// Describes a span in which the engine got more requests than the users allow. A gateway that
    /// is started or was paused may make one call before it is told.
    fn violation(&self, ledger: &Ledger, disturbances: usize) -> Option<String> {
        // While an engine loses its answers, nobody is told.
        let mut named = ledger.limits_named.iter();
        let first = named.find(|(engine, at)| *engine == self.engine && *at >= self.from)?;
        let from = first.1 + LIMIT_CONTACT_MS;
        let most = ledger.most_calls_within(&self.engine, (from, self.until), LIMIT_SPAN_MS);
        let rate = self.requests_per_s;
        let allowed = rate * LIMIT_SPAN_MS.as_secs_f64() + to_f64(disturbances);
        (to_f64(most) > allowed).then(|| {
            let engine = &self.engine;
            format!("{engine}: {most} requests in 4 s at a limit of {rate}, {allowed} allowed")
        })
    }
}

/// Describes pauses that engines had asked for and in which they rejected more calls than allowed.
/// A gateway that was not asked may call an engine that has room again.
fn pause_violations(ledger: &Ledger, allowed: usize) -> Vec<String> {
    let violations = ledger.pauses_asked.iter().filter_map(|(asked, pause)| {
        let span = asked.at + PAUSE_CONTACT_MS..asked.at + *pause;
        let rejected = ledger.pauses_asked.iter().filter(|(other, _)| {
            other.engine == asked.engine
                && other.process == asked.process
                && span.contains(&other.at)
        });
        let calls = rejected.count();
        let engine = &asked.engine;
        (calls > allowed).then(|| format!("{engine}: {calls} calls in a pause, {allowed} allowed"))
    });
    violations.collect()
}

fn to_f64(count: usize) -> f64 {
    u32::try_from(count).map_or(f64::MAX, f64::from)
}

impl Verdict {
    /// Records a response and checks its status, body and duration.
    pub fn record_answer(
        &mut self,
        id: &str,
        prefix: &'static str,
        sent: Instant,
        duration: Duration,
        answer: Answer,
    ) {
        if let Answer::Complete {
            status,
            is_expected,
        } = &answer
        {
            if *status == 200 && !is_expected {
                let violation = format!("{id}: status 200 with an unexpected body");
                self.violations.push(violation);
            }
            if *status == 404 {
                let violation = format!("{id}: status 404, although all versions have the route");
                self.violations.push(violation);
            }
            if duration > ANSWER_LIMIT_MS + Duration::from_millis(500) {
                self.violations.push(format!(
                    "{id}: answered after {duration:?}, later than the limit"
                ));
            }
        }
        let request = Request {
            prefix,
            sent,
            answer,
        };
        self.requests.insert(id.to_owned(), request);
    }

    /// Records when an engine was registered as leaving.
    pub fn record_leaving(&mut self, engine: &str, from: Instant, is_said: bool) {
        self.leaving.push(Leaving {
            engine: engine.to_owned(),
            from,
            until: None,
            is_said,
        });
    }

    /// Number of times that engines have left.
    #[must_use]
    pub fn leaving_count(&self) -> usize {
        self.leaving.len()
    }

    /// Records a period in which a gateway was not running or could not read the store.
    pub fn record_disturbance(&mut self, from: Instant, to: Instant) {
        self.disturbances.push((from, to));
    }

    /// Records when a leaving engine was registered as ready again.
    pub fn record_return(&mut self, engine: &str, at: Instant) {
        let mut leavings = self
            .leaving
            .iter_mut()
            .filter(|leaving| leaving.engine == engine);
        if let Some(last) = leavings.next_back() {
            last.until = Some(at);
        }
    }

    /// Records that a request crashes engines.
    pub fn record_deadly(&mut self, id: &str) {
        self.deadly.insert(id.to_owned());
    }

    /// Records that an engine named a limit.
    pub fn record_limit(
        &mut self,
        engine: &str,
        requests_per_s: f64,
        from: Instant,
        until: Instant,
    ) {
        self.limits.push(NamedLimit {
            engine: engine.to_owned(),
            requests_per_s,
            from,
            until,
        });
    }

    pub fn count_fault(&mut self, name: &'static str) {
        *self.faults.entry(name).or_default() += 1;
    }

    /// Compares the responses with the runs of the engines, and checks the recovery.
    pub fn check(&mut self, testbed: &GatewayTestbed, recovered_at: Instant) {
        let ledger = testbed.ledger.borrow();
        let mut violations: Vec<String> = ledger.violations.clone();
        for (id, runs) in &ledger.runs {
            let Some(request) = self.requests.get(id) else {
                continue;
            };
            let is_at_most_once = matches!(request.prefix, "/order/" | "/draft/");
            if is_at_most_once && runs.len() > 1 {
                violations.push(format!(
                    "{id}: ran {} times instead of once: {runs:?}",
                    runs.len()
                ));
            }
            let is_refused_as_not_run = matches!(
                request.answer,
                Answer::Complete {
                    status: 408 | 421 | 429 | 503,
                    ..
                }
            );
            if is_refused_as_not_run {
                violations.push(format!("{id}: refused as not run, but was run: {runs:?}"));
            }
            for run in runs {
                let leaving = self.leaving.iter().find(|leaving| {
                    leaving.engine == run.engine
                        && !leaving.is_said
                        && run.started_at > leaving.from + NEW_WORK_LIMIT_MS
                        && leaving.until.is_none_or(|until| run.started_at < until)
                });
                let is_disturbed = self.disturbances.iter().any(|(from, to)| {
                    run.started_at >= *from && run.started_at < *to + DISTURBANCE_GRACE_MS
                });
                if leaving.is_some() && !is_disturbed {
                    violations.push(format!(
                        "{id}: {} received new work while leaving",
                        run.engine
                    ));
                }
            }
        }
        for (id, request) in &self.requests {
            let is_success = matches!(request.answer, Answer::Complete { status: 200, .. });
            if is_success && !ledger.runs.contains_key(id) {
                violations.push(format!("{id}: status 200, but no engine ran it"));
            }
        }
        for service in [Service::Plain, Service::Model] {
            let requests = self.requests.values();
            let sent: Vec<_> = requests
                .filter(|request| Service::of_prefix(request.prefix) == service)
                .map(|request| request.sent)
                .collect();
            violations.extend(retries::violation(service, &ledger.arrivals, &sent));
        }
        for limit in &self.limits {
            let during = self.disturbances.iter();
            let during = during.filter(|(from, to)| *from < limit.until && *to > limit.from);
            violations.extend(limit.violation(&ledger, during.count()));
        }
        for leaving in &self.leaving {
            let until = leaving.until.unwrap_or(recovered_at);
            let during = self.disturbances.iter();
            let during = during.filter(|(from, to)| *from < until && *to > leaving.from);
            violations.extend(leaving.violation(&ledger, during.count()));
        }
        // Each gateway is asked for a pause by itself, and one that was started again has forgotten.
        let allowed = testbed.gateways.len() + self.disturbances.len();
        violations.extend(pause_violations(&ledger, allowed));
        let mixed = ledger.streams_across_builds().into_iter();
        violations.extend(mixed.map(|stream| format!("{stream}: went on at another build")));
        let crashes = ledger.crashes.len();
        if ledger.request_crashes > REQUEST_CRASH_LIMIT {
            let crashes = ledger.request_crashes;
            violations.push(format!(
                "a request that comes again crashed {crashes} engines"
            ));
        }
        self.request_crashes = ledger.request_crashes;
        let crashes = crashes - ledger.request_crashes;
        if crashes > CRASH_LIMIT {
            violations.push(format!("a part of prompts crashed {crashes} engines"));
        }
        self.crashes = crashes;
        let recovered = self.requests.iter();
        let recovered = recovered.filter(|(id, _)| !self.deadly.contains(*id));
        let recovered = recovered.map(|(_, request)| request);
        let recovered = recovered.filter(|request| request.sent > recovered_at);
        let (answered, sent) = recovered.fold((0_u32, 0_u32), |(answered, sent), request| {
            let is_success = matches!(request.answer, Answer::Complete { status: 200, .. });
            (answered + u32::from(is_success), sent + 1)
        });
        if sent == 0 || f64::from(answered) < RECOVERED_SHARE * f64::from(sent) {
            violations.push(format!(
                "{answered} of {sent} requests succeeded after the faults"
            ));
        }
        self.violations.extend(violations);
    }

    /// Summary of the run, printed as its last line.
    #[must_use]
    pub fn to_json(&self, seed: u64) -> Value {
        let mut statuses: BTreeMap<String, u32> = BTreeMap::new();
        for request in self.requests.values() {
            let name = match &request.answer {
                Answer::Complete { status, .. } => status.to_string(),
                Answer::Missing { .. } => "none".to_owned(),
            };
            *statuses.entry(name).or_default() += 1;
        }
        json!({
            "seed": seed, "sent": self.requests.len(), "statuses": statuses,
            "faults": self.faults, "crashes": self.crashes,
            "request_crashes": self.request_crashes, "violations": self.violations.len(),
        })
    }
}
