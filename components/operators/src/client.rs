//! Client of the operators' port.

use std::fmt;
use std::net::SocketAddr;

use ::control::CommandError;
use ::control::CommandOutcome;
use ::control::CommandRequest;
use http::Client;
use http::ClientError;
use http::ClientLimits;
use http::Problem;
use http::WholeResponse;
use http_types::Method;
use serde::Deserialize;
use serde::Serialize;
use serde::de::DeserializeOwned;
use types::Change;
use types::Profile;
use types::Revision;
use types::Service;

/// A profile and the revision of the change that put it in force.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ProfileInForce {
    /// Revision of its latest change.
    pub revision: Revision,
    /// The profile.
    pub profile: Profile,
}

/// A call that failed.
#[derive(Debug, Clone, PartialEq)]
pub enum OperatorError {
    /// The entry refused or could not carry out the command.
    Command(CommandError),
    /// The entry did not understand or accept the request.
    Refused(Box<Problem>),
    /// The entry was not reached; nothing was changed.
    Unreachable(String),
    /// The entry's answer was lost; a command may have been carried out.
    Interrupted(String),
    /// The entry's answer makes no sense to this version.
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
                    "the entry was not reached ({detail}); check --entry, or use another entry"
                )
            }
            Self::Interrupted(detail) => write!(
                f,
                "the entry's answer is lost ({detail}); look at `chervilspool audit` before you \
                 repeat a command"
            ),
            Self::Malformed(detail) => write!(f, "the entry's answer is malformed: {detail}"),
        }
    }
}

impl std::error::Error for OperatorError {}

impl From<ClientError> for OperatorError {
    fn from(error: ClientError) -> Self {
        match error {
            ClientError::NotSent { detail } => Self::Unreachable(detail),
            ClientError::Interrupted { detail } => Self::Interrupted(detail),
        }
    }
}

/// Client of one entry's operators' port.
#[derive(Debug, Clone)]
pub struct OperatorsClient {
    http: Client,
    authorization: String,
}

impl OperatorsClient {
    /// A client that has not connected yet.
    #[must_use]
    pub fn new(addr: SocketAddr, token: &str) -> Self {
        Self {
            http: Client::new(addr, ClientLimits::default()),
            authorization: format!("Bearer {token}"),
        }
    }

    /// Carries out a command.
    ///
    /// # Errors
    ///
    /// Only `Interrupted` and `CommandError::Unanswered` leave open whether it was carried out.
    pub async fn execute(&self, request: &CommandRequest) -> Result<CommandOutcome, OperatorError> {
        let body = serde_json::to_vec(request).map_err(malformed)?;
        self.call(Method::Post, "/commands", body).await
    }

    /// Profiles in force at the entry.
    ///
    /// # Errors
    ///
    /// If the entry does not answer.
    pub async fn profiles(&self) -> Result<Vec<ProfileInForce>, OperatorError> {
        self.get("/profiles").await
    }

    /// Services in force at the entry.
    ///
    /// # Errors
    ///
    /// If the entry does not answer.
    pub async fn services(&self) -> Result<Vec<Service>, OperatorError> {
        self.get("/services").await
    }

    /// State of the fleet as the entry sees it.
    ///
    /// # Errors
    ///
    /// If the entry does not answer.
    pub async fn status(&self) -> Result<serde_json::Value, OperatorError> {
        self.get("/status").await
    }

    /// What is known about a request id or target name.
    ///
    /// # Errors
    ///
    /// `CommandError::NotFound` if nothing is.
    pub async fn explain(&self, subject: &str) -> Result<serde_json::Value, OperatorError> {
        self.get(&format!("/explain/{subject}")).await
    }

    /// Records of the change log, newest first.
    ///
    /// # Errors
    ///
    /// If the entry or the table does not answer.
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
        let answer = self.http.send_whole(request).await?;
        if answer.status.is_success() {
            return serde_json::from_slice(&answer.body).map_err(malformed);
        }
        Err(failure(&answer))
    }
}

fn failure(answer: &WholeResponse) -> OperatorError {
    if let Ok(error) = serde_json::from_slice(&answer.body) {
        return OperatorError::Command(error);
    }
    match serde_json::from_slice(&answer.body) {
        Ok(problem) => OperatorError::Refused(Box::new(problem)),
        Err(_) => OperatorError::Malformed(format!("status {}", answer.status)),
    }
}

#[allow(clippy::needless_pass_by_value)] // signature of map_err
fn malformed(error: serde_json::Error) -> OperatorError {
    OperatorError::Malformed(error.to_string())
}
