//! What callers are told, word for word.
use crate::prelude::*;
use serde_json::json;

pub fn accepted(id: &MessageId, stage: Stage) -> Verdict {
    Verdict::json(202, json!({"id": id, "taken": true, "state": stage.word()}).to_string())
}

/// It never runs, now or later.
pub fn not_taken(code: u16, why: &str, after: Option<Span>) -> Verdict {
    let mut v = json!({"taken": false, "error": why});
    if let Some(s) = after {
        v["retry_after_ms"] = json!(s.as_millis());
    }
    Verdict { after, ..Verdict::json(code, v.to_string()) }
}

/// It may or may not run; nobody can say yet.
pub fn unknown(id: &MessageId) -> Verdict {
    let v = json!({"id": id, "taken": "unknown", "error": "the end is not known yet; ask for the message by its id, or send it again with the same id, the same bytes and again=true",
                   "retry_after_ms": 1000});
    Verdict { after: Some(Span::secs(1)), ..Verdict::json(504, v.to_string()) }
}

pub fn conflict(id: &MessageId) -> Verdict {
    let v = json!({"id": id, "taken": "conflict", "error": "another message was sent under this id; what was told of that one stands. Use a new id"});
    Verdict::json(409, v.to_string())
}

pub fn state(head: &Head, stage: Stage) -> Verdict {
    let v = json!({"id": head.id, "state": stage.word(), "key": head.key, "sequence": head.seq, "bytes": head.len,
    "call_back": match (stage, head.desk.is_empty()) {
        (_, true) => "none",
        (Stage::Calling | Stage::Work, false) => "due",
        (Stage::Ended(Outcome::Succeeded), false) => "done",
        (Stage::Ended(_), false) => "none",
    }});
    Verdict::json(200, v.to_string())
}

pub fn no_such() -> Verdict {
    let why = "no message of this id is known; it was never accepted, or it ended longer ago than messages are kept";
    Verdict::json(404, json!({ "error": why }).to_string())
}

pub fn unread() -> Verdict {
    let v = json!({"error": "the partition can't be read just now", "retry_after_ms": 1000});
    Verdict { after: Some(Span::secs(1)), ..Verdict::json(503, v.to_string()) }
}
