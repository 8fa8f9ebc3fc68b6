//! Compares calls through the entry and agent with direct calls of the stand-in engine, in one run.
//!
//! Prints one JSON line for each measurement. The objectives (`target_...`) are absolute, so they
//! depend on the machine; compare the ratios within one run instead. `cargo bench --bench path --
//! streams` or `-- requests` runs one half only.

mod load;
mod usage;

use std::net::SocketAddr;
use std::process::ExitCode;
use std::rc::Rc;
use std::time::Duration;

use serde_json::json;
use smol::LocalExecutor;
use smol::Timer;
use testbed::Deployment;
use testbed::DeploymentOptions;
use testbed::deployment::MODEL_SERVICE;

use crate::load::Endpoint;
use crate::load::Pace;
use crate::usage::Usage;

/// Duration of one measurement, without the warm-up.
const MEASURE_MS: Duration = Duration::from_secs(4);
const CALLERS: usize = 64;
/// Requests per second in the latency measurement: well below saturation, so that queueing does not
/// hide the latency that the path adds.
const PACED_PER_S: f64 = 1000.0;
/// Number of streams that, at the stand-in's token rate, give 20,000 events per second.
const STREAMS: usize = 100;
const ENGINES: usize = 4;

fn main() -> ExitCode {
    if let Some(code) = testbed::run_if_daemon() {
        return code;
    }
    let executor = Rc::new(LocalExecutor::new());
    match smol::block_on(executor.run(run())) {
        Ok(()) => ExitCode::SUCCESS,
        Err(report) => {
            eprintln!("path: {report:#}");
            ExitCode::FAILURE
        }
    }
}

async fn run() -> eyre::Result<()> {
    let only = std::env::args().skip(1).find(|arg| !arg.starts_with('-'));
    if only.as_deref() != Some("streams") {
        run_requests().await?;
    }
    if only.as_deref() != Some("requests") {
        run_streams().await?;
    }
    Ok(())
}

async fn run_requests() -> eyre::Result<()> {
    let deployment = Deployment::start(plan(true)).await?;
    Timer::after(Duration::from_secs(1)).await;
    let direct = Endpoint {
        addresses: deployment.engines.clone(),
        path: "/v1/completions".to_owned(),
    };
    let through_entry = through_entry(&deployment);
    print_memory(&deployment, "idle");
    measure_latency(&direct, &through_entry).await;
    measure_throughput(&deployment, &direct, &through_entry).await;
    print_memory(&deployment, "after load");
    measure_open_requests(&deployment).await;
    deployment.stop().await;
    deployment.remove_files(false);
    Ok(())
}

async fn run_streams() -> eyre::Result<()> {
    let deployment = Deployment::start(plan(false)).await?;
    measure_streams(&deployment).await;
    deployment.stop().await;
    deployment.remove_files(false);
    Ok(())
}

fn plan(instant: bool) -> DeploymentOptions {
    DeploymentOptions {
        engines: ENGINES,
        entries: 1,
        instant,
        forwarder: false,
        plain_delay_ms: 0,
        log_requests: false,
    }
}

fn through_entry(deployment: &Deployment) -> Endpoint {
    let addresses: Vec<SocketAddr> = deployment.callers();
    Endpoint {
        addresses,
        path: format!("/services/{MODEL_SERVICE}/v1/completions"),
    }
}

async fn measure_latency(direct: &Endpoint, through_entry: &Endpoint) {
    let pace = Pace::PerSecond(PACED_PER_S);
    let direct_result = load::measure(direct, CALLERS, pace, MEASURE_MS, || {}).await;
    let path_result = load::measure(through_entry, CALLERS, pace, MEASURE_MS, || {}).await;
    let added_ms = path_result.median_ms - direct_result.median_ms;
    println!(
        "{}",
        json!({"measure": "latency at 1,000 requests/s",
            "direct_median_ms": direct_result.median_ms,
            "path_median_ms": path_result.median_ms, "added_median_ms": added_ms,
            "direct_p95_ms": direct_result.p95_ms, "path_p95_ms": path_result.p95_ms,
            "failed": path_result.failed, "target_added_median_ms": 0.5})
    );
}

async fn measure_throughput(deployment: &Deployment, direct: &Endpoint, through_entry: &Endpoint) {
    let direct_result = load::measure(direct, CALLERS, Pace::Closed, MEASURE_MS, || {}).await;
    let (mut entry, mut agents) = (Usage::default(), Usage::default());
    let read_usage = || {
        entry = Usage::of(&deployment.entries.borrow());
        agents = Usage::of(&deployment.agents.borrow());
    };
    let path_result =
        load::measure(through_entry, CALLERS, Pace::Closed, MEASURE_MS, read_usage).await;
    let entry = Usage::of(&deployment.entries.borrow()).since(&entry);
    let agents = Usage::of(&deployment.agents.borrow()).since(&agents);
    let requests = path_result.per_s * MEASURE_MS.as_secs_f64();
    println!(
        "{}",
        json!({"measure": "throughput with 64 callers", "direct_per_s": direct_result.per_s,
            "path_per_s": path_result.per_s, "ratio": path_result.per_s / direct_result.per_s,
            "direct_median_ms": direct_result.median_ms, "path_median_ms": path_result.median_ms,
            "entry_cores": entry.cpu_s / MEASURE_MS.as_secs_f64(),
            "entry_us_per_request": entry.cpu_s * 1e6 / requests,
            "agents_us_per_request": agents.cpu_s * 1e6 / requests,
            "failed": path_result.failed, "target_per_s": 8000})
    );
}

fn print_memory(deployment: &Deployment, when: &str) {
    let entry = Usage::of(&deployment.entries.borrow());
    let agents = Usage::of(&deployment.agents.borrow());
    println!(
        "{}",
        json!({"measure": "resident memory", "when": when, "entry_mb": entry.rss_mb,
            "agent_mb": agents.rss_mb / f64::from(u32::try_from(ENGINES + 1).unwrap_or(1)),
            "target_idle_mb": 20})
    );
}

/// Measures the memory that an entry needs for a request that waits for a slow engine.
async fn measure_open_requests(deployment: &Deployment) {
    const REQUESTS: usize = 500;
    for engine in &deployment.engines {
        let faults = json!({"instant": false, "slow": 1000.0});
        let _: Option<serde_json::Value> =
            testbed::call(*engine, http_types::Method::Post, "/faults", Some(&faults)).await;
    }
    let before = Usage::of(&deployment.entries.borrow());
    let open_requests = load::open_requests(&through_entry(deployment), REQUESTS).await;
    let after = Usage::of(&deployment.entries.borrow());
    let requests = f64::from(u32::try_from(REQUESTS).unwrap_or(1));
    println!(
        "{}",
        json!({"measure": "memory of an open request",
            "entry_kb_per_request": (after.rss_mb - before.rss_mb) * 1024.0 / requests,
            "target_kb": 32})
    );
    drop(open_requests);
}

async fn measure_streams(deployment: &Deployment) {
    let (mut entry, mut agents) = (Usage::default(), Usage::default());
    let read_usage = || {
        entry = Usage::of(&deployment.entries.borrow());
        agents = Usage::of(&deployment.agents.borrow());
    };
    let events =
        load::measure_streams(&through_entry(deployment), STREAMS, MEASURE_MS, read_usage).await;
    let entry = Usage::of(&deployment.entries.borrow()).since(&entry);
    let agents = Usage::of(&deployment.agents.borrow()).since(&agents);
    let cores = entry.cpu_s / MEASURE_MS.as_secs_f64();
    println!(
        "{}",
        json!({"measure": "relayed stream events", "events_per_s": events,
            "entry_cores": cores, "entry_cores_at_20000_per_s": cores * 20_000.0 / events,
            "agents_cores": agents.cpu_s / MEASURE_MS.as_secs_f64(),
            "target_entry_cores_at_20000_per_s": 0.3})
    );
}
