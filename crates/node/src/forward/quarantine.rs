//! Observes crashes of servers, and rejects prompts with segments that cause them.
//!
//! Each process decides by itself which segments are quarantined ([`quarantine::Table`]), on the same observations
//! (`evidence`). The leader among the keepers also permits trials. Keepers save the observations on their disks.

use std::collections::{HashMap, VecDeque};

use base::prelude::*;
use fleet::Key;
use quarantine::{Candidate, Hold, Loss, Observation, Segment, Server, Stage, Survival, Table};
use serde_json::{Value, json};
use wire::quarantine as border;

use super::evidence::candidate_segments;
use super::{Context, Failure, Forward, Progress, Run};
use crate::decision::Decision;
use crate::{Effect, Effects};

/// Time in which the other runs at a crashed server are lost too, before the loss is sent.
const LOSS_DELAY: Duration = Duration::from_millis(10);
/// Time after which a further lost run at the same server is another loss.
const LOSS_WINDOW: Duration = Duration::from_millis(500);
/// Time after its first bytes for which a response counts as just begun: the crash may follow them.
const BEGIN_TIME: Duration = Duration::from_millis(100);
/// Segments whose last survival is kept, and for how long.
const MAX_SURVIVALS: usize = 8_192;
const SURVIVAL_RETENTION: Duration = Duration::from_secs(60);
/// Minimum time between two messages that the same segment survived.
const SURVIVAL_INTERVAL: Duration = Duration::from_millis(200);
/// Minimum time between two messages that requests were rejected, which the leader answers with a trial.
const HELD_BACK_INTERVAL: Duration = Duration::from_millis(250);
/// Minimum Retry-After of a prompt with a quarantined segment.
const MIN_RETRY_AFTER: Duration = Duration::from_secs(1);
/// Retry-After if no further trial is due.
const RETRY_AFTER_TRIALS: Duration = Duration::from_secs(60);
/// Offset of the times in the table: a process's clock starts at zero, and observations may be older than the process.
const CLOCK_OFFSET: Duration = Duration::from_secs(7_200);

/// Runs that this entry has lost at one server.
#[derive(Debug)]
pub(super) struct PendingLoss {
    server: Server,
    at: Time,
    lost: u32,
    candidates: Vec<Candidate>,
    due: Option<Time>,
}

/// What this process has observed of crashes and knows from others.
#[derive(Debug, Default)]
pub(super) struct Quarantine {
    pub(super) table: Table,
    pub(super) losses: HashMap<Key, PendingLoss>,
    /// Responses that have just begun: when each counts as a survival, the exchange and its attempt.
    begun: VecDeque<(Time, u64, u32)>,
    /// Last survival of each segment at this entry.
    survivals: HashMap<Segment, Time>,
    /// When the survival of a segment was last sent.
    sent_survivals: HashMap<Segment, Time>,
    /// Number of the last trial of each segment that this entry has used.
    used_trials: HashMap<Segment, u32>,
    /// Observations to send.
    pub(super) outbox: Vec<Observation>,
    held_back: Vec<border::Segment>,
    next_held_back: Time,
    pub(super) next_complete: Time,
    /// Term of the last message with all observations.
    pub(super) term: u64,
    /// Whether a trial was permitted that is not on the disk yet.
    pub(super) unsaved: bool,
}

impl Quarantine {
    /// The quarantined segments.
    pub fn holds(&self) -> &[Hold] {
        self.table.holds()
    }
}

/// The current time on the clock of the table.
pub(super) fn table_now(now: Time) -> Time {
    now + CLOCK_OFFSET
}

/// IDs of the segments of a run's prompt, without the last one.
fn shared_segments(run: &Run) -> Vec<u64> {
    let segments = run.segments();
    let shared = &segments[..segments.len().saturating_sub(1)];
    shared.iter().map(|segment| segment.id).collect()
}

impl Forward {
    /// Records that a run was lost at its server.
    pub(super) fn run_lost(&mut self, cx: &Context<'_>, call: u64, failure: Failure) {
        let Some(run) = self.runs.get(&call) else {
            return;
        };
        let Some((placement, prompt)) = run.placement.zip(run.head.prompt.as_ref()) else {
            return;
        };
        let Some(server) = self.servers.get(placement.server) else {
            return;
        };
        let server = Server { id: server.listed.id.clone(), born: server.listed.born };
        if failure == Failure::NotSent {
            self.connection_refused(cx, server);
            return;
        }
        let now = table_now(cx.now);
        let stage = match placement.progress(cx.now) {
            Progress::Sent => Some(Stage::Sent),
            Progress::Head => Some(Stage::Begun),
            Progress::Body(time) => (time < BEGIN_TIME).then_some(Stage::Begun),
        };
        let candidate = stage.map(|stage| Candidate {
            request: run.head.id.clone(),
            stage,
            model: prompt.model.clone(),
            segments: shared_segments(run),
        });
        let losses = &mut self.quarantine.losses;
        losses.retain(|_, loss| now.since(loss.at) < LOSS_WINDOW);
        let loss = losses.entry(placement.server).or_insert(PendingLoss {
            server,
            at: now,
            lost: 0,
            candidates: Vec::new(),
            due: None,
        });
        loss.lost += 1;
        loss.candidates.extend(candidate);
        loss.due.get_or_insert(cx.now + LOSS_DELAY);
    }

    fn connection_refused(&mut self, cx: &Context<'_>, server: Server) {
        let now = table_now(cx.now);
        if self.quarantine.table.is_unconfirmed(now, &server, cx.entries) {
            let loss = Loss {
                server,
                entry: cx.process.clone(),
                at: now,
                lost: 0,
                remaining: 0,
                refused: true,
                candidates: Vec::new(),
            };
            self.observe(Observation::Loss(loss));
        }
    }

    /// Number of runs of this entry that a server has begun to answer.
    pub(super) fn answered_runs(&self, key: Key) -> u32 {
        let answered = |run: &&Run| {
            run.placement
                .is_some_and(|placement| placement.server == key && placement.head_at.is_some())
        };
        self.runs.values().filter(answered).count() as u32
    }

    /// Adds an observation of this process, and sends it if it is new.
    pub(super) fn observe(&mut self, observation: Observation) {
        if self.quarantine.table.merge(&observation) {
            self.quarantine.outbox.push(observation);
        }
    }

    /// A response has begun.
    pub(super) fn response_begun(&mut self, now: Time, call: u64) {
        if let Some(run) = self.runs.get(&call)
            && run.head.prompt.is_some()
        {
            self.quarantine.begun.push_back((now + BEGIN_TIME, call, run.attempts));
        }
    }

    /// A response has ended or continued for a while: the server survived its segments.
    pub(super) fn response_survived(&mut self, now: Time, call: u64) {
        let Some(run) = self.runs.get(&call) else {
            return;
        };
        let begun = run.placement.and_then(|placement| placement.body_at);
        let Some((begun, prompt)) = begun.zip(run.head.prompt.as_ref()) else {
            return;
        };
        if run.status >= 300 {
            return;
        }
        let model = prompt.model.clone();
        let segments = shared_segments(run);
        let quarantine = &mut self.quarantine;
        if quarantine.survivals.len() > MAX_SURVIVALS {
            quarantine.survivals.retain(|_, at| now.since(*at) < SURVIVAL_RETENTION);
        }
        if quarantine.survivals.len() > MAX_SURVIVALS {
            quarantine.survivals.clear();
        }
        for id in segments {
            let segment = Segment { model: model.clone(), id };
            let watched = self.quarantine.table.is_watched(&segment);
            self.quarantine.survivals.insert(segment.clone(), begun);
            if watched {
                self.send_survival(now, segment, begun);
            }
        }
    }

    /// Sends the survival of a segment unless it was sent a moment ago.
    fn send_survival(&mut self, now: Time, segment: Segment, begun: Time) {
        let sent = self.quarantine.sent_survivals.get(&segment);
        if sent.is_some_and(|at| now.since(*at) < SURVIVAL_INTERVAL) {
            return;
        }
        let at = table_now(begun);
        if self.quarantine.sent_survivals.len() > MAX_SURVIVALS {
            self.quarantine.sent_survivals.clear();
        }
        self.quarantine.sent_survivals.insert(segment.clone(), now);
        self.observe(Observation::Survival(Survival { segment, at }));
    }

    /// The quarantined segments of a request's prompt, unless this entry may try it; marks the trial as used.
    pub(super) fn quarantined(&mut self, cx: &Context<'_>, call: u64) -> Option<Hold> {
        if self.quarantine.holds().is_empty() {
            return None;
        }
        let run = self.runs.get(&call)?;
        let model = &run.head.prompt.as_ref()?.model;
        let hold = self.quarantine.table.find(model, &shared_segments(run))?.clone();
        let now = table_now(cx.now);
        let trial = self.quarantine.table.trial(&hold).filter(|trial| {
            let used = self.quarantine.used_trials.get(&trial.segment).copied().unwrap_or(0);
            trial.entry == *cx.process
                && trial.at >= table_now(Time::ZERO)
                && now.since(trial.at) < quarantine::TRIAL_VALIDITY
                && used < trial.number
        });
        if run.is_trial && run.possible_executions == 0 {
            return None;
        }
        let first = run.attempts == 0;
        let Some(number) = trial.map(|trial| trial.number).filter(|_| first) else {
            return Some(hold);
        };
        for segment in &hold.segments {
            self.quarantine.used_trials.insert(segment.clone(), number);
        }
        if let Some(run) = self.runs.get_mut(&call) {
            run.is_trial = true;
        }
        None
    }

    /// Rejects a request whose prompt has quarantined segments.
    pub(super) fn hold_back(
        &mut self,
        cx: &Context<'_>,
        call: u64,
        hold: &Hold,
        out: &mut Effects,
    ) {
        let now = table_now(cx.now);
        let changed_at = self.weights_changed_at(cx.now, &hold.segments[0].model);
        let due = self.quarantine.table.next_trial(hold, changed_at);
        let retry_after = due.map_or(RETRY_AFTER_TRIALS, |due| due.since(now)).max(MIN_RETRY_AFTER);
        let retry_after = super::jitter(&mut self.rng, retry_after);
        for segment in hold.segments.iter().map(to_border) {
            if !self.quarantine.held_back.contains(&segment) {
                self.quarantine.held_back.push(segment);
            }
        }
        if let Some(run) = self.runs.get(&call) {
            out.push(Effect::Decision(Box::new(Decision::HeldBack {
                request: run.head.id.clone(),
                hold: hold.clone(),
                last_crash: now.since(hold.last_crash()),
                trials: self.quarantine.table.trial(hold).map_or(0, |trial| trial.number),
                retry_after,
            })));
        }
        let rejection = (Code::Quarantined, "a segment of its prompt crashes backend servers");
        self.reject_with_retry_after(cx, call, rejection, Some(retry_after), out);
    }

    /// When all runs of a model have to begin on its newest weights, if that was set while this process ran.
    fn weights_changed_at(&self, now: Time, model: &Name) -> Option<Time> {
        let allowed = self.allowed(now, model);
        let versions = self.versions.get(model)?;
        let several = versions.ages(now).count() > 1 || allowed.oldest > 1;
        let age = allowed.newest_age.checked_sub(self.config.old_weights_grace)?;
        several.then(|| table_now(now) - age)
    }

    /// Sends what is due, and decides again which segments are quarantined.
    pub(super) fn tick_quarantine(&mut self, cx: &Context<'_>, out: &mut Effects) {
        while let Some((_, call, attempt)) =
            self.quarantine.begun.front().copied().filter(|(due, ..)| *due <= cx.now)
        {
            self.quarantine.begun.pop_front();
            if self.runs.get(&call).is_some_and(|run| run.attempts == attempt) {
                self.response_survived(cx.now, call);
            }
        }
        let due: Vec<Key> = self
            .quarantine
            .losses
            .iter()
            .filter(|(_, loss)| loss.due.is_some_and(|due| due <= cx.now))
            .map(|(key, _)| *key)
            .collect();
        for key in due {
            self.send_loss(cx, key);
        }
        self.update_quarantine(cx, out);
    }

    fn send_loss(&mut self, cx: &Context<'_>, key: Key) {
        let remaining = self.answered_runs(key);
        let Some(loss) = self.quarantine.losses.get_mut(&key) else {
            return;
        };
        loss.due = None;
        let observation = Observation::Loss(Loss {
            server: loss.server.clone(),
            entry: cx.process.clone(),
            at: loss.at,
            lost: loss.lost,
            remaining,
            refused: false,
            candidates: loss.candidates.clone(),
        });
        let segments = candidate_segments(&observation);
        self.observe(observation);
        self.send_own_survivals(cx.now, segments);
    }

    /// Sends the last survivals at this entry of segments that may have caused a crash.
    pub(super) fn send_own_survivals(&mut self, now: Time, segments: Vec<Segment>) {
        for segment in segments {
            if let Some(begun) = self.quarantine.survivals.get(&segment).copied() {
                self.send_survival(now, segment, begun);
            }
        }
    }

    pub(super) fn update_quarantine(&mut self, cx: &Context<'_>, out: &mut Effects) {
        let now = table_now(cx.now);
        let changes = self.quarantine.table.update(now, cx.entries);
        for crash in changes.crashes {
            let age = now.since(crash.at);
            out.push(Effect::Decision(Box::new(Decision::ServerCrashed { crash, age })));
        }
        let unsaved = std::mem::take(&mut self.quarantine.unsaved) || !changes.explained.is_empty();
        let changed = !changes.held.is_empty() || !changes.released.is_empty();
        for (server, hold) in changes.explained {
            out.push(Effect::Decision(Box::new(Decision::CrashExplained { server, hold })));
        }
        for (held, holds) in [(true, changes.held), (false, changes.released)] {
            for hold in holds {
                let age = now.since(hold.last_crash());
                out.push(Effect::Decision(Box::new(Decision::Quarantined { held, hold, age })));
            }
        }
        if changed || unsaved {
            out.push(Effect::SaveEvidence(self.evidence(cx.now).observations));
        }
        if !changed {
            return;
        }
        let holds = self.quarantine.table.holds();
        let is_held = |segment: &Segment| holds.iter().any(|hold| hold.segments.contains(segment));
        // Trials are numbered anew if a segment is quarantined again.
        self.quarantine.used_trials.retain(|segment, _| is_held(segment));
        // Those that no server has begun to answer would crash more servers.
        let waiting: Vec<u64> = self
            .runs
            .iter()
            .filter(|(_, run)| {
                !run.is_trial && run.placement.is_none_or(|found| found.body_at.is_none())
            })
            .map(|(call, _)| *call)
            .collect();
        for call in waiting {
            if let Some(hold) = self.quarantined(cx, call) {
                self.hold_back(cx, call, &hold, out);
            }
        }
    }

    /// As the leader: permits the next trial of quarantined segments to an entry that has rejected such a request.
    pub fn held_back(
        &mut self,
        cx: &Context<'_>,
        entry: &Name,
        segments: &[border::Segment],
        out: &mut Effects,
    ) {
        if cx.term.is_none() {
            return;
        }
        let named =
            |hold: &&Hold| hold.segments.iter().all(|found| segments.contains(&to_border(found)));
        let holds: Vec<Hold> = self.quarantine.holds().iter().filter(named).cloned().collect();
        for hold in holds {
            let changed_at = self.weights_changed_at(cx.now, &hold.segments[0].model);
            let now = table_now(cx.now);
            for trial in self.quarantine.table.permit_trial(now, &hold, entry, changed_at) {
                out.push(Effect::Decision(Box::new(Decision::TrialPermitted(trial.clone()))));
                self.quarantine.outbox.push(Observation::Trial(trial));
                self.quarantine.unsaved = true;
            }
        }
    }

    /// Ends the quarantine of a segment by hand; returns whether it was quarantined.
    pub fn release_segment(
        &mut self,
        cx: &Context<'_>,
        model: &Name,
        id: u64,
        out: &mut Effects,
    ) -> bool {
        let segment = Segment { model: model.clone(), id };
        let held = self.quarantine.holds().iter().any(|hold| hold.segments.contains(&segment));
        if held {
            let at = table_now(cx.now);
            self.observe(Observation::Survival(Survival { segment, at }));
            self.update_quarantine(cx, out);
        }
        held
    }

    /// Number of groups of segments that are quarantined together.
    pub fn quarantined_groups(&self) -> usize {
        self.quarantine.holds().len()
    }

    /// The quarantined segments, for operators.
    pub fn dump_quarantine(&self, now: Time) -> Vec<Value> {
        let now = table_now(now);
        let shown = |hold: &Hold| {
            let trial = self.quarantine.table.trial(hold);
            let segments = hold.segments.iter().map(|found| format!("{:x}", found.id));
            json!({
                "model": &*hold.segments[0].model,
                "segments": segments.collect::<Vec<_>>().join(","),
                "servers": hold.servers().join(","),
                "last_crash_ms": now.since(hold.last_crash()).as_millis() as u64,
                "trials": trial.map_or(0, |trial| trial.number),
                "last_trial_at": trial.map(|trial| &*trial.entry),
            })
        };
        self.quarantine.holds().iter().map(shown).collect()
    }

    /// The quarantined segments of requests that this entry has rejected, if they are to be sent.
    pub fn take_held_back(&mut self, now: Time) -> Vec<border::Segment> {
        if now < self.quarantine.next_held_back || self.quarantine.held_back.is_empty() {
            return Vec::new();
        }
        self.quarantine.next_held_back = now + HELD_BACK_INTERVAL;
        std::mem::take(&mut self.quarantine.held_back)
    }
}

pub(super) fn to_border(segment: &Segment) -> border::Segment {
    border::Segment { model: segment.model.clone(), id: segment.id }
}
