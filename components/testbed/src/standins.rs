//! Stand-ins on threads of their own, for the life of the process.

use std::fmt::Display;
use std::net::SocketAddr;
use std::thread;

use standin::engine::EngineOptions;
use standin::forwarder::ForwarderOptions;
use standin::forwarder::Link;
use standin::plain::PlainOptions;
use standin::platform::PlatformOptions;

/// Starts the platform.
pub fn platform(listen: SocketAddr) {
    let options = PlatformOptions {
        listen,
        ..PlatformOptions::default()
    };
    thread::spawn(move || report("platform", smol::block_on(standin::platform::run(options))));
}

/// Starts an engine.
pub fn engine(options: EngineOptions) {
    thread::spawn(move || report("engine", standin::engine::run(options)));
}

/// Starts a plain service.
pub fn plain(listen: SocketAddr, delay_ms: u64) {
    let options = PlainOptions { listen, delay_ms };
    thread::spawn(move || report("plain service", standin::plain::run(&options)));
}

/// Starts the forwarder.
pub fn forwarder(control: SocketAddr, link: Vec<Link>) {
    let options = ForwarderOptions { control, link };
    thread::spawn(move || report("forwarder", standin::forwarder::run(&options)));
}

fn report(name: &str, result: Result<(), impl Display>) {
    if let Err(error) = result {
        eprintln!("stand-in {name}: {error}");
    }
}
