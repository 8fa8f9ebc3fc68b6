//! Signals that stop the process or reload its settings.

use std::io;
use std::rc::Rc;
use std::time::Duration;

use async_signal::Signal;
use async_signal::Signals;
use futures_lite::StreamExt;
use slog::Logger;
use slog::info;
use smol::Timer;

use crate::core::LogEvent;
use crate::daemon::Daemon;
use crate::daemon::listeners::Ports;
use crate::daemon::listeners::RunningServers;

/// Receives SIGTERM and SIGINT.
pub struct StopSignals {
    signals: Signals,
}

impl StopSignals {
    /// Registers the signal handlers.
    pub fn listen() -> io::Result<Self> {
        let signals = Signals::new([Signal::Term, Signal::Int])?;
        Ok(Self { signals })
    }

    /// Waits for a signal, calls `on_stop`, and returns after `notice_ms`, in which the balancer
    /// can detect the failing health check. A second signal ends only the wait for the balancer.
    pub async fn wait_for_stop(
        mut self,
        notice_ms: Duration,
        on_stop: impl FnOnce(),
        logger: &Logger,
    ) {
        let _ = self.signals.next().await;
        info!(logger, "stop requested, health check fails from now on";
            "code" => "CS1005", "notice_ms" => as_ms(notice_ms));
        on_stop();
        let notice_over = async {
            Timer::after(notice_ms).await;
            false
        };
        let second_signal = async {
            let _ = self.signals.next().await;
            true
        };
        if smol::future::or(notice_over, second_signal).await {
            info!(logger, "second stop request, not waiting for the balancer"; "code" => "CS1006");
        }
    }
}

/// Reloads the settings on SIGHUP. Open connections keep the key with which they were
/// established; new ones use the new keys.
pub fn spawn_reload(daemon: &Rc<Daemon>, servers: &RunningServers) -> io::Result<()> {
    let mut signals = Signals::new([Signal::Hup])?;
    let (daemon, ports) = (daemon.clone(), servers.ports.clone());
    daemon.clone().spawn(async move {
        while signals.next().await.is_some() {
            let error = reload(&daemon, &ports).err();
            daemon.log_event(&LogEvent::SettingsReloaded { error });
        }
    });
    Ok(())
}

fn reload(daemon: &Daemon, ports: &Ports) -> Result<(), String> {
    let merged = settings::reload_entry(&daemon.settings(), &daemon.settings_file)
        .map_err(|error| error.to_string())?;
    let keys = startup::keyring(&merged.keys).ok_or("`keys` is empty")?;
    ports.callers.set_limits(&merged.limits);
    ports.operators.set_operators(&merged.operators);
    daemon.keys.replace(keys);
    daemon.settings.replace(Rc::new(merged));
    Ok(())
}

fn as_ms(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
