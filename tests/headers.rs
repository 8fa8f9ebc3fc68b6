//! Header fields on the whole path: caller, entry, agent, plain service, and back.
//!
//! The daemons are processes that this program starts as itself, so it has no test harness.

use std::net::SocketAddr;
use std::process::ExitCode;
use std::rc::Rc;
use std::time::Duration;

use eyre::OptionExt;
use http::Client;
use http::ClientLimits;
use http::WholeResponse;
use http_types::Method;
use http_types::headers::HeaderValue;
use serde_json::json;
use smol::LocalExecutor;
use smol::Timer;
use standin::plain::PlainCounters;
use testbed::Deployment;
use testbed::Plan;
use testbed::deployment::PLAIN_SERVICE;
use testbed::deployment::call;

/// Fields that the service sends and callers get.
const PASSING: [(&str, &str); 11] = [
    ("cache-control", "private, max-age=5"),
    ("content-disposition", "attachment; filename=\"orden.json\""),
    ("content-language", "es-AR"),
    ("date", "Thu, 03 Dec 2026 10:00:00 GMT"),
    ("etag", "\"a1\""),
    ("last-modified", "Wed, 02 Dec 2026 10:00:00 GMT"),
    ("location", "/ordenes/7"),
    ("set-cookie", "a=1; Path=/, x"),
    ("set-cookie", "b=2"),
    ("www-authenticate", "Basic realm=\"mulas\""),
    ("x-any", "1, 2"),
];
/// Fields that the service sends and callers do not get.
const STAYING: [(&str, &str); 4] = [
    ("connection", "X-Hop"),
    ("keep-alive", "timeout=5"),
    ("x-hop", "1"),
    ("proxy-authenticate", "Basic"),
];

fn main() -> ExitCode {
    if let Some(code) = testbed::run_if_daemon() {
        return code;
    }
    let executor = Rc::new(LocalExecutor::new());
    match smol::block_on(executor.run(run())) {
        Ok(()) => ExitCode::SUCCESS,
        Err(report) => {
            eprintln!("headers: {report:#}");
            ExitCode::FAILURE
        }
    }
}

async fn run() -> eyre::Result<()> {
    let deployment = Deployment::start(Plan {
        engines: 0,
        entries: 2,
        instant: true,
        forwarder: false,
        plain_delay_ms: 0,
        log_requests: false,
    })
    .await?;
    let result = check(&deployment).await;
    deployment.stop().await;
    deployment.clean_up(result.is_err());
    result
}

async fn check(deployment: &Deployment) -> eyre::Result<()> {
    let headers: Vec<(&str, &str)> = PASSING.into_iter().chain(STAYING).collect();
    call::<serde_json::Value>(deployment.plain, Method::Post, "/headers", Some(&headers))
        .await
        .ok_or_eyre("the plain service takes no headers")?;
    let entries = deployment.callers();
    check_answer(&send(entries[0]).await?)?;
    let counters = counters(deployment).await?;
    check_request(&counters)?;

    // The entry writes the answer to the table after it has sent it. Without an agent, the other
    // entry can have it from there only.
    Timer::after(Duration::from_secs(1)).await;
    deployment.agents.borrow_mut()[0].kill();
    check_answer(&send(entries[1]).await?)?;
    let runs: Vec<u32> = counters.runs.values().copied().collect();
    eyre::ensure!(runs == [1], "runs: {runs:?}");
    Ok(())
}

/// Sends the same order each time.
async fn send(entry: SocketAddr) -> eyre::Result<WholeResponse> {
    let client = Client::new(entry, ClientLimits::default());
    let path = format!("/services/{PLAIN_SERVICE}/ordenes");
    let mut request = client.request(Method::Post, &path)?;
    for (name, value) in [
        ("x-caller", "refugio-laguna"),
        ("idempotency-key", "orden-7"),
        ("request-timeout-ms", "5000"),
        ("authorization", "Bearer for-the-service"),
        ("accept-language", "es"),
        ("cookie", "c=3"),
        ("connection", "x-leg"),
        ("x-leg", "1"),
        ("x-priority", "0"),
    ] {
        request.insert_header(name, value);
    }
    request.append_header("x-tag", "one");
    request.append_header("x-tag", "two");
    request.insert_header("content-type", "application/json");
    request.set_body(json!({"mulas": 2}).to_string());
    Ok(client.send_whole(request).await?)
}

async fn counters(deployment: &Deployment) -> eyre::Result<PlainCounters> {
    call(deployment.plain, Method::Get, "/counters", None::<&()>)
        .await
        .ok_or_eyre("the plain service has no counters")
}

/// Guards against answers, first or stored, that lack fields of the service, merge lines of one
/// name, or carry fields of the connection between agent and service.
fn check_answer(answer: &WholeResponse) -> eyre::Result<()> {
    eyre::ensure!(answer.status == 200, "status {}", answer.status);
    for (name, _) in PASSING {
        let got: Vec<&str> = answer.headers.get(name).map_or_else(Vec::new, |values| {
            values.iter().map(HeaderValue::as_str).collect()
        });
        let sent: Vec<&str> = PASSING
            .iter()
            .filter(|(n, _)| *n == name)
            .map(|p| p.1)
            .collect();
        eyre::ensure!(got == sent, "{name}: {got:?}");
    }
    for (name, _) in STAYING {
        eyre::ensure!(
            answer.headers.get(name).is_none(),
            "{name} reached the caller"
        );
    }
    let served_by = answer
        .headers
        .get("x-served-by")
        .map(|v| v.as_str().to_owned());
    eyre::ensure!(served_by.as_deref() == Some("ordenes-0"), "{served_by:?}");
    Ok(())
}

/// Guards against requests that lack the caller's fields, or carry what is meant for the entry.
fn check_request(counters: &PlainCounters) -> eyre::Result<()> {
    let values = |name: &str| -> Vec<&str> {
        let named = counters.last_headers.iter().filter(|(n, _)| n == name);
        named.map(|(_, value)| value.as_str()).collect()
    };
    eyre::ensure!(values("authorization") == ["Bearer for-the-service"]);
    eyre::ensure!(values("accept-language") == ["es"]);
    eyre::ensure!(values("cookie") == ["c=3"]);
    eyre::ensure!(values("x-tag") == ["one", "two"]);
    eyre::ensure!(values("content-type") == ["application/json"]);
    eyre::ensure!(values("x-priority") != ["0"], "the caller set the priority");
    for name in [
        "x-caller",
        "idempotency-key",
        "request-timeout-ms",
        "connection",
        "x-leg",
    ] {
        eyre::ensure!(values(name).is_empty(), "{name} reached the service");
    }
    Ok(())
}
