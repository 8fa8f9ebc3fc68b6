//! HTTP client of the engine's control interface.

use std::net::SocketAddr;
use std::time::Duration;

use http::BufferedResponse;
use http::Client;
use http::ClientError;
use http::ClientLimits;
use http_types::Method;
use http_types::StatusCode;
use serde::Deserialize;
use serde::Serialize;
use serde::de::DeserializeOwned;
use types::CacheEvent;
use types::FencingNumber;
use types::Order;
use types::OrderKind;
use types::OrderNumber;

use crate::event::EngineLoad;
use crate::event::EngineState;
use crate::event::OrderOutcome;

/// Timeout of state, load and cache queries.
const QUERY_LIMIT_MS: Duration = Duration::from_secs(2);
/// Timeout for the reply to an order; must be shorter than `order_settle_ms`.
const ORDER_LIMIT_MS: Duration = Duration::from_secs(5);
/// Maximum length of a reply.
const BODY_LIMIT_BYTES: usize = 1 << 20;

/// Client of the engine's control interface.
pub struct EngineClient {
    queries: Client,
    orders: Client,
}

#[derive(Serialize)]
struct OrderBody<'a> {
    number: OrderNumber,
    fencing: FencingNumber,
    order: &'a OrderKind,
}

#[derive(Deserialize)]
struct CacheAnswer {
    events: Vec<CacheEvent>,
}

impl EngineClient {
    /// Creates a client without open connections.
    #[must_use]
    pub fn new(address: SocketAddr) -> Self {
        Self {
            queries: Client::new(address, limits(QUERY_LIMIT_MS)),
            orders: Client::new(address, limits(ORDER_LIMIT_MS)),
        }
    }

    /// Fetches the engine's state.
    ///
    /// # Errors
    ///
    /// The cause, if there is no valid answer.
    pub async fn state(&self) -> Result<EngineState, String> {
        self.get("/state").await
    }

    /// Fetches the engine's load; `None` on any error.
    pub async fn load(&self) -> Option<EngineLoad> {
        self.get("/load").await.ok()
    }

    /// Fetches the cache events after a sequence number; `None` on any error.
    pub async fn cache_events(&self, after: u64) -> Option<Vec<CacheEvent>> {
        let path = format!("/cache/events?after={after}");
        let answer: CacheAnswer = self.get(&path).await.ok()?;
        Some(answer.events)
    }

    async fn get<T: DeserializeOwned>(&self, path: &str) -> Result<T, String> {
        let request = self
            .queries
            .request(Method::Get, path)
            .map_err(|error| error.to_string())?;
        let response = self
            .queries
            .send_buffered(request)
            .await
            .map_err(|error| error.to_string())?;
        if !response.status.is_success() {
            return Err(format!("{path} returned status {}", response.status));
        }
        serde_json::from_slice(&response.body).map_err(|error| format!("{path}: {error}"))
    }

    /// Sends an order. Outcomes differ in whether the order may have taken effect.
    pub async fn send_order(&self, order: &Order) -> OrderOutcome {
        let body = OrderBody {
            number: order.number,
            fencing: order.fencing,
            order: &order.kind,
        };
        let answer = self.post("/orders", &body).await;
        match answer {
            Ok(response) if response.status.is_success() => OrderOutcome::Accepted,
            Ok(response) => {
                let detail = format!(
                    "{} {}",
                    response.status,
                    String::from_utf8_lossy(&response.body)
                );
                match response.status {
                    StatusCode::Conflict => OrderOutcome::Fenced(detail),
                    StatusCode::ServiceUnavailable => OrderOutcome::Refused(detail),
                    // An engine that fails with a server error may have begun the change.
                    status if status.is_server_error() => OrderOutcome::Unanswered(detail),
                    _ => OrderOutcome::Refused(detail),
                }
            }
            Err(error) if error.was_sent() => OrderOutcome::Unanswered(error.to_string()),
            Err(error) => OrderOutcome::NotSent(error.to_string()),
        }
    }

    async fn post(
        &self,
        path: &str,
        body: &impl Serialize,
    ) -> Result<BufferedResponse, ClientError> {
        let mut request = self.orders.request(Method::Post, path)?;
        request.insert_header("content-type", "application/json");
        request.set_body(serde_json::to_string(body).unwrap_or_default());
        self.orders.send_buffered(request).await
    }
}

fn limits(answer_ms: Duration) -> ClientLimits {
    ClientLimits {
        idle_connections: 2,
        connect_ms: QUERY_LIMIT_MS,
        head_ms: answer_ms,
        stall_ms: answer_ms,
        body_ms: QUERY_LIMIT_MS,
        body_limit_bytes: BODY_LIMIT_BYTES,
        ..ClientLimits::default()
    }
}
