//! Connects the operators' port to the core, and writes planned orders.

use std::rc::Rc;

use control::Author;
use control::CommandError;
use control::CommandOutcome;
use control::CommandRequest;
use control::HeldLease;
use control::PlanKept;
use control::PlannedOrder;
use operators::Control;
use operators::ControlFuture;
use serde_json::Value;
use serde_json::json;
use types::Change;
use types::OrderKind;
use types::Profile;
use types::Revision;
use types::Service;
use types::TargetName;
use wire::Datagram;

use crate::core::Event;
use crate::daemon::Daemon;

/// Executes commands and queries of operators.
pub struct EntryControl {
    daemon: Rc<Daemon>,
}

impl EntryControl {
    pub fn new(daemon: Rc<Daemon>) -> Self {
        Self { daemon }
    }
}

impl Control for EntryControl {
    fn execute(
        &self,
        operator: String,
        request: CommandRequest,
    ) -> ControlFuture<'_, CommandOutcome> {
        Box::pin(async move {
            let outcome = self.daemon.control.execute(&operator, &request).await?;
            if !outcome.dry_run {
                self.daemon.notify_revision(outcome.change.revision);
            }
            Ok(outcome)
        })
    }

    fn profiles(&self) -> Vec<(Revision, Profile)> {
        let core = self.daemon.core.borrow();
        let profiles = core.snapshot().into_iter().flat_map(|s| s.profiles());
        profiles
            .map(|(_, profile)| (profile.revision, profile.value.clone()))
            .collect()
    }

    fn services(&self) -> Vec<Service> {
        let core = self.daemon.core.borrow();
        let services = core.snapshot().into_iter().flat_map(|s| s.services());
        services.map(|(_, service)| service.value.clone()).collect()
    }

    fn status(&self) -> Value {
        let now = self.daemon.clock.now();
        let mut status = self.daemon.core.borrow().status(now);
        let settings = self.daemon.settings();
        let heads = self.daemon.peer_heads.borrow();
        let entries: Vec<Value> = heads
            .iter()
            .map(|(address, (revision, received_at))| {
                let age_ms = now.saturating_duration_since(*received_at).as_millis();
                let name = settings.peer_name(*address);
                json!({"name": name, "address": address, "revision": revision, "age_ms": age_ms})
            })
            .collect();
        status["entries"] = Value::Array(entries);
        status
    }

    fn explain(&self, subject: &str) -> Option<Value> {
        let now = self.daemon.clock.now();
        self.daemon.core.borrow().explain(now, subject)
    }

    fn audit(&self, before: Option<Revision>, limit: usize) -> ControlFuture<'_, Vec<Change>> {
        Box::pin(async move {
            control::audit(self.daemon.table.as_ref(), before, limit)
                .await
                .map_err(|error| CommandError::Unavailable {
                    detail: error.to_string(),
                })
        })
    }
}

impl Daemon {
    /// Makes the core read the change log now instead of at its next poll.
    fn notify_revision(self: &Rc<Self>, head: Revision) {
        self.handle_event(Event::Datagram(Datagram::Head { entry: 0, head }));
    }

    pub(super) fn write_planned_order(
        self: &Rc<Self>,
        held: HeldLease,
        target: TargetName,
        kind: OrderKind,
        reason: String,
    ) {
        let daemon = self.clone();
        self.spawn(async move {
            let service = held.scope.clone();
            let intent = PlannedOrder {
                held,
                target,
                kind,
                supersedes: None,
            };
            let result = daemon.apply_planned(&intent, &reason).await;
            let error = result.err().map(|error| error.to_string());
            daemon.handle_event(Event::OrderPlanned { service, error });
        });
    }

    pub(super) fn record_kept_plan(self: &Rc<Self>, held: HeldLease, reason: String) {
        let daemon = self.clone();
        self.spawn(async move {
            // If the lease was lost, the record is not written, as the new holder decides now.
            let _ = daemon.apply_planned(&PlanKept { held }, &reason).await;
        });
    }

    async fn apply_planned<I>(self: &Rc<Self>, intent: &I, reason: &str) -> Result<(), CommandError>
    where
        I: control::Intent<Error = CommandError>,
    {
        let by = format!("planner on {}", self.settings().name);
        let author = Author { by: &by, reason };
        if let Some(change) = self.control.apply(intent, author).await? {
            self.notify_revision(change.revision);
        }
        Ok(())
    }
}
