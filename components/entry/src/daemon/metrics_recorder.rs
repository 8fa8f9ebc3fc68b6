//! Metrics of an entry in the Prometheus text format.

use std::time::Duration;

use metrics::counter;
use metrics::gauge;
use metrics::histogram;
use metrics_exporter_prometheus::PrometheusBuilder;
use metrics_exporter_prometheus::PrometheusHandle;
use request::Outcome;
use request::Summary;

use crate::core::EntryCore;
use crate::core::LogEvent;

/// Interval of `MetricsRecorder::run_upkeep`. Until then the recorder keeps each sample of a
/// histogram, 16 bytes per request, so without upkeep memory grows while the metrics are not
/// scraped.
pub const UPKEEP_INTERVAL_MS: Duration = Duration::from_secs(1);

/// Metrics recorder of this process.
pub struct MetricsRecorder {
    handle: PrometheusHandle,
}

impl MetricsRecorder {
    /// Installs the recorder of the process. After a second call in the same process, as in tests,
    /// metrics are still recorded by the first one.
    pub fn install() -> eyre::Result<Self> {
        let recorder = PrometheusBuilder::new()
            .set_buckets(&[
                0.001, 0.005, 0.02, 0.05, 0.1, 0.2, 0.41, 1.0, 2.0, 5.0, 15.0, 60.0,
            ])?
            .build_recorder();
        let handle = recorder.handle();
        let _ = metrics::set_global_recorder(recorder);
        Ok(Self { handle })
    }

    /// Aggregates histogram samples into their buckets.
    pub fn run_upkeep(&self) {
        self.handle.run_upkeep();
    }

    /// Updates the metrics that depend on a log event.
    pub fn record_event(event: &LogEvent) {
        match event {
            LogEvent::RequestSettled { summary, .. } => record(summary),
            LogEvent::OrderPlanned { service, .. } => {
                counter!("chervilspool_orders_planned_total", "service" => service.clone())
                    .increment(1);
            }
            LogEvent::TargetDown { target, .. } => {
                counter!("chervilspool_target_down_total", "target" => target.clone()).increment(1);
            }
            LogEvent::PartChange(change) => {
                let state = format!("{:?}", change.state).to_lowercase();
                counter!("chervilspool_part_changes_total", "state" => state).increment(1);
            }
            LogEvent::DatagramRefused { .. } => {
                counter!("chervilspool_datagrams_refused_total").increment(1);
            }
            _ => {}
        }
    }

    /// Renders all metrics as text.
    pub fn render(&self, core: &EntryCore) -> String {
        gauge!("chervilspool_requests_in_flight").set(count(core.in_flight()));
        let revision = core.snapshot().map_or(0, |snapshot| snapshot.revision());
        #[allow(clippy::cast_precision_loss)] // exact up to 2^53 changes
        gauge!("chervilspool_revision").set(revision as f64);
        self.run_upkeep();
        self.handle.render()
    }
}

fn record(summary: &Summary) {
    let service = summary.service.clone();
    let outcome = match summary.outcome {
        Outcome::Answered => "answered".to_owned(),
        Outcome::Abandoned => "abandoned".to_owned(),
        Outcome::Refused(reason) => format!("{reason:?}").to_lowercase(),
    };
    counter!("chervilspool_requests_total", "service" => service.clone(), "outcome" => outcome)
        .increment(1);
    counter!("chervilspool_attempts_total", "service" => service.clone())
        .increment(summary.attempts.len() as u64);
    if summary.outcome != Outcome::Answered {
        return;
    }
    if let Some(first_byte_ms) = summary.first_byte_ms {
        histogram!("chervilspool_first_byte_seconds", "service" => service.clone())
            .record(seconds(first_byte_ms));
    }
    histogram!("chervilspool_answer_seconds", "service" => service)
        .record(seconds(summary.total_ms));
}

fn seconds(duration: Duration) -> f64 {
    duration.as_secs_f64()
}

fn count(value: usize) -> f64 {
    u32::try_from(value).map_or(f64::MAX, f64::from)
}
