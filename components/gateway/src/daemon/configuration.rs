//! Asks the store and the peers for newer configurations, and answers the peers' questions.
//!
//! Peers ask each other by HTTP on the TCP port of the same number as the one for datagrams, as a
//! configuration does not fit into a datagram. The answer holds the configuration as the platform
//! encodes it, if it is newer than the one of the peer that asks.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use freshness::Source;
use http::Client;
use http::ClientLimits;
use http::Exchange;
use http::Handler;
use http::HandlerFuture;
use http::Problem;
use http::Request;
use http::ServerLimits;
use http_types::Method;
use http_types::Response;
use http_types::StatusCode;
use rand::RngExt;
use serde::Deserialize;
use serde::Serialize;
use smol::Timer;
use types::HostName;

use crate::daemon::Daemon;
use crate::daemon::listen;
use crate::daemon::with_timeout;
use crate::deployment::ConfigurationVersion;

/// Interval at which it is checked whether a question is due.
const CHECK_INTERVAL_MS: Duration = Duration::from_millis(50);
/// Longest time for the answer to a question. Another one follows, to the store or to a peer.
const ANSWER_TIMEOUT_MS: Duration = Duration::from_millis(300);
/// Largest answer of a peer; the same as for a row of the store.
const ANSWER_LIMIT_BYTES: usize = 4 << 20;
/// Path of the question, followed by the version that the asking peer has.
const PATH: &str = "/configuration/";

/// Answer to a peer's question.
#[derive(Debug, Serialize, Deserialize)]
struct PeerAnswer {
    host: HostName,
    version: Option<ConfigurationVersion>,
    view_age_ms: Option<u64>,
    /// Configuration as the platform encodes it; `None` if it is not newer.
    encoded: Option<Vec<u8>>,
}

/// Answers and asks until the process ends.
pub(super) async fn start(daemon: &Rc<Daemon>) -> eyre::Result<()> {
    let listener = listen(daemon.settings.peers).await?;
    let handler = Rc::new(PeerQuestions {
        daemon: daemon.clone(),
    });
    let executor = daemon.executor();
    daemon.spawn(async move {
        let (stop_sender, stop) = smol::channel::bounded(1);
        // Cannot fail; serves until the process ends.
        let _ = http::serve(listener, ServerLimits::default(), handler, executor, stop).await;
        drop(stop_sender);
    });
    daemon.spawn(ask(daemon.clone()));
    Ok(())
}

async fn ask(daemon: Rc<Daemon>) {
    let host = daemon.settings.host.clone();
    loop {
        Timer::after(CHECK_INTERVAL_MS).await;
        let now = daemon.clock.now();
        let question = daemon
            .core
            .borrow_mut()
            .next_configuration_question(now, &host);
        let is_answered = match question {
            None => continue,
            Some(Source::Store) => ask_store(&daemon).await,
            Some(Source::Peer) => ask_peer(&daemon).await,
        };
        let now = daemon.clock.now();
        daemon
            .core
            .borrow_mut()
            .configuration_answered(now, &host, is_answered);
    }
}

async fn ask_store(daemon: &Rc<Daemon>) -> bool {
    let sink = |update| daemon.apply_update(update);
    let check = daemon.deployment.check_configuration(&sink);
    let is_answered = with_timeout(ANSWER_TIMEOUT_MS, check).await == Some(true);
    if is_answered {
        // A full channel holds a signal already.
        let _ = daemon.checked.0.try_send(());
    }
    is_answered
}

/// Asks the peer that is known to have a newer configuration, or any one.
async fn ask_peer(daemon: &Rc<Daemon>) -> bool {
    let Some(address) = peer_to_ask(daemon) else {
        return false;
    };
    let version = daemon.core.borrow().configuration().map(|c| c.version);
    let path = format!("{PATH}{}", version.unwrap_or_default());
    let client = Client::new(
        address,
        ClientLimits {
            connect_ms: ANSWER_TIMEOUT_MS,
            head_ms: ANSWER_TIMEOUT_MS,
            body_limit_bytes: ANSWER_LIMIT_BYTES,
            idle_connections: 0,
            ..ClientLimits::default()
        },
    );
    let Ok(request) = client.request(Method::Get, &path) else {
        return false;
    };
    let answer = with_timeout(ANSWER_TIMEOUT_MS, Box::pin(client.send_buffered(request))).await;
    let Some(Ok(response)) = answer else {
        return false;
    };
    let Ok(answer) = postcard::from_bytes::<PeerAnswer>(&response.body) else {
        return false;
    };
    if let Some(encoded) = &answer.encoded {
        let sink = |update| daemon.apply_update(update);
        daemon.deployment.apply_peer_configuration(encoded, &sink);
    }
    let age = answer.view_age_ms.map(Duration::from_millis);
    let now = daemon.clock.now();
    daemon
        .core
        .borrow_mut()
        .record_peer_configuration(now, &answer.host, answer.version, age);
    true
}

fn peer_to_ask(daemon: &Daemon) -> Option<SocketAddr> {
    let peers = daemon.peers.borrow();
    let core = daemon.core.borrow();
    let newer = core.peer_with_newer_configuration();
    let named = peers.iter().find(|peer| Some(&peer.host) == newer);
    // The named one may be cut off.
    let is_named_chosen = rand::rng().random_bool(0.7);
    let any = || peers.get(rand::rng().random_range(0..peers.len().max(1)));
    let chosen = named.filter(|_| is_named_chosen).or_else(any);
    chosen.map(|peer| peer.address)
}

/// HTTP handler for peers.
struct PeerQuestions {
    daemon: Rc<Daemon>,
}

impl PeerQuestions {
    fn answer(&self, after: ConfigurationVersion) -> PeerAnswer {
        let core = self.daemon.core.borrow();
        let version = core.configuration().map(|current| current.version);
        let age = core.configuration_age(self.daemon.clock.now());
        let is_newer = version.is_some_and(|version| version > after);
        let encoded = self.daemon.deployment.encoded_configuration();
        PeerAnswer {
            host: self.daemon.settings.host.clone(),
            version,
            view_age_ms: age.map(|age| u64::try_from(age.as_millis()).unwrap_or(u64::MAX)),
            encoded: encoded.filter(|_| is_newer).map(|bytes| bytes.to_vec()),
        }
    }
}

impl Handler for PeerQuestions {
    fn admit(&self, _: &http_types::Request) -> Result<u64, Problem> {
        Ok(0)
    }

    fn handle<'a>(&'a self, request: Request, exchange: &'a mut Exchange) -> HandlerFuture<'a> {
        Box::pin(async move {
            exchange.close_after_response();
            let after = request.target.strip_prefix(PATH);
            let (status, body) = match after.and_then(|after| after.parse().ok()) {
                Some(after) => {
                    let encoded = postcard::to_stdvec(&self.answer(after));
                    (StatusCode::Ok, encoded.unwrap_or_default())
                }
                None => (StatusCode::NotFound, Vec::new()),
            };
            // A failure means that the peer has disconnected.
            let _ = exchange.respond(Response::new(status), &body).await;
        })
    }
}
