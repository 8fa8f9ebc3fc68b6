//! Fault injection test of gateways that run as separate processes.
//!
//! `cargo run --release --example gateways -- --seed N --seconds S` keeps callers sending on open
//! connections while gateways are killed, paused, stopped and restarted, their connections to the
//! store stop delivering, and store and engines return errors or nothing, alone or at the same
//! time. The requests of the callers are then compared with those that the engines ran. Violations
//! are printed with the seed, and the exit status is 1.

mod callers;
mod faults;
mod retries;
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
use testbed::GatewayTestbed;

use crate::verdict::Verdict;

/// Number of concurrent callers.
const CALLERS: usize = 12;
/// Time that the deployment has to recover after the last fault.
const RECOVERY_MS: Duration = Duration::from_secs(6);

/// Fault injection test of gateways
#[derive(Debug, Clone, Bpaf)]
#[bpaf(options)]
struct Options {
    /// Seed of the run
    #[bpaf(argument("NUMBER"), fallback(1))]
    seed: u64,
    /// Time during which faults are injected, in s
    #[bpaf(argument("NUMBER"), fallback(20))]
    seconds: u64,
    /// Number of gateways
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
        .wrap_err_with(|| format!("cannot create directory {}", folder.display()))?;
    let program =
        std::env::current_exe().wrap_err("cannot determine the path of this executable")?;
    let arguments = [testbed::daemon::DAEMON, "gateway"];
    let mut testbed = GatewayTestbed::start(
        executor.clone(),
        &program,
        &arguments,
        options.gateways,
        &folder,
    )
    .await?;
    let verdict = Rc::new(RefCell::new(Verdict::default()));
    let addresses: Vec<_> = testbed
        .gateways
        .iter()
        .map(|gateway| gateway.callers)
        .collect();
    let is_finished = Rc::new(Cell::new(false));
    let tasks: Vec<_> = (0..CALLERS)
        .map(|number| {
            let caller = callers::Caller {
                number,
                addresses: addresses.clone(),
                verdict: verdict.clone(),
                is_finished: is_finished.clone(),
                random: StdRng::seed_from_u64(options.seed ^ (number as u64) << 32),
            };
            executor.spawn(caller.run())
        })
        .collect();
    for engine in ["read-2", "write-2"] {
        testbed.set_build(engine, callers::SECOND_BUILD);
    }
    testbed.ledger.borrow_mut().deadly_part = Some(callers::DEADLY_PART.to_owned());
    testbed.ledger.borrow_mut().deadly_path = Some(callers::DEADLY_PATH.to_owned());
    let until = Instant::now() + Duration::from_secs(options.seconds);
    faults::inject(&mut testbed, &verdict, options.seed, until).await?;
    faults::restart_engines_for(&testbed, RECOVERY_MS).await;
    let recovered_at = Instant::now();
    faults::restart_engines_for(&testbed, Duration::from_secs(2)).await;
    is_finished.set(true);
    for caller in tasks {
        caller.await;
    }
    let mut verdict = verdict.replace(Verdict::default());
    verdict.check(&testbed, recovered_at);
    for gateway in &mut testbed.gateways {
        if !gateway.process.stop().await {
            let name = gateway.process.name().to_owned();
            verdict
                .violations
                .push(format!("{name} did not stop gracefully"));
        }
    }
    if verdict.violations.is_empty() {
        // Logs are kept only if the run has failed.
        std::fs::remove_dir_all(&folder)
            .wrap_err_with(|| format!("cannot remove directory {}", folder.display()))?;
    }
    Ok(verdict)
}
