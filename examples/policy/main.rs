//! Measures the routing and planning policy in virtual time against baselines and a bound.
//!
//! `cargo run --release --example policy -- --scenario el-bolson --seed 1 --json` prints one JSON
//! line for each sub-scenario, load and policy. `docs/policy.md` states the rules.

mod admission;
mod baseline;
mod bound;
mod outcome;
mod policy;
mod scenario;
mod script;
mod trace;
mod world;

use std::sync::Mutex;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;

use bpaf::Bpaf;
use eyre::Result;
use eyre::bail;
use serde::Serialize;

use crate::bound::Bound;
use crate::outcome::Outcome;
use crate::policy::MECHANISMS;
use crate::policy::Policy;
use crate::policy::Without;
use crate::scenario::Scenario;
use crate::scenario::Sub;
use crate::script::Script;
use crate::trace::Call;
use crate::world::World;

/// Loads as shares of the fleet's capacity.
const LOADS: [f64; 3] = [0.60, 0.85, 1.20];

/// Measures the routing and planning policy in virtual time.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(options)]
struct Options {
    /// `el-bolson` or `kitagawa`
    scenario: String,
    /// Seed of the arrivals, the engines and the policy
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
    /// Switch off a mechanism of ours; may be repeated
    without: Vec<String>,
    /// Print the planner's decisions to the standard error stream
    explain: bool,
    /// Runs at the same time
    #[bpaf(fallback(4))]
    threads: usize,
}

/// Figures of one run, as printed.
#[derive(Debug, Clone, Serialize)]
struct Line {
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
    sub: Sub,
    load: f64,
    calls: Vec<Call>,
    weights: Vec<f64>,
    bound: Bound,
}

fn main() -> Result<()> {
    let options = options().run();
    let Some(scenario) = scenario::find(&options.scenario) else {
        bail!("--scenario: use el-bolson or kitagawa");
    };
    if let Some(unknown) = options
        .without
        .iter()
        .find(|w| !MECHANISMS.contains(&w.as_str()))
    {
        bail!("--without {unknown}: use one of {}", MECHANISMS.join(", "));
    }
    let traces = traces(&scenario, &options)?;
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
        bail!("--policy: use one of {:?}", Policy::ALL.map(Policy::name));
    }
    let runs: Vec<_> = (0..traces.len())
        .flat_map(|trace| {
            policies.iter().map(move |policy| Run {
                trace,
                policy: *policy,
            })
        })
        .collect();
    let lines = in_parallel(options.threads, runs.len(), |at| {
        line(
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
    for line in lines {
        if options.json {
            println!("{}", serde_json::to_string(&line)?);
        } else {
            print_row(&line);
        }
    }
    Ok(())
}

fn print_row(line: &Line) {
    println!(
        "{:10} {:>5.2} {:18} {:>7} {:>7} {:>8.0} {:>6.3} {:>6.3} {:>7} {:>7.3} {:>6.3} {:>6.3} {:>6.3} {:>7} {:>7}",
        line.sub,
        line.load,
        line.policy,
        line.offered,
        line.goodput,
        line.bound,
        line.goodput_share,
        line.work_share,
        line.role_changes,
        line.desk_ttft_p95_s,
        line.desk_share,
        line.drafts_share,
        line.reads_share,
        line.refused,
        line.late
    );
}

fn traces(scenario: &Scenario, options: &Options) -> Result<Vec<Trace>> {
    let subs: Vec<_> = Sub::ALL
        .into_iter()
        .filter(|sub| options.sub.as_deref().is_none_or(|name| name == sub.name()))
        .collect();
    if subs.is_empty() {
        bail!("--sub: use one of {:?}", Sub::ALL.map(Sub::name));
    }
    let loads = options.load.map_or(LOADS.to_vec(), |load| vec![load]);
    let pairs: Vec<_> = subs
        .iter()
        .flat_map(|sub| loads.iter().map(move |load| (*sub, *load)))
        .collect();
    Ok(in_parallel(options.threads, pairs.len(), |at| {
        let (sub, load) = pairs[at];
        let calls = trace::arrivals(scenario, sub, load, options.seed);
        let weights = bound::least_work(&calls, [0.5; 3]);
        let bound = bound::bound(scenario, &Script::new(sub), &calls, &weights);
        Trace {
            sub,
            load,
            calls,
            weights,
            bound,
        }
    }))
}

#[allow(clippy::cast_precision_loss)]
fn line(scenario: &Scenario, options: &Options, trace: &Trace, policy: Policy) -> Line {
    let calls = &trace.calls;
    let without = if policy == Policy::Ours {
        Without(options.without.clone())
    } else {
        Without::default()
    };
    let mut world = World::new(scenario, trace.sub, calls, policy, &without, options.seed);
    if options.explain {
        world.explain();
    }
    world.run();
    let record = &world.record;
    let goodput = record.count(calls, None, Outcome::Answered);
    let answered = |at: &usize| record.ends[*at].outcome == Some(Outcome::Answered);
    let work: f64 = (0..calls.len())
        .filter(answered)
        .map(|at| trace.weights[at])
        .sum();
    let class_share = |class: usize| {
        let all = calls.iter().filter(|call| call.class == class).count();
        record.count(calls, Some(class), Outcome::Answered) as f64 / all.max(1) as f64
    };
    Line {
        scenario: scenario.name,
        sub: trace.sub.name(),
        load: trace.load,
        seed: options.seed,
        policy: policy.name(),
        without: without.0.clone(),
        offered: calls.len(),
        goodput,
        bound: trace.bound.calls,
        role_changes: record.role_changes,
        ttft_p95_s: record.first_token_at(calls, None, 0.95),
        refused: record.count(calls, None, Outcome::Refused),
        goodput_share: goodput as f64 / trace.bound.calls,
        work_share: work / trace.bound.work,
        desk_ttft_p95_s: record.first_token_at(calls, Some(0), 0.95),
        desk_share: class_share(0),
        drafts_share: class_share(1),
        reads_share: class_share(2),
        refusal_p95_s: record.refusal_at(0.95),
        submission_refusal_p95_s: record.submission_refusal_at(0.95),
        late: record.count(calls, None, Outcome::Late),
        failed: record.count(calls, None, Outcome::Failed),
        attempts_per_call: record.attempts as f64 / calls.len().max(1) as f64,
        cached_share: record.cached_tokens as f64 / record.shared_tokens.max(1) as f64,
        busy_share: record.busy_s / (scenario.engines as f64 * scenario::ARRIVALS.as_secs_f64()),
        work_answered_s: work,
        desk_gap_s: record.desk_gap_s,
    }
}

/// Computes the items on several threads and gives them in order.
fn in_parallel<T: Send>(threads: usize, count: usize, item: impl Fn(usize) -> T + Sync) -> Vec<T> {
    let next = AtomicUsize::new(0);
    let done = Mutex::new(Vec::new());
    std::thread::scope(|scope| {
        for _ in 0..threads.clamp(1, 8) {
            scope.spawn(|| {
                loop {
                    let at = next.fetch_add(1, Ordering::Relaxed);
                    if at >= count {
                        break;
                    }
                    let value = item(at);
                    if let Ok(mut done) = done.lock() {
                        done.push((at, value));
                    }
                }
            });
        }
    });
    let mut done = done.into_inner().unwrap_or_default();
    done.sort_by_key(|(at, _)| *at);
    done.into_iter().map(|(_, value)| value).collect()
}
