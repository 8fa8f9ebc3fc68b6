//! Fault injection test of real processes on loopback.
//!
//! Starts stand-ins, agents and entries, runs callers that resend requests, and injects kills,
//! pauses, connections that stop delivering, outages and conflicting operator commands in random
//! order. At the end it stops all processes gracefully, compares the outcomes that callers saw with
//! what the stand-ins ran, prints one JSON line, and exits with status 1 on any violation.

mod callers;
mod faults;
mod verdict;

use std::process::ExitCode;
use std::rc::Rc;
use std::time::Duration;

use bpaf::Bpaf;
use smol::LocalExecutor;
use smol::Timer;
use testbed::Deployment;
use testbed::DeploymentOptions;

use crate::callers::LoadGenerator;
use crate::faults::Faults;

/// Time that the deployment has to recover after the last fault; required by the users.
const RECOVERY_MS: Duration = Duration::from_secs(15);
/// Period over which goodput is measured before and after the faults.
const GOODPUT_WINDOW_MS: Duration = Duration::from_secs(5);

const PLAN: DeploymentOptions = DeploymentOptions {
    engines: 3,
    entries: 2,
    instant: false,
    forwarder: true,
    plain_delay_ms: 30,
    log_requests: true,
};

/// Fault injection test of real processes
#[derive(Debug, Clone, Bpaf)]
#[bpaf(options)]
struct Options {
    /// Seed of the faults and of the callers
    #[bpaf(argument("N"), fallback(1))]
    seed: u64,
    /// Time during which faults are injected, in s
    #[bpaf(argument("S"), fallback(60))]
    seconds: u64,
    /// Name of the only kind of fault to inject; all kinds without it
    #[bpaf(argument("FAULT"))]
    only: Option<String>,
    /// Keep logs of all processes
    keep: bool,
}

fn main() -> ExitCode {
    if let Some(code) = testbed::run_if_daemon() {
        return code;
    }
    let options = options().run();
    let executor = Rc::new(LocalExecutor::new());
    let running = run(options, executor.clone());
    match smol::block_on(executor.run(running)) {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(report) => {
            eprintln!("chaos: {report:#}");
            ExitCode::from(2)
        }
    }
}

async fn run(options: Options, executor: Rc<LocalExecutor<'static>>) -> eyre::Result<bool> {
    let deployment = Rc::new(Deployment::start(PLAN).await?);
    let load = Rc::new(LoadGenerator::new(options.seed, deployment.callers()));
    load.start(&executor);
    Timer::after(GOODPUT_WINDOW_MS).await;
    let before = load.take_goodput();

    let mut faults = Faults::new(options.seed, deployment.clone());
    let injected = faults.inject(
        Duration::from_secs(options.seconds),
        options.only.as_deref(),
    );
    Box::pin(injected).await?;
    faults.end_all().await?;
    Timer::after(RECOVERY_MS).await;
    load.take_goodput();
    Timer::after(GOODPUT_WINDOW_MS).await;
    let after = load.take_goodput();

    load.stop().await;
    let unclean_stops = deployment.stop().await;
    let verdict =
        verdict::evaluate(&deployment, &load, &faults, unclean_stops, before, after).await?;
    println!("{}", serde_json::to_string(&verdict)?);
    let is_passed = verdict.is_passed();
    deployment.remove_files(options.keep || !is_passed);
    Ok(is_passed)
}
