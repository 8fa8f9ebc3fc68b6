//! The fake agents: what they do with dispatches, questions and resumptions.

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

use super::load;
use super::world::Fate;
use super::world::LARGE_KEY;
use super::world::Message;
use super::world::Treatment;
use super::world::World;

impl World {
    pub fn agent(&mut self, entry: usize, target: usize, message: ToAgent) {
        match message {
            ToAgent::Dispatch(dispatch) => self.take(entry, target, &dispatch),
            ToAgent::Forbid {
                attempt,
                incarnation,
            } => {
                let agent = &mut self.agents[target];
                let outcome = if incarnation == agent.incarnation {
                    match agent.fates.entry(attempt).or_insert(Fate::Forbidden) {
                        Fate::Forbidden => ForbidOutcome::NeverRun,
                        Fate::Started(_) => ForbidOutcome::Started,
                        Fate::Lost => ForbidOutcome::Lost,
                    }
                } else {
                    ForbidOutcome::Lost
                };
                self.answer(entry, target, ToEntry::Forbidden { attempt, outcome });
            }
            ToAgent::Resume {
                attempt, offset, ..
            } => {
                let agent = &mut self.agents[target];
                let fate = agent.fates.entry(attempt).or_insert(Fate::Forbidden);
                match fate.clone() {
                    Fate::Forbidden => self.reject(entry, target, attempt),
                    Fate::Started(Some(body)) => self.stream(entry, target, attempt, &body, offset),
                    Fate::Started(None) => {}
                    Fate::Lost => self.fail(entry, target, attempt, RunState::Unknown),
                }
            }
            _ => {}
        }
    }

    fn take(&mut self, entry: usize, target: usize, dispatch: &Dispatch) {
        let attempt = dispatch.attempt;
        let agent = &mut self.agents[target];
        let known = agent.fates.get(&attempt);
        if dispatch.incarnation != agent.incarnation || known == Some(&Fate::Forbidden) {
            self.reject(entry, target, attempt);
            return;
        }
        if known.is_some() {
            return;
        }
        let treatment = agent.treatment;
        let mut answer = dispatch.work.body.clone();
        answer.extend_from_slice(&self.next.to_le_bytes());
        if dispatch.work.body == [LARGE_KEY] {
            answer.resize(ROW_ANSWER_LIMIT_BYTES + 1 + answer.len(), LARGE_KEY);
        }
        let fate = match treatment {
            Treatment::Rejects | Treatment::FailsNotRun => Fate::Forbidden,
            Treatment::FailsAfterStart => Fate::Lost,
            Treatment::NeverAnswers => Fate::Started(None),
            Treatment::Answers => Fate::Started(Some(answer.clone())),
        };
        agent.fates.insert(attempt, fate.clone());
        if fate != Fate::Forbidden {
            self.run(dispatch);
        }
        match treatment {
            Treatment::Rejects => self.reject(entry, target, attempt),
            Treatment::FailsNotRun => self.fail(entry, target, attempt, RunState::NotRun),
            Treatment::FailsAfterStart => self.fail(entry, target, attempt, RunState::Unknown),
            Treatment::NeverAnswers => {}
            Treatment::Answers => {
                self.next += 1;
                let answers = self.answers.entry(dispatch.work.body.clone());
                answers.or_default().push(answer.clone());
                self.stream(entry, target, attempt, &answer, 0);
            }
        }
    }

    fn run(&mut self, dispatch: &Dispatch) {
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

    fn answer(&mut self, entry: usize, target: usize, message: ToEntry) {
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
        self.answer(entry, target, message);
    }

    fn fail(&mut self, entry: usize, target: usize, attempt: AttemptId, run: RunState) {
        let detail = String::new();
        let message = ToEntry::Failed {
            attempt,
            run,
            detail,
        };
        self.answer(entry, target, message);
    }

    fn stream(&mut self, entry: usize, target: usize, attempt: AttemptId, body: &[u8], from: u64) {
        let head = ToEntry::Head {
            attempt,
            status: 200,
            content_type: "text/plain".to_owned(),
            headers: types::Headers::default(),
        };
        self.answer(entry, target, head);
        let from = usize::try_from(from).expect("small").min(body.len());
        let part = (body.len() / 4).max(4);
        for (index, bytes) in body[from..].chunks(part).enumerate() {
            let message = ToEntry::Chunk {
                attempt,
                offset: (from + part * index) as u64,
                bytes: bytes.to_vec(),
            };
            self.answer(entry, target, message);
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
        self.answer(entry, target, end);
    }
}
