//! Randomised long-running simulation of entries and agents in virtual time, with fault injection.
//!
//! `EntryCore`, `agent::Agent`, the retrying table and the command executor are production code.
//! The network, the table, the host list and the targets are fakes. The invariants of
//! `docs/design.md` are checked at the targets, which record what they ran, at the table, which
//! reports each committed transaction, and at the callers.
//!
//! A run has four phases: warm-up without faults, planned changes only, `--steps` steps of
//! 100 ms with faults, and recovery. The last line of the output is JSON. On a violation the
//! seed and the trace are printed and the exit code is 1.

mod agents;
mod cache;
mod callers;
mod checks;
mod commits;
mod dispatches;
mod entries;
mod faults;
mod mix;
mod net;
mod objects;
mod planned;
mod queue;
mod races;
mod repairs;
mod replies;
mod roles;
mod rollout;
mod setup;
mod simulation;
mod timers;
mod withdrawal;

use std::process::ExitCode;

use bpaf::Bpaf;

use crate::simulation::Simulation;

/// Randomised simulation of entries and agents in virtual time.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(options)]
struct Options {
    /// Seed of the random number generators
    #[bpaf(argument("N"), fallback(1))]
    seed: u64,
    /// Steps of 100 ms with faults
    #[bpaf(argument("M"), fallback(1000))]
    steps: u32,
    /// Print the trace even without a violation
    trace: bool,
}

fn main() -> ExitCode {
    let options = options().run();
    let mut simulation = Simulation::new(options.seed);
    let goodput = simulation.run(options.steps);
    simulation.check_final_state(&goodput);
    if options.trace || !simulation.violations.is_empty() {
        for line in &simulation.trace {
            println!("{line}");
        }
    }
    for violation in &simulation.violations {
        println!("violation: {violation}");
    }
    println!(
        "{}",
        simulation.summary(options.seed, options.steps, &goodput)
    );
    if simulation.violations.is_empty() {
        return ExitCode::SUCCESS;
    }
    println!(
        "repeat with --seed {} --steps {}",
        options.seed, options.steps
    );
    ExitCode::FAILURE
}
