//! Tests of how fast a change of the configuration reaches every gateway process.

mod common;

use std::ops::Range;
use std::time::Duration;
use std::time::Instant;

use common::with_gateways;
use http::Client;
use http::ClientLimits;
use smol::Timer;
use standin::forwarder::Mode;
use standin::forwarder::Silence;
use testbed::GatewayTestbed;
use testbed::gateways::TestRequest;
use testbed::gateways::send;

/// The users' limit on the time until a change of the configuration is in force.
const CONFIGURATION_LIMIT_MS: Duration = Duration::from_secs(2);
/// Time in which gateways connect to their peers and their first calls to the store end.
const PEERING_MS: Duration = Duration::from_secs(4);
/// Our own aim is 1 s; the rest is for a busy machine.
const IN_FORCE_MS: Duration = Duration::from_millis(1_500);
/// Interval at which engines write their rows.
const HEARTBEAT_MS: Duration = Duration::from_millis(100);

/// Lets engines write their rows for a while.
async fn heartbeats(testbed: &GatewayTestbed, duration: Duration) {
    let until = Instant::now() + duration;
    while Instant::now() < until {
        testbed.register("plain-1", "ready");
        Timer::after(HEARTBEAT_MS).await;
    }
}

/// Gateways that do not serve the route `prefix`, with the status of their answer, 0 for none.
async fn gateways_without(
    testbed: &GatewayTestbed,
    gateways: Range<usize>,
    prefix: &str,
) -> Vec<(usize, u16)> {
    let mut without = Vec::new();
    for gateway in gateways {
        let client = Client::new(testbed.gateways[gateway].callers, ClientLimits::default());
        let request = TestRequest {
            id: &format!("g{gateway}"),
            path: &format!("{prefix}1"),
            timeout_ms: Duration::from_secs(1),
            tokens: None,
            part: None,
            resumes: None,
        };
        let status = match send(&client, &request).await {
            Ok(response) => u16::from(response.status),
            Err(_) => 0,
        };
        if status != 200 {
            without.push((gateway, status));
        }
    }
    without
}

// Rows of engines hid from a gateway that it lacked a configuration.
#[test]
fn configuration_is_in_force_in_time_while_engines_write_their_rows() {
    with_gateways("configuration-heartbeats", 8, async |testbed| {
        Timer::after(PEERING_MS).await;
        let mode = Mode {
            silence: Silence::Existing,
            ..Mode::default()
        };
        for version in 2..5 {
            for gateway in 3..8 {
                testbed.set_store_link(gateway, mode).await?;
            }
            heartbeats(&testbed, Duration::from_millis(700)).await;
            let prefix = format!("/new{version}/");
            testbed.configure(version, &[&prefix]);
            heartbeats(&testbed, CONFIGURATION_LIMIT_MS).await;
            let behind = gateways_without(&testbed, 0..8, &prefix).await;
            assert!(behind.is_empty(), "without version {version}: {behind:?}");
        }
        Ok(())
    });
}

// All three gateways that polled often were paused, and nobody noticed that connections were dead.
#[test]
fn configuration_is_in_force_in_time_without_the_first_gateways() {
    with_gateways("configuration-first-paused", 8, async |testbed| {
        Timer::after(PEERING_MS).await;
        let mode = Mode {
            silence: Silence::Existing,
            ..Mode::default()
        };
        for gateway in 3..8 {
            testbed.set_store_link(gateway, mode).await?;
        }
        for gateway in &testbed.gateways[..3] {
            gateway.process.pause();
        }
        testbed.configure(2, &["/new/"]);
        Timer::after(IN_FORCE_MS).await;
        let behind = gateways_without(&testbed, 3..8, "/new/").await;
        for gateway in &testbed.gateways[..3] {
            gateway.process.resume();
        }
        assert!(behind.is_empty(), "without version 2: {behind:?}");
        Ok(())
    });
}
