//! Handlers of the signals that stop the process or reload its settings.

use std::io;
use std::rc::Rc;

use async_signal::Signal;
use async_signal::Signals;
use futures_lite::StreamExt;
use settings::AgentSettings;
use slog::error;
use slog::info;

use crate::daemon::Daemon;
use crate::daemon::ReloadableSettings;
use crate::daemon::start;
use crate::event::Event;

/// Turns SIGTERM and SIGINT into [`Event::StopRequested`]. Repeated signals do not interrupt work.
pub fn spawn(daemon: &Rc<Daemon>) -> io::Result<()> {
    let mut signals = Signals::new([Signal::Term, Signal::Int])?;
    let stopping = daemon.clone();
    daemon.spawn(async move {
        while let Some(Ok(signal)) = signals.next().await {
            info!(stopping.logger(), "signal received";
                "code" => "CS2006", "signal" => format!("{signal:?}"));
            stopping.handle_event(Event::StopRequested);
        }
    });
    Ok(())
}

/// Reloads the settings on every SIGHUP. Open connections keep their keys; new ones use the
/// reloaded keys.
pub fn spawn_reload(daemon: &Rc<Daemon>, reload: ReloadableSettings) -> io::Result<()> {
    let mut signals = Signals::new([Signal::Hup])?;
    let daemon = daemon.clone();
    daemon.clone().spawn(async move {
        let ReloadableSettings { mut settings, file } = reload;
        while signals.next().await.is_some() {
            match settings::reload_agent(&settings, &file) {
                Ok(new) => {
                    daemon.apply(&settings, &new);
                    settings = new;
                    info!(daemon.logger(), "settings reloaded"; "code" => "CS2008");
                }
                Err(error) => error!(daemon.logger(), "settings not reloaded";
                    "code" => "CS2008", "file" => &error.file, "line" => error.line,
                    "field" => &error.field, "fix" => &error.fix),
            }
        }
    });
    Ok(())
}

impl Daemon {
    fn apply(self: &Rc<Self>, old: &AgentSettings, new: &AgentSettings) {
        if let Some(keys) = startup::keyring(&new.keys) {
            self.keys.replace(keys);
        }
        if new.log != old.log {
            let incarnation = self.agent.borrow().incarnation();
            *self.logger.borrow_mut() = start::logger(new, incarnation);
        }
        self.handle_event(Event::ConcurrencyChanged(start::concurrency(new)));
    }
}
