//! Metrics in Prometheus text form.

use metrics::counter;
use metrics::gauge;
use metrics::histogram;
use metrics_exporter_prometheus::PrometheusBuilder;
use metrics_exporter_prometheus::PrometheusHandle;

use crate::core::Core;
use crate::note::Note;

/// Bounds of the histograms, in seconds.
const BUCKETS_S: [f64; 11] = [0.01, 0.03, 0.1, 0.2, 0.3, 0.5, 0.8, 1.5, 3.0, 6.0, 15.0];

/// Recorder of this process.
pub(super) struct Meters {
    handle: PrometheusHandle,
}

impl Meters {
    /// Makes the recorder that of the whole process. A second call in the same process, as in
    /// tests, records into the first one.
    pub(super) fn install() -> eyre::Result<Self> {
        let recorder = PrometheusBuilder::new()
            .set_buckets(&BUCKETS_S)?
            .build_recorder();
        let handle = recorder.handle();
        let _ = metrics::set_global_recorder(recorder);
        Ok(Self { handle })
    }

    /// Puts samples of histograms into their buckets.
    pub(super) fn sort_samples(&self) {
        self.handle.run_upkeep();
    }

    /// Records what a log event tells.
    pub(super) fn note(note: &Note) {
        match note {
            Note::Sent { step, .. } => {
                counter!("chervilspool_calls_total", "step" => *step).increment(1);
            }
            Note::Ended {
                route,
                outcome,
                status,
                first_ms,
                took_ms,
                ..
            } => {
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
            Note::Target { belief, .. } => {
                let belief = format!("{belief:?}").to_lowercase();
                counter!("chervilspool_target_changes_total", "belief" => belief).increment(1);
            }
            Note::StoreLost { .. } => {
                counter!("chervilspool_store_outages_total").increment(1);
            }
            Note::Unreadable { .. } => {
                counter!("chervilspool_unreadable_rows_total").increment(1);
            }
            _ => {}
        }
    }

    /// All metrics as text.
    pub(super) fn render(&self, core: &Core) -> String {
        gauge!("chervilspool_requests_in_flight").set(count(core.in_flight()));
        gauge!("chervilspool_targets").set(count(core.fleet.members().count()));
        gauge!("chervilspool_peers").set(count(core.fleet.peer_count()));
        let version = core.configuration().map_or(0, |current| current.version);
        #[allow(clippy::cast_precision_loss)] // exact up to 2^53
        gauge!("chervilspool_configuration_version").set(version as f64);
        self.sort_samples();
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
