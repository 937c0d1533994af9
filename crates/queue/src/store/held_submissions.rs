//! Submissions that wait for a moment, as it is not known yet whether they can be accepted.
use super::carry::Submission;
use crate::prelude::*;

/// A proxy waits for a response for longer than this.
const MAX_HOLD: Span = Span::millis(300);
const MAX_HELD: usize = 1000;
const MAX_HELD_BYTES: usize = 8 << 20;

/// Submissions in the order in which they arrived.
#[derive(Default)]
pub(super) struct HeldSubmissions {
    waiting: Vec<Submission>,
    bytes: usize,
}

impl HeldSubmissions {
    fn has_room_for(&self, submission: &Submission) -> bool {
        self.waiting.len() < MAX_HELD && self.bytes + submission.body.len() <= MAX_HELD_BYTES
    }

    fn push(&mut self, submission: Submission) {
        self.bytes += submission.body.len();
        self.waiting.push(submission);
    }

    fn take(&mut self) -> Vec<Submission> {
        self.bytes = 0;
        std::mem::take(&mut self.waiting)
    }
}

impl Store {
    /// Whether a submission may wait here; otherwise it is decided on what is known.
    pub(super) fn may_hold(&self, submission: &Submission, now: Time) -> bool {
        let is_in_time = submission.held_since.is_none_or(|since| now.since(since) < MAX_HOLD);
        is_in_time && self.held_submissions.has_room_for(submission)
    }

    pub(super) fn hold(&mut self, submission: Submission, now: Time) {
        let held_since = submission.held_since.or(Some(now));
        self.held_submissions.push(Submission { held_since, ..submission });
    }

    /// Handles the held submissions again. Those that still can't be decided are held on.
    pub(super) fn retry_held_submissions(&mut self, now: Time) {
        for submission in self.held_submissions.take() {
            self.on_submit(submission, now);
        }
    }
}
