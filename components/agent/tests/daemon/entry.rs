//! Client side of the session between an entry and the agent.

use std::net::SocketAddr;
use std::time::Duration;

use smol::net::TcpStream;
use types::AttemptId;
use types::LoadedModel;
use types::Method;
use types::Work;
use wire::AnswerDigest;
use wire::Dispatch;
use wire::Hello;
use wire::Rejection;
use wire::ToAgent;
use wire::ToEntry;
use wire::session;
use wire::session::SessionReader;
use wire::session::SessionWriter;

use crate::INCARNATION;
use crate::keys;

pub struct Entry {
    pub reader: SessionReader<TcpStream>,
    pub writer: SessionWriter<TcpStream>,
}

impl Entry {
    pub async fn connect(agent: SocketAddr) -> Self {
        let stream = loop {
            match TcpStream::connect(agent).await {
                Ok(stream) => break stream,
                Err(_) => smol::Timer::after(Duration::from_millis(20)).await,
            };
        };
        let (reader, writer) =
            session::establish(stream, session::End::Opener, &keys(), rand::random())
                .await
                .expect("session");
        let mut entry = Self { reader, writer };
        entry
            .send(ToAgent::Hello(Hello {
                process: 3,
                to: "engine-1".to_owned(),
            }))
            .await;
        entry
    }

    pub async fn send(&mut self, message: ToAgent) {
        self.writer.send(&message).await.expect("sent");
    }

    pub async fn next(&mut self) -> ToEntry {
        let message = self.reader.next_message().await.expect("frame");
        message.expect("open connection")
    }

    pub async fn wait_until_ready(&mut self) {
        loop {
            self.send(ToAgent::Ping { nonce: 1 }).await;
            match self.next().await {
                ToEntry::Pong { load, .. } if !load.away => return,
                _ => smol::Timer::after(Duration::from_millis(20)).await,
            };
        }
    }

    /// Retries the dispatch until the agent is ready, and returns the answer. Grants little credit.
    pub async fn complete(&mut self, request: u128, body: &str, stream: bool) -> (u16, Vec<u8>) {
        for number in 1.. {
            let attempt = AttemptId { request, number };
            self.send(ToAgent::Dispatch(Box::new(dispatch(attempt, body, stream))))
                .await;
            match self.answer(attempt).await {
                Ok(answer) => return answer,
                Err(Rejection::Away) => smol::Timer::after(Duration::from_millis(20)).await,
                Err(other) => panic!("rejected as {other:?}"),
            };
        }
        unreachable!("the loop ends with an answer")
    }

    pub async fn answer(&mut self, attempt: AttemptId) -> Result<(u16, Vec<u8>), Rejection> {
        let (mut status, mut bytes) = (0, Vec::new());
        let mut digest = AnswerDigest::default();
        loop {
            match self.next().await {
                ToEntry::Rejected { reason, .. } => return Err(reason),
                ToEntry::Head { status: code, .. } => status = code,
                ToEntry::Chunk {
                    offset,
                    bytes: chunk,
                    ..
                } => {
                    assert_eq!(offset, bytes.len() as u64);
                    bytes.extend_from_slice(&chunk);
                    digest.push(&chunk);
                    self.send(ToAgent::Credit {
                        attempt,
                        received: bytes.len() as u64,
                        bytes: u32::try_from(chunk.len()).expect("small chunk"),
                    })
                    .await;
                }
                ToEntry::End {
                    length,
                    digest: whole,
                    usage,
                    ..
                } => {
                    assert_eq!(length, bytes.len() as u64);
                    assert_eq!(whole, digest.digest());
                    assert!(usage.output_tokens > 0);
                    return Ok((status, bytes));
                }
                ToEntry::Failed { detail, .. } => panic!("{detail}"),
                _ => {}
            }
        }
    }
}

pub fn dispatch(attempt: AttemptId, body: &str, stream: bool) -> Dispatch {
    Dispatch {
        attempt,
        incarnation: INCARNATION,
        revision: 1,
        needs: LoadedModel {
            model: "demo".to_owned(),
            version: "1".to_owned(),
            adapters: Vec::new(),
        },
        deadline_ms: Duration::from_secs(30),
        priority: 1,
        idempotent: true,
        credit_bytes: 64,
        work: Work {
            service: "mesa-refugios".to_owned(),
            method: Method::Post,
            path: "/v1/completions".to_owned(),
            content_type: "application/json".to_owned(),
            headers: types::Headers::default(),
            body: body.as_bytes().to_vec(),
            stream,
            model: String::new(),
            prompt_tokens: 4,
            max_output_tokens: 40,
            prefixes: vec![1, 2],
        },
        body_bytes: body.len() as u64,
    }
}
