//! Passes events of requests, connections and datagrams between the state machines.

use std::rc::Rc;
use std::time::Instant;

use control::FollowerEvent;
use request::Summary;
use types::LoadReport;
use types::Refusal;
use types::RefusalReason;
use types::Reply;
use types::RequestId;
use types::RunState;
use types::Submission;
use wire::Datagram;
use wire::ToAgent;
use wire::ToEntry;

use crate::core::Action;
use crate::core::EntryCore;
use crate::core::LogEvent;
use crate::core::links::LinkAction;
use crate::core::links::LinkId;
use crate::core::pending_calls::Owner;
use crate::core::report;

impl EntryCore {
    pub(super) fn submit_request(
        &mut self,
        now: Instant,
        request: RequestId,
        submission: Submission,
        actions: &mut Vec<Action>,
    ) {
        let Some(service_config) = self.service_configs.get(&submission.work.service).cloned()
        else {
            let reply = Reply::Refused(self.refusal_without_config(&submission.work.service));
            actions.push(Action::Reply { request, reply });
            return;
        };
        let event = request::Event::Submitted {
            request,
            submission,
            service_config,
        };
        self.handle_request_event(now, event, actions);
    }

    /// Refusal of a request to a service without a configuration.
    #[must_use]
    pub fn refusal_without_config(&self, service: &str) -> Refusal {
        if self.applied.is_none() {
            return Refusal {
                reason: RefusalReason::NotReady,
                run: RunState::NotRun,
                retry_after_ms: Some(self.options.follower.poll_ms),
                detail: "this entry has no configuration yet".to_owned(),
            };
        }
        Refusal {
            reason: RefusalReason::UnknownService,
            run: RunState::NotRun,
            retry_after_ms: None,
            detail: format!("there is no service `{service}`, or its profile is missing"),
        }
    }

    pub(super) fn handle_request_event(
        &mut self,
        now: Instant,
        event: request::Event,
        actions: &mut Vec<Action>,
    ) {
        for action in self.requests.handle(now, event, &mut self.router) {
            match action {
                request::Action::Reply { request, reply } => {
                    actions.push(Action::Reply { request, reply });
                }
                request::Action::Send { target, message } => {
                    if let Some(link) = self.links.link(&target) {
                        self.links.message_sent(now, link);
                        actions.push(Action::Send { link, message });
                    } else if is_claim_query(&message) {
                        self.connect_outside_share(now, &target, actions);
                    }
                }
                request::Action::Table { operation, request } => {
                    let operation = self.pending_calls.begin(Owner::Requests, operation);
                    actions.push(Action::Table { operation, request });
                }
                request::Action::Object { operation, request } => {
                    let operation = self.pending_calls.begin(Owner::Requests, operation);
                    actions.push(Action::Object { operation, request });
                }
                request::Action::PartChange(change) => {
                    actions.push(Action::Log(LogEvent::PartChange(change)));
                }
                request::Action::Settled { request, summary } => {
                    self.record_summary(request, summary, actions);
                }
            }
        }
    }

    fn record_summary(&mut self, request: RequestId, summary: Summary, actions: &mut Vec<Action>) {
        let summary = Rc::new(summary);
        actions.push(Action::Log(LogEvent::RequestSettled {
            request,
            summary: Rc::clone(&summary),
        }));
        self.history.push(request, summary);
    }

    pub(super) fn handle_link_message(
        &mut self,
        now: Instant,
        link: LinkId,
        message: ToEntry,
        actions: &mut Vec<Action>,
    ) {
        if let ToEntry::Welcome {
            target,
            incarnation,
            load,
        } = message
        {
            let links = self
                .links
                .connection_established(now, link, &target, incarnation);
            self.apply_link_actions(now, links, actions);
            self.record_alive(now, &target, &load);
            self.repeat_order_hint(now, &target, load.applied, actions);
            return;
        }
        let Some((target, incarnation)) = self.links.message_received(now, link) else {
            return;
        };
        self.router.fleet.probe_answered(now, &target, incarnation);
        if let Some(load) = report::load_report_of(&message) {
            self.router.fleet.load_report(now, &target, load);
        }
        match message {
            ToEntry::Cache(events) => self
                .router
                .fleet
                .cache_events(&target, incarnation, &events),
            ToEntry::Load(_) | ToEntry::Pong { .. } | ToEntry::Welcome { .. } => {}
            message => {
                let event = request::Event::Agent {
                    target,
                    incarnation,
                    message,
                };
                self.handle_request_event(now, event, actions);
            }
        }
    }

    pub(super) fn handle_link_closed(
        &mut self,
        now: Instant,
        link: LinkId,
        detail: Option<String>,
        actions: &mut Vec<Action>,
    ) {
        let links = self.links.connection_closed(now, link);
        if let Some(detail) = detail {
            log_lost_connections(&links, &detail, actions);
        }
        self.apply_link_actions(now, links, actions);
    }

    pub(super) fn apply_link_actions(
        &mut self,
        now: Instant,
        links: Vec<LinkAction>,
        actions: &mut Vec<Action>,
    ) {
        for action in links {
            match action {
                LinkAction::Open {
                    link,
                    target,
                    address,
                } => actions.push(Action::OpenLink {
                    link,
                    target,
                    address,
                }),
                LinkAction::Close { link } => actions.push(Action::CloseLink { link }),
                LinkAction::Send { link, message } => {
                    actions.push(Action::Send { link, message });
                }
                LinkAction::Up {
                    target,
                    incarnation,
                } => {
                    actions.push(Action::Log(LogEvent::TargetUp {
                        target: target.clone(),
                        incarnation,
                    }));
                    let event = request::Event::ConnectionUp {
                        target,
                        incarnation,
                    };
                    self.handle_request_event(now, event, actions);
                }
                LinkAction::Down { target } => {
                    self.router.fleet.unreachable(now, &target);
                    let event = request::Event::ConnectionDown { target };
                    self.handle_request_event(now, event, actions);
                }
                LinkAction::IncarnationEnded {
                    target,
                    incarnation,
                } => {
                    actions.push(Action::Log(LogEvent::IncarnationEnded {
                        target: target.clone(),
                        incarnation,
                    }));
                    let event = request::Event::IncarnationEnded {
                        target,
                        incarnation,
                    };
                    self.handle_request_event(now, event, actions);
                }
            }
        }
    }

    pub(super) fn handle_datagram(
        &mut self,
        now: Instant,
        datagram: Datagram,
        actions: &mut Vec<Action>,
    ) {
        match datagram {
            Datagram::Alive {
                target,
                sequence,
                load,
            } => {
                // A delayed or replayed datagram does not show that the agent is alive.
                if self.probes.accept_answer(&target, sequence) {
                    self.record_alive(now, &target, &load);
                }
            }
            Datagram::Head { entry, head } if entry != self.incarnation => {
                let event = FollowerEvent::RevisionAnnounced { revision: head };
                self.handle_follower_event(now, event, actions);
            }
            Datagram::Head { .. } | Datagram::Probe { .. } => {}
        }
    }

    fn record_alive(&mut self, now: Instant, target: &str, load: &LoadReport) {
        self.router
            .fleet
            .probe_answered(now, target, load.incarnation);
        self.router.fleet.load_report(now, target, load);
    }
}

/// Whether a message concerns a claim, whose target may be one that another entry chose.
fn is_claim_query(message: &ToAgent) -> bool {
    matches!(message, ToAgent::Forbid { .. } | ToAgent::Resume { .. })
}

/// Logs established connections that were lost.
pub(super) fn log_lost_connections(links: &[LinkAction], detail: &str, actions: &mut Vec<Action>) {
    let lost = links.iter().filter_map(|action| match action {
        LinkAction::Down { target } => Some(target.clone()),
        _ => None,
    });
    actions.extend(lost.map(|target| {
        let detail = detail.to_owned();
        Action::Log(LogEvent::TargetDown { target, detail })
    }));
}
