//! Client of the operators' API.

use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;

use ::control::CommandError;
use ::control::CommandOutcome;
use ::control::CommandRequest;
use http::BufferedResponse;
use http::Client;
use http::ClientError;
use http::ClientLimits;
use http::Problem;
use http_types::Method;
use serde::Deserialize;
use serde::Serialize;
use serde::de::DeserializeOwned;
use types::Change;
use types::Profile;
use types::Revision;
use types::Service;

/// Longest time for the body of an answer.
const BODY_TIMEOUT_MS: Duration = Duration::from_secs(10);

/// An active profile, as returned by `GET /profiles`.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ActiveProfile {
    /// Revision of the profile's latest change.
    pub revision: Revision,
    /// Content of the profile at this revision.
    pub profile: Profile,
}

/// Error of a request to the operators' API.
#[derive(Debug, Clone, PartialEq)]
pub enum OperatorError {
    /// The entry rejected the command or could not execute it.
    Command(CommandError),
    /// The entry rejected the HTTP request, for example for its token.
    Refused(Box<Problem>),
    /// The request was not sent; nothing was changed.
    Unreachable(String),
    /// The response was lost; a command may have been executed.
    Interrupted(String),
    /// The response could not be decoded, for example because the entry has another version.
    Malformed(String),
}

impl fmt::Display for OperatorError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Command(error) => error.fmt(f),
            Self::Refused(problem) => write!(f, "{}: {}", problem.title, problem.detail),
            Self::Unreachable(detail) => {
                write!(
                    f,
                    "could not connect to the entry ({detail}); check --entry, or use another entry"
                )
            }
            Self::Interrupted(detail) => write!(
                f,
                "the entry's response was lost ({detail}); check `chervilspool audit` before you \
                 repeat a command"
            ),
            Self::Malformed(detail) => write!(f, "the entry's response is malformed: {detail}"),
        }
    }
}

impl std::error::Error for OperatorError {}

impl From<ClientError> for OperatorError {
    fn from(error: ClientError) -> Self {
        match error {
            ClientError::NotSent { detail } => Self::Unreachable(detail),
            ClientError::Interrupted { detail, .. } => Self::Interrupted(detail),
        }
    }
}

/// Client of the operators' API of one entry.
#[derive(Debug, Clone)]
pub struct OperatorsClient {
    http: Client,
    authorization: String,
}

impl OperatorsClient {
    /// A client that connects when a request is sent.
    #[must_use]
    pub fn new(addr: SocketAddr, token: &str) -> Self {
        let limits = ClientLimits {
            body_ms: BODY_TIMEOUT_MS,
            ..ClientLimits::default()
        };
        Self {
            http: Client::new(addr, limits),
            authorization: format!("Bearer {token}"),
        }
    }

    /// Executes a command.
    ///
    /// # Errors
    ///
    /// Only after `Interrupted` and `CommandError::Unanswered` is it unknown whether the command
    /// was executed.
    pub async fn execute(&self, request: &CommandRequest) -> Result<CommandOutcome, OperatorError> {
        let body = serde_json::to_vec(request).map_err(decode_error)?;
        self.call(Method::Post, "/commands", body).await
    }

    /// Active profiles in the entry's configuration.
    ///
    /// # Errors
    ///
    /// If the request fails.
    pub async fn profiles(&self) -> Result<Vec<ActiveProfile>, OperatorError> {
        self.get("/profiles").await
    }

    /// Services in the entry's configuration.
    ///
    /// # Errors
    ///
    /// If the request fails.
    pub async fn services(&self) -> Result<Vec<Service>, OperatorError> {
        self.get("/services").await
    }

    /// State of targets and entries from the view of the entry.
    ///
    /// # Errors
    ///
    /// If the request fails.
    pub async fn status(&self) -> Result<serde_json::Value, OperatorError> {
        self.get("/status").await
    }

    /// Information about a request ID or target name.
    ///
    /// # Errors
    ///
    /// `CommandError::NotFound` if the entry has none.
    pub async fn explain(&self, subject: &str) -> Result<serde_json::Value, OperatorError> {
        self.get(&format!("/explain/{subject}")).await
    }

    /// Records of the audit trail, newest first: at most `limit`, with revisions below `before`.
    ///
    /// # Errors
    ///
    /// If the request fails, or the entry cannot read the table.
    pub async fn audit(
        &self,
        before: Option<Revision>,
        limit: usize,
    ) -> Result<Vec<Change>, OperatorError> {
        let before = before.map_or(String::new(), |revision| format!("&before={revision}"));
        self.get(&format!("/audit?limit={limit}{before}")).await
    }

    async fn get<T: DeserializeOwned>(&self, path: &str) -> Result<T, OperatorError> {
        self.call(Method::Get, path, Vec::new()).await
    }

    async fn call<T: DeserializeOwned>(
        &self,
        method: Method,
        path: &str,
        body: Vec<u8>,
    ) -> Result<T, OperatorError> {
        let mut request = self.http.request(method, path)?;
        request.insert_header("authorization", self.authorization.as_str());
        if !body.is_empty() {
            request.insert_header("content-type", "application/json");
        }
        request.set_body(body);
        let answer = self.http.send_buffered(request).await?;
        if answer.status.is_success() {
            return serde_json::from_slice(&answer.body).map_err(decode_error);
        }
        Err(response_error(&answer))
    }
}

fn response_error(answer: &BufferedResponse) -> OperatorError {
    if let Ok(error) = serde_json::from_slice(&answer.body) {
        return OperatorError::Command(error);
    }
    match serde_json::from_slice(&answer.body) {
        Ok(problem) => OperatorError::Refused(Box::new(problem)),
        Err(_) => OperatorError::Malformed(format!("status {}", answer.status)),
    }
}

#[allow(clippy::needless_pass_by_value)] // signature of map_err
fn decode_error(error: serde_json::Error) -> OperatorError {
    OperatorError::Malformed(error.to_string())
}
