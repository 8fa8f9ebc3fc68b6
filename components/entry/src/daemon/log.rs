//! Writes log events of the core as log records.

use slog::Logger;
use slog::debug;
use slog::error;
use slog::info;
use slog::warn;

use crate::core::Note;

/// Writes the record of a log event.
pub fn write(logger: &Logger, note: &Note) {
    let code = note.code();
    match note {
        Note::Started { incarnation } => {
            info!(logger, "entry started"; "code" => code, "incarnation" => hex(*incarnation));
        }
        Note::Stopping { in_flight } => {
            info!(logger, "finishing requests in flight"; "code" => code, "in_flight" => in_flight);
        }
        Note::Stopped => info!(logger, "entry stopped"; "code" => code),
        Note::ConfigurationApplied { revision } => {
            info!(logger, "configuration applied"; "code" => code, "revision" => revision);
        }
        Note::ConfigurationRejected { detail } => {
            error!(logger, "configuration record rejected"; "code" => code, "detail" => detail);
        }
        Note::TargetUp {
            target,
            incarnation,
        } => info!(logger, "target connected";
            "code" => code, "target" => target, "incarnation" => hex(*incarnation)),
        Note::TargetDown { target, detail } => {
            warn!(logger, "target connection lost";
                "code" => code, "target" => target, "detail" => detail);
        }
        Note::IncarnationEnded {
            target,
            incarnation,
        } => warn!(logger, "agent was replaced";
            "code" => code, "target" => target, "incarnation" => hex(*incarnation)),
        Note::RequestSettled { request, summary } => debug!(logger, "request settled";
            "code" => code, "request" => format!("{request:032x}"),
            "service" => &summary.service, "outcome" => format!("{:?}", summary.outcome),
            "total_ms" => summary.total_ms.as_millis(),
            "attempts" => format!("{:?}", summary.attempts)),
        Note::LeaseAcquired { scope, fencing } => {
            info!(logger, "lease acquired";
                "code" => code, "scope" => scope, "fencing" => fencing);
        }
        Note::LeaseLost { scope } => {
            info!(logger, "lease lost"; "code" => code, "scope" => scope);
        }
        Note::OrderPlanned {
            service,
            target,
            reason,
        } => info!(logger, "order planned";
            "code" => code, "service" => service, "target" => target, "reason" => reason),
        Note::OrderNotWritten { service, detail } => {
            warn!(logger, "planned order not written";
                "code" => code, "service" => service, "detail" => detail);
        }
        Note::HostListFailed { detail } => {
            warn!(logger, "host list not read"; "code" => code, "detail" => detail);
        }
        Note::ObjectStoreFailed { detail } => {
            warn!(logger, "object store not reached"; "code" => code, "detail" => detail);
        }
        Note::DatagramRefused { detail } => {
            warn!(logger, "datagram refused"; "code" => code, "detail" => detail);
        }
        Note::PeerRefused { detail } => {
            warn!(logger, "peer connection refused"; "code" => code, "detail" => detail);
        }
        Note::SettingsReloaded { error } => match error {
            None => info!(logger, "settings reloaded"; "code" => code),
            Some(detail) => {
                error!(logger, "settings not reloaded"; "code" => code, "detail" => detail);
            }
        },
    }
}

fn hex(incarnation: u64) -> String {
    format!("{incarnation:016x}")
}
