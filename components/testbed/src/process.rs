//! Child processes that can be killed, paused and stopped.

use std::fs::File;
use std::path::Path;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::time::Duration;
use std::time::Instant;

use eyre::WrapErr;
use rustix::process::Pid;
use rustix::process::Signal;
use rustix::process::kill_process;
use smol::Timer;

/// Longest graceful stop.
const STOP_MS: Duration = Duration::from_secs(30);

/// A program with its arguments, and its running process.
pub struct Process {
    name: String,
    program: PathBuf,
    arguments: Vec<String>,
    log: PathBuf,
    child: Option<Child>,
}

impl Process {
    /// Starts a program; its output goes to a log file.
    ///
    /// # Errors
    ///
    /// The program cannot be started or the log cannot be written.
    pub fn start(
        name: &str,
        program: &Path,
        arguments: &[String],
        folder: &Path,
    ) -> eyre::Result<Self> {
        let mut process = Self {
            name: name.to_owned(),
            program: program.to_owned(),
            arguments: arguments.to_vec(),
            log: folder.join(format!("{name}.log")),
            child: None,
        };
        process.restart()?;
        Ok(process)
    }

    /// Starts the program again.
    ///
    /// # Errors
    ///
    /// As `start`.
    pub fn restart(&mut self) -> eyre::Result<()> {
        let log = File::options()
            .create(true)
            .append(true)
            .open(&self.log)
            .wrap_err_with(|| format!("cannot write {}", self.log.display()))?;
        let output = log
            .try_clone()
            .wrap_err_with(|| format!("cannot write {}", self.log.display()))?;
        let child = Command::new(&self.program)
            .args(&self.arguments)
            .stdin(Stdio::null())
            .stdout(output)
            .stderr(log)
            .spawn()
            .wrap_err_with(|| {
                format!(
                    "cannot start {}; the program was moved while it ran",
                    self.program.display()
                )
            })?;
        self.child = Some(child);
        Ok(())
    }

    /// Name for the log.
    #[must_use]
    pub fn name(&self) -> &str {
        &self.name
    }

    /// Whether the process has ended by itself.
    pub fn has_ended(&mut self) -> bool {
        self.child
            .as_mut()
            .is_some_and(|child| matches!(child.try_wait(), Ok(Some(_))))
    }

    /// Ends the process at once.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Id of the process; `None` while it does not run.
    #[must_use]
    pub fn id(&self) -> Option<u32> {
        self.child.as_ref().map(Child::id)
    }

    /// Pauses the process.
    pub fn pause(&self) {
        self.signal(Signal::STOP);
    }

    /// Resumes the process.
    pub fn resume(&self) {
        self.signal(Signal::CONT);
    }

    /// Asks the process to read its settings again.
    pub fn reload(&self) {
        self.signal(Signal::HUP);
    }

    /// What the process has logged so far.
    ///
    /// # Errors
    ///
    /// The log cannot be read.
    pub fn logged(&self) -> eyre::Result<String> {
        std::fs::read_to_string(&self.log)
            .wrap_err_with(|| format!("cannot read {}", self.log.display()))
    }

    /// Stops the process gracefully; true if it ended with status 0.
    pub async fn stop(&mut self) -> bool {
        self.resume();
        self.signal(Signal::TERM);
        let Some(mut child) = self.child.take() else {
            return true;
        };
        let until = Instant::now() + STOP_MS;
        while Instant::now() < until {
            if let Ok(Some(status)) = child.try_wait() {
                return status.success();
            }
            Timer::after(Duration::from_millis(20)).await;
        }
        let _ = child.kill();
        let _ = child.wait();
        false
    }

    fn signal(&self, signal: Signal) {
        let id = self
            .child
            .as_ref()
            .and_then(|child| i32::try_from(child.id()).ok());
        if let Some(pid) = id.and_then(Pid::from_raw) {
            let _ = kill_process(pid, signal);
        }
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}
