//! Responses that arrive when their requests have ended, since the caller has left or the time is over.
//!
//! Nobody waits for them, but they say what their servers accept from now on.

use base::prelude::*;
use fleet::Key;

use super::{Context, Forward, ResponseHead, Run};
use crate::Effects;

/// Longest time between the end of a request and a response that was received before its connection was closed.
const RETENTION: Duration = Duration::from_secs(1);
/// Maximum number of attempts that are retained.
const MAX_ATTEMPTS: usize = 4_096;

/// An attempt whose request ended before the response.
#[derive(Debug)]
pub(super) struct EndedAttempt {
    call: u64,
    ended_at: Time,
    server: Key,
    request: Name,
    sent_at: Time,
}

impl Forward {
    /// Retains the attempt of a request that ends, if it has no response yet.
    pub(super) fn retain_attempt(&mut self, now: Time, call: u64, run: &Run) {
        let Some(placement) = run.placement.filter(|placement| placement.head_at.is_none()) else {
            return;
        };
        let expired = self.ended.iter().take_while(|ended| now.since(ended.ended_at) >= RETENTION);
        let excess = (self.ended.len() + 1).saturating_sub(MAX_ATTEMPTS);
        self.ended.drain(..expired.count().max(excess));
        self.ended.push_back(EndedAttempt {
            call,
            ended_at: now,
            server: placement.server,
            request: run.head.id.clone(),
            sent_at: run.sent_at,
        });
    }

    /// Applies what a response says about its server, if its request ended a moment ago.
    pub(super) fn late_response_received(
        &mut self,
        cx: &Context<'_>,
        call: u64,
        response: &ResponseHead,
        out: &mut Effects,
    ) {
        let found = self.ended.iter().rposition(|ended| ended.call == call);
        let Some(ended) = found.and_then(|index| self.ended.remove(index)) else {
            return;
        };
        if cx.now.since(ended.ended_at) < RETENTION {
            let request = (&ended.request, ended.sent_at);
            self.server_responded(cx, ended.server, request, response, out);
        }
    }
}
