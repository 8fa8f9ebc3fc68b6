//! Simulated agents: handling of dispatches, queries and resumes.

use request::claim::ROW_ANSWER_LIMIT_BYTES;
use types::AttemptId;
use types::RunState;
use types::Usage;
use wire::AnswerDigest;
use wire::Dispatch;
use wire::ForbidOutcome;
use wire::Rejection;
use wire::ToAgent;
use wire::ToEntry;

use super::cluster::Behaviour;
use super::cluster::Cluster;
use super::cluster::LARGE_KEY;
use super::cluster::Message;
use super::cluster::Status;
use super::load;

impl Cluster {
    pub fn agent_message(&mut self, entry: usize, target: usize, message: ToAgent) {
        match message {
            ToAgent::Dispatch(dispatch) => self.receive_dispatch(entry, target, &dispatch),
            ToAgent::Forbid {
                attempt,
                incarnation,
            } => {
                let agent = &mut self.agents[target];
                let outcome = if incarnation == agent.incarnation {
                    match agent.attempts.entry(attempt).or_insert(Status::Forbidden) {
                        Status::Forbidden => ForbidOutcome::NeverRun,
                        Status::Started(_) => ForbidOutcome::Started,
                        Status::Lost => ForbidOutcome::Lost,
                    }
                } else {
                    ForbidOutcome::Lost
                };
                self.enqueue(entry, target, ToEntry::Forbidden { attempt, outcome });
            }
            ToAgent::Resume {
                attempt, offset, ..
            } => {
                let agent = &mut self.agents[target];
                let status = agent.attempts.entry(attempt).or_insert(Status::Forbidden);
                match status.clone() {
                    Status::Forbidden => self.reject(entry, target, attempt),
                    Status::Started(Some(body)) => self.send(entry, target, attempt, &body, offset),
                    Status::Started(None) => {}
                    Status::Lost => self.fail(entry, target, attempt, RunState::Unknown),
                }
            }
            _ => {}
        }
    }

    fn receive_dispatch(&mut self, entry: usize, target: usize, dispatch: &Dispatch) {
        let attempt = dispatch.attempt;
        let agent = &mut self.agents[target];
        let known = agent.attempts.get(&attempt);
        if dispatch.incarnation != agent.incarnation || known == Some(&Status::Forbidden) {
            self.reject(entry, target, attempt);
            return;
        }
        if known.is_some() {
            return;
        }
        let behaviour = agent.behaviour;
        let mut answer = dispatch.work.body.clone();
        answer.extend_from_slice(&self.last_id.to_le_bytes());
        if dispatch.work.body == [LARGE_KEY] {
            answer.resize(ROW_ANSWER_LIMIT_BYTES + 1 + answer.len(), LARGE_KEY);
        }
        let status = match behaviour {
            Behaviour::Rejects | Behaviour::FailsNotRun => Status::Forbidden,
            Behaviour::FailsAfterStart => Status::Lost,
            Behaviour::NeverAnswers => Status::Started(None),
            Behaviour::Answers => Status::Started(Some(answer.clone())),
        };
        agent.attempts.insert(attempt, status.clone());
        if status != Status::Forbidden {
            self.record_run(dispatch);
        }
        match behaviour {
            Behaviour::Rejects => self.reject(entry, target, attempt),
            Behaviour::FailsNotRun => self.fail(entry, target, attempt, RunState::NotRun),
            Behaviour::FailsAfterStart => self.fail(entry, target, attempt, RunState::Unknown),
            Behaviour::NeverAnswers => {}
            Behaviour::Answers => {
                self.last_id += 1;
                let answers = self.answers.entry(dispatch.work.body.clone());
                answers.or_default().push(answer.clone());
                self.send(entry, target, attempt, &answer, 0);
            }
        }
    }

    fn record_run(&mut self, dispatch: &Dispatch) {
        self.ran.insert(dispatch.attempt.request);
        if dispatch.idempotent {
            return;
        }
        let runs = self.runs.entry(dispatch.work.body.clone()).or_default();
        *runs += 1;
        if *runs > 1 {
            let body = &dispatch.work.body;
            self.violations
                .push(format!("{body:?} was run {runs} times"));
        }
    }

    fn enqueue(&mut self, entry: usize, target: usize, message: ToEntry) {
        let incarnation = self.agents[target].incarnation;
        self.messages
            .push(Message::ToEntry(entry, target, incarnation, message));
    }

    fn reject(&mut self, entry: usize, target: usize, attempt: AttemptId) {
        let load = load(self.agents[target].incarnation);
        let reason = Rejection::Overloaded;
        let message = ToEntry::Rejected {
            attempt,
            reason,
            load,
        };
        self.enqueue(entry, target, message);
    }

    fn fail(&mut self, entry: usize, target: usize, attempt: AttemptId, run: RunState) {
        let detail = String::new();
        let message = ToEntry::Failed {
            attempt,
            run,
            detail,
        };
        self.enqueue(entry, target, message);
    }

    fn send(&mut self, entry: usize, target: usize, attempt: AttemptId, body: &[u8], from: u64) {
        let head = ToEntry::Head {
            attempt,
            status: 200,
            content_type: "text/plain".to_owned(),
            headers: types::Headers::default(),
        };
        self.enqueue(entry, target, head);
        let from = usize::try_from(from).expect("small").min(body.len());
        let part = (body.len() / 4).max(4);
        for (index, bytes) in body[from..].chunks(part).enumerate() {
            let message = ToEntry::Chunk {
                attempt,
                offset: (from + part * index) as u64,
                bytes: bytes.to_vec(),
            };
            self.enqueue(entry, target, message);
        }
        let mut digest = AnswerDigest::default();
        digest.push(body);
        let end = ToEntry::End {
            attempt,
            length: digest.length(),
            digest: digest.digest(),
            usage: Usage::default(),
            load: load(self.agents[target].incarnation),
        };
        self.enqueue(entry, target, end);
    }
}
