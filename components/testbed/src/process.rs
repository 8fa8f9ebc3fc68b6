//! Child processes that tests can kill, pause, stop and restart.

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

/// Longest wait for a graceful stop before the process is killed.
const STOP_TIMEOUT_MS: Duration = Duration::from_secs(30);

/// A program with its arguments, and its process while it is running.
pub struct Process {
    name: String,
    program: PathBuf,
    arguments: Vec<String>,
    log: PathBuf,
    child: Option<Child>,
}

impl Process {
    /// Starts a program. Its output goes to the file `{name}.log` in a directory.
    ///
    /// # Errors
    ///
    /// The program cannot be started or the log cannot be written.
    pub fn start(
        name: &str,
        program: &Path,
        arguments: &[String],
        directory: &Path,
    ) -> eyre::Result<Self> {
        let mut process = Self {
            name: name.to_owned(),
            program: program.to_owned(),
            arguments: arguments.to_vec(),
            log: directory.join(format!("{name}.log")),
            child: None,
        };
        process.restart()?;
        Ok(process)
    }

    /// Starts the program again with the same arguments; its output is appended to the log.
    ///
    /// # Errors
    ///
    /// The program cannot be started or the log cannot be written.
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
                    "cannot start {}; it may have been moved since this program started",
                    self.program.display()
                )
            })?;
        self.child = Some(child);
        Ok(())
    }

    /// Name of the process, as in its log file.
    #[must_use]
    pub fn name(&self) -> &str {
        &self.name
    }

    /// Whether the process has exited on its own.
    pub fn has_ended(&mut self) -> bool {
        self.child
            .as_mut()
            .is_some_and(|child| matches!(child.try_wait(), Ok(Some(_))))
    }

    /// Kills the process with SIGKILL.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Process id; `None` after a kill or a stop.
    #[must_use]
    pub fn id(&self) -> Option<u32> {
        self.child.as_ref().map(Child::id)
    }

    /// Pauses the process with SIGSTOP.
    pub fn pause(&self) {
        self.signal(Signal::STOP);
    }

    /// Resumes a paused process with SIGCONT.
    pub fn resume(&self) {
        self.signal(Signal::CONT);
    }

    /// Makes the process reload its settings, with SIGHUP.
    pub fn reload(&self) {
        self.signal(Signal::HUP);
    }

    /// Contents of the log file.
    ///
    /// # Errors
    ///
    /// The log cannot be read.
    pub fn read_log(&self) -> eyre::Result<String> {
        std::fs::read_to_string(&self.log)
            .wrap_err_with(|| format!("cannot read {}", self.log.display()))
    }

    /// Stops the process with SIGTERM; true if it exits in time with status 0, or is not running.
    pub async fn stop(&mut self) -> bool {
        self.resume();
        self.signal(Signal::TERM);
        let Some(mut child) = self.child.take() else {
            return true;
        };
        let deadline = Instant::now() + STOP_TIMEOUT_MS;
        while Instant::now() < deadline {
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
