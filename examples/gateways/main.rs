//! Randomised faults on gateways that run as separate processes.
//!
//! `cargo run --release --example gateways -- --seed N --seconds S` keeps callers busy on open
//! connections while gateways are killed, paused, stopped and restarted, their links to the store
//! go silent, and store and engines misbehave, one after the other and together. What callers and
//! engines saw is checked against the promises; a broken one ends the run with its seed and
//! status 1.

mod callers;
mod faults;
mod verdict;

use std::cell::Cell;
use std::cell::RefCell;
use std::path::PathBuf;
use std::process::ExitCode;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use bpaf::Bpaf;
use eyre::WrapErr;
use rand::SeedableRng;
use rand::rngs::StdRng;
use smol::LocalExecutor;
use smol::Timer;
use testbed::GatewayTestbed;

use crate::verdict::Verdict;

/// Callers at once.
const CALLERS: usize = 12;
/// Time after the last fault in which everything has to work again.
const RECOVERY_MS: Duration = Duration::from_secs(6);

/// Randomised faults on gateways
#[derive(Debug, Clone, Bpaf)]
#[bpaf(options)]
struct Options {
    /// Seed of the run
    #[bpaf(argument("NUMBER"), fallback(1))]
    seed: u64,
    /// Length of the run
    #[bpaf(argument("NUMBER"), fallback(20))]
    seconds: u64,
    /// Gateways
    #[bpaf(argument("NUMBER"), fallback(3))]
    gateways: usize,
}

fn main() -> ExitCode {
    if let Some(code) = testbed::run_if_daemon() {
        return code;
    }
    let options = options().run();
    let executor = Rc::new(LocalExecutor::new());
    match smol::block_on(executor.run(run(&options, executor.clone()))) {
        Ok(verdict) => {
            println!("{}", verdict.to_json(options.seed));
            if verdict.violations.is_empty() {
                return ExitCode::SUCCESS;
            }
            for violation in &verdict.violations {
                eprintln!("seed {}: {violation}", options.seed);
            }
            ExitCode::FAILURE
        }
        Err(report) => {
            eprintln!("seed {}: {report:#}", options.seed);
            ExitCode::FAILURE
        }
    }
}

async fn run(options: &Options, executor: Rc<LocalExecutor<'static>>) -> eyre::Result<Verdict> {
    let folder = PathBuf::from(env!("CARGO_MANIFEST_DIR"))
        .join("target/gateways")
        .join(format!("{}-{}", options.seed, std::process::id()));
    std::fs::create_dir_all(&folder)
        .wrap_err_with(|| format!("cannot make {}", folder.display()))?;
    let program = std::env::current_exe().wrap_err("cannot find this program")?;
    let arguments = [testbed::daemon::DAEMON, "gateway"];
    let mut bed = GatewayTestbed::start(
        executor.clone(),
        &program,
        &arguments,
        options.gateways,
        &folder,
    )
    .await?;
    let verdict = Rc::new(RefCell::new(Verdict::default()));
    let addresses: Vec<_> = bed.gateways.iter().map(|gateway| gateway.callers).collect();
    let is_over = Rc::new(Cell::new(false));
    let calling: Vec<_> = (0..CALLERS)
        .map(|number| {
            let caller = callers::Caller {
                number,
                addresses: addresses.clone(),
                verdict: verdict.clone(),
                is_over: is_over.clone(),
                random: StdRng::seed_from_u64(options.seed ^ (number as u64) << 32),
            };
            executor.spawn(caller.run())
        })
        .collect();
    let until = Instant::now() + Duration::from_secs(options.seconds);
    let random = StdRng::seed_from_u64(options.seed);
    faults::inject(&mut bed, &verdict, random, until).await?;
    Timer::after(RECOVERY_MS).await;
    let recovered_from = Instant::now();
    Timer::after(Duration::from_secs(2)).await;
    is_over.set(true);
    for caller in calling {
        caller.await;
    }
    let mut verdict = verdict.replace(Verdict::default());
    verdict.check(&bed, recovered_from);
    for gateway in &mut bed.gateways {
        if !gateway.process.stop().await {
            let name = gateway.process.name().to_owned();
            verdict
                .violations
                .push(format!("{name} did not stop by itself"));
        }
    }
    if verdict.violations.is_empty() {
        // Logs are kept for runs that failed only.
        std::fs::remove_dir_all(&folder)
            .wrap_err_with(|| format!("cannot remove {}", folder.display()))?;
    }
    Ok(verdict)
}
