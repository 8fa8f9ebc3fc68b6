//! Tests of what engines say of themselves in their answers: that they leave, or ask for a pause.

mod common;

use std::time::Duration;
use std::time::Instant;

use common::with_gateway;
use common::with_gateways;
use http::BufferedResponse;
use http::Client;
use http::ClientLimits;
use smol::Timer;
use standin::staged_engine::EngineMode;
use standin::staged_engine::Stage;
use testbed::GatewayTestbed;
use testbed::gateways::TestRequest;
use testbed::gateways::send;

const LONG_MS: Duration = Duration::from_mins(1);
/// Requests of each kind.
const REQUESTS: usize = 30;

async fn request(
    testbed: &GatewayTestbed,
    gateway: usize,
    id: &str,
    path: &str,
) -> Option<BufferedResponse> {
    let client = Client::new(testbed.gateways[gateway].callers, ClientLimits::default());
    let request = TestRequest {
        id,
        path,
        timeout_ms: Duration::from_secs(3),
        tokens: path.starts_with("/draft/").then_some(4_000),
        part: None,
        resumes: None,
    };
    send(&client, &request).await.ok()
}

/// Sends requests of both services, and returns how many are answered with 200.
async fn answered(testbed: &GatewayTestbed, gateway: usize, name: &str) -> usize {
    let mut answered = 0;
    for number in 0..REQUESTS {
        for path in ["/read/1", "/draft/1"] {
            let id = format!("{name}{number}{}", &path[1..2]);
            let answer = request(testbed, gateway, &id, path).await;
            answered += usize::from(answer.is_some_and(|a| u16::from(a.status) == 200));
        }
    }
    answered
}

// The store's entry of an engine that left still said that it was ready.
#[test]
fn engine_that_says_that_it_leaves_gets_no_request_after_that() {
    with_gateway("engine-leaving", async |testbed| {
        let leaving = ["plain-1", "read-1", "write-1"];
        for name in leaving {
            testbed.say_leaving(name, true);
        }
        let answered = answered(&testbed, 0, "l").await;
        assert_eq!(answered, 2 * REQUESTS);
        let ledger = testbed.ledger.borrow();
        for said in &ledger.leaving_said {
            let calls = ledger.calls_after(said, said.at, LONG_MS);
            assert_eq!(calls, 0, "{} after it said that it leaves", said.engine);
        }
        let said = ledger.leaving_said.iter().map(|said| &said.engine);
        assert!(said.count() > 0, "no engine was called");
        Ok(())
    });
}

#[test]
fn engine_that_says_that_it_leaves_soon_gets_no_request_from_other_gateways() {
    with_gateways("engine-leaving-peers", 3, async |testbed| {
        Timer::after(Duration::from_secs(1)).await;
        testbed.say_leaving("plain-1", true);
        answered(&testbed, 0, "f").await;
        Timer::after(Duration::from_millis(300)).await;
        let from = Instant::now();
        for gateway in [1, 2] {
            answered(&testbed, gateway, &format!("g{gateway}")).await;
        }
        let ledger = testbed.ledger.borrow();
        let mut said = ledger.leaving_said.iter();
        let said = said.rfind(|said| said.engine == "plain-1");
        let said = said.ok_or_else(|| eyre::eyre!("plain-1 was not called"))?;
        assert_eq!(ledger.calls_after(said, from, LONG_MS), 0);
        Ok(())
    });
}

// An engine that had no room was called again at once.
#[test]
fn engine_that_asks_for_a_pause_gets_no_request_until_it_ends() {
    with_gateway("engine-pause", async |testbed| {
        let pause = Duration::from_millis(1_500);
        let paused = ["plain-1", "read-1", "write-1"];
        for name in paused {
            testbed.ask_for_pause(name, Some(pause));
        }
        for (engine, _) in &testbed.engines {
            if paused.contains(&engine.name.as_str()) {
                engine.mode.set(EngineMode::Overloaded);
            }
        }
        let until = Instant::now() + pause * 2;
        let mut round = 0;
        while Instant::now() < until {
            round += 1;
            answered(&testbed, 0, &format!("r{round}-")).await;
        }
        testbed.set_mode(None, EngineMode::Healthy);
        Timer::after(pause).await;
        let healthy_from = Instant::now();
        answered(&testbed, 0, "h").await;
        let ledger = testbed.ledger.borrow();
        assert!(!ledger.pauses_asked.is_empty(), "no engine was called");
        for (asked, pause) in &ledger.pauses_asked {
            let calls = ledger.calls_after(asked, asked.at, *pause);
            assert_eq!(calls, 0, "{} in its pause", asked.engine);
        }
        let mut plain = ledger.calls.iter().filter(|call| call.engine == "plain-1");
        assert!(plain.any(|call| call.at > healthy_from));
        Ok(())
    });
}

// Requests waited, or came back too early, while all engines of a service had asked for a pause.
#[test]
fn request_is_refused_at_once_while_all_engines_ask_for_a_pause() {
    with_gateway("engine-pause-all", async |testbed| {
        for name in ["plain-1", "plain-2"] {
            testbed.ask_for_pause(name, Some(Duration::from_secs(20)));
        }
        testbed.set_mode(Some(Stage::Plain), EngineMode::Overloaded);
        for number in 0..4 {
            let _ = request(&testbed, 0, &format!("a{number}"), "/read/1").await;
        }
        let before = testbed.ledger.borrow().calls.len();
        let answer = request(&testbed, 0, "b", "/read/1").await;
        let answer = answer.ok_or_else(|| eyre::eyre!("no answer"))?;
        assert_eq!(u16::from(answer.status), 503);
        let after = answer
            .headers
            .get("retry-after")
            .map(|v| v.as_str().to_owned());
        let after_s: f64 = after.unwrap_or_default().parse()?;
        // A third of the time that the caller has left is the longest that callers wait.
        assert!((0.8..=1.0).contains(&after_s), "retry after {after_s} s");
        assert_eq!(testbed.ledger.borrow().calls.len(), before);
        Ok(())
    });
}
