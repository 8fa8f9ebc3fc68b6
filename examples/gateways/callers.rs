//! Callers that send one request after another on keep-alive connections.

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

/// Timeout that a caller states in its requests.
const REQUEST_TIMEOUT_MS: Duration = Duration::from_secs(3);
/// Additional time after which the caller closes the connection.
const HANG_UP_DELAY_MS: Duration = Duration::from_millis(500);
/// Pause between two requests.
const PAUSE_MS: Duration = Duration::from_millis(20);
/// Part of a prompt that crashes engines, and number of requests of which one has it.
pub const DEADLY_PART: &str = "dead";
const DEADLY_INTERVAL: usize = 50;
/// Path of the request that crashes engines, and number of requests of which one is that.
pub const DEADLY_PATH: &str = "/read/dead";
const DEADLY_PATH_INTERVAL: usize = 60;
/// Build of some engines; the others have the first one.
pub const SECOND_BUILD: &str = "v2";
/// Events that an engine sends before it breaks a stream off.
const EVENTS_BEFORE_BREAK: u32 = 2;
/// Path prefixes of the routes.
const PREFIXES: [&str; 4] = ["/read/", "/order/", "/draft/", "/tag/"];

pub struct Caller {
    /// Distinguishes the ids of this caller's requests.
    pub number: usize,
    /// Gateways, one of which is picked for each request.
    pub addresses: Vec<SocketAddr>,
    /// Collects the answers.
    pub verdict: Rc<RefCell<Verdict>>,
    /// Set by the run; no further requests are sent.
    pub is_finished: Rc<Cell<bool>>,
    pub random: StdRng,
}

impl Caller {
    /// Sends requests until the run is over.
    pub async fn run(mut self) {
        let limits = ClientLimits {
            head_ms: REQUEST_TIMEOUT_MS + HANG_UP_DELAY_MS,
            stall_ms: REQUEST_TIMEOUT_MS + HANG_UP_DELAY_MS,
            connect_ms: Duration::from_secs(1),
            ..ClientLimits::default()
        };
        let clients: Vec<_> = self
            .addresses
            .iter()
            .map(|address| Client::new(*address, limits))
            .collect();
        let mut count = 0_u32;
        while !self.is_finished.get() {
            count += 1;
            let prefix = PREFIXES[self.random.random_range(0..PREFIXES.len())];
            let client = &clients[self.random.random_range(0..clients.len())];
            let id = format!("c{}-{count}", self.number);
            let has_prompt = matches!(prefix, "/draft/" | "/tag/");
            // Without a random number, so that seeds give the same requests as before.
            let has_deadly_part =
                has_prompt && (count as usize + self.number).is_multiple_of(DEADLY_INTERVAL);
            let is_deadly_request = prefix == "/read/"
                && (count as usize + 3 * self.number).is_multiple_of(DEADLY_PATH_INTERVAL);
            let path = if is_deadly_request {
                DEADLY_PATH.to_owned()
            } else {
                format!("{prefix}{count}")
            };
            let tokens = self.random.random_range(300..20_000);
            let sent = TestRequest {
                id: &id,
                path: &path,
                timeout_ms: REQUEST_TIMEOUT_MS,
                tokens: has_prompt.then_some(tokens),
                part: has_deadly_part.then_some(DEADLY_PART),
                resumes: None,
            };
            let sent_at = Instant::now();
            let answer = match send(client, &sent).await {
                Ok(response) => {
                    let expected = if has_prompt {
                        (1..=EVENT_COUNT).map(|number| event(&id, number)).collect()
                    } else {
                        plain_response_body(&id)
                    };
                    Answer::Complete {
                        status: u16::from(response.status),
                        is_expected: response.body == expected.as_bytes(),
                    }
                }
                Err(error) => Answer::Missing {
                    detail: error.to_string(),
                },
            };
            let duration = sent_at.elapsed();
            if prefix == "/tag/" && matches!(answer, Answer::Missing { .. }) {
                let resumed = TestRequest {
                    id: &format!("{id}r"),
                    resumes: Some((&id, EVENTS_BEFORE_BREAK)),
                    ..sent.clone()
                };
                // The ledger shows whether it went on at another build.
                let next = (count as usize + self.number) % clients.len();
                let _ = send(&clients[next], &resumed).await;
            }
            self.verdict
                .borrow_mut()
                .record_answer(&id, prefix, sent_at, duration, answer);
            if has_deadly_part || is_deadly_request {
                self.verdict.borrow_mut().record_deadly(&id);
            }
            Timer::after(PAUSE_MS).await;
        }
    }
}
