//! Signals that ask the process to stop.

use std::io;
use std::time::Duration;

use async_signal::Signal;
use async_signal::Signals;
use futures_lite::StreamExt;
use slog::Logger;
use slog::info;
use smol::Timer;

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

fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
