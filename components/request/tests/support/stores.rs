//! Simulated table and object store, with checks that they are consistent.

use request::Event;
use request::claim::ClaimRow;
use store::ObjectReply;
use store::ObjectRequest;
use store::StoreError;
use store::TableReply;
use store::TableRequest;

use super::cluster::Cluster;

impl Cluster {
    pub fn apply(&mut self, request: &TableRequest) -> TableReply {
        let reply = self.table.apply(request);
        if let TableRequest::Commit(transaction) = request {
            let values = transaction.puts.iter().filter_map(|put| put.value.as_ref());
            let rows = values.filter_map(|value| serde_json::from_str::<ClaimRow>(value).ok());
            for object in rows.filter_map(|row| row.object) {
                let body = self.objects.get(&object.key);
                if !body.is_some_and(|body| object.matches(body)) {
                    let violation = format!("a row refers to {} before it is stored", object.key);
                    self.violations.push(violation);
                }
            }
        }
        reply
    }

    pub fn apply_object(&mut self, request: ObjectRequest) -> ObjectReply {
        match request {
            ObjectRequest::Put { key, bytes } => {
                let before = self.objects.insert(key.clone(), bytes.clone());
                if before.is_some_and(|before| before != bytes) {
                    self.violations
                        .push(format!("{key} is overwritten with other content"));
                }
                ObjectReply::Stored
            }
            ObjectRequest::Get { key } => ObjectReply::Content(self.objects.get(&key).cloned()),
            ObjectRequest::Delete { key } => {
                self.objects.remove(&key);
                ObjectReply::Deleted
            }
        }
    }

    /// Completes a call to the object store. `fault` selects a failure; other values mean success.
    pub fn end_object_call(&mut self, entry: usize, pick: usize, fault: u8) {
        let calls = &mut self.entries[entry].object_calls;
        if calls.is_empty() {
            return;
        }
        let (operation, request) = calls.remove(pick % calls.len());
        let unanswered = Err(StoreError::Unanswered("lost".to_owned()));
        let result = match fault {
            0 => Err(StoreError::Unavailable("outage".to_owned())),
            1 => {
                self.apply_object(request);
                unanswered
            }
            2 => {
                self.delayed_objects.push(request);
                unanswered
            }
            3 => Ok(truncated(self.apply_object(request))),
            _ => Ok(self.apply_object(request)),
        };
        self.event(entry, Event::ObjectDone { operation, result });
    }
}

fn truncated(reply: ObjectReply) -> ObjectReply {
    match reply {
        ObjectReply::Content(Some(mut body)) => {
            body.truncate(body.len() / 2);
            ObjectReply::Content(Some(body))
        }
        reply => reply,
    }
}
