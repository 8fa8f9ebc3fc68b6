//! Log events of the state machine, as numbered records.

use slog::Logger;
use slog::error;
use slog::info;
use slog::warn;
use wire::Rejection;

use crate::report::Note;

/// Writes one event.
pub fn write(logger: &Logger, note: &Note) {
    let code = note.code();
    match note {
        Note::Registered { applied } => {
            info!(logger, "target row held"; "code" => code, "applied" => applied);
        }
        Note::TableFailed { step, detail } => {
            warn!(logger, "table call failed, will be repeated";
                "code" => code, "step" => *step, "detail" => detail);
        }
        Note::Superseded { by } => {
            error!(logger, "another run holds the target";
                "code" => code, "by" => format!("{by:016x}"));
        }
        Note::Leaving { in_service } => {
            info!(logger, "stopping"; "code" => code, "in_service" => in_service);
        }
        Note::RegistrationRefused { detail } => {
            error!(logger, "target cannot be held"; "code" => code, "detail" => detail);
        }
        Note::Released => info!(logger, "target row released"; "code" => code),
        Note::OrderStarted { number, kind } => {
            info!(logger, "order started"; "code" => code, "number" => number, "kind" => kind);
        }
        Note::OrderPassed { number, kind } => {
            info!(logger, "order passed to the engine";
                "code" => code, "number" => number, "kind" => kind);
        }
        Note::OrderFailed { number, detail } => {
            warn!(logger, "order not taken by the engine";
                "code" => code, "number" => number, "detail" => detail);
        }
        Note::OrderDone { number } => {
            info!(logger, "order executed"; "code" => code, "number" => number);
        }
        Note::OrderSuperseded { number, by } => {
            info!(logger, "order superseded"; "code" => code, "number" => number, "by" => by);
        }
        Note::StateDiffers { number } => {
            warn!(logger, "engine is not in the ordered state";
                "code" => code, "number" => number);
        }
        Note::EngineAway { away: true, detail } => {
            warn!(logger, "engine does not answer"; "code" => code, "detail" => detail);
        }
        Note::EngineAway { away: false, .. } => {
            info!(logger, "engine answers"; "code" => code);
        }
        Note::RunFailed {
            attempt,
            sent,
            detail,
        } => {
            warn!(logger, "run failed";
                "code" => code, "request" => format!("{:032x}", attempt.request),
                "attempt" => attempt.number, "sent" => sent, "detail" => detail);
        }
        Note::RunResumed {
            attempt,
            offset,
            detail,
        } => {
            warn!(logger, "connection to the engine lost, asking for the rest of the answer";
                "code" => code, "request" => format!("{:032x}", attempt.request),
                "attempt" => attempt.number, "offset" => offset, "detail" => detail);
        }
        Note::AnswerDropped { attempt } => {
            warn!(logger, "answer too long to be kept for resumption";
                "code" => code, "request" => format!("{:032x}", attempt.request),
                "attempt" => attempt.number);
        }
        Note::ConnectionRefused { detail } => {
            warn!(logger, "connection refused"; "code" => code, "detail" => *detail);
        }
    }
}

/// Label of a rejection in metrics.
pub fn reason(reason: Rejection) -> &'static str {
    match reason {
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
