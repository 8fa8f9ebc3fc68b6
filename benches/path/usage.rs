//! Processor time and resident memory of processes, read from `/proc`.

use testbed::Process;

/// Clock ticks per second in `/proc/PID/stat` (`USER_HZ`), on all supported Linux systems.
const TICKS_PER_S: f64 = 100.0;

/// Totals of several processes.
#[derive(Debug, Default, Clone, Copy)]
pub struct Usage {
    pub cpu_s: f64,
    pub rss_mb: f64,
}

impl Usage {
    pub fn of(processes: &[Process]) -> Self {
        let mut sum = Self::default();
        for id in processes.iter().filter_map(Process::id) {
            sum.cpu_s += cpu_s(id).unwrap_or(0.0);
            sum.rss_mb += rss_mb(id).unwrap_or(0.0);
        }
        sum
    }

    pub fn since(&self, before: &Self) -> Self {
        Self {
            cpu_s: self.cpu_s - before.cpu_s,
            rss_mb: self.rss_mb,
        }
    }
}

fn cpu_s(id: u32) -> Option<f64> {
    let stat = std::fs::read_to_string(format!("/proc/{id}/stat")).ok()?;
    // The name in parentheses may contain spaces; user and system time are fields 14 and 15.
    let fields: Vec<&str> = stat.rsplit_once(')')?.1.split_whitespace().collect();
    let ticks = |index: usize| fields.get(index)?.parse::<f64>().ok();
    Some((ticks(11)? + ticks(12)?) / TICKS_PER_S)
}

fn rss_mb(id: u32) -> Option<f64> {
    let status = std::fs::read_to_string(format!("/proc/{id}/status")).ok()?;
    let line = status.lines().find(|line| line.starts_with("VmRSS:"))?;
    let kb: f64 = line.split_whitespace().nth(1)?.parse().ok()?;
    Some(kb / 1024.0)
}
