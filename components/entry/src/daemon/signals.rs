//! Signals that ask the process to stop.

use std::io;
use std::rc::Rc;
use std::time::Duration;

use async_signal::Signal;
use async_signal::Signals;
use futures_lite::StreamExt;
use slog::Logger;
use slog::info;
use smol::Timer;

use crate::core::Note;
use crate::daemon::Daemon;
use crate::daemon::listeners::Callers;
use crate::daemon::listeners::Ports;

/// Waits for SIGTERM or SIGINT.
pub struct Stop {
    signals: Signals,
}

impl Stop {
    /// Starts to listen.
    pub fn listen() -> io::Result<Self> {
        let signals = Signals::new([Signal::Term, Signal::Int])?;
        Ok(Self { signals })
    }

    /// Waits for a signal, calls `leaving`, and returns when the balancer has had `notice_ms` to
    /// notice. A second signal ends only that wait.
    pub async fn wait(mut self, notice_ms: Duration, leaving: impl FnOnce(), logger: &Logger) {
        let _ = self.signals.next().await;
        info!(logger, "stop requested, health check fails from now on";
            "code" => "CS1005", "notice_ms" => millis(notice_ms));
        leaving();
        let noticed = async {
            Timer::after(notice_ms).await;
            false
        };
        let repeated = async {
            let _ = self.signals.next().await;
            true
        };
        if smol::future::or(noticed, repeated).await {
            info!(logger, "second stop request, not waiting for the balancer"; "code" => "CS1006");
        }
    }
}

/// Reads the settings again on every SIGHUP. Connections that are open keep the key that they
/// began with; new ones use the new keys.
pub fn spawn_reload(daemon: &Rc<Daemon>, callers: &Callers) -> io::Result<()> {
    let mut signals = Signals::new([Signal::Hup])?;
    let (daemon, ports) = (daemon.clone(), callers.ports.clone());
    daemon.clone().spawn(async move {
        while signals.next().await.is_some() {
            let error = reload(&daemon, &ports).err();
            daemon.note(&Note::SettingsReloaded { error });
        }
    });
    Ok(())
}

fn reload(daemon: &Daemon, ports: &Ports) -> Result<(), String> {
    let merged = settings::reload_entry(&daemon.settings(), &daemon.file)
        .map_err(|error| error.to_string())?;
    let keys = startup::keyring(&merged.keys).ok_or("`keys` is empty")?;
    ports.callers.set_limits(&merged.limits);
    ports.operators.set_operators(&merged.operators);
    daemon.keys.replace(keys);
    daemon.settings.replace(Rc::new(merged));
    Ok(())
}

fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
