//! Writes log events of the state machine as structured records.

use slog::Logger;
use slog::error;
use slog::info;
use slog::warn;
use wire::Rejection;

use crate::log_event::LogEvent;

pub fn write(logger: &Logger, event: &LogEvent) {
    let code = event.code();
    match event {
        LogEvent::Registered { applied } => {
            info!(logger, "target registered"; "code" => code, "applied" => applied);
        }
        LogEvent::TableFailed { step, detail } => {
            warn!(logger, "table call failed, will be retried";
                "code" => code, "step" => *step, "detail" => detail);
        }
        LogEvent::Superseded { by } => {
            error!(logger, "another agent process has registered for the target";
                "code" => code, "by" => format!("{by:016x}"));
        }
        LogEvent::Leaving { in_flight } => {
            info!(logger, "stopping"; "code" => code, "in_service" => in_flight);
        }
        LogEvent::RegistrationRefused { detail } => {
            error!(logger, "registration refused"; "code" => code, "detail" => detail);
        }
        LogEvent::Released => info!(logger, "target row released"; "code" => code),
        LogEvent::OrderStarted { number, kind } => {
            info!(logger, "order started"; "code" => code, "number" => number, "kind" => kind);
        }
        LogEvent::OrderSent { number, kind } => {
            info!(logger, "order sent to the engine";
                "code" => code, "number" => number, "kind" => kind);
        }
        LogEvent::OrderFailed { number, detail } => {
            warn!(logger, "order not accepted by the engine";
                "code" => code, "number" => number, "detail" => detail);
        }
        LogEvent::OrderExecuted { number } => {
            info!(logger, "order executed"; "code" => code, "number" => number);
        }
        LogEvent::OrderSuperseded { number, by } => {
            info!(logger, "order superseded"; "code" => code, "number" => number, "by" => by);
        }
        LogEvent::StateDiffers { number } => {
            warn!(logger, "engine is not in the ordered state";
                "code" => code, "number" => number);
        }
        LogEvent::EngineAway { away: true, detail } => {
            warn!(logger, "engine does not answer"; "code" => code, "detail" => detail);
        }
        LogEvent::EngineAway { away: false, .. } => {
            info!(logger, "engine answers"; "code" => code);
        }
        LogEvent::RunFailed {
            attempt,
            sent,
            detail,
        } => {
            warn!(logger, "run failed";
                "code" => code, "request" => format!("{:032x}", attempt.request),
                "attempt" => attempt.number, "sent" => sent, "detail" => detail);
        }
        LogEvent::LimitChanged { requests_per_s } => {
            info!(logger, "target limit changed"; "code" => code,
                "requests_per_s" => requests_per_s.as_deref());
        }
        LogEvent::RunResumed {
            attempt,
            offset,
            detail,
        } => {
            warn!(logger, "connection to the engine lost, asking for the rest of the answer";
                "code" => code, "request" => format!("{:032x}", attempt.request),
                "attempt" => attempt.number, "offset" => offset, "detail" => detail);
        }
        LogEvent::AnswerDropped { attempt } => {
            warn!(logger, "answer too long to be kept for resumption";
                "code" => code, "request" => format!("{:032x}", attempt.request),
                "attempt" => attempt.number);
        }
        LogEvent::ConnectionRefused { detail } => {
            warn!(logger, "connection refused"; "code" => code, "detail" => *detail);
        }
    }
}

/// Metric label of a rejection reason.
pub fn rejection_label(rejection: Rejection) -> &'static str {
    match rejection {
        Rejection::Leaving => "leaving",
        Rejection::Away => "away",
        Rejection::Overloaded => "overloaded",
        Rejection::WrongIncarnation => "wrong-incarnation",
        Rejection::WrongModel => "wrong-model",
        Rejection::Forbidden => "forbidden",
        Rejection::DeadlineExceeded => "deadline-exceeded",
        Rejection::Unreachable => "unreachable",
    }
}
