//! The operators' port, tested through its client.

use std::cell::RefCell;
use std::future::Future;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use ::control::Command;
use ::control::CommandError;
use ::control::CommandOutcome;
use ::control::CommandRequest;
use operators::Control;
use operators::ControlFuture;
use operators::OperatorError;
use operators::OperatorsClient;
use operators::OperatorsPort;
use settings::OperatorSettings;
use settings::Token;
use smol::LocalExecutor;
use smol::net::TcpListener;
use types::Change;
use types::Profile;
use types::Revision;
use types::Service;
use types::ServiceKind;
use types::change::ChangeBody;

const TOKEN: &str = "0123456789abcdef0123456789abcdef";

#[derive(Default)]
struct ScriptedControl {
    executed: RefCell<Vec<(String, CommandRequest)>>,
    error: Option<CommandError>,
}

fn audit_record(revision: Revision, by: String) -> Change {
    Change {
        revision,
        at_ms: Duration::from_secs(1),
        by,
        reason: "because".to_owned(),
        token: 1,
        body: ChangeBody::PlanKept {
            service: "desk".to_owned(),
        },
    }
}

impl Control for ScriptedControl {
    fn execute(
        &self,
        operator: String,
        request: CommandRequest,
    ) -> ControlFuture<'_, CommandOutcome> {
        let dry_run = request.dry_run;
        self.executed.borrow_mut().push((operator.clone(), request));
        Box::pin(async move {
            match &self.error {
                Some(error) => Err(error.clone()),
                None => Ok(CommandOutcome {
                    change: audit_record(7, operator),
                    dry_run,
                }),
            }
        })
    }

    fn profiles(&self) -> Vec<(Revision, Profile)> {
        vec![(3, Profile::default())]
    }

    fn services(&self) -> Vec<Service> {
        vec![Service {
            name: "desk".to_owned(),
            kind: ServiceKind::Plain,
            profile: "fast".to_owned(),
        }]
    }

    fn status(&self) -> serde_json::Value {
        serde_json::json!({ "revision": 7 })
    }

    fn explain(&self, subject: &str) -> Option<serde_json::Value> {
        (subject == "engine-1").then(|| serde_json::json!({ "state": "active" }))
    }

    fn audit(&self, before: Option<Revision>, limit: usize) -> ControlFuture<'_, Vec<Change>> {
        let newest = before.unwrap_or(100) - 1;
        let records = (0..limit as u64).map(|n| audit_record(newest - n, "x".to_owned()));
        let records: Vec<_> = records.collect();
        Box::pin(async move { Ok(records) })
    }
}

fn with_port<F: Future<Output = ()>>(
    control: Rc<ScriptedControl>,
    test: impl FnOnce(SocketAddr) -> F,
) {
    with_reconfigurable_port(control, |addr, _| test(addr));
}

fn operator(name: &str, token: &str) -> OperatorSettings {
    OperatorSettings {
        name: name.to_owned(),
        token: Token(token.to_owned()),
    }
}

fn with_reconfigurable_port<F: Future<Output = ()>>(
    control: Rc<ScriptedControl>,
    test: impl FnOnce(SocketAddr, Rc<OperatorsPort>) -> F,
) {
    let executor = Rc::new(LocalExecutor::new());
    let server = executor.clone();
    smol::block_on(executor.run(async move {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let addr = listener.local_addr().unwrap();
        let (stop, stopped) = async_channel::bounded(1);
        let port = Rc::new(OperatorsPort::new(&[operator("guardia", TOKEN)], control));
        let serving = operators::serve(listener, port.clone(), server.clone(), stopped);
        server.spawn(async move { serving.await.unwrap() }).detach();
        test(addr, port).await;
        drop(stop);
    }));
}

fn retire_profile(name: &str) -> CommandRequest {
    CommandRequest {
        command: Command::RetireProfile {
            name: name.to_owned(),
        },
        reason: "not used".to_owned(),
        if_revision: Some(4),
        dry_run: true,
    }
}

#[test]
fn executes_commands_on_behalf_of_the_operator() {
    let control = Rc::new(ScriptedControl::default());
    with_port(control.clone(), |addr| async move {
        let client = OperatorsClient::new(addr, TOKEN);
        let outcome = client.execute(&retire_profile("old")).await.unwrap();
        assert_eq!(outcome.change.by, "guardia");
        assert!(outcome.dry_run);
    });
    assert_eq!(
        *control.executed.borrow(),
        [("guardia".to_owned(), retire_profile("old"))]
    );
}

// Guards against commands without a valid token.
#[test]
fn rejects_invalid_tokens() {
    let control = Rc::new(ScriptedControl::default());
    with_port(control.clone(), |addr| async move {
        for token in ["", "0123456789abcdef0123456789abcdeg", &TOKEN[1..]] {
            let client = OperatorsClient::new(addr, token);
            match client.execute(&retire_profile("old")).await {
                Err(OperatorError::Refused(problem)) => assert_eq!(problem.status, 401),
                other => panic!("{other:?}"),
            }
            assert!(client.status().await.is_err());
        }
    });
    assert!(control.executed.borrow().is_empty());
}

// Guards against command errors that the client decodes as another error.
#[test]
fn returns_every_command_error_to_the_client() {
    let item = || "profile/x".to_owned();
    let errors = [
        CommandError::Conflict {
            item: item(),
            revision: 9,
            by: "other".to_owned(),
            difference: "priority: 4 to 5".to_owned(),
        },
        CommandError::NotFound { item: item() },
        CommandError::Exists { item: item() },
        CommandError::InUse {
            item: item(),
            by: "desk".to_owned(),
        },
        CommandError::Invalid {
            field: item(),
            fix: item(),
        },
        CommandError::Refused {
            item: item(),
            fix: item(),
        },
        CommandError::Unavailable { detail: item() },
        CommandError::Unanswered { token: item() },
    ];
    for error in errors {
        let control = Rc::new(ScriptedControl {
            error: Some(error.clone()),
            ..ScriptedControl::default()
        });
        with_port(control, |addr| async move {
            let client = OperatorsClient::new(addr, TOKEN);
            let result = client.execute(&retire_profile("x")).await;
            assert_eq!(result.unwrap_err(), OperatorError::Command(error));
        });
    }
}

#[test]
fn returns_state_explanations_and_the_audit_trail() {
    with_port(Rc::new(ScriptedControl::default()), |addr| async move {
        let client = OperatorsClient::new(addr, TOKEN);
        assert_eq!(client.profiles().await.unwrap()[0].revision, 3);
        assert_eq!(client.services().await.unwrap()[0].name, "desk");
        assert_eq!(client.status().await.unwrap()["revision"], 7);
        assert!(client.explain("engine-1").await.is_ok());
        let missing = client.explain("engine-2").await;
        assert!(matches!(
            missing,
            Err(OperatorError::Command(CommandError::NotFound { .. }))
        ));
        let records = client.audit(Some(50), 3).await.unwrap();
        let revisions: Vec<_> = records.iter().map(|change| change.revision).collect();
        assert_eq!(revisions, [49, 48, 47]);
    });
}

#[test]
fn reports_unreachable_if_the_connection_is_refused() {
    smol::block_on(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let addr = listener.local_addr().unwrap();
        drop(listener);
        let result = OperatorsClient::new(addr, TOKEN)
            .execute(&retire_profile("x"))
            .await;
        assert!(matches!(result, Err(OperatorError::Unreachable(_))));
    });
}

// Guards against a revoked token that is accepted until the next restart.
#[test]
fn applies_changed_tokens() {
    with_reconfigurable_port(
        Rc::new(ScriptedControl::default()),
        |addr, port| async move {
            let client = OperatorsClient::new(addr, TOKEN);
            assert!(client.status().await.is_ok());
            let new = TOKEN.replace('0', "x");
            port.set_operators(&[operator("noche", &new)]);
            assert!(client.status().await.is_err());
            let client = OperatorsClient::new(addr, &new);
            assert_eq!(
                client
                    .execute(&retire_profile("x"))
                    .await
                    .unwrap()
                    .change
                    .by,
                "noche"
            );
        },
    );
}
