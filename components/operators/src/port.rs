//! HTTP handler of the operators' port.

use std::cell::RefCell;
use std::io;
use std::rc::Rc;

use ::control::CommandError;
use ::control::CommandRequest;
use async_channel::Receiver;
use http::Exchange;
use http::Handler;
use http::HandlerFuture;
use http::HungUp;
use http::Problem;
use http::Request;
use http::ServerLimits;
use http_types::Method;
use http_types::Response;
use http_types::StatusCode;
use serde::Serialize;
use settings::OperatorSettings;
use smol::LocalExecutor;
use smol::net::TcpListener;

use crate::auth::OperatorTokens;
use crate::client::ActiveProfile;
use crate::control::Control;

/// Largest number of records in a response to `GET /audit`.
const AUDIT_MAX_RECORDS: usize = 1000;
/// Number of records in a response to `GET /audit` without `limit`.
const AUDIT_DEFAULT_RECORDS: usize = 50;
/// Largest request body; the largest commands contain a profile, which has less than 2 KiB.
const BODY_LIMIT_BYTES: u64 = 64 << 10;
/// Most open connections of operators.
const CONNECTION_LIMIT: usize = 64;

/// Authenticates operators and handles their requests.
pub struct OperatorsPort {
    control: Rc<dyn Control>,
    operators: RefCell<OperatorTokens>,
}

/// Serves operators until the stop channel is closed and the requests in progress are finished.
///
/// # Errors
///
/// As `http::serve`.
pub async fn serve(
    listener: TcpListener,
    port: Rc<OperatorsPort>,
    executor: Rc<LocalExecutor<'static>>,
    stop: Receiver<()>,
) -> io::Result<()> {
    let limits = ServerLimits {
        connections: CONNECTION_LIMIT,
        ..ServerLimits::default()
    };
    http::serve(listener, limits, port, executor, stop).await
}

impl OperatorsPort {
    /// Accepts the tokens of the given operators.
    #[must_use]
    pub fn new(operators: &[OperatorSettings], control: Rc<dyn Control>) -> Self {
        Self {
            control,
            operators: RefCell::new(OperatorTokens::new(operators)),
        }
    }

    /// Replaces the operators whose tokens are accepted.
    pub fn set_operators(&self, operators: &[OperatorSettings]) {
        self.operators.replace(OperatorTokens::new(operators));
    }

    fn authenticate(&self, head: &http_types::Request) -> Result<String, Problem> {
        head.header("authorization")
            .and_then(|values| {
                let operators = self.operators.borrow();
                operators
                    .authenticate(values.last().as_str())
                    .map(str::to_owned)
            })
            .ok_or_else(|| {
                let detail = "send `Authorization: Bearer` with an operator's token";
                Problem::new(401, "unauthorized", detail).field("Authorization")
            })
    }

    async fn respond(&self, request: &Request, exchange: &mut Exchange) -> Result<(), HungUp> {
        let operator = match self.authenticate(&request.head) {
            Ok(operator) => operator,
            Err(problem) => return send_problem(exchange, &problem).await,
        };
        let path = request.head.url().path();
        match (request.head.method(), path) {
            (Method::Post, "/commands") => self.execute(operator, &request.body, exchange).await,
            (Method::Get, "/profiles") => {
                let profiles: Vec<_> = self
                    .control
                    .profiles()
                    .into_iter()
                    .map(|(revision, profile)| ActiveProfile { revision, profile })
                    .collect();
                send_json(exchange, StatusCode::Ok, &profiles).await
            }
            (Method::Get, "/services") => {
                send_json(exchange, StatusCode::Ok, &self.control.services()).await
            }
            (Method::Get, "/status") => {
                send_json(exchange, StatusCode::Ok, &self.control.status()).await
            }
            (Method::Get, "/audit") => self.audit(&request.head, exchange).await,
            (Method::Get, _) if path.starts_with("/explain/") => {
                self.explain(&path["/explain/".len()..], exchange).await
            }
            _ => send_problem(exchange, &unknown_path()).await,
        }
    }

    /// Executes a command to its end even if the operator disconnects.
    async fn execute(
        &self,
        operator: String,
        body: &[u8],
        exchange: &mut Exchange,
    ) -> Result<(), HungUp> {
        let request: CommandRequest = match serde_json::from_slice(body) {
            Ok(request) => request,
            Err(error) => {
                let problem = Problem::new(
                    400,
                    "bad-request",
                    format!("the body is not a valid command: {error}"),
                );
                return send_problem(exchange, &problem).await;
            }
        };
        match self.control.execute(operator, request).await {
            Ok(outcome) => send_json(exchange, StatusCode::Ok, &outcome).await,
            Err(error) => send_json(exchange, error_status(&error), &error).await,
        }
    }

    async fn explain(&self, subject: &str, exchange: &mut Exchange) -> Result<(), HungUp> {
        if let Some(explanation) = self.control.explain(subject) {
            return send_json(exchange, StatusCode::Ok, &explanation).await;
        }
        let error = CommandError::NotFound {
            item: subject.to_owned(),
        };
        send_json(exchange, StatusCode::NotFound, &error).await
    }

    async fn audit(
        &self,
        head: &http_types::Request,
        exchange: &mut Exchange,
    ) -> Result<(), HungUp> {
        let mut before = None;
        let mut limit = AUDIT_DEFAULT_RECORDS;
        for (name, value) in head.url().query_pairs() {
            let number = value.parse::<u64>().ok();
            match (&*name, number) {
                ("before", Some(revision)) => before = Some(revision),
                ("limit", Some(count)) => {
                    limit = usize::try_from(count)
                        .map_or(AUDIT_MAX_RECORDS, |c| c.min(AUDIT_MAX_RECORDS));
                }
                _ => {
                    let detail = "use before=REVISION and limit=NUMBER";
                    let problem = Problem::new(400, "bad-request", detail).field(name.into_owned());
                    return send_problem(exchange, &problem).await;
                }
            }
        }
        match self.control.audit(before, limit).await {
            Ok(changes) => send_json(exchange, StatusCode::Ok, &changes).await,
            Err(error) => send_json(exchange, error_status(&error), &error).await,
        }
    }
}

impl Handler for OperatorsPort {
    fn admit(&self, head: &http_types::Request) -> Result<u64, Problem> {
        self.authenticate(head).map(|_| BODY_LIMIT_BYTES)
    }

    fn handle<'a>(&'a self, request: Request, exchange: &'a mut Exchange) -> HandlerFuture<'a> {
        Box::pin(async move {
            // If the operator has disconnected, no cleanup is needed: commands are not aborted.
            let _ = self.respond(&request, exchange).await;
        })
    }
}

fn error_status(error: &CommandError) -> StatusCode {
    match error {
        CommandError::NotFound { .. } => StatusCode::NotFound,
        CommandError::Conflict { .. }
        | CommandError::Exists { .. }
        | CommandError::InUse { .. }
        | CommandError::Refused { .. } => StatusCode::Conflict,
        CommandError::Invalid { .. } => StatusCode::UnprocessableEntity,
        CommandError::Unavailable { .. } => StatusCode::ServiceUnavailable,
        CommandError::Unanswered { .. } => StatusCode::GatewayTimeout,
    }
}

fn unknown_path() -> Problem {
    let detail = "use POST /commands, or GET /profiles, /services, /status, /explain/{subject} or \
                  /audit";
    Problem::new(404, "unknown-path", detail)
}

async fn send_json(
    exchange: &mut Exchange,
    status: StatusCode,
    body: &impl Serialize,
) -> Result<(), HungUp> {
    let mut head = Response::new(status);
    head.insert_header("content-type", "application/json");
    match serde_json::to_vec(body) {
        Ok(body) => exchange.respond(head, &body).await,
        Err(error) => {
            send_problem(exchange, &Problem::new(500, "internal", error.to_string())).await
        }
    }
}

async fn send_problem(exchange: &mut Exchange, problem: &Problem) -> Result<(), HungUp> {
    let (mut head, body) = problem.to_response();
    if problem.status == 401 {
        head.insert_header("www-authenticate", "Bearer");
    }
    exchange.respond(head, &body).await
}
