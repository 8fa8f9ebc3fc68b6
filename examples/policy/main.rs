//! Measures the routing and role planning of this project in virtual time, against baseline
//! policies and an upper bound.
//!
//! `cargo run --release --example policy -- --scenario el-bolson --seed 1 --json` prints one JSON
//! line for each sub-scenario, load and policy. `docs/policy.md` describes the measurement.

mod admission;
mod baseline;
mod bound;
mod outcome;
mod policy;
mod scenario;
mod script;
mod simulation;
mod trace;

use std::sync::Mutex;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;

use bpaf::Bpaf;
use eyre::Result;
use eyre::bail;
use serde::Serialize;

use crate::bound::Bound;
use crate::outcome::Outcome;
use crate::policy::DisabledMechanisms;
use crate::policy::MECHANISMS;
use crate::policy::Policy;
use crate::scenario::Scenario;
use crate::scenario::SubScenario;
use crate::script::Script;
use crate::simulation::Simulation;
use crate::trace::Call;

/// Offered loads, as shares of the capacity of all engines.
const LOADS: [f64; 3] = [0.60, 0.85, 1.20];

/// Measures the routing and planning policy in virtual time.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(options)]
struct Options {
    /// `el-bolson` or `kitagawa`
    scenario: String,
    /// Seed of the random numbers of arrivals, engines and policies
    #[bpaf(fallback(1))]
    seed: u64,
    /// One JSON line for each run instead of a table
    json: bool,
    /// Only this sub-scenario
    sub: Option<String>,
    /// Only this load, for example 0.85
    load: Option<f64>,
    /// Only this policy
    policy: Option<String>,
    /// Switch off a mechanism of the policy `ours`; may be repeated
    without: Vec<String>,
    /// Print the planner's decisions to the standard error stream
    explain: bool,
    /// Number of runs in parallel, at most 8
    #[bpaf(fallback(4))]
    threads: usize,
}

/// Result of one run, as printed.
#[derive(Debug, Clone, Serialize)]
struct RunResult {
    scenario: &'static str,
    sub: &'static str,
    load: f64,
    seed: u64,
    policy: &'static str,
    without: Vec<String>,
    offered: usize,
    goodput: usize,
    bound: f64,
    role_changes: u32,
    ttft_p95_s: f64,
    refused: usize,
    goodput_share: f64,
    work_share: f64,
    desk_ttft_p95_s: f64,
    desk_share: f64,
    drafts_share: f64,
    reads_share: f64,
    refusal_p95_s: f64,
    submission_refusal_p95_s: f64,
    late: usize,
    failed: usize,
    attempts_per_call: f64,
    cached_share: f64,
    busy_share: f64,
    work_answered_s: f64,
    desk_gap_s: u32,
}

struct Run {
    trace: usize,
    policy: Policy,
}

struct Trace {
    sub_scenario: SubScenario,
    load: f64,
    calls: Vec<Call>,
    engine_s: Vec<f64>,
    bound: Bound,
}

fn main() -> Result<()> {
    let options = options().run();
    let Some(scenario) = scenario::find(&options.scenario) else {
        bail!("--scenario: unknown scenario; use el-bolson or kitagawa");
    };
    if let Some(unknown) = options
        .without
        .iter()
        .find(|w| !MECHANISMS.contains(&w.as_str()))
    {
        bail!(
            "--without {unknown}: unknown mechanism; use one of {}",
            MECHANISMS.join(", ")
        );
    }
    let traces = build_traces(&scenario, &options)?;
    let policies: Vec<_> = Policy::ALL
        .into_iter()
        .filter(|policy| {
            options
                .policy
                .as_deref()
                .is_none_or(|name| name == policy.name())
        })
        .collect();
    if policies.is_empty() {
        bail!(
            "--policy: unknown policy; use one of {:?}",
            Policy::ALL.map(Policy::name)
        );
    }
    let runs: Vec<_> = (0..traces.len())
        .flat_map(|trace| {
            policies.iter().map(move |policy| Run {
                trace,
                policy: *policy,
            })
        })
        .collect();
    let results = compute_in_parallel(options.threads, runs.len(), |at| {
        measure(
            &scenario,
            &options,
            &traces[runs[at].trace],
            runs[at].policy,
        )
    });
    if !options.json {
        println!(
            "{:10} {:>5} {:18} {:>7} {:>7} {:>8} {:>6} {:>6} {:>7} {:>7} {:>6} {:>6} {:>6} {:>7} {:>7}",
            "sub",
            "load",
            "policy",
            "offered",
            "goodput",
            "bound",
            "share",
            "work",
            "changes",
            "desk95",
            "desk",
            "drafts",
            "reads",
            "refused",
            "late"
        );
    }
    for result in results {
        if options.json {
            println!("{}", serde_json::to_string(&result)?);
        } else {
            print_row(&result);
        }
    }
    Ok(())
}

fn print_row(result: &RunResult) {
    println!(
        "{:10} {:>5.2} {:18} {:>7} {:>7} {:>8.0} {:>6.3} {:>6.3} {:>7} {:>7.3} {:>6.3} {:>6.3} {:>6.3} {:>7} {:>7}",
        result.sub,
        result.load,
        result.policy,
        result.offered,
        result.goodput,
        result.bound,
        result.goodput_share,
        result.work_share,
        result.role_changes,
        result.desk_ttft_p95_s,
        result.desk_share,
        result.drafts_share,
        result.reads_share,
        result.refused,
        result.late
    );
}

fn build_traces(scenario: &Scenario, options: &Options) -> Result<Vec<Trace>> {
    let sub_scenarios: Vec<_> = SubScenario::ALL
        .into_iter()
        .filter(|sub| options.sub.as_deref().is_none_or(|name| name == sub.name()))
        .collect();
    if sub_scenarios.is_empty() {
        bail!(
            "--sub: unknown sub-scenario; use one of {:?}",
            SubScenario::ALL.map(SubScenario::name)
        );
    }
    let loads = options.load.map_or(LOADS.to_vec(), |load| vec![load]);
    let pairs: Vec<_> = sub_scenarios
        .iter()
        .flat_map(|sub| loads.iter().map(move |load| (*sub, *load)))
        .collect();
    Ok(compute_in_parallel(options.threads, pairs.len(), |at| {
        let (sub_scenario, load) = pairs[at];
        let calls = trace::arrivals(scenario, sub_scenario, load, options.seed);
        let engine_s = bound::least_engine_s(&calls, [0.5; 3]);
        let bound = bound::bound(scenario, &Script::new(sub_scenario), &calls, &engine_s);
        Trace {
            sub_scenario,
            load,
            calls,
            engine_s,
            bound,
        }
    }))
}

#[allow(clippy::cast_precision_loss)]
fn measure(scenario: &Scenario, options: &Options, trace: &Trace, policy: Policy) -> RunResult {
    let calls = &trace.calls;
    let disabled = if policy == Policy::Ours {
        DisabledMechanisms(options.without.clone())
    } else {
        DisabledMechanisms::default()
    };
    let mut simulation = Simulation::new(
        scenario,
        trace.sub_scenario,
        calls,
        policy,
        &disabled,
        options.seed,
    );
    if options.explain {
        simulation.enable_explain();
    }
    simulation.run();
    let record = &simulation.record;
    let goodput = record.count(calls, None, Outcome::Answered);
    let is_answered = |at: &usize| record.ends[*at].outcome == Some(Outcome::Answered);
    let answered_engine_s: f64 = (0..calls.len())
        .filter(is_answered)
        .map(|at| trace.engine_s[at])
        .sum();
    let class_share = |class: usize| {
        let all = calls.iter().filter(|call| call.class == class).count();
        record.count(calls, Some(class), Outcome::Answered) as f64 / all.max(1) as f64
    };
    RunResult {
        scenario: scenario.name,
        sub: trace.sub_scenario.name(),
        load: trace.load,
        seed: options.seed,
        policy: policy.name(),
        without: disabled.0.clone(),
        offered: calls.len(),
        goodput,
        bound: trace.bound.calls,
        role_changes: record.role_changes,
        ttft_p95_s: record.first_token_quantile_s(calls, None, 0.95),
        refused: record.count(calls, None, Outcome::Refused),
        goodput_share: goodput as f64 / trace.bound.calls,
        work_share: answered_engine_s / trace.bound.engine_s,
        desk_ttft_p95_s: record.first_token_quantile_s(calls, Some(0), 0.95),
        desk_share: class_share(0),
        drafts_share: class_share(1),
        reads_share: class_share(2),
        refusal_p95_s: record.refusal_quantile_s(0.95),
        submission_refusal_p95_s: record.submission_refusal_quantile_s(0.95),
        late: record.count(calls, None, Outcome::Late),
        failed: record.count(calls, None, Outcome::Failed),
        attempts_per_call: record.attempts as f64 / calls.len().max(1) as f64,
        cached_share: record.cached_tokens as f64 / record.shared_tokens.max(1) as f64,
        busy_share: record.busy_s
            / (scenario.engines as f64 * scenario::ARRIVAL_PERIOD_MS.as_secs_f64()),
        work_answered_s: answered_engine_s,
        desk_gap_s: record.desk_gap_s,
    }
}

/// Computes the items on up to 8 threads and returns them in order.
fn compute_in_parallel<T: Send>(
    threads: usize,
    count: usize,
    item: impl Fn(usize) -> T + Sync,
) -> Vec<T> {
    let next = AtomicUsize::new(0);
    let finished = Mutex::new(Vec::new());
    std::thread::scope(|scope| {
        for _ in 0..threads.clamp(1, 8) {
            scope.spawn(|| {
                loop {
                    let at = next.fetch_add(1, Ordering::Relaxed);
                    if at >= count {
                        break;
                    }
                    let value = item(at);
                    if let Ok(mut finished) = finished.lock() {
                        finished.push((at, value));
                    }
                }
            });
        }
    });
    let mut finished = finished.into_inner().unwrap_or_default();
    finished.sort_by_key(|(at, _)| *at);
    finished.into_iter().map(|(_, value)| value).collect()
}
