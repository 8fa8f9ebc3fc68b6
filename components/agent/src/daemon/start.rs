//! Start of the daemon from its settings.

use std::io;
use std::rc::Rc;
use std::sync::Mutex;
use std::time::Instant;

use eyre::eyre;
use platform::BudgetOptions;
use platform::GuardContext;
use platform::Guarded;
use platform::HttpOptions;
use platform::HttpTable;
use platform::HttpWeightStore;
use platform::RateBudget;
use platform::RetryOptions;
use platform::SystemTimer;
use settings::AgentSettings;
use settings::Log;
use settings::LogFormat;
use settings::LogLevel;
use slog::Drain;
use slog::Level;
use slog::LevelFilter;
use slog::Logger;
use slog::o;
use types::SystemClock;
use wire::Key;
use wire::Keyring;

use crate::daemon::Parts;
use crate::daemon::serve;
use crate::daemon::wall_ms;
use crate::limits::Limits;

/// Runs the agent until it is asked to stop or loses its target.
///
/// # Errors
///
/// The port is taken, another run of the agent holds the target, or the target was withdrawn.
pub fn run(settings: AgentSettings) -> eyre::Result<()> {
    let limits = limits(&settings);
    let keys = keys(&settings).ok_or_else(|| eyre!("field `keys`: state at least one key"))?;
    let logger = logger(settings.log).new(o!(
        "target" => limits.target.clone(),
        "incarnation" => format!("{:016x}", limits.incarnation),
    ));
    let table = HttpTable::new(settings.platform.table, HttpOptions::default());
    let context = GuardContext {
        clock: Rc::new(SystemClock),
        timer: Rc::new(SystemTimer),
        budget: Rc::new(RateBudget::new(&BudgetOptions::default(), Instant::now())),
    };
    let guarded = Guarded::new(
        Rc::new(table),
        RetryOptions::default(),
        context,
        limits.incarnation,
    );
    let weights = HttpWeightStore::new(settings.platform.weights, HttpOptions::default());
    serve(Parts {
        limits,
        listen: settings.listen,
        target: settings.target.address,
        keys,
        table: Rc::new(guarded),
        weights: Rc::new(weights),
        logger,
    })
}

fn limits(settings: &AgentSettings) -> Limits {
    // 0 stands for a released row.
    let incarnation = rand::random::<u64>().max(1);
    let target = &settings.target;
    let advertised = settings.advertise.unwrap_or(settings.listen);
    let concurrency = usize::try_from(settings.concurrency).unwrap_or(usize::MAX);
    Limits {
        service: target.service.clone(),
        kind: target.kind,
        host: settings.host.clone(),
        place: settings.place.clone(),
        started_wall_ms: wall_ms(),
        honours_fencing: target.honours_fencing,
        concurrency,
        queue: concurrency,
        order_poll_ms: settings.order_poll_ms,
        order_settle_ms: settings.order_settle_ms,
        notice_ms: settings.drain.notice_ms,
        ..Limits::new(target.name.clone(), incarnation, advertised)
    }
}

fn keys(settings: &AgentSettings) -> Option<Keyring> {
    let keys = settings.keys.iter().map(|key| Key {
        id: key.id,
        secret: key.secret.0,
    });
    Keyring::new(keys.collect())
}

/// Writes to standard error on the calling thread.
fn logger(log: Log) -> Logger {
    let level = match log.level {
        LogLevel::Error => Level::Error,
        LogLevel::Warning => Level::Warning,
        LogLevel::Info => Level::Info,
        LogLevel::Debug => Level::Debug,
    };
    match log.format {
        LogFormat::Json => {
            let drain = Mutex::new(slog_json::Json::default(io::stderr())).fuse();
            Logger::root(LevelFilter::new(drain, level).fuse(), o!())
        }
        LogFormat::Text => {
            let decorator = slog_term::PlainSyncDecorator::new(io::stderr());
            let drain = slog_term::FullFormat::new(decorator).build().fuse();
            Logger::root(LevelFilter::new(drain, level).fuse(), o!())
        }
    }
}
