//! Signals that ask the process to stop.

use std::io;
use std::rc::Rc;

use async_signal::Signal;
use async_signal::Signals;
use futures_lite::StreamExt;
use slog::info;

use crate::daemon::Daemon;
use crate::event::Event;

/// Turns SIGTERM and SIGINT into `Leaving`. Further signals cut nothing off.
pub fn spawn(daemon: &Rc<Daemon>) -> io::Result<()> {
    let mut signals = Signals::new([Signal::Term, Signal::Int])?;
    let stopping = daemon.clone();
    daemon.spawn(async move {
        while let Some(Ok(signal)) = signals.next().await {
            info!(stopping.logger, "signal received";
                "code" => "CS2006", "signal" => format!("{signal:?}"));
            stopping.tell(Event::Leaving);
        }
    });
    Ok(())
}
