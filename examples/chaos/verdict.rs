//! Compares the outcomes that callers saw with what the stand-ins ran.

use std::collections::BTreeMap;

use http_types::Method;
use serde::Serialize;
use standin::engine::EngineCounters;
use standin::plain::PlainCounters;
use testbed::Deployment;
use testbed::call;

use crate::callers::LoadGenerator;
use crate::faults::Faults;

/// Minimum goodput after recovery, as a share of the goodput before; required by the users.
const RECOVERED_SHARE: f64 = 0.95;

/// Summary of the run, printed as its last line.
#[derive(Debug, Serialize)]
pub struct Verdict {
    sent: u64,
    answered: u64,
    wrong: u64,
    refused_not_run: u64,
    not_run_but_ran: u64,
    unknown: u64,
    unknown_idempotent: u64,
    without_answer: u64,
    run_twice: u64,
    late_work_on_leaving: u64,
    stale_orders: u64,
    overlapping_orders: u64,
    requests_cut_by_orders: u64,
    wrong_model: u64,
    unclean_stops: Vec<String>,
    goodput_before: f64,
    goodput_after: f64,
    faults: BTreeMap<&'static str, u32>,
    examples_of_violations: Vec<String>,
}

impl Verdict {
    /// Whether there are no violations, all processes stopped cleanly and goodput has recovered.
    pub fn is_passed(&self) -> bool {
        let violations = self.wrong
            + self.not_run_but_ran
            + self.unknown_idempotent
            + self.run_twice
            + self.late_work_on_leaving
            + self.stale_orders
            + self.overlapping_orders
            + self.requests_cut_by_orders;
        violations == 0
            && self.unclean_stops.is_empty()
            && self.goodput_after >= RECOVERED_SHARE * self.goodput_before
    }
}

/// Reads the counters of the stand-ins and compares them with the callers' records.
pub async fn evaluate(
    deployment: &Deployment,
    load: &LoadGenerator,
    faults: &Faults,
    unclean_stops: Vec<String>,
    goodput_before: f64,
    goodput_after: f64,
) -> eyre::Result<Verdict> {
    let plain: PlainCounters = call(deployment.plain, Method::Get, "/counters", None::<&()>)
        .await
        .ok_or_else(|| eyre::eyre!("cannot read the counters of the plain service"))?;
    let mut engines: Vec<EngineCounters> = Vec::new();
    for engine in &deployment.engines {
        let counters = call(*engine, Method::Get, "/counters", None::<&()>).await;
        engines.push(counters.ok_or_else(|| eyre::eyre!("cannot read the counters of an engine"))?);
    }
    let mut verdict = Verdict {
        sent: 0,
        answered: 0,
        wrong: 0,
        refused_not_run: 0,
        not_run_but_ran: 0,
        unknown: 0,
        unknown_idempotent: 0,
        without_answer: 0,
        run_twice: plain.runs.values().filter(|count| **count > 1).count() as u64,
        late_work_on_leaving: *faults.late_runs.borrow(),
        stale_orders: sum(&engines, |counters| counters.backward),
        overlapping_orders: sum(&engines, |counters| counters.overlapping),
        requests_cut_by_orders: engines
            .iter()
            .flat_map(|counters| &counters.orders)
            .map(|order| u64::from(order.cut))
            .sum(),
        wrong_model: sum(&engines, |counters| counters.wrong_model),
        unclean_stops,
        goodput_before,
        goodput_after,
        faults: faults.counts.clone(),
        examples_of_violations: load.violation_examples(),
    };
    let runs_by_digest = count_runs(&engines, &plain);
    for (digest, record) in load.records.borrow().iter() {
        verdict.sent += u64::from(
            record.answers
                + record.not_run
                + record.unknown
                + record.no_answer
                + record.wrong_answers,
        );
        verdict.answered += u64::from(record.answers);
        verdict.wrong += u64::from(record.wrong_answers);
        verdict.refused_not_run += u64::from(record.not_run);
        verdict.unknown += u64::from(record.unknown);
        verdict.without_answer += u64::from(record.no_answer);
        if !record.is_order {
            verdict.unknown_idempotent += u64::from(record.unknown);
        }
        let is_only_refused =
            record.answers + record.unknown + record.no_answer + record.wrong_answers == 0;
        if is_only_refused && runs_by_digest.contains_key(&format!("{digest:016x}")) {
            verdict.not_run_but_ran += 1;
        }
    }
    Ok(verdict)
}

fn sum(engines: &[EngineCounters], field: impl Fn(&EngineCounters) -> u32) -> u64 {
    engines
        .iter()
        .map(|counters| u64::from(field(counters)))
        .sum()
}

/// Number of runs at all stand-ins, by digest of the request body.
fn count_runs(engines: &[EngineCounters], plain: &PlainCounters) -> BTreeMap<String, u32> {
    let mut runs = plain.runs.clone();
    for run in engines.iter().flat_map(|counters| &counters.runs) {
        *runs.entry(run.digest.clone()).or_default() += run.started;
    }
    runs
}
