//! HTTP clients for the table, object store, weight store and host list.

use std::net::SocketAddr;
use std::time::Duration;

use http::BufferedResponse;
use http::Client;
use http::ClientError;
use http::ClientLimits;
use http::Problem;
use http_types::Method;
use http_types::StatusCode;
use percent_encoding::AsciiSet;
use percent_encoding::NON_ALPHANUMERIC;
use percent_encoding::utf8_percent_encode;

use crate::StoreError;
use crate::StoreFuture;
use crate::hosts::HostEntry;
use crate::hosts::HostList;
use crate::objects::ObjectStore;
use crate::table::Table;
use crate::table::TableReply;
use crate::table::TableRequest;
use crate::weights::WeightStore;

/// Characters to escape in a path segment: all but the unreserved characters of RFC 3986.
const PATH_SEGMENT: &AsciiSet = &NON_ALPHANUMERIC
    .remove(b'-')
    .remove(b'.')
    .remove(b'_')
    .remove(b'~');
/// Media type of table requests.
const TABLE_MEDIA_TYPE: &str = "application/json";
/// Media type of objects.
const OBJECT_MEDIA_TYPE: &str = "application/octet-stream";
/// Longest time for a whole answer, as a multiple of that for each part of it.
const BODY_TIMEOUT_FACTOR: u32 = 5;
/// Delay before the next request for a load if the weight store refuses one without a delay.
const DEFAULT_LOAD_DELAY_MS: Duration = Duration::from_secs(1);

/// Timeouts and limits of an HTTP client.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct HttpOptions {
    /// Timeout for opening a connection.
    pub connect_ms: Duration,
    /// Timeout for the head of an answer, and for each further part of it.
    pub answer_ms: Duration,
    /// Maximum size of an answer.
    pub body_limit_bytes: usize,
}

impl Default for HttpOptions {
    fn default() -> Self {
        Self {
            connect_ms: Duration::from_millis(500),
            answer_ms: Duration::from_secs(2),
            body_limit_bytes: 16 << 20,
        }
    }
}

/// HTTP client for the table.
#[derive(Debug, Clone)]
pub struct HttpTable(ServiceClient);

/// HTTP client for the object store.
#[derive(Debug, Clone)]
pub struct HttpObjectStore(ServiceClient);

/// HTTP client for the weight store.
#[derive(Debug, Clone)]
pub struct HttpWeightStore(ServiceClient);

/// HTTP client for the host list.
#[derive(Debug, Clone)]
pub struct HttpHostList(ServiceClient);

impl HttpTable {
    /// Creates a client for the table at `address`.
    #[must_use]
    pub fn new(address: SocketAddr, options: HttpOptions) -> Self {
        Self(ServiceClient::new(address, options))
    }
}

impl HttpObjectStore {
    /// Creates a client for the object store at `address`.
    #[must_use]
    pub fn new(address: SocketAddr, options: HttpOptions) -> Self {
        Self(ServiceClient::new(address, options))
    }
}

impl HttpWeightStore {
    /// Creates a client for the weight store at `address`.
    #[must_use]
    pub fn new(address: SocketAddr, options: HttpOptions) -> Self {
        Self(ServiceClient::new(address, options))
    }
}

impl HttpHostList {
    /// Creates a client for the host list at `address`.
    #[must_use]
    pub fn new(address: SocketAddr, options: HttpOptions) -> Self {
        Self(ServiceClient::new(address, options))
    }
}

impl Table for HttpTable {
    fn call(&self, request: TableRequest) -> StoreFuture<'_, TableReply> {
        Box::pin(async move {
            let body = serde_json::to_vec(&request)
                .map_err(|error| StoreError::Unavailable(error.to_string()))?;
            let response = self
                .0
                .send(Method::Post, "/table", Some((TABLE_MEDIA_TYPE, body)))
                .await?;
            decode(&expect_success(response)?)
        })
    }
}

impl ObjectStore for HttpObjectStore {
    fn put<'a>(&'a self, key: &'a str, bytes: Vec<u8>) -> StoreFuture<'a, ()> {
        Box::pin(async move {
            let path = object_path(key);
            let response = self
                .0
                .send(Method::Put, &path, Some((OBJECT_MEDIA_TYPE, bytes)))
                .await?;
            expect_success(response).map(drop)
        })
    }

    fn get<'a>(&'a self, key: &'a str) -> StoreFuture<'a, Option<Vec<u8>>> {
        Box::pin(async move {
            let response = self.0.send(Method::Get, &object_path(key), None).await?;
            if response.status == StatusCode::NotFound {
                return Ok(None);
            }
            expect_success(response).map(Some)
        })
    }

    fn delete<'a>(&'a self, key: &'a str) -> StoreFuture<'a, ()> {
        Box::pin(async move {
            let response = self.0.send(Method::Delete, &object_path(key), None).await?;
            if response.status == StatusCode::NotFound {
                return Ok(());
            }
            expect_success(response).map(drop)
        })
    }
}

impl WeightStore for HttpWeightStore {
    fn reserve<'a>(
        &'a self,
        model: &'a str,
        version: &'a str,
    ) -> StoreFuture<'a, Option<Duration>> {
        Box::pin(async move {
            let path = format!(
                "/weights/{}/{}",
                encode_segment(model),
                encode_segment(version)
            );
            let response = self.0.send(Method::Post, &path, None).await?;
            if response.status == StatusCode::TooManyRequests {
                return Ok(Some(retry_after(&response)));
            }
            expect_success(response).map(|_| None)
        })
    }
}

impl HostList for HttpHostList {
    fn hosts(&self) -> StoreFuture<'_, Vec<HostEntry>> {
        Box::pin(async move {
            let response = self.0.send(Method::Get, "/hosts", None).await?;
            decode(&expect_success(response)?)
        })
    }
}

/// HTTP client with the connection pool of one service.
#[derive(Debug, Clone)]
struct ServiceClient {
    client: Client,
}

impl ServiceClient {
    fn new(address: SocketAddr, options: HttpOptions) -> Self {
        let limits = ClientLimits {
            connect_ms: options.connect_ms,
            head_ms: options.answer_ms,
            stall_ms: options.answer_ms,
            body_ms: options.answer_ms * BODY_TIMEOUT_FACTOR,
            body_limit_bytes: options.body_limit_bytes,
            ..ClientLimits::default()
        };
        Self {
            client: Client::new(address, limits),
        }
    }

    async fn send(
        &self,
        method: Method,
        path: &str,
        body: Option<(&str, Vec<u8>)>,
    ) -> Result<BufferedResponse, StoreError> {
        let mut request = self.client.request(method, path).map_err(client_error)?;
        if let Some((media_type, body)) = body {
            request.insert_header("content-type", media_type);
            request.set_body(body);
        }
        self.client
            .send_buffered(request)
            .await
            .map_err(client_error)
    }
}

fn client_error(error: ClientError) -> StoreError {
    match error {
        ClientError::NotSent { detail } => StoreError::Unavailable(detail),
        ClientError::Interrupted { detail, .. } => StoreError::Unanswered(detail),
    }
}

/// Returns the body of a successful answer. Status 503 and 429 mean that the call was refused and
/// had no effect; after any other server error it may have taken effect.
fn expect_success(response: BufferedResponse) -> Result<Vec<u8>, StoreError> {
    let status = response.status;
    if status.is_success() {
        return Ok(response.body);
    }
    let detail = || {
        let body = String::from_utf8_lossy(&response.body);
        let excerpt: String = body.chars().take(200).collect();
        format!("status {status}: {excerpt}")
    };
    Err(match status {
        StatusCode::TooManyRequests => StoreError::RateLimited,
        StatusCode::ServiceUnavailable => StoreError::Unavailable(detail()),
        status if status.is_server_error() => StoreError::Unanswered(detail()),
        _ => StoreError::Malformed(detail()),
    })
}

fn decode<T: serde::de::DeserializeOwned>(body: &[u8]) -> Result<T, StoreError> {
    serde_json::from_slice(body).map_err(|error| StoreError::Malformed(error.to_string()))
}

/// Delay from the problem document, which gives milliseconds, or else from `Retry-After`.
fn retry_after(response: &BufferedResponse) -> Duration {
    let from_body = serde_json::from_slice::<Problem>(&response.body)
        .ok()
        .and_then(|problem| problem.retry_after_ms)
        .map(Duration::from_millis);
    let from_head = || {
        let seconds = response.headers.get("retry-after")?.as_str().parse().ok()?;
        Some(Duration::from_secs(seconds))
    };
    from_body
        .or_else(from_head)
        .unwrap_or(DEFAULT_LOAD_DELAY_MS)
}

fn object_path(key: &str) -> String {
    format!("/objects/{}", encode_segment(key))
}

fn encode_segment(text: &str) -> String {
    utf8_percent_encode(text, PATH_SEGMENT).to_string()
}
