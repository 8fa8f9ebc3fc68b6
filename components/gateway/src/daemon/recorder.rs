//! Metrics in Prometheus text form.

use std::time::Duration;
use std::time::Instant;

use metrics::counter;
use metrics::gauge;
use metrics::histogram;
use metrics_exporter_prometheus::PrometheusBuilder;
use metrics_exporter_prometheus::PrometheusHandle;

use crate::core::Core;
use crate::log_event::LogEvent;

/// Upper bounds of the histograms' buckets.
const BUCKETS_S: [f64; 11] = [0.01, 0.03, 0.1, 0.2, 0.3, 0.5, 0.8, 1.5, 3.0, 6.0, 15.0];

/// Recorder of this process's metrics.
pub(super) struct MetricsRecorder {
    handle: PrometheusHandle,
}

impl MetricsRecorder {
    /// Installs the global recorder. After a second call in one process, as in tests, the first
    /// recorder stays in use.
    pub(super) fn install() -> eyre::Result<Self> {
        let recorder = PrometheusBuilder::new()
            .set_buckets(&BUCKETS_S)?
            .build_recorder();
        let handle = recorder.handle();
        let _ = metrics::set_global_recorder(recorder);
        Ok(Self { handle })
    }

    /// Moves pending histogram samples into their buckets, which bounds the memory they take.
    pub(super) fn run_upkeep(&self) {
        self.handle.run_upkeep();
    }

    /// Records how late a timer was.
    pub(super) fn record_delay(delay_ms: Duration) {
        histogram!("chervilspool_task_delay_seconds").record(delay_ms.as_secs_f64());
    }

    /// Updates the metrics for a log event.
    pub(super) fn record(event: &LogEvent) {
        match event {
            LogEvent::TargetCalled {
                step,
                service,
                retries,
                ..
            } => {
                counter!("chervilspool_calls_total", "step" => *step).increment(1);
                counter!("chervilspool_retries_total", "service" => service.clone())
                    .increment(u64::from(*retries));
            }
            LogEvent::StreamBegun {
                service,
                build,
                is_resumed,
            } => {
                let kind = if *is_resumed { "resumed" } else { "begun" };
                counter!("chervilspool_streams_total", "service" => service.clone(),
                    "build" => build.clone(), "kind" => kind)
                .increment(1);
            }
            LogEvent::CallEnded { step, kind, .. } => {
                counter!("chervilspool_unanswered_calls_total", "step" => *step,
                    "outcome" => *kind)
                .increment(1);
            }
            LogEvent::RequestEnded {
                route,
                outcome,
                status,
                first_ms,
                took_ms,
                refusal,
                ..
            } => {
                if let Some(cause) = refusal {
                    counter!("chervilspool_refusals_total", "route" => route.clone(),
                        "cause" => cause.label())
                    .increment(1);
                }
                counter!("chervilspool_requests_total", "route" => route.clone(),
                    "outcome" => *outcome, "status" => status.to_string())
                .increment(1);
                if let Some(first_ms) = first_ms {
                    histogram!("chervilspool_first_byte_seconds", "route" => route.clone())
                        .record(seconds(*first_ms));
                }
                histogram!("chervilspool_request_seconds", "route" => route.clone())
                    .record(seconds(*took_ms));
            }
            LogEvent::TargetChange { change, .. } => {
                let change = format!("{change:?}").to_lowercase();
                counter!("chervilspool_target_changes_total", "belief" => change).increment(1);
            }
            LogEvent::PartChange(change) => {
                let state = format!("{:?}", change.state).to_lowercase();
                counter!("chervilspool_part_changes_total", "state" => state).increment(1);
            }
            LogEvent::LimitChange { change, .. } => {
                let state = match (change.before, change.rate) {
                    (None, _) => "begun",
                    (_, None) => "ended",
                    _ => "changed",
                };
                counter!("chervilspool_limit_changes_total", "state" => state).increment(1);
            }
            LogEvent::StoreUnavailable { .. } => {
                counter!("chervilspool_store_outages_total").increment(1);
            }
            LogEvent::StoreRestored { .. } => {
                counter!("chervilspool_store_restorations_total").increment(1);
            }
            LogEvent::RowIgnored { .. } => {
                counter!("chervilspool_unreadable_rows_total").increment(1);
            }
            _ => {}
        }
    }

    /// Renders all metrics as text.
    pub(super) fn render(&self, now: Instant, core: &Core) -> String {
        gauge!("chervilspool_requests_in_flight").set(count(core.in_flight()));
        gauge!("chervilspool_targets").set(count(core.fleet.targets().count()));
        gauge!("chervilspool_peers").set(count(core.fleet.peers.heard_count()));
        gauge!("chervilspool_sharing_processes").set(count(core.sharing_processes(now)));
        let (quarantined, suspect) = core.part_counts();
        gauge!("chervilspool_quarantined_parts").set(count(quarantined));
        gauge!("chervilspool_suspect_parts").set(count(suspect));
        gauge!("chervilspool_limited_targets").set(count(core.fleet.limits.limited_count()));
        gauge!("chervilspool_paused_targets").set(count(core.paused_count(now)));
        let version = core.configuration().map_or(0, |current| current.version);
        #[allow(clippy::cast_precision_loss)] // exact up to 2^53
        gauge!("chervilspool_configuration_version").set(version as f64);
        let age = core.configuration_age(now);
        gauge!("chervilspool_configuration_view_age_seconds")
            .set(age.map_or(f64::INFINITY, |age| age.as_secs_f64()));
        let newest = core.newest_configuration().unwrap_or_default();
        #[allow(clippy::cast_precision_loss)] // exact up to 2^53
        gauge!("chervilspool_newest_configuration_version").set(newest as f64);
        self.run_upkeep();
        self.handle.render()
    }
}

#[allow(clippy::cast_precision_loss)] // durations of requests are far below 2^52 ms
fn seconds(millis: u64) -> f64 {
    millis as f64 / 1e3
}

fn count(value: usize) -> f64 {
    u32::try_from(value).map_or(f64::MAX, f64::from)
}
