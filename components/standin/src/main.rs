//! Starts one stand-in.

use std::process::ExitCode;

use bpaf::Bpaf;
use standin::engine::EngineOptions;
use standin::engine::engine_options;
use standin::forwarder::ForwarderOptions;
use standin::forwarder::forwarder_options;
use standin::plain::PlainOptions;
use standin::plain::plain_options;

/// Stand-ins for what surrounds chervilspool. For tests and the demo only.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(options)]
enum Command {
    /// Model engine over HTTP
    #[bpaf(command)]
    Engine(#[bpaf(external(engine_options))] EngineOptions),
    /// Plain service over HTTP
    #[bpaf(command)]
    Plain(#[bpaf(external(plain_options))] PlainOptions),
    /// TCP and UDP forwarder that can go silent
    #[bpaf(command)]
    Forwarder(#[bpaf(external(forwarder_options))] ForwarderOptions),
}

fn main() -> ExitCode {
    let result = match command().run() {
        Command::Engine(options) => standin::engine::run(options),
        Command::Plain(options) => standin::plain::run(&options),
        Command::Forwarder(options) => standin::forwarder::run(&options),
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("standin: {error}");
            ExitCode::FAILURE
        }
    }
}
