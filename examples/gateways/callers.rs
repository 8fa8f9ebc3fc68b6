//! Callers that keep connections open and send one request after the other.

use std::cell::Cell;
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use http::Client;
use http::ClientLimits;
use rand::RngExt;
use rand::rngs::StdRng;
use smol::Timer;
use standin::staged_engine::EVENT_COUNT;
use standin::staged_engine::event;
use standin::staged_engine::plain_response_body;
use testbed::gateways::TestRequest;
use testbed::gateways::send;

use crate::verdict::Answer;
use crate::verdict::Verdict;

/// Time that a caller waits.
const PATIENCE_MS: Duration = Duration::from_secs(3);
/// Time beyond it after which the caller hangs up.
const HANG_UP_MS: Duration = Duration::from_millis(500);
/// Pause between two requests.
const PAUSE_MS: Duration = Duration::from_millis(20);
/// Prefixes of the routes.
const PREFIXES: [&str; 4] = ["/read/", "/order/", "/draft/", "/tag/"];

/// One caller.
pub struct Caller {
    /// Number.
    pub number: usize,
    /// Gateways.
    pub addresses: Vec<SocketAddr>,
    /// Where answers are noted.
    pub verdict: Rc<RefCell<Verdict>>,
    /// No further requests are to be sent.
    pub is_over: Rc<Cell<bool>>,
    /// Draws.
    pub random: StdRng,
}

impl Caller {
    /// Sends requests until the run is over.
    pub async fn run(mut self) {
        let limits = ClientLimits {
            head_ms: PATIENCE_MS + HANG_UP_MS,
            stall_ms: PATIENCE_MS + HANG_UP_MS,
            connect_ms: Duration::from_secs(1),
            ..ClientLimits::default()
        };
        let clients: Vec<_> = self
            .addresses
            .iter()
            .map(|address| Client::new(*address, limits))
            .collect();
        let mut count = 0_u32;
        while !self.is_over.get() {
            count += 1;
            let prefix = PREFIXES[self.random.random_range(0..PREFIXES.len())];
            let client = &clients[self.random.random_range(0..clients.len())];
            let id = format!("c{}-{count}", self.number);
            let is_prompt = matches!(prefix, "/draft/" | "/tag/");
            let tokens = self.random.random_range(300..20_000);
            let sent = TestRequest {
                id: &id,
                path: &format!("{prefix}{count}"),
                timeout_ms: PATIENCE_MS,
                tokens: is_prompt.then_some(tokens),
            };
            let sent_at = Instant::now();
            let answer = match send(client, &sent).await {
                Ok(whole) => {
                    let expected = if is_prompt {
                        (1..=EVENT_COUNT).map(|number| event(&id, number)).collect()
                    } else {
                        plain_response_body(&id)
                    };
                    Answer::Whole {
                        status: u16::from(whole.status),
                        is_own: whole.body == expected.as_bytes(),
                    }
                }
                Err(error) => Answer::None {
                    detail: error.to_string(),
                },
            };
            let took = sent_at.elapsed();
            self.verdict
                .borrow_mut()
                .note(&id, prefix, sent_at, took, answer);
            Timer::after(PAUSE_MS).await;
        }
    }
}
