//! Tests of the gateway process against stand-ins of the users' platform.

mod common;

use std::time::Duration;
use std::time::Instant;

use common::with_gateway;
use common::with_gateways;
use http::BufferedResponse;
use http::Client;
use http::ClientLimits;
use smol::Timer;
use standin::feed_store::StoreMode;
use standin::forwarder::Mode;
use standin::forwarder::Silence;
use standin::staged_engine::EVENT_COUNT;
use standin::staged_engine::EngineMode;
use standin::staged_engine::Stage;
use standin::staged_engine::event;
use standin::staged_engine::plain_response_body;
use testbed::GatewayTestbed;
use testbed::gateways::CONFIGURATION_ROW;
use testbed::gateways::SIGNATURE;
use testbed::gateways::TestRequest;
use testbed::gateways::entry_row;
use testbed::gateways::send;

/// Time that callers wait for a response.
const CALLER_TIMEOUT_MS: Duration = Duration::from_secs(3);
/// The users' limit on the time until a change of the configuration is in force.
const CONFIGURATION_LIMIT_MS: Duration = Duration::from_secs(2);
/// The users' limit on the time until a leaving target receives no more requests.
const LEAVING_LIMIT_MS: Duration = Duration::from_secs(2);
/// Grace period after the recovery of the store before the limits apply; it is not added to them.
const RECOVERY_GRACE_MS: Duration = Duration::from_secs(3);
/// Time in which gateways connect to their peers and their first calls to the store end.
const PEERING_MS: Duration = Duration::from_secs(4);

async fn send_request(
    testbed: &GatewayTestbed,
    id: &str,
    path: &str,
) -> eyre::Result<BufferedResponse> {
    send_request_to(testbed, 0, id, path).await
}

async fn send_request_to(
    testbed: &GatewayTestbed,
    gateway: usize,
    id: &str,
    path: &str,
) -> eyre::Result<BufferedResponse> {
    let client = Client::new(testbed.gateways[gateway].callers, ClientLimits::default());
    let tokens = (path.starts_with("/draft/") || path.starts_with("/tag/")).then_some(4_000);
    let request = TestRequest {
        id,
        path,
        timeout_ms: CALLER_TIMEOUT_MS,
        tokens,
        part: None,
        resumes: None,
    };
    Ok(send(&client, &request).await?)
}

/// Complete event stream of a request.
fn expected_stream(id: &str) -> String {
    (1..=EVENT_COUNT).map(|number| event(id, number)).collect()
}

fn body_text(response: &BufferedResponse) -> &str {
    std::str::from_utf8(&response.body).unwrap_or_default()
}

/// Number of times that engines have run a request.
fn run_count(testbed: &GatewayTestbed, id: &str) -> usize {
    testbed.ledger.borrow().runs.get(id).map_or(0, Vec::len)
}

#[test]
fn requests_of_every_kind_get_complete_responses() {
    with_gateway("gateway-kinds", async |testbed| {
        for (id, path) in [("a1", "/read/1"), ("a2", "/order/2")] {
            let response = send_request(&testbed, id, path).await?;
            assert_eq!(
                (u16::from(response.status), body_text(&response)),
                (200, &*plain_response_body(id))
            );
            assert!(response.headers.get(SIGNATURE).is_some());
        }
        for (id, path) in [("a3", "/draft/3"), ("a4", "/tag/4")] {
            let response = send_request(&testbed, id, path).await?;
            assert_eq!(
                (u16::from(response.status), body_text(&response)),
                (200, &*expected_stream(id))
            );
        }
        assert_eq!(
            u16::from(send_request(&testbed, "a5", "/unknown/").await?.status),
            404
        );
        let ledger = testbed.ledger.borrow();
        assert!(ledger.violations.is_empty(), "{:?}", ledger.violations);
        Ok(())
    });
}

#[test]
fn non_idempotent_request_is_not_retried_after_a_lost_response() {
    with_gateway("gateway-lost", async |testbed| {
        testbed.set_mode(None, EngineMode::LosesResponses);
        for (id, path) in [("b1", "/order/1"), ("b2", "/draft/2")] {
            let response = send_request(&testbed, id, path).await?;
            let status = u16::from(response.status);
            assert!(
                run_count(&testbed, id) <= 1,
                "{id} ran {} times",
                run_count(&testbed, id)
            );
            // Other error statuses state that the request has not run.
            assert!(
                status == 502 || run_count(&testbed, id) == 0,
                "{id}: {status}"
            );
        }
        Ok(())
    });
}

#[test]
fn request_that_no_engine_has_capacity_for_gets_503_with_retry_after() {
    with_gateway("gateway-full", async |testbed| {
        testbed.set_mode(None, EngineMode::Overloaded);
        for (id, path) in [("c1", "/order/1"), ("c2", "/draft/2"), ("c3", "/read/3")] {
            let response = send_request(&testbed, id, path).await?;
            assert_eq!(u16::from(response.status), 503);
            let retry_after = response
                .headers
                .get("retry-after")
                .map(|v| v.as_str().parse::<f64>());
            assert!(
                matches!(retry_after, Some(Ok(seconds)) if seconds > 0.0),
                "retry-after: {retry_after:?}"
            );
            assert_eq!(run_count(&testbed, id), 0);
        }
        Ok(())
    });
}

#[test]
fn interrupted_resumable_stream_continues_on_another_engine_without_a_gap() {
    with_gateway("gateway-resume", async |testbed| {
        for (engine, _) in &testbed.engines {
            if engine.stage == Stage::Decode && engine.name != "write-3" {
                engine.mode.set(EngineMode::TruncatesStreams);
            }
        }
        // The gateway may choose any of the engines, but only `write-3` completes streams.
        for number in 0..6 {
            let id = format!("d{number}");
            let response = send_request(&testbed, &id, "/tag/1").await;
            let runs = testbed
                .ledger
                .borrow()
                .runs
                .get(&id)
                .cloned()
                .unwrap_or_default();
            if runs.last().is_some_and(|run| run.engine == "write-3") {
                assert_eq!(body_text(&response?), expected_stream(&id));
            } else {
                assert!(response.is_err(), "an interrupted stream appears complete");
            }
            assert!(runs.len() <= 2, "{runs:?}");
        }
        Ok(())
    });
}

#[test]
fn duplicate_response_reaches_no_other_caller() {
    with_gateway("gateway-copies", async |testbed| {
        testbed.set_mode(Some(Stage::Plain), EngineMode::DuplicatesResponses);
        for number in 0..40 {
            let id = format!("e{number}");
            let response = send_request(&testbed, &id, "/order/1").await?;
            assert_eq!(
                (u16::from(response.status), body_text(&response)),
                (200, &*plain_response_body(&id))
            );
        }
        Ok(())
    });
}

#[test]
fn leaving_engine_receives_no_requests_after_the_limit() {
    with_gateway("gateway-leaving", async |testbed| {
        testbed.register("plain-1", "draining");
        testbed.unregister("read-1");
        Timer::after(LEAVING_LIMIT_MS).await;
        for number in 0..10 {
            send_request(&testbed, &format!("f{number}"), "/read/1").await?;
            send_request(&testbed, &format!("g{number}"), "/draft/1").await?;
        }
        let ledger = testbed.ledger.borrow();
        let mut runs = ledger.runs.values().flatten();
        assert!(runs.all(|run| run.engine != "plain-1"));
        Ok(())
    });
}

#[test]
fn unreadable_registrations_and_configurations_are_logged_and_ignored() {
    with_gateway("gateway-unreadable", async |testbed| {
        testbed.write_configuration(b"{\"version\":9}");
        testbed.write_entry("stranger", b"\xff\x00");
        testbed.write_entry("other", b"{\"service\":7}");
        Timer::after(Duration::from_millis(300)).await;
        assert_eq!(
            u16::from(send_request(&testbed, "h1", "/order/1").await?.status),
            200
        );
        let log = testbed.gateways[0].process.read_log()?;
        assert!(
            log.contains(CONFIGURATION_ROW) && log.contains(&entry_row("stranger")),
            "{log}"
        );
        Ok(())
    });
}

#[test]
fn configuration_is_in_force_within_the_limit_after_a_store_outage() {
    with_gateway("gateway-outage", async |testbed| {
        // The outages begin at different moments of a call that waits for changes.
        for (version, outage_ms) in [(2_u64, 1_300), (3, 5_200), (4, 7_900)] {
            testbed.store.set_mode(StoreMode::Unresponsive);
            Timer::after(Duration::from_millis(outage_ms)).await;
            // Calls that began during the outage stay unanswered; those that begin now do not.
            testbed.store.set_mode(StoreMode::Healthy);
            let recovered = Instant::now();
            let prefix = format!("/new{version}/");
            testbed.configure(version, &[&prefix]);
            let mut is_in_force = false;
            while !is_in_force
                && recovered.elapsed() < RECOVERY_GRACE_MS.max(CONFIGURATION_LIMIT_MS)
            {
                is_in_force = send_request(&testbed, "i1", &prefix)
                    .await?
                    .status
                    .is_success();
                Timer::after(Duration::from_millis(50)).await;
            }
            assert!(
                is_in_force,
                "version {version} is not in force {:?} after the recovery of the store",
                recovered.elapsed()
            );
        }
        Ok(())
    });
}

/// The last of five gateways polls the store rarely, and the connection of its pending poll is
/// dead.
#[test]
fn gateway_with_a_dead_store_connection_receives_changes_from_its_peers() {
    with_gateways("gateway-behind", 5, async |testbed| {
        Timer::after(PEERING_MS).await;
        let mode = Mode {
            silence: Silence::Existing,
            ..Mode::default()
        };
        testbed.set_store_link(4, mode).await?;
        testbed.configure(2, &["/new/"]);
        Timer::after(CONFIGURATION_LIMIT_MS).await;
        let response = send_request_to(&testbed, 4, "k1", "/new/1").await?;
        assert_eq!(u16::from(response.status), 200);
        Ok(())
    });
}

#[test]
fn only_a_few_gateways_poll_the_store_frequently() {
    with_gateways("gateway-watch", 8, async |testbed| {
        Timer::after(PEERING_MS).await;
        let before = testbed.store.request_count();
        Timer::after(Duration::from_secs(6)).await;
        let calls = testbed.store.request_count() - before;
        // One gateway checks the configuration every 0.4 s, three poll the engines' table every 2 s,
        // and the others every 10 s. It was two tables every 2 s and every 10 s before.
        assert!(calls <= 3 * 2 * 4 + 5 * 2, "{calls} calls");
        Ok(())
    });
}

#[test]
fn discarded_history_does_not_restore_an_older_configuration() {
    with_gateway("gateway-history", async |testbed| {
        testbed.configure(5, &["/five/"]);
        Timer::after(CONFIGURATION_LIMIT_MS).await;
        testbed.store.discard_history();
        testbed.configure(3, &[]);
        Timer::after(CONFIGURATION_LIMIT_MS).await;
        assert_eq!(
            u16::from(send_request(&testbed, "j1", "/five/1").await?.status),
            200
        );
        Ok(())
    });
}

#[test]
fn graceful_stop_interrupts_no_request() {
    with_gateway("gateway-stop", async |mut testbed| {
        let mut gateway = testbed.gateways.remove(0);
        let callers = Client::new(gateway.callers, ClientLimits::default());
        let request = TestRequest {
            id: "k1",
            path: "/draft/1",
            timeout_ms: CALLER_TIMEOUT_MS,
            tokens: Some(4_000),
            part: None,
            resumes: None,
        };
        let requesting = send(&callers, &request);
        let stopping = async {
            Timer::after(Duration::from_millis(20)).await;
            gateway.process.stop().await
        };
        let (response, stopped) = smol::future::zip(requesting, stopping).await;
        assert_eq!(body_text(&response?), expected_stream("k1"));
        assert!(stopped, "the process did not exit with status 0");
        Ok(())
    });
}

#[test]
fn run_is_cancelled_when_the_caller_disconnects() {
    with_gateway("gateway-hang-up", async |testbed| {
        testbed.set_mode(Some(Stage::Plain), EngineMode::Unresponsive);
        let limits = ClientLimits {
            head_ms: Duration::from_millis(100),
            ..ClientLimits::default()
        };
        let caller = Client::new(testbed.gateways[0].callers, limits);
        let request = TestRequest {
            id: "l1",
            path: "/order/1",
            timeout_ms: CALLER_TIMEOUT_MS,
            tokens: None,
            part: None,
            resumes: None,
        };
        assert!(send(&caller, &request).await.is_err());
        Timer::after(Duration::from_millis(500)).await;
        let log = testbed.gateways[0].process.read_log()?;
        assert!(log.contains("\"outcome\":\"abandoned\""), "{log}");
        Ok(())
    });
}

/// Sends a request of a stream with a part of its prompt between the shared one and its own, which
/// differs from those of other ids.
async fn send_prompt(
    testbed: &GatewayTestbed,
    gateway: usize,
    id: &str,
    part: Option<&str>,
) -> eyre::Result<BufferedResponse> {
    let client = Client::new(testbed.gateways[gateway].callers, ClientLimits::default());
    let request = TestRequest {
        id,
        path: "/draft/1",
        timeout_ms: CALLER_TIMEOUT_MS,
        tokens: Some(4_000 + id.bytes().map(u32::from).sum::<u32>()),
        part,
        resumes: None,
    };
    Ok(send(&client, &request).await?)
}

// Issue 22: a part that is only known in memory would crash engines again after a loss of power.
#[test]
fn deadly_part_is_refused_everywhere_also_after_all_gateways_were_killed() {
    with_gateways("gateway-deadly-part", 3, async |mut testbed| {
        let part = "dead";
        testbed.ledger.borrow_mut().deadly_part = Some(part.to_owned());
        Timer::after(PEERING_MS).await;
        for number in 0..9 {
            let gateway = number % 3;
            let sound = send_prompt(&testbed, gateway, &format!("n{number}"), None).await?;
            assert_eq!(body_text(&sound), expected_stream(&format!("n{number}")));
            let response =
                send_prompt(&testbed, gateway, &format!("m{number}"), Some(part)).await?;
            let status = u16::from(response.status);
            assert!(matches!(status, 502 | 503), "status {status}");
            let has_run = run_count(&testbed, &format!("m{number}")) > 0;
            assert_eq!(has_run, status == 502, "status {status}");
            testbed.restart_crashed_engines(Duration::ZERO, &[]);
            Timer::after(CONFIGURATION_LIMIT_MS / 10).await;
        }
        let crashes = testbed.ledger.borrow().crashes.len();
        assert!((1..=3).contains(&crashes), "{crashes} crashes");
        // The store has to be written before the loss of power.
        Timer::after(CONFIGURATION_LIMIT_MS / 2).await;
        for gateway in &mut testbed.gateways {
            gateway.process.kill();
        }
        for at in 0..testbed.gateways.len() {
            testbed.gateways[at].process.restart()?;
            testbed.wait_until_ready(at).await?;
            let response = send_prompt(&testbed, at, &format!("o{at}"), Some(part)).await?;
            assert_eq!(u16::from(response.status), 503);
            let sound = send_prompt(&testbed, at, &format!("p{at}"), None).await?;
            assert_eq!(u16::from(sound.status), 200);
        }
        assert_eq!(testbed.ledger.borrow().crashes.len(), crashes);
        Ok(())
    });
}

// Issue 23: after the store had come back, no change was read until its counter had passed the old
// value.
#[test]
fn restored_store_change_is_in_force_within_the_limit() {
    with_gateways("gateway-restored", 2, async |testbed| {
        Timer::after(PEERING_MS).await;
        let copy = testbed.store.copy();
        for version in 2..12 {
            testbed.configure(version, &["/before/"]);
        }
        Timer::after(CONFIGURATION_LIMIT_MS).await;
        testbed.store.restore(copy);
        Timer::after(CONFIGURATION_LIMIT_MS).await;
        for at in 0..2 {
            // The operator has not written again what was lost, and nothing goes back.
            let response = send_request_to(&testbed, at, &format!("q{at}"), "/before/1").await?;
            assert_eq!(u16::from(response.status), 200);
        }
        testbed.configure(20, &["/after/"]);
        Timer::after(CONFIGURATION_LIMIT_MS).await;
        for at in 0..2 {
            let response = send_request_to(&testbed, at, &format!("r{at}"), "/after/1").await?;
            assert_eq!(u16::from(response.status), 200);
        }
        Ok(())
    });
}

// Issue 23: the counter had passed the old value when the gateway asked again, and changes below
// it were never read.
#[test]
fn restored_store_change_below_the_old_version_is_read() {
    with_gateway("gateway-restored-silent", async |testbed| {
        let copy = testbed.store.copy();
        for version in 2..12 {
            testbed.configure(version, &["/before/"]);
        }
        Timer::after(CONFIGURATION_LIMIT_MS).await;
        testbed.store.restore(copy);
        testbed.configure(20, &["/after/"]);
        for number in 0..40 {
            testbed.store.put("other", &number.to_string(), b"x");
        }
        Timer::after(CONFIGURATION_LIMIT_MS + CONFIGURATION_LIMIT_MS / 2).await;
        let response = send_request(&testbed, "s1", "/after/1").await?;
        assert_eq!(u16::from(response.status), 200);
        Ok(())
    });
}

// Issue 23: gateways that started later did not find those whose rows were lost, and a deadly part
// was forgotten.
#[test]
fn restored_store_gets_the_rows_of_the_gateways_again() {
    with_gateway("gateway-restored-rows", async |testbed| {
        let empty = testbed.store.copy();
        testbed.ledger.borrow_mut().deadly_part = Some("dead".to_owned());
        for number in 0..3 {
            send_prompt(&testbed, 0, &format!("t{number}"), Some("dead")).await?;
            testbed.restart_crashed_engines(Duration::ZERO, &[]);
            Timer::after(CONFIGURATION_LIMIT_MS / 4).await;
        }
        Timer::after(CONFIGURATION_LIMIT_MS / 2).await;
        assert!(testbed.store.has_row("quarantine", "dead"));
        for _ in 0..3 {
            testbed.store.restore(empty.clone());
            testbed.store.remove("gateways", "gateway-0");
            assert!(!testbed.store.has_row("quarantine", "dead"));
            testbed.configure(2, &[]);
            Timer::after(CONFIGURATION_LIMIT_MS + CONFIGURATION_LIMIT_MS / 2).await;
            assert!(testbed.store.has_row("gateways", "gateway-0"));
            assert!(testbed.store.has_row("quarantine", "dead"));
        }
        Ok(())
    });
}

// Issue 23: a gateway that started before the operator had written again served the older routes.
#[test]
fn restored_store_does_not_give_a_starting_gateway_an_older_configuration() {
    with_gateways("gateway-restored-start", 2, async |mut testbed| {
        Timer::after(PEERING_MS).await;
        let copy = testbed.store.copy();
        testbed.configure(5, &["/before/"]);
        Timer::after(CONFIGURATION_LIMIT_MS).await;
        testbed.store.restore(copy);
        Timer::after(CONFIGURATION_LIMIT_MS / 2).await;
        testbed.gateways[1].process.kill();
        testbed.gateways[1].process.restart()?;
        Timer::after(CONFIGURATION_LIMIT_MS).await;
        let status = match send_request_to(&testbed, 1, "u1", "/before/1").await {
            Ok(response) => u16::from(response.status),
            Err(_) => 0,
        };
        assert_ne!(status, 404, "it serves routes that were replaced");
        testbed.configure(7, &["/before/", "/after/"]);
        Timer::after(CONFIGURATION_LIMIT_MS).await;
        assert!(testbed.is_ready(1).await);
        for (id, path) in [("u2", "/before/1"), ("u3", "/after/1")] {
            let response = send_request_to(&testbed, 1, id, path).await?;
            assert_eq!(u16::from(response.status), 200, "{path}");
        }
        Ok(())
    });
}
