//! Conversion of refusals to HTTP error responses.

use http::Problem;
use types::Refusal;
use types::RefusalReason;

/// HTTP status of a refusal.
#[must_use]
pub(crate) fn status(reason: RefusalReason) -> u16 {
    match reason {
        RefusalReason::BadRequest | RefusalReason::KeyRequired => 400,
        RefusalReason::UnknownService => 404,
        RefusalReason::KeyReused => 422,
        RefusalReason::Overloaded
        | RefusalReason::NoTarget
        | RefusalReason::StoreUnavailable
        | RefusalReason::NotReady
        | RefusalReason::Leaving => 503,
        RefusalReason::DeadlineExceeded => 504,
        RefusalReason::TargetFailed | RefusalReason::OutcomeUnknown => 502,
    }
}

/// Problem document of a refusal.
#[must_use]
pub(crate) fn problem(refusal: &Refusal) -> Problem {
    let problem = Problem::new(
        status(refusal.reason),
        kind(refusal.reason),
        refusal.detail.clone(),
    )
    .run(refusal.run);
    match refusal.retry_after_ms {
        Some(after_ms) => problem.retry_after(after_ms),
        None => problem,
    }
}

fn kind(reason: RefusalReason) -> &'static str {
    match reason {
        RefusalReason::BadRequest => "bad-request",
        RefusalReason::UnknownService => "unknown-service",
        RefusalReason::KeyRequired => "key-required",
        RefusalReason::KeyReused => "key-reused",
        RefusalReason::Overloaded => "overloaded",
        RefusalReason::NoTarget => "no-target",
        RefusalReason::StoreUnavailable => "store-unavailable",
        RefusalReason::NotReady => "not-ready",
        RefusalReason::Leaving => "leaving",
        RefusalReason::DeadlineExceeded => "deadline-exceeded",
        RefusalReason::TargetFailed => "target-failed",
        RefusalReason::OutcomeUnknown => "outcome-unknown",
    }
}
