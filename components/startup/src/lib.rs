//! Start-up functions that the daemons share: incarnation, keyring and logger.

use std::io;
use std::sync::Mutex;

use settings::KeySettings;
use settings::Log;
use settings::LogFormat;
use settings::LogLevel;
use slog::Drain;
use slog::Level;
use slog::LevelFilter;
use slog::Logger;
use slog::o;
use types::Incarnation;
use wire::Key;
use wire::Keyring;

/// Random identifier of this run of the process. 0 is never returned, because it marks a released
/// row or lease.
#[must_use]
pub fn random_incarnation() -> Incarnation {
    rand::random::<u64>().max(1)
}

/// Keys that authenticate frames and datagrams; `None` if the settings contain no key.
#[must_use]
pub fn keyring(keys: &[KeySettings]) -> Option<Keyring> {
    let keys = keys.iter().map(|key| Key {
        id: key.id,
        secret: key.secret.0,
    });
    Keyring::new(keys.collect())
}

/// Logger to standard error. Records are written synchronously by the calling thread, because a
/// daemon runs a single event loop on one thread, and records at the level `info` are rare.
pub fn logger(log: Log) -> Logger {
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
