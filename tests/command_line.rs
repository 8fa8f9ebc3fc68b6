//! Tests of the command line against an operators' port with scripted responses.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::Command as Process;
use std::process::Output;
use std::rc::Rc;
use std::sync::OnceLock;
use std::time::Duration;

use control::Command;
use control::CommandError;
use control::CommandOutcome;
use control::CommandRequest;
use operators::Control;
use operators::ControlFuture;
use operators::OperatorsPort;
use settings::OperatorSettings;
use settings::Token;
use smol::LocalExecutor;
use smol::net::TcpListener;
use types::Change;
use types::Profile;
use types::Revision;
use types::Service;
use types::change::ChangeBody;

const TOKEN: &str = "0123456789abcdef0123456789abcdef";

/// Control that fails commands about the items `missing`, `used` and `outage`, and records the
/// expected revision of each command.
#[derive(Default)]
struct ScriptedControl {
    expected_revisions: RefCell<Vec<Option<Revision>>>,
}

fn profile(name: &str) -> Profile {
    Profile {
        name: name.to_owned(),
        model: "m".to_owned(),
        ..Profile::default()
    }
}

impl Control for ScriptedControl {
    fn execute(
        &self,
        operator: String,
        request: CommandRequest,
    ) -> ControlFuture<'_, CommandOutcome> {
        self.expected_revisions
            .borrow_mut()
            .push(request.if_revision);
        let result = match &request.command {
            Command::RetireProfile { name } if name == "missing" => Err(CommandError::NotFound {
                item: "profile/missing".to_owned(),
            }),
            Command::RetireProfile { name } if name == "used" => Err(CommandError::InUse {
                item: "profile/used".to_owned(),
                by: "service/desk".to_owned(),
            }),
            Command::RetireProfile { name } if name == "outage" => Err(CommandError::Unavailable {
                detail: "no answer".to_owned(),
            }),
            Command::ChangeProfile { profile: after } => Ok(ChangeBody::Profile {
                before: Some(profile(&after.name)),
                after: after.clone(),
            }),
            _ => Ok(ChangeBody::PlanKept {
                service: "desk".to_owned(),
            }),
        };
        Box::pin(async move {
            Ok(CommandOutcome {
                change: Change {
                    revision: 8,
                    at_ms: Duration::from_secs(1_764_794_096),
                    by: operator,
                    reason: request.reason,
                    token: 1,
                    body: result?,
                },
                dry_run: request.dry_run,
            })
        })
    }

    fn profiles(&self) -> Vec<(Revision, Profile)> {
        vec![(7, profile("desk"))]
    }

    fn services(&self) -> Vec<Service> {
        Vec::new()
    }

    fn status(&self) -> serde_json::Value {
        serde_json::json!({
            "revision": 7,
            "entries": [
                {"name": "e1", "address": "10.0.0.1:1", "revision": 7},
                {"name": "e2", "address": "10.0.0.2:1", "revision": 6},
                {"name": null, "address": "10.0.0.3:1", "revision": 5},
            ],
        })
    }

    fn explain(&self, _: &str) -> Option<serde_json::Value> {
        None
    }

    fn audit(&self, _: Option<Revision>, _: usize) -> ControlFuture<'_, Vec<Change>> {
        Box::pin(async move {
            Ok(vec![Change {
                revision: 1,
                at_ms: Duration::from_secs(1_764_794_096),
                by: "guardia".to_owned(),
                reason: "storm".to_owned(),
                token: 1,
                body: ChangeBody::Profile {
                    before: None,
                    after: profile("desk"),
                },
            }])
        })
    }
}

fn run_program(arguments: &[&str]) -> Output {
    Process::new(env!("CARGO_BIN_EXE_chervilspool"))
        .args(arguments)
        .env_remove("CHERVILSPOOL_ENTRY")
        .env_remove("CHERVILSPOOL_TOKEN_FILE")
        .output()
        .unwrap()
}

/// Path of a file with the token. It is written once, because tests run in parallel.
fn token_file() -> String {
    static FILE: OnceLock<String> = OnceLock::new();
    let file = FILE.get_or_init(|| {
        let file = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join("token");
        std::fs::write(&file, format!("{TOKEN}\n")).unwrap();
        file.display().to_string()
    });
    file.clone()
}

/// Runs the program against an operators' port, and returns its exit code, standard output and
/// standard error.
fn run(arguments: &[&str], control: Rc<ScriptedControl>) -> (i32, String, String) {
    let token_file = token_file();
    let executor = Rc::new(LocalExecutor::new());
    let server_executor = executor.clone();
    smol::block_on(executor.run(async move {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let addr: SocketAddr = listener.local_addr().unwrap();
        let (_stop, stopped) = smol::channel::bounded(1);
        let operators = [OperatorSettings {
            name: "guardia".to_owned(),
            token: Token(TOKEN.to_owned()),
        }];
        let port = Rc::new(OperatorsPort::new(&operators, control));
        let server_task = operators::serve(listener, port, server_executor.clone(), stopped);
        server_executor
            .spawn(async move { server_task.await.unwrap() })
            .detach();
        let mut arguments: Vec<String> = arguments.iter().map(|a| (*a).to_owned()).collect();
        arguments.extend(["--entry".to_owned(), addr.to_string()]);
        arguments.extend(["--token-file".to_owned(), token_file]);
        let output = smol::unblock(move || {
            let arguments: Vec<&str> = arguments.iter().map(String::as_str).collect();
            run_program(&arguments)
        })
        .await;
        (
            output.status.code().unwrap(),
            String::from_utf8(output.stdout).unwrap(),
            String::from_utf8(output.stderr).unwrap(),
        )
    }))
}

// Guards against failures that scripts cannot distinguish, such as a conflict and an outage.
#[test]
fn exit_codes_distinguish_failures() {
    let cases: [(&[&str], i32); 8] = [
        (&["profile", "retire", "old"], 0),
        (&["profile", "change", "desk", "--set", "priority=77"], 1),
        (&["profile", "change", "desk", "--set", "priorty=1"], 2),
        (&["profile", "retire"], 2),
        (&["profile", "retire", "used"], 3),
        (&["profile", "retire", "missing"], 4),
        (&["explain", "nothing"], 4),
        (&["profile", "retire", "outage"], 5),
    ];
    for (arguments, code) in cases {
        let (exit, out, error) = run(arguments, Rc::default());
        assert_eq!(exit, code, "{arguments:?}\n{out}{error}");
        assert_eq!(error.is_empty(), code == 0, "{arguments:?}\n{error}");
    }
}

// Guards against a change that reverts a concurrent change of another operator.
#[test]
fn profile_change_requires_the_revision_that_it_read() {
    let control = Rc::new(ScriptedControl::default());
    let arguments = ["profile", "change", "desk", "--set", "deadline_ms=8000"];
    let (code, out, error) = run(&arguments, control.clone());
    assert_eq!(code, 0, "{error}");
    assert_eq!(out, "revision 8: profile/desk deadline_ms 30000 -> 8000\n");
    assert_eq!(*control.expected_revisions.borrow(), [Some(7)]);
}

#[test]
fn profile_show_lists_entries_at_a_lower_revision() {
    let (_, out, _) = run(&["profile", "show", "desk"], Rc::default());
    let line = out
        .lines()
        .find(|line| line.starts_with("not_yet_in_force_on:"));
    let entries = " e2 (10.0.0.2:1),10.0.0.3:1";
    assert!(line.unwrap().ends_with(entries), "{out}");
    let (_, out, _) = run(&["profile", "show", "desk", "--json"], Rc::default());
    let shown: serde_json::Value = serde_json::from_str(&out).unwrap();
    let behind = &shown["not_yet_in_force_on"];
    assert_eq!(behind.as_array().map(Vec::len), Some(2), "{out}");
    assert_eq!(behind[0]["name"], "e2", "{out}");
    assert_eq!(behind[0]["address"], "10.0.0.2:1", "{out}");
}

#[test]
fn audit_prints_revision_time_operator_change_and_reason() {
    let (_, out, _) = run(&["audit"], Rc::default());
    assert_eq!(
        out,
        "1  2025-12-03T20:34:56Z  guardia  profile/desk created  -- storm\n"
    );
    let (_, json, _) = run(&["audit", "--json"], Rc::default());
    let changes: Vec<Change> = serde_json::from_str(&json).unwrap();
    assert_eq!(changes[0].reason, "storm");
}

#[test]
fn check_prints_file_line_and_field_of_an_error() {
    let file = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join("entry.jsonc");
    let text = include_str!("../examples/settings/kitagawa-entry.jsonc");
    std::fs::write(&file, text.replace("\"connections\"", "\"conections\"")).unwrap();
    let path = file.display().to_string();
    let output = run_program(&["check", "--settings", &path]);
    assert_eq!(output.status.code(), Some(1));
    let error = String::from_utf8(output.stderr).unwrap();
    let line = 1 + text
        .lines()
        .position(|l| l.contains("connections"))
        .unwrap();
    let prefix = format!("{path}:{line}: field `limits.conections`: ");
    assert!(error.starts_with(&prefix), "{error}");
}

#[test]
fn help_of_every_command_has_an_example() {
    let commands = [
        "entry",
        "agent",
        "check",
        "profile",
        "service",
        "engine",
        "status",
        "explain",
        "audit",
        "profile create",
        "profile change",
        "profile retire",
        "profile list",
        "profile show",
        "service set",
        "service list",
        "engine list",
        "engine drain",
        "engine replace",
        "engine withdraw",
        "engine resume",
        "engine order",
    ];
    for command in commands {
        let mut arguments: Vec<&str> = command.split(' ').collect();
        arguments.push("--help");
        let output = run_program(&arguments);
        assert_eq!(output.status.code(), Some(0));
        let help = String::from_utf8(output.stdout).unwrap();
        assert!(help.contains("Example: chervilspool "), "{command}\n{help}");
    }
}

#[test]
fn explain_reads_log_files_without_an_entry() {
    let run = |arguments: &[&str]| {
        let output = Process::new(env!("CARGO_BIN_EXE_chervilspool"))
            .args(arguments)
            .env_remove("CHERVILSPOOL_ENTRY")
            .env_remove("CHERVILSPOOL_TOKEN_FILE")
            .output()
            .expect("the program starts");
        let text = String::from_utf8_lossy(&output.stdout).into_owned();
        (output.status.code(), text)
    };
    let log = std::path::Path::new(env!("CARGO_TARGET_TMPDIR")).join("explain.log");
    let line = r#"{"ts":"2026-12-04T00:00:02Z","host":"h","code":"CS5204","msg":"request ended","request":"a1","outcome":"cut"}"#;
    std::fs::write(&log, line).expect("the log file is writable");
    let log = log.display().to_string();
    let (status, text) = run(&["explain", "--log", &log, "a1"]);
    assert_eq!(status, Some(0));
    assert!(text.contains("request ended"), "{text}");
    assert_eq!(run(&["explain", "--log", &log, "b1"]).0, Some(4));
    assert_eq!(run(&["explain", "--log", "/nowhere", "a1"]).0, Some(2));
    assert_eq!(run(&["explain", "a1"]).0, Some(2));
}
