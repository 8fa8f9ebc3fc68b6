//! Writes log events of the core as log records.

use slog::Logger;
use slog::debug;
use slog::error;
use slog::info;
use slog::warn;

use crate::core::LogEvent;

/// Writes the record of a log event.
pub fn write(logger: &Logger, event: &LogEvent) {
    let code = event.code();
    match event {
        LogEvent::Started { incarnation } => {
            info!(logger, "entry started"; "code" => code, "incarnation" => hex(*incarnation));
        }
        LogEvent::Stopping { in_flight } => {
            info!(logger, "finishing requests in flight"; "code" => code, "in_flight" => in_flight);
        }
        LogEvent::Stopped => info!(logger, "entry stopped"; "code" => code),
        LogEvent::ConfigurationApplied { revision } => {
            info!(logger, "configuration applied"; "code" => code, "revision" => revision);
        }
        LogEvent::ConfigurationRejected { detail } => {
            error!(logger, "configuration record rejected"; "code" => code, "detail" => detail);
        }
        LogEvent::TargetUp {
            target,
            incarnation,
        } => info!(logger, "target connected";
            "code" => code, "target" => target, "incarnation" => hex(*incarnation)),
        LogEvent::TargetDown { target, detail } => {
            warn!(logger, "target connection lost";
                "code" => code, "target" => target, "detail" => detail);
        }
        LogEvent::IncarnationEnded {
            target,
            incarnation,
        } => warn!(logger, "agent was replaced";
            "code" => code, "target" => target, "incarnation" => hex(*incarnation)),
        LogEvent::RequestSettled { request, summary } => debug!(logger, "request settled";
            "code" => code, "request" => format!("{request:032x}"),
            "service" => &summary.service, "outcome" => format!("{:?}", summary.outcome),
            "total_ms" => summary.total_ms.as_millis(),
            "attempts" => format!("{:?}", summary.attempts)),
        LogEvent::PartChange(change) => warn!(logger, "prompt part state changed";
            "code" => code, "part" => hex(change.part),
            "state" => format!("{:?}", change.state).to_lowercase(),
            "crashes" => change.crashes, "remaining_ms" => change.remaining_ms.as_millis()),
        LogEvent::LeaseAcquired { scope, fencing } => {
            info!(logger, "lease acquired";
                "code" => code, "scope" => scope, "fencing" => fencing);
        }
        LogEvent::LeaseLost { scope } => {
            info!(logger, "lease lost"; "code" => code, "scope" => scope);
        }
        LogEvent::OrderPlanned {
            service,
            target,
            reason,
        } => info!(logger, "order planned";
            "code" => code, "service" => service, "target" => target, "reason" => reason),
        LogEvent::OrderNotWritten { service, detail } => {
            warn!(logger, "planned order not written";
                "code" => code, "service" => service, "detail" => detail);
        }
        LogEvent::HostListFailed { detail } => {
            warn!(logger, "host list not read"; "code" => code, "detail" => detail);
        }
        LogEvent::ObjectStoreFailed { detail } => {
            warn!(logger, "object store not reached"; "code" => code, "detail" => detail);
        }
        LogEvent::DatagramRefused { detail } => {
            warn!(logger, "datagram refused"; "code" => code, "detail" => detail);
        }
        LogEvent::PeerRefused { detail } => {
            warn!(logger, "peer connection refused"; "code" => code, "detail" => detail);
        }
        LogEvent::SettingsReloaded { error } => match error {
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
