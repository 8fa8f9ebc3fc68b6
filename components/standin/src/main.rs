//! Command line that runs one stand-in.

use std::io;
use std::net::SocketAddr;
use std::process::ExitCode;
use std::time::Duration;

use bpaf::Bpaf;
use standin::engine::EngineOptions;
use standin::engine::engine_options;
use standin::forwarder::ForwarderOptions;
use standin::forwarder::forwarder_options;
use standin::plain::PlainOptions;
use standin::plain::plain_options;
use store::HostEntry;
use store::HostState;

/// Stand-ins for the services that chervilspool depends on, for tests and the demo only
#[derive(Debug, Clone, Bpaf)]
#[bpaf(options)]
enum Command {
    /// Table, object store, weight store and host list over HTTP
    #[bpaf(command)]
    Platform(#[bpaf(external(platform_options))] PlatformOptions),
    /// Model engine over HTTP
    #[bpaf(command)]
    Engine(#[bpaf(external(engine_options))] EngineOptions),
    /// Plain service over HTTP
    #[bpaf(command)]
    Plain(#[bpaf(external(plain_options))] PlainOptions),
    /// TCP and UDP forwarder that can drop traffic silently
    #[bpaf(command)]
    Forwarder(#[bpaf(external(forwarder_options))] ForwarderOptions),
}

#[derive(Debug, Clone, Bpaf)]
struct PlatformOptions {
    /// Address to serve on
    #[bpaf(argument("ADDRESS"))]
    listen: SocketAddr,
    /// Minimum interval between model loads granted by the weight store, in ms
    #[bpaf(argument("MS"), fallback(200))]
    weight_interval_ms: u64,
    /// Delay until a changed host list is visible, in ms
    #[bpaf(argument("MS"), fallback(3000))]
    host_lag_ms: u64,
    /// Name of a live host; may be repeated
    #[bpaf(argument("HOST"), many)]
    host: Vec<String>,
    /// Seed for randomly injected faults
    #[bpaf(argument("SEED"), fallback(1))]
    seed: u64,
}

fn main() -> ExitCode {
    let result = match command().run() {
        Command::Platform(options) => run_platform(options),
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

fn run_platform(options: PlatformOptions) -> io::Result<()> {
    let hosts = options.host.into_iter().map(|host| HostEntry {
        host,
        state: HostState::Live,
    });
    smol::block_on(standin::platform::run(standin::platform::PlatformOptions {
        listen: options.listen,
        weight_interval_ms: Duration::from_millis(options.weight_interval_ms),
        host_lag_ms: Duration::from_millis(options.host_lag_ms),
        hosts: hosts.collect(),
        seed: options.seed,
    }))
}
