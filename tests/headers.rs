//! Header fields of requests and responses between caller, entry, agent and plain service.
//!
//! The program starts copies of itself as the daemons, so it does not use the test harness.

use std::net::SocketAddr;
use std::process::ExitCode;
use std::rc::Rc;
use std::time::Duration;

use eyre::OptionExt;
use http::BufferedResponse;
use http::Client;
use http::ClientLimits;
use http_types::Method;
use http_types::headers::HeaderValue;
use serde_json::json;
use smol::LocalExecutor;
use smol::Timer;
use standin::plain::PlainCounters;
use testbed::Deployment;
use testbed::DeploymentOptions;
use testbed::deployment::PLAIN_SERVICE;
use testbed::deployment::call;

/// Response fields of the service that reach the caller.
const FORWARDED: [(&str, &str); 11] = [
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
/// Response fields of the service that do not reach the caller: hop-by-hop fields.
const HOP_BY_HOP: [(&str, &str); 4] = [
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
    let deployment = Deployment::start(DeploymentOptions {
        engines: 0,
        entries: 2,
        instant: true,
        forwarder: false,
        plain_delay_ms: 0,
        log_requests: false,
    })
    .await?;
    let result = check_headers(&deployment).await;
    deployment.stop().await;
    deployment.remove_files(result.is_err());
    result
}

async fn check_headers(deployment: &Deployment) -> eyre::Result<()> {
    let headers: Vec<(&str, &str)> = FORWARDED.into_iter().chain(HOP_BY_HOP).collect();
    call::<serde_json::Value>(deployment.plain, Method::Post, "/headers", Some(&headers))
        .await
        .ok_or_eyre("the plain service did not accept the response headers to send")?;
    let entries = deployment.callers();
    check_response(&send(entries[0]).await?)?;
    let counters = counters(deployment).await?;
    check_request(&counters)?;

    // The entry writes the response to the table after sending it. Once the agent is killed, the
    // table is the only source of the response for the other entry.
    Timer::after(Duration::from_secs(1)).await;
    deployment.agents.borrow_mut()[0].kill();
    check_response(&send(entries[1]).await?)?;
    let runs: Vec<u32> = counters.runs.values().copied().collect();
    eyre::ensure!(runs == [1], "expected one run of the request, got {runs:?}");
    Ok(())
}

/// Sends a request with the same idempotency key on each call.
async fn send(entry: SocketAddr) -> eyre::Result<BufferedResponse> {
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
    Ok(client.send_buffered(request).await?)
}

async fn counters(deployment: &Deployment) -> eyre::Result<PlainCounters> {
    call(deployment.plain, Method::Get, "/counters", None::<&()>)
        .await
        .ok_or_eyre("the plain service did not return its counters")
}

/// Guards against responses, original or stored, that lack fields of the service, merge fields of
/// one name, or include hop-by-hop fields of the connection between agent and service.
fn check_response(response: &BufferedResponse) -> eyre::Result<()> {
    eyre::ensure!(
        response.status == 200,
        "expected status 200, got {}",
        response.status
    );
    for (name, _) in FORWARDED {
        let received: Vec<&str> = response.headers.get(name).map_or_else(Vec::new, |values| {
            values.iter().map(HeaderValue::as_str).collect()
        });
        let sent: Vec<&str> = FORWARDED
            .iter()
            .filter(|(n, _)| *n == name)
            .map(|p| p.1)
            .collect();
        eyre::ensure!(
            received == sent,
            "{name}: expected {sent:?}, got {received:?}"
        );
    }
    for (name, _) in HOP_BY_HOP {
        eyre::ensure!(
            response.headers.get(name).is_none(),
            "{name} reached the caller"
        );
    }
    let served_by = response
        .headers
        .get("x-served-by")
        .map(|v| v.as_str().to_owned());
    eyre::ensure!(
        served_by.as_deref() == Some("ordenes-0"),
        "x-served-by: {served_by:?}"
    );
    Ok(())
}

/// Guards against requests to the service that lack fields of the caller, or include fields meant
/// for the entry.
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
    eyre::ensure!(
        values("x-priority") != ["0"],
        "the service received the caller's x-priority"
    );
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
