//! Heads of answers from different attempts.

use request::answer::Answer;
use request::answer::AnswerHead;
use request::answer::Progress;
use types::Header;
use types::Headers;

fn head(fields: &[(&str, &str)]) -> AnswerHead {
    let fields = fields.iter().map(|&(name, value)| Header {
        name: name.to_owned(),
        value: value.to_owned(),
    });
    let fields: Vec<Header> = fields.collect();
    AnswerHead {
        status: 200,
        content_type: "text/plain".to_owned(),
        headers: Headers::try_from(fields).expect("few fields"),
    }
}

/// Guards against bytes of two representations in one answer, and against answers that are refused
/// only because fields such as `Date` differ between attempts.
#[test]
fn retry_continues_only_the_same_representation() {
    let first = [("date", "1"), ("etag", "a"), ("set-cookie", "s=1")];
    let later = [("date", "2"), ("etag", "a"), ("set-cookie", "s=2")];
    let other = [("date", "1"), ("etag", "b"), ("set-cookie", "s=1")];
    let encoded = [("content-encoding", "gzip"), ("etag", "a")];
    let mut answer = Answer::default();
    assert!(matches!(
        answer.receive_head(head(&first)),
        Progress::New(_)
    ));
    assert_eq!(answer.receive_head(head(&later)), Progress::Unchanged);
    assert_eq!(answer.receive_head(head(&other)), Progress::Mismatch);
    assert_eq!(answer.receive_head(head(&encoded)), Progress::Mismatch);
    assert_eq!(answer.head(), Some(&head(&first)));
}
