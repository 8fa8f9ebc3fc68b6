//! A gateway with scripted replies, and a callers' port that uses it.
#![allow(dead_code)]

use std::cell::RefCell;
use std::future::Future;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use async_channel::Receiver;
use async_channel::Sender;
use callers::CallerLimits;
use callers::CallersPort;
use callers::Gateway;
use callers::Health;
use futures_lite::AsyncReadExt;
use futures_lite::AsyncWriteExt;
use settings::DaemonSettings;
use settings::EntrySettings;
use smol::LocalExecutor;
use smol::net::TcpListener;
use smol::net::TcpStream;
use types::Refusal;
use types::RefusalReason;
use types::Reply;
use types::RequestId;
use types::RunState;
use types::ServiceKind;
use types::Submission;

/// Request ID that the gateway assigns to every submission.
pub const REQUEST: RequestId = 0xabc;

/// Gateway that records calls and sends the same replies to every submission.
#[derive(Default)]
pub struct ScriptedGateway {
    pub replies: RefCell<Vec<Reply>>,
    /// Keep the reply channels open after the replies.
    pub keep_open: bool,
    pub submissions: RefCell<Vec<Submission>>,
    pub calls: RefCell<Vec<String>>,
    pub senders: RefCell<Vec<Sender<Reply>>>,
}

impl Gateway for ScriptedGateway {
    fn limits(&self, service: &str) -> Result<CallerLimits, Refusal> {
        let kind = match service {
            "bitacora" => ServiceKind::Model,
            "mulas" => ServiceKind::Plain,
            _ => {
                return Err(Refusal {
                    reason: RefusalReason::UnknownService,
                    run: RunState::NotRun,
                    retry_after_ms: None,
                    detail: "no such service".to_owned(),
                });
            }
        };
        Ok(CallerLimits {
            kind,
            body_limit_bytes: 1000,
            output_limit_tokens: 100,
        })
    }

    fn submit(&self, submission: Submission) -> (RequestId, Receiver<Reply>) {
        self.submissions.borrow_mut().push(submission);
        let (sender, receiver) = async_channel::unbounded();
        for reply in self.replies.borrow().iter() {
            sender.try_send(reply.clone()).unwrap();
        }
        if self.keep_open {
            self.senders.borrow_mut().push(sender);
        }
        (REQUEST, receiver)
    }

    fn consumed(&self, request: RequestId, bytes: u64) {
        assert_eq!(request, REQUEST);
        self.calls.borrow_mut().push(format!("consumed {bytes}"));
    }

    fn hang_up(&self, request: RequestId) {
        assert_eq!(request, REQUEST);
        self.calls.borrow_mut().push("hang up".to_owned());
    }

    fn health(&self) -> Health {
        Health {
            is_live: true,
            is_ready: false,
        }
    }

    fn metrics(&self) -> String {
        "requests 1\n".to_owned()
    }
}

pub fn entry_settings() -> EntrySettings {
    let text = include_str!("../../../../examples/settings/kitagawa-entry.jsonc");
    match settings::parse("kitagawa-entry.jsonc", text) {
        Ok(DaemonSettings::Entry(settings)) => *settings,
        other => panic!("{other:?}"),
    }
}

/// Runs a test with a running port.
pub fn with_port<F: Future<Output = ()>>(
    gateway: Rc<ScriptedGateway>,
    test: impl FnOnce(SocketAddr) -> F,
) {
    with_reconfigurable_port(gateway, |addr, _| test(addr));
}

/// Runs a test with a running port whose limits the test can change.
pub fn with_reconfigurable_port<F: Future<Output = ()>>(
    gateway: Rc<ScriptedGateway>,
    test: impl FnOnce(SocketAddr, Rc<CallersPort>) -> F,
) {
    let executor = Rc::new(LocalExecutor::new());
    let server = executor.clone();
    smol::block_on(executor.run(async move {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let addr = listener.local_addr().unwrap();
        let (stop, stopped) = async_channel::bounded(1);
        let settings = entry_settings();
        let port = Rc::new(CallersPort::new(&settings, gateway));
        let (task, shared) = (server.clone(), port.clone());
        server
            .spawn(async move {
                let serving = callers::serve(listener, &settings.limits, shared, task, stopped);
                serving.await.unwrap();
            })
            .detach();
        test(addr, port).await;
        drop(stop);
    }));
}

/// Sends a request and returns everything received until the connection ends.
pub async fn send_raw(addr: SocketAddr, request: &str) -> String {
    let mut stream = TcpStream::connect(addr).await.unwrap();
    let _ = stream.write_all(request.as_bytes()).await;
    let mut answer = Vec::new();
    let _ = stream.read_to_end(&mut answer).await;
    String::from_utf8_lossy(&answer).into_owned()
}

/// POST request with `Connection: close`.
pub fn post(path: &str, fields: &str, body: &str) -> String {
    format!(
        "POST {path} HTTP/1.1\r\nHost: a\r\nConnection: close\r\n{fields}Content-Length: {}\r\n\r\n{body}",
        body.len()
    )
}

pub fn head(content_type: &str) -> Reply {
    Reply::Head {
        status: 200,
        content_type: content_type.to_owned(),
        headers: types::Headers::default(),
        served_by: "bitacora-03".to_owned(),
    }
}

pub fn refused(reason: RefusalReason, run: RunState, retry_after_ms: Option<u64>) -> Reply {
    Reply::Refused(Refusal {
        reason,
        run,
        retry_after_ms: retry_after_ms.map(Duration::from_millis),
        detail: "for the test".to_owned(),
    })
}

/// Waits for a call for up to two seconds; returns whether it was recorded.
pub async fn wait_for_call(gateway: &ScriptedGateway, call: &str) -> bool {
    for _ in 0..200 {
        if gateway
            .calls
            .borrow()
            .iter()
            .any(|recorded| recorded == call)
        {
            return true;
        }
        smol::Timer::after(Duration::from_millis(10)).await;
    }
    false
}
