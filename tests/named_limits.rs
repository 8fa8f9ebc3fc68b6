//! Tests of engines that name a limit on their requests, against gateway processes.

mod common;

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use common::with_gateways;
use http::Client;
use http::ClientLimits;
use smol::Timer;
use testbed::GatewayTestbed;
use testbed::gateways::TestRequest;
use testbed::gateways::send;

/// Time from the first answer with a limit until it has to hold; required by the users.
const CONTACT_MS: Duration = Duration::from_secs(3);
/// Span in which the users count requests.
const SPAN_MS: Duration = Duration::from_secs(4);
/// Pause of each caller between two requests.
const PAUSE_MS: Duration = Duration::from_millis(25);
/// Time that callers wait for a response.
const CALLER_TIMEOUT_MS: Duration = Duration::from_secs(3);

/// Sends requests of a path to a gateway, whose number is `at`, until `until`.
async fn call_until(callers: SocketAddr, at: usize, path: &str, until: Instant) {
    let client = Client::new(callers, ClientLimits::default());
    let mut sent = 0;
    while Instant::now() < until {
        sent += 1;
        let request = TestRequest {
            id: &format!("{at}{}{sent}", path.replace('/', "-")),
            path,
            timeout_ms: CALLER_TIMEOUT_MS,
            tokens: path.starts_with("/draft/").then_some(2_000),
            part: None,
            resumes: None,
        };
        // Many are refused.
        let _ = send(&client, &request).await;
        Timer::after(PAUSE_MS).await;
    }
}

/// Has callers at all gateways send requests of both services until `until`.
fn spawn_callers(testbed: &GatewayTestbed, until: Instant) {
    for (at, gateway) in testbed.gateways.iter().enumerate() {
        for path in ["/read/1", "/draft/1"] {
            // A task that held the testbed would keep its gateways running after the test.
            testbed.spawn(call_until(gateway.callers, at, path, until));
        }
    }
}

// Issue 26: each gateway went on sending as if no limit had been named.
#[test]
fn engine_that_names_a_limit_gets_no_more_than_that_from_all_gateways() {
    with_gateways("limit-sum", 4, async |testbed| {
        let until = Instant::now() + CONTACT_MS + SPAN_MS + SPAN_MS;
        spawn_callers(&testbed, until);
        Timer::after(CONTACT_MS / 3).await;
        for (engine, requests_per_s) in [("plain-1", 1.3), ("read-1", 1.9), ("write-1", 1.3)] {
            testbed.name_limit(engine, Some(requests_per_s));
        }
        let from = Instant::now() + CONTACT_MS;
        Timer::after(until.saturating_duration_since(Instant::now())).await;
        let ledger = testbed.ledger.borrow();
        for (engine, allowed) in [("plain-1", 5), ("read-1", 7), ("write-1", 5)] {
            let most = ledger.most_calls_within(engine, (from, until), SPAN_MS);
            assert!(most <= allowed, "{engine}: {most} calls, {allowed} allowed");
            assert!(
                most * 2 >= allowed,
                "{engine}: {most} of {allowed} calls are used"
            );
        }
        Ok(())
    });
}
