//! Tests of streams while engines of several builds serve side by side.

mod common;

use std::rc::Rc;
use std::time::Duration;

use common::with_gateways;
use futures_lite::AsyncWriteExt;
use http::Client;
use http::ClientLimits;
use smol::Timer;
use smol::net::TcpListener;
use smol::net::TcpStream;
use standin::staged_engine::EVENT_COUNT;
use standin::staged_engine::EngineMode;
use standin::staged_engine::event;
use testbed::GatewayTestbed;
use testbed::gateways::TestRequest;
use testbed::gateways::send;
use testbed::raw_engine;
use testbed::raw_engine::request_id;
use testbed::raw_engine::stream_head;

/// Time in which gateways connect to their peers and read the entries of engines.
const PEERING_MS: Duration = Duration::from_secs(2);
/// Streams of a test.
const STREAMS: usize = 24;
/// Events that an engine in the mode `TruncatesStreams` sends completely.
const EVENTS_BEFORE_BREAK: u32 = 2;

/// Engines of two builds, two decode engines and one prefill engine of each.
async fn add_second_build(testbed: &mut GatewayTestbed) -> eyre::Result<()> {
    use standin::staged_engine::Stage;
    testbed.add_engine("write-4", Stage::Decode).await?;
    for name in ["read-2", "write-2", "write-4"] {
        testbed.set_build(name, "v2");
    }
    Timer::after(PEERING_MS).await;
    Ok(())
}

/// Sends a request to a gateway; `Some` with the body if it was answered with 200 and completely.
async fn stream(
    testbed: &GatewayTestbed,
    gateway: usize,
    id: &str,
    resumes: Option<(&str, u32)>,
) -> Option<String> {
    let client = Client::new(testbed.gateways[gateway].callers, ClientLimits::default());
    let request = TestRequest {
        id,
        path: "/tag/1",
        timeout_ms: Duration::from_secs(3),
        tokens: Some(4_000),
        part: None,
        resumes,
    };
    let response = send(&client, &request).await.ok()?;
    let is_ok = u16::from(response.status) == 200;
    is_ok.then(|| String::from_utf8(response.body).unwrap_or_default())
}

/// Lets each engine of a build break its streams, or none.
fn break_streams(testbed: &GatewayTestbed, build: Option<&str>) {
    for (engine, _) in &testbed.engines {
        let is_broken = build.is_some_and(|build| *engine.build.borrow() == build);
        engine.mode.set(if is_broken {
            EngineMode::TruncatesStreams
        } else {
            EngineMode::Healthy
        });
    }
}

// A stream that broke off went on at an engine of another build within one answer.
#[test]
fn broken_stream_does_not_go_on_at_another_build() {
    with_gateways("builds-answer", 1, async |mut testbed| {
        add_second_build(&mut testbed).await?;
        for (number, broken) in (0..STREAMS).zip(["v1", "v2"].into_iter().cycle()) {
            break_streams(&testbed, Some(broken));
            let _ = stream(&testbed, 0, &format!("a{number}"), None).await;
        }
        let mixed = testbed.ledger.borrow().streams_across_builds();
        assert!(mixed.is_empty(), "streams of two builds: {mixed:?}");
        Ok(())
    });
}

/// Begins streams that break, and resumes them; returns how many of them go on.
async fn resume_streams(
    testbed: &GatewayTestbed,
    resume_at: impl Fn(usize) -> usize,
) -> (usize, usize) {
    let mut begun = Vec::new();
    for (number, broken) in (0..STREAMS).zip(["v1", "v2"].into_iter().cycle()) {
        // All engines of the build that begins break streams, so that the answer is cut.
        break_streams(testbed, Some(broken));
        let id = format!("b{number}");
        let is_complete = stream(testbed, 0, &id, None).await.is_some();
        if !is_complete && testbed.ledger.borrow().runs.contains_key(&id) {
            begun.push(id);
        }
    }
    break_streams(testbed, None);
    let mut resumed = 0;
    for (number, id) in begun.iter().enumerate() {
        let rest: String = (EVENTS_BEFORE_BREAK + 1..=EVENT_COUNT)
            .map(|number| event(&format!("{id}r"), number))
            .collect();
        let from = Some((id.as_str(), EVENTS_BEFORE_BREAK));
        let answer = stream(testbed, resume_at(number), &format!("{id}r"), from).await;
        resumed += usize::from(answer.is_some_and(|body| body == rest));
    }
    (begun.len(), resumed)
}

// A caller that came back to another gateway got the rest of its stream from another build.
#[test]
fn resumed_stream_goes_on_at_its_build_at_any_gateway() {
    with_gateways("builds-tries", 4, async |mut testbed| {
        add_second_build(&mut testbed).await?;
        let (begun, resumed) = resume_streams(&testbed, |number| number % 4).await;
        let mixed = testbed.ledger.borrow().streams_across_builds();
        assert!(mixed.is_empty(), "streams of two builds: {mixed:?}");
        assert!(begun >= STREAMS / 3, "{begun} streams broke");
        assert!(resumed * 10 >= begun * 9, "{resumed} of {begun} go on");
        Ok(())
    });
}

// The gateway that had begun the streams was killed before their callers came back.
#[test]
fn resumed_stream_goes_on_at_its_build_after_its_gateway_was_killed() {
    with_gateways("builds-killed", 4, async |mut testbed| {
        add_second_build(&mut testbed).await?;
        let mut begun = Vec::new();
        for (number, broken) in (0..STREAMS).zip(["v1", "v2"].into_iter().cycle()) {
            break_streams(&testbed, Some(broken));
            let id = format!("k{number}");
            let is_complete = stream(&testbed, 0, &id, None).await.is_some();
            if !is_complete && testbed.ledger.borrow().runs.contains_key(&id) {
                begun.push(id);
            }
        }
        testbed.gateways[0].process.kill();
        break_streams(&testbed, None);
        let mut resumed = 0;
        for (number, id) in begun.iter().enumerate() {
            let from = Some((id.as_str(), EVENTS_BEFORE_BREAK));
            let answer = stream(&testbed, 1 + number % 3, &format!("{id}r"), from).await;
            resumed += usize::from(answer.is_some());
        }
        let mixed = testbed.ledger.borrow().streams_across_builds();
        assert!(mixed.is_empty(), "streams of two builds: {mixed:?}");
        assert!(begun.len() >= STREAMS / 3, "{} streams broke", begun.len());
        assert!(
            resumed * 10 >= begun.len() * 9,
            "{resumed} of {}",
            begun.len()
        );
        Ok(())
    });
}

// A gateway that does not know which build began a stream must not guess.
#[test]
fn stream_of_an_unknown_build_is_refused_while_several_builds_serve() {
    with_gateways("builds-unknown", 2, async |mut testbed| {
        add_second_build(&mut testbed).await?;
        for number in 0..STREAMS {
            let from = Some(("lost", 2));
            let answer = stream(&testbed, number % 2, &format!("u{number}"), from).await;
            assert_eq!(answer, None);
        }
        assert!(
            !testbed
                .ledger
                .borrow()
                .runs
                .keys()
                .any(|id| id.starts_with('u'))
        );
        Ok(())
    });
}

/// Serves one stream at an engine of build v1 whose row is removed before the first event, and which
/// breaks the stream off. Engines of v2 serve from then on, and one more of v1 if `has_other`.
async fn stream_of_leaving_engine(
    testbed: &mut GatewayTestbed,
    id: &'static str,
    has_other: bool,
) -> eyre::Result<Option<String>> {
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    testbed.set_address("write-1", listener.local_addr()?);
    for name in ["read-1", "read-2", "write-2", "write-3"] {
        testbed.unregister(name);
    }
    testbed.register("write-1", "ready");
    Timer::after(PEERING_MS).await;
    let (arrived, has_arrived) = smol::channel::bounded(1);
    let (left, has_left) = smol::channel::bounded::<()>(1);
    let answer = move |head: String, mut stream: TcpStream| {
        let (arrived, has_left) = (arrived.clone(), has_left.clone());
        async move {
            let _ = arrived.try_send(());
            let _ = has_left.recv().await;
            let begun = stream_head(&head)
                + &event(request_id(&head), 1)
                + &event(request_id(&head), 2)
                + "id: 3";
            let _ = stream.write_all(begun.as_bytes()).await;
        }
    };
    testbed.spawn(raw_engine::serve(listener, Rc::new(answer)));
    let leaving = async {
        let _ = has_arrived.recv().await;
        testbed.set_build("write-2", "v2");
        testbed.set_build("write-3", if has_other { "v1" } else { "v2" });
        testbed.unregister("write-1");
        Timer::after(PEERING_MS).await;
        drop(left);
        std::future::pending().await
    };
    Ok(smol::future::or(stream(testbed, 0, id, None), leaving).await)
}

// The entry of the engine was gone at the first event, and the stream went on at any build.
#[test]
fn stream_of_an_engine_that_leaves_before_the_first_event_stays_at_its_build() {
    with_gateways("builds-leaving", 1, async |mut testbed| {
        // The budget of retries grows with the requests.
        for number in 0..STREAMS {
            stream(&testbed, 0, &format!("calm{number}"), None).await;
        }
        let answer = stream_of_leaving_engine(&mut testbed, "alone", false).await?;
        let runs = testbed.ledger.borrow().runs.get("alone").cloned();
        assert_eq!((answer, runs), (None, None), "the stream goes on at v2");
        let answer = stream_of_leaving_engine(&mut testbed, "second", true).await?;
        let whole: String = (1..=EVENT_COUNT)
            .map(|number| event("second", number))
            .collect();
        assert_eq!(answer.as_deref(), Some(whole.as_str()));
        let runs = testbed.ledger.borrow().runs.get("second").cloned();
        let runs = runs.unwrap_or_default();
        assert!(runs.iter().all(|run| run.build == "v1"), "{runs:?}");
        Ok(())
    });
}

/// What becomes of the engines of the build that began the streams, while all gateways are down.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum OldBuild {
    Gone,
    Serves,
    Leaves,
}

/// Begins streams at build v1, kills all gateways at once, and takes the streams up again at once and
/// later. Returns how many went on.
async fn take_up_after_all_gateways_were_killed(
    testbed: &mut GatewayTestbed,
    fate: OldBuild,
) -> eyre::Result<usize> {
    let mut begun = Vec::new();
    break_streams(testbed, Some("v1"));
    for number in 0..STREAMS / 2 {
        let id = format!("{fate:?}{number}");
        let _ = stream(testbed, number % 3, &id, None).await;
        let runs = testbed.ledger.borrow().runs.get(&id).cloned();
        if runs.is_some_and(|runs| runs.iter().all(|run| run.build == "v1")) {
            begun.push(id);
        }
    }
    eyre::ensure!(!begun.is_empty(), "no stream began at v1");
    // Each one that is refused takes the time for which peers are asked.
    begun.truncate(STREAMS / 4);
    for gateway in &mut testbed.gateways {
        gateway.process.kill();
    }
    break_streams(testbed, None);
    let old: Vec<String> = {
        let engines = testbed.engines.iter().map(|(engine, _)| engine);
        let old = engines.filter(|engine| *engine.build.borrow() == "v1");
        old.filter(|engine| engine.stage != standin::staged_engine::Stage::Plain)
            .map(|engine| engine.name.clone())
            .collect()
    };
    let leave = |testbed: &GatewayTestbed| {
        for name in &old {
            testbed.unregister(name);
        }
    };
    if fate == OldBuild::Gone {
        leave(testbed);
    }
    for gateway in &mut testbed.gateways {
        gateway.process.restart()?;
    }
    for number in 0..testbed.gateways.len() {
        testbed.wait_until_ready(number).await?;
    }
    let mut went_on = 0;
    for round in 0..3 {
        for (number, id) in begun.iter().enumerate() {
            let from = Some((id.as_str(), EVENTS_BEFORE_BREAK));
            let answer = stream(testbed, number % 3, &format!("{id}r{round}"), from).await;
            went_on += usize::from(answer.is_some());
        }
        if fate == OldBuild::Leaves {
            leave(testbed);
        }
        Timer::after(PEERING_MS / 2).await;
    }
    for name in &old {
        testbed.register(name, "ready");
    }
    Timer::after(PEERING_MS).await;
    Ok(went_on)
}

// Operators of a similar system: many take-ups after a kill of all gateways were joined from two
// builds, and looked complete.
#[test]
fn stream_is_not_taken_up_at_another_build_after_all_gateways_were_killed() {
    with_gateways("builds-all-killed", 3, async |mut testbed| {
        add_second_build(&mut testbed).await?;
        for fate in [OldBuild::Gone, OldBuild::Serves, OldBuild::Leaves] {
            let went_on = take_up_after_all_gateways_were_killed(&mut testbed, fate).await?;
            let mixed = testbed.ledger.borrow().streams_across_builds();
            assert!(
                mixed.is_empty(),
                "{fate:?}: streams of two builds: {mixed:?}"
            );
            if fate == OldBuild::Gone {
                assert_eq!(
                    went_on, 0,
                    "streams went on without an engine of their build"
                );
            }
        }
        Ok(())
    });
}
