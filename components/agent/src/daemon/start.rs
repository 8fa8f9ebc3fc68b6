//! Starts the daemon from its settings.

use std::path::Path;
use std::rc::Rc;
use std::time::Instant;

use eyre::eyre;
use settings::AgentSettings;
use slog::Logger;
use slog::o;
use store::HttpOptions;
use store::HttpTable;
use store::HttpWeightStore;
use store::RateLimiter;
use store::RateLimits;
use store::RetryContext;
use store::RetryOptions;
use store::RetryingTable;
use store::SystemTimer;
use types::Incarnation;
use types::SystemClock;

use crate::daemon::DaemonConfig;
use crate::daemon::ReloadableSettings;
use crate::daemon::serve;
use crate::daemon::wall_ms;
use crate::limits::Limits;

/// Runs the agent until it is asked to stop, another process registers for the target, or the
/// target is withdrawn. `file` is read again on SIGHUP.
///
/// # Errors
///
/// The settings have no key, the port is in use, another agent process has registered for the
/// target, or the target was withdrawn.
pub fn run(settings: AgentSettings, file: &Path) -> eyre::Result<()> {
    let limits = limits(&settings);
    let keys = startup::keyring(&settings.keys)
        .ok_or_else(|| eyre!("field `keys`: state at least one key"))?;
    let logger = logger(&settings, limits.incarnation);
    let table = HttpTable::new(settings.platform.table, HttpOptions::default());
    let context = RetryContext {
        clock: Rc::new(SystemClock),
        timer: Rc::new(SystemTimer),
        rate_limit: Rc::new(RateLimiter::new(&RateLimits::default(), Instant::now())),
    };
    let retrying_table = RetryingTable::new(
        Rc::new(table),
        RetryOptions::default(),
        context,
        limits.incarnation,
    );
    let weights = HttpWeightStore::new(settings.platform.weights, HttpOptions::default());
    serve(DaemonConfig {
        limits,
        listen: settings.listen,
        target: settings.target.address,
        keys,
        table: Rc::new(retrying_table),
        weights: Rc::new(weights),
        logger,
        reload: Some(ReloadableSettings {
            settings,
            file: file.to_owned(),
        }),
    })
}

/// Logger whose records contain the target and the incarnation.
pub fn logger(settings: &AgentSettings, incarnation: Incarnation) -> Logger {
    startup::logger(settings.log).new(o!(
        "target" => settings.target.name.clone(),
        "incarnation" => format!("{incarnation:016x}"),
    ))
}

fn limits(settings: &AgentSettings) -> Limits {
    let incarnation = startup::random_incarnation();
    let target = &settings.target;
    let advertised = settings.advertise.unwrap_or(settings.listen);
    let concurrency = concurrency(settings);
    Limits {
        service: target.service.clone(),
        kind: target.kind,
        host: settings.host.clone(),
        data_centre: settings.data_centre.clone(),
        started_wall_ms: wall_ms(),
        honours_fencing: target.honours_fencing,
        concurrency,
        queue: concurrency,
        order_poll_ms: settings.order_poll_ms,
        order_backup_poll_ms: settings.order_backup_poll_ms,
        order_settle_ms: settings.order_settle_ms,
        notice_ms: settings.drain.notice_ms,
        ..Limits::new(target.name.clone(), incarnation, advertised)
    }
}

/// Maximum number of concurrent runs at the target.
pub fn concurrency(settings: &AgentSettings) -> usize {
    usize::try_from(settings.concurrency).unwrap_or(usize::MAX)
}
