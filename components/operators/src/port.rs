//! The operators' port.

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

use crate::auth::Operators;
use crate::client::ProfileInForce;
use crate::control::Control;

/// Most records that one read of the audit trail returns.
pub const AUDIT_LIMIT: usize = 1000;
/// Records that a read of the audit trail returns unless it says otherwise.
const AUDIT_DEFAULT: usize = 50;
/// Largest command; a profile takes less than 2 KiB.
const BODY_LIMIT_BYTES: u64 = 64 << 10;
/// Connections of operators at once.
const CONNECTIONS: usize = 64;

/// Handler of operators' requests.
pub struct OperatorsPort {
    control: Rc<dyn Control>,
    operators: RefCell<Operators>,
}

/// Serves operators until the stop channel is closed and every answer is finished.
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
        connections: CONNECTIONS,
        ..ServerLimits::default()
    };
    http::serve(listener, limits, port, executor, stop).await
}

impl OperatorsPort {
    /// A port for these operators.
    #[must_use]
    pub fn new(operators: &[OperatorSettings], control: Rc<dyn Control>) -> Self {
        Self {
            control,
            operators: RefCell::new(Operators::new(operators)),
        }
    }

    /// Takes over a changed list of operators.
    pub fn set_operators(&self, operators: &[OperatorSettings]) {
        self.operators.replace(Operators::new(operators));
    }

    fn operator(&self, head: &http_types::Request) -> Result<String, Problem> {
        head.header("authorization")
            .and_then(|values| {
                let operators = self.operators.borrow();
                operators.name_of(values.last().as_str()).map(str::to_owned)
            })
            .ok_or_else(|| {
                let detail = "state `Authorization: Bearer` with an operator's token";
                Problem::new(401, "unauthorized", detail).field("Authorization")
            })
    }

    async fn answer(&self, request: &Request, exchange: &mut Exchange) -> Result<(), HungUp> {
        let operator = match self.operator(&request.head) {
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
                    .map(|(revision, profile)| ProfileInForce { revision, profile })
                    .collect();
                send(exchange, StatusCode::Ok, &profiles).await
            }
            (Method::Get, "/services") => {
                send(exchange, StatusCode::Ok, &self.control.services()).await
            }
            (Method::Get, "/status") => {
                send(exchange, StatusCode::Ok, &self.control.status()).await
            }
            (Method::Get, "/audit") => self.audit(&request.head, exchange).await,
            (Method::Get, _) if path.starts_with("/explain/") => {
                self.explain(&path["/explain/".len()..], exchange).await
            }
            _ => send_problem(exchange, &unknown_route()).await,
        }
    }

    /// A command is carried out to its end even if the operator hangs up.
    async fn execute(
        &self,
        operator: String,
        body: &[u8],
        exchange: &mut Exchange,
    ) -> Result<(), HungUp> {
        let request: CommandRequest = match serde_json::from_slice(body) {
            Ok(request) => request,
            Err(error) => {
                let problem = Problem::new(400, "bad-request", format!("no command: {error}"));
                return send_problem(exchange, &problem).await;
            }
        };
        match self.control.execute(operator, request).await {
            Ok(outcome) => send(exchange, StatusCode::Ok, &outcome).await,
            Err(error) => send(exchange, status(&error), &error).await,
        }
    }

    async fn explain(&self, subject: &str, exchange: &mut Exchange) -> Result<(), HungUp> {
        if let Some(explanation) = self.control.explain(subject) {
            return send(exchange, StatusCode::Ok, &explanation).await;
        }
        let error = CommandError::NotFound {
            item: subject.to_owned(),
        };
        send(exchange, StatusCode::NotFound, &error).await
    }

    async fn audit(
        &self,
        head: &http_types::Request,
        exchange: &mut Exchange,
    ) -> Result<(), HungUp> {
        let mut before = None;
        let mut limit = AUDIT_DEFAULT;
        for (name, value) in head.url().query_pairs() {
            let number = value.parse::<u64>().ok();
            match (&*name, number) {
                ("before", Some(revision)) => before = Some(revision),
                ("limit", Some(count)) => {
                    limit = usize::try_from(count).map_or(AUDIT_LIMIT, |c| c.min(AUDIT_LIMIT));
                }
                _ => {
                    let detail = "use before=REVISION and limit=NUMBER";
                    let problem = Problem::new(400, "bad-request", detail).field(name.into_owned());
                    return send_problem(exchange, &problem).await;
                }
            }
        }
        match self.control.audit(before, limit).await {
            Ok(changes) => send(exchange, StatusCode::Ok, &changes).await,
            Err(error) => send(exchange, status(&error), &error).await,
        }
    }
}

impl Handler for OperatorsPort {
    fn admit(&self, head: &http_types::Request) -> Result<u64, Problem> {
        self.operator(head).map(|_| BODY_LIMIT_BYTES)
    }

    fn handle<'a>(&'a self, request: Request, exchange: &'a mut Exchange) -> HandlerFuture<'a> {
        Box::pin(async move {
            // A hang-up needs no reaction: the command is already carried out.
            let _ = self.answer(&request, exchange).await;
        })
    }
}

fn status(error: &CommandError) -> StatusCode {
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

fn unknown_route() -> Problem {
    let detail = "use POST /commands, or GET /profiles, /services, /status, /explain/{subject} or \
                  /audit";
    Problem::new(404, "unknown-path", detail)
}

async fn send(
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
    let (mut head, body) = problem.to_answer();
    if problem.status == 401 {
        head.insert_header("www-authenticate", "Bearer");
    }
    exchange.respond(head, &body).await
}
