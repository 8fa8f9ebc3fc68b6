//! Starts stand-ins on their own threads, where they run until the process ends.

use std::fmt::Display;
use std::net::SocketAddr;
use std::thread;

use standin::engine::EngineOptions;
use standin::forwarder::ForwarderOptions;
use standin::forwarder::Link;
use standin::plain::PlainOptions;
use standin::platform::PlatformOptions;

/// Starts the stand-in platform.
pub fn platform(listen: SocketAddr) {
    let options = PlatformOptions {
        listen,
        ..PlatformOptions::default()
    };
    thread::spawn(move || print_error("platform", smol::block_on(standin::platform::run(options))));
}

/// Starts a stand-in engine.
pub fn engine(options: EngineOptions) {
    thread::spawn(move || print_error("engine", standin::engine::run(options)));
}

/// Starts a stand-in plain service with a response delay.
pub fn plain(listen: SocketAddr, delay_ms: u64) {
    let options = PlainOptions { listen, delay_ms };
    thread::spawn(move || print_error("plain service", standin::plain::run(&options)));
}

/// Starts the forwarder with its control address and links.
pub fn forwarder(control: SocketAddr, link: Vec<Link>) {
    let options = ForwarderOptions { control, link };
    thread::spawn(move || print_error("forwarder", standin::forwarder::run(&options)));
}

fn print_error(name: &str, result: Result<(), impl Display>) {
    if let Err(error) = result {
        eprintln!("stand-in {name}: {error}");
    }
}
