//! Log records on standard error.
//!
//! Records are written by the thread that makes them. A separate logging thread would not fit
//! one loop on one thread, and records at the level `info` are rare.

use std::io;
use std::sync::Mutex;

use settings::EntrySettings;
use settings::LogFormat;
use settings::LogLevel;
use slog::Drain;
use slog::Level;
use slog::Logger;
use slog::debug;
use slog::error;
use slog::info;
use slog::o;
use slog::warn;

use crate::core::Note;

/// Logger as the settings ask for it.
pub fn logger(settings: &EntrySettings) -> Logger {
    let level = match settings.log.level {
        LogLevel::Error => Level::Error,
        LogLevel::Warning => Level::Warning,
        LogLevel::Info => Level::Info,
        LogLevel::Debug => Level::Debug,
    };
    let context = o!("entry" => settings.name.clone());
    match settings.log.format {
        LogFormat::Json => {
            let drain = slog_json::Json::default(io::stderr());
            Logger::root(Mutex::new(drain).filter_level(level).ignore_res(), context)
        }
        LogFormat::Text => {
            let decorator = slog_term::PlainSyncDecorator::new(io::stderr());
            let drain = slog_term::FullFormat::new(decorator).build();
            Logger::root(drain.filter_level(level).ignore_res(), context)
        }
    }
}

/// Writes one record.
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
        Note::AgentGone {
            target,
            incarnation,
        } => warn!(logger, "agent was replaced";
            "code" => code, "target" => target, "incarnation" => hex(*incarnation)),
        Note::RequestSettled { request, summary } => debug!(logger, "request settled";
            "code" => code, "request" => format!("{request:032x}"),
            "service" => &summary.service, "outcome" => format!("{:?}", summary.outcome),
            "targets" => summary.targets.join(" ")),
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
