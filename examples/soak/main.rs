//! Long randomised run of the decision code in virtual time, with faults of every kind.
//!
//! `EntryCore`, `agent::Agent`, the guarded table and the driver of commands are the shipped
//! code. The network, the table, the host list and the targets are fakes. The invariants of
//! `docs/design.md` are checked where the effect is seen: at the targets, which count what they
//! ran, at the table, which reports what it accepted, and at the callers.
//!
//! A run has four phases: warm-up without faults, planned changes only, `--steps` steps of
//! 100 ms with faults, and recovery. The last line of the output is JSON. On a violation the
//! seed and the trace are printed and the exit code is 1.

mod agents;
mod cache;
mod callers;
mod checks;
mod entries;
mod facts;
mod faults;
mod mix;
mod net;
mod planned;
mod queue;
mod races;
mod repair;
mod replies;
mod roles;
mod rollout;
mod setup;
mod stores;
mod wakes;
mod withdrawal;
mod world;
mod wrong;

use std::process::ExitCode;

use bpaf::Bpaf;

use crate::world::World;

/// Randomised run of entries and agents in virtual time.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(options)]
struct Options {
    /// Seed of all randomness
    #[bpaf(argument("N"), fallback(1))]
    seed: u64,
    /// Steps of 100 ms with faults
    #[bpaf(argument("M"), fallback(1000))]
    steps: u32,
    /// Print the trace also without a violation
    trace: bool,
}

fn main() -> ExitCode {
    let options = options().run();
    let mut world = World::new(options.seed);
    let goodput = world.run(options.steps);
    world.finish(&goodput);
    if options.trace || !world.violations.is_empty() {
        for line in &world.trace {
            println!("{line}");
        }
    }
    for violation in &world.violations {
        println!("violation: {violation}");
    }
    println!("{}", world.summary(options.seed, options.steps, &goodput));
    if world.violations.is_empty() {
        return ExitCode::SUCCESS;
    }
    println!(
        "repeat with --seed {} --steps {}",
        options.seed, options.steps
    );
    ExitCode::FAILURE
}
