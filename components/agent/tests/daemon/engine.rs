//! Loss of the connection between agent and engine during a stream.

use std::time::Duration;

use standin::engine::EngineOptions;
use standin::forwarder::ForwarderOptions;
use standin::forwarder::Link;
use standin::ports::free_address;
use types::AttemptId;
use types::RunState;
use wire::AnswerDigest;
use wire::Digest;
use wire::ToAgent;
use wire::ToEntry;

use crate::counters;
use crate::entry::Entry;
use crate::entry::dispatch;
use crate::post;
use crate::start_agent;
use crate::start_engine;

const BODY: &str = r#"{"prompt": "hut", "max_tokens": 150, "stream": true}"#;
const ATTEMPT: AttemptId = AttemptId {
    request: 78,
    number: 1,
};

async fn dispatch_stream(entry: &mut Entry) {
    entry.wait_until_ready().await;
    let mut dispatch = dispatch(ATTEMPT, BODY, true);
    dispatch.credit_bytes = 1 << 20;
    entry.send(ToAgent::Dispatch(Box::new(dispatch))).await;
}

/// Reads until the end, a failure or `limit_bytes`.
async fn read_answer(
    entry: &mut Entry,
    bytes: &mut Vec<u8>,
    limit_bytes: usize,
) -> Option<Result<Digest, (RunState, String)>> {
    while bytes.len() < limit_bytes {
        match entry.next().await {
            ToEntry::Chunk {
                offset,
                bytes: chunk,
                ..
            } => {
                assert_eq!(offset, bytes.len() as u64);
                bytes.extend_from_slice(&chunk);
            }
            ToEntry::End { digest, .. } => return Some(Ok(digest)),
            ToEntry::Failed { run, detail, .. } => return Some(Err((run, detail))),
            _ => {
                smol::Timer::after(Duration::from_millis(50)).await;
            }
        }
        // Prevents the agent from closing the connection as silent.
        entry.send(ToAgent::Ping { nonce: 1 }).await;
    }
    None
}

/// Guards against a stream that is truncated or generated again when the connection to the engine
/// stalls permanently.
#[test]
fn resumes_a_stream_after_the_engine_connection_stalled() {
    let engine = free_address();
    start_engine(EngineOptions {
        decode_rate: 100.0,
        ..EngineOptions::new(engine)
    });
    let (control, forwarder_address) = (free_address(), free_address());
    std::thread::spawn(move || {
        standin::forwarder::run(&ForwarderOptions {
            control,
            link: vec![Link {
                listen: forwarder_address,
                target: engine,
            }],
        })
    });
    let agent = start_agent(forwarder_address, Vec::new());
    smol::block_on(async {
        let mut entry = Entry::connect(agent).await;
        dispatch_stream(&mut entry).await;
        let mut bytes = Vec::new();
        assert_eq!(read_answer(&mut entry, &mut bytes, 2000).await, None);
        let before = bytes.len();
        post(control, "/mode", r#"{"silence": "existing"}"#).await;
        let end = read_answer(&mut entry, &mut bytes, usize::MAX).await;
        assert!(bytes.len() > before, "nothing was resumed");
        let mut digest = AnswerDigest::default();
        digest.push(&bytes);
        assert_eq!(end, Some(Ok(digest.digest())));
        assert!(bytes.ends_with(b"data: [DONE]\n\n"));
        let counters = counters(engine).await;
        assert_eq!((counters.runs.len(), counters.runs[0].started), (1, 1));
        assert_eq!(counters.resumed, 1);
    });
}

/// Guards against a second run, or a false report of `not-run`, when the engine has dropped a run
/// and closed its connection.
#[test]
fn fails_as_unknown_when_the_engine_no_longer_knows_the_run() {
    let engine = free_address();
    start_engine(EngineOptions {
        decode_rate: 1000.0,
        ..EngineOptions::new(engine)
    });
    let agent = start_agent(engine, Vec::new());
    smol::block_on(async {
        let mut entry = Entry::connect(agent).await;
        entry.wait_until_ready().await;
        post(engine, "/faults", r#"{"cut_requests": 1}"#).await;
        dispatch_stream(&mut entry).await;
        let end = read_answer(&mut entry, &mut Vec::new(), usize::MAX).await;
        let Some(Err((run, detail))) = end else {
            panic!("{end:?}");
        };
        assert_eq!(run, RunState::Unknown);
        assert!(detail.contains("cannot continue"), "{detail}");
        let counters = counters(engine).await;
        assert_eq!((counters.runs.len(), counters.runs[0].started), (1, 1));
    });
}
