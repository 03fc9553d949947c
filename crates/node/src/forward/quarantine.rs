//! Observes crashes of servers, and rejects requests that cause them, by themselves or by a segment of their prompt.
//!
//! Each process decides by itself which causes are quarantined ([`quarantine::Table`]), on the same observations
//! (`evidence`). The leader among the keepers also permits trials. Keepers save the observations on their disks.

use std::collections::{HashMap, VecDeque};

use base::prelude::*;
use fleet::Key;
use quarantine::{
    Candidate, Cause, Content, Hold, Loss, Observation, Server, Stage, Survival, Table,
};
use serde_json::{Value, json};
use wire::quarantine as border;

use super::evidence::candidate_causes;
use super::{Context, Failure, Forward, Progress, Run};
use crate::decision::Decision;
use crate::{Effect, Effects};

/// Time in which the other runs at a crashed server are lost too, before the loss is sent.
const LOSS_DELAY: Duration = Duration::from_millis(10);
/// Time after which a further lost run at the same server is another loss.
const LOSS_WINDOW: Duration = Duration::from_millis(500);
/// Time after its first bytes for which a response counts as just begun: the crash may follow them.
const BEGIN_TIME: Duration = Duration::from_millis(100);
/// Segments and requests whose last survival is kept, each, and for how long.
const MAX_SURVIVALS: usize = 8_192;
const SURVIVAL_RETENTION: Duration = Duration::from_secs(60);
/// Minimum time between two messages that the same cause survived.
const SURVIVAL_INTERVAL: Duration = Duration::from_millis(200);
/// Minimum time between two messages that requests were rejected, which the leader answers with a trial.
const HELD_BACK_INTERVAL: Duration = Duration::from_millis(250);
/// Minimum Retry-After of a request with a quarantined cause.
const MIN_RETRY_AFTER: Duration = Duration::from_secs(1);
/// Retry-After if no further trial is due.
const RETRY_AFTER_TRIALS: Duration = Duration::from_secs(60);
/// Time after a loss from which a request that is sent, and answered, shows that the server has not crashed, and until when:
/// a server may start again under its identity.
const ANSWER_FROM: Duration = Duration::from_millis(50);
const ANSWER_UNTIL: Duration = Duration::from_secs(1);
/// Time in which a request that its caller gave up may still crash its server, and how many are kept.
const ABANDONED_TIME: Duration = Duration::from_secs(3);
const MAX_ABANDONED: usize = 256;
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
    /// Last survival of each segment, and of each whole request, at this entry. No two prompts may be alike, so requests
    /// don't take the room of segments.
    survivals: HashMap<Cause, Time>,
    request_survivals: HashMap<Cause, Time>,
    /// When the survival of a cause was last sent.
    sent_survivals: HashMap<Cause, Time>,
    /// Number of the last trial of each cause that this entry has used.
    used_trials: HashMap<Cause, u32>,
    /// Requests that ended here before their server answered: when, and where.
    abandoned: VecDeque<(Time, Key, Candidate)>,
    /// Observations to send.
    pub(super) outbox: Vec<Observation>,
    held_back: Vec<border::Cause>,
    next_held_back: Time,
    pub(super) next_complete: Time,
    /// Term of the last message with all observations.
    pub(super) term: u64,
    /// Whether a trial was permitted that is not on the disk yet.
    pub(super) unsaved: bool,
}

impl Quarantine {
    /// The quarantined causes.
    pub fn holds(&self) -> &[Hold] {
        self.table.holds()
    }

    /// The last survivals at this entry of causes of this kind.
    fn survivals(&mut self, cause: &Cause) -> &mut HashMap<Cause, Time> {
        if cause.is_request() { &mut self.request_survivals } else { &mut self.survivals }
    }

    fn remember_survival(&mut self, now: Time, cause: Cause, begun: Time) {
        let survivals = self.survivals(&cause);
        if survivals.len() > MAX_SURVIVALS {
            survivals.retain(|_, at| now.since(*at) < SURVIVAL_RETENTION);
        }
        if survivals.len() > MAX_SURVIVALS {
            survivals.clear();
        }
        survivals.insert(cause, begun);
    }
}

/// The current time on the clock of the table.
pub(super) fn table_now(now: Time) -> Time {
    now + CLOCK_OFFSET
}

/// What a run carries that may crash its server.
fn content(run: &Run) -> Content {
    let segments = run.segments();
    let shared = &segments[..segments.len().saturating_sub(1)];
    Content {
        service: run.service.clone(),
        digest: run.digest,
        model: run.head.prompt.as_ref().map(|prompt| prompt.model.clone()).unwrap_or_default(),
        segments: shared.iter().map(|segment| segment.id).collect(),
    }
}

/// A run that may crash its server, unless the server has long been answering it.
fn candidate(now: Time, run: &Run) -> Option<Candidate> {
    let begun = match run.placement?.progress(now) {
        Progress::Sent => false,
        Progress::Head => true,
        Progress::Body(time) if time < BEGIN_TIME => true,
        Progress::Body(_) => return None,
    };
    // The head of a response without a prompt says nothing: most servers send it when the run is complete.
    let stage = if begun && run.head.prompt.is_some() { Stage::Begun } else { Stage::Sent };
    Some(Candidate { request: run.head.id.clone(), stage, content: content(run) })
}

impl Forward {
    /// Records that a run was lost at its server.
    pub(super) fn run_lost(&mut self, cx: &Context<'_>, call: u64, failure: Failure) {
        let Some(run) = self.runs.get(&call) else {
            return;
        };
        let Some(placement) = run.placement else {
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
        let candidate = candidate(cx.now, run);
        let abandoned =
            self.quarantine.abandoned.iter().filter(|(at, key, _)| {
                *key == placement.server && cx.now.since(*at) < ABANDONED_TIME
            });
        let abandoned: Vec<Candidate> = abandoned.map(|(.., found)| found.clone()).collect();
        self.quarantine.abandoned.retain(|(_, key, _)| *key != placement.server);
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
        loss.candidates.extend(abandoned);
        loss.due.get_or_insert(cx.now + LOSS_DELAY);
    }

    fn connection_refused(&mut self, cx: &Context<'_>, server: Server) {
        let now = table_now(cx.now);
        if self.quarantine.table.unconfirmed(now, &server, cx.entries).is_some() {
            let loss = Loss {
                server,
                entry: cx.process.clone(),
                at: now,
                lost: 0,
                remaining: 0,
                refused: true,
                answered: false,
                candidates: Vec::new(),
            };
            self.observe(Observation::Loss(loss));
        }
    }

    /// A server has answered a run: if it was sent after others were lost there, the server has not crashed.
    pub(super) fn run_answered(&mut self, cx: &Context<'_>, call: u64) {
        let Some((run, placement)) =
            self.runs.get(&call).and_then(|run| run.placement.map(|placement| (run, placement)))
        else {
            return;
        };
        if self.quarantine.table.is_empty() {
            return;
        }
        let Some(server) = self.servers.get(placement.server) else {
            return;
        };
        let sent_at = table_now(run.sent_at);
        let server = Server { id: server.listed.id.clone(), born: server.listed.born };
        let lost_at = self.quarantine.table.unconfirmed(table_now(cx.now), &server, cx.entries);
        let Some(at) = lost_at else {
            return;
        };
        if sent_at > at + ANSWER_FROM && sent_at < at + ANSWER_UNTIL {
            self.observe(Observation::Loss(Loss {
                server,
                entry: cx.process.clone(),
                at,
                lost: 0,
                remaining: 0,
                refused: false,
                answered: true,
                candidates: Vec::new(),
            }));
        }
    }

    /// A request without a prompt ended here before its server answered: its caller left, or its time is over. The server
    /// may still run it.
    pub(super) fn run_abandoned(&mut self, now: Time, call: u64) {
        let Some(run) = self.runs.get(&call) else {
            return;
        };
        let Some((placement, candidate)) = run.placement.zip(candidate(now, run)) else {
            return;
        };
        if candidate.content.has_prompt() {
            return;
        }
        let abandoned = &mut self.quarantine.abandoned;
        if abandoned.len() >= MAX_ABANDONED {
            abandoned.pop_front();
        }
        abandoned.push_back((now, placement.server, candidate));
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

    /// A response has ended or continued for a while: the server survived what it carries.
    pub(super) fn response_survived(&mut self, now: Time, call: u64) {
        let Some(run) = self.runs.get(&call) else {
            return;
        };
        // A response without a prompt says at its end that the server survived, whatever its status, and without a body too.
        let has_prompt = run.head.prompt.is_some();
        let begun = run
            .placement
            .and_then(|placement| placement.body_at.or(placement.head_at.filter(|_| !has_prompt)));
        let Some(begun) = begun.filter(|_| run.status < 300 || !has_prompt) else {
            return;
        };
        for cause in content(run).causes() {
            let watched = self.quarantine.table.is_watched(&cause);
            self.quarantine.remember_survival(now, cause.clone(), begun);
            if watched {
                self.send_survival(now, cause, begun);
            }
        }
    }

    /// Sends the survival of a cause unless it was sent a moment ago.
    fn send_survival(&mut self, now: Time, cause: Cause, begun: Time) {
        let sent = self.quarantine.sent_survivals.get(&cause);
        if sent.is_some_and(|at| now.since(*at) < SURVIVAL_INTERVAL) {
            return;
        }
        let at = table_now(begun);
        if self.quarantine.sent_survivals.len() > MAX_SURVIVALS {
            self.quarantine.sent_survivals.clear();
        }
        self.quarantine.sent_survivals.insert(cause.clone(), now);
        self.observe(Observation::Survival(Survival { cause, at }));
    }

    /// The quarantined causes that a request carries, unless this entry may try it; marks the trial as used.
    pub(super) fn quarantined(&mut self, cx: &Context<'_>, call: u64) -> Option<Hold> {
        if self.quarantine.holds().is_empty() {
            return None;
        }
        let run = self.runs.get(&call)?;
        let hold = self.quarantine.table.find(&content(run))?.clone();
        let now = table_now(cx.now);
        let trial = self.quarantine.table.trial(&hold).filter(|trial| {
            let used = self.quarantine.used_trials.get(&trial.cause).copied().unwrap_or(0);
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
        for cause in &hold.causes {
            self.quarantine.used_trials.insert(cause.clone(), number);
        }
        if let Some(run) = self.runs.get_mut(&call) {
            run.is_trial = true;
        }
        None
    }

    /// Rejects a request that carries quarantined causes.
    pub(super) fn hold_back(
        &mut self,
        cx: &Context<'_>,
        call: u64,
        hold: &Hold,
        out: &mut Effects,
    ) {
        let now = table_now(cx.now);
        let changed_at = hold.model().and_then(|model| self.weights_changed_at(cx.now, model));
        let due = self.quarantine.table.next_trial(hold, changed_at);
        let retry_after = due.map_or(RETRY_AFTER_TRIALS, |due| due.since(now)).max(MIN_RETRY_AFTER);
        let retry_after = super::jitter(&mut self.rng, retry_after);
        for cause in hold.causes.iter().map(to_border) {
            if !self.quarantine.held_back.contains(&cause) {
                self.quarantine.held_back.push(cause);
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
        let text = if hold.is_request() {
            "it crashes backend servers"
        } else {
            "a segment of its prompt crashes backend servers"
        };
        let rejection = (Code::Quarantined, text);
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

    /// Sends what is due, and decides again which causes are quarantined.
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
            answered: false,
            candidates: loss.candidates.clone(),
        });
        let causes = candidate_causes(&observation);
        self.observe(observation);
        self.send_own_survivals(cx.now, causes);
    }

    /// Sends the last survivals at this entry of what may have caused a crash.
    pub(super) fn send_own_survivals(&mut self, now: Time, causes: Vec<Cause>) {
        for cause in causes {
            if let Some(begun) = self.quarantine.survivals(&cause).get(&cause).copied() {
                self.send_survival(now, cause, begun);
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
        let is_held = |cause: &Cause| holds.iter().any(|hold| hold.causes.contains(cause));
        // Trials are numbered anew if a cause is quarantined again.
        self.quarantine.used_trials.retain(|cause, _| is_held(cause));
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

    /// As the leader: permits the next trial of quarantined causes to an entry that has rejected such a request.
    pub fn held_back(
        &mut self,
        cx: &Context<'_>,
        entry: &Name,
        causes: &[border::Cause],
        out: &mut Effects,
    ) {
        if cx.term.is_none() {
            return;
        }
        let named =
            |hold: &&Hold| hold.causes.iter().all(|found| causes.contains(&to_border(found)));
        let holds: Vec<Hold> = self.quarantine.holds().iter().filter(named).cloned().collect();
        for hold in holds {
            let changed_at = hold.model().and_then(|model| self.weights_changed_at(cx.now, model));
            let now = table_now(cx.now);
            for trial in self.quarantine.table.permit_trial(now, &hold, entry, changed_at) {
                out.push(Effect::Decision(Box::new(Decision::TrialPermitted(trial.clone()))));
                self.quarantine.outbox.push(Observation::Trial(trial));
                self.quarantine.unsaved = true;
            }
        }
    }

    /// Ends the quarantine of a segment of a model, or of a request of a service, by hand; returns whether it was quarantined.
    pub fn release_cause(
        &mut self,
        cx: &Context<'_>,
        scope: &Name,
        id: u128,
        out: &mut Effects,
    ) -> bool {
        let segment = u64::try_from(id).ok().map(|id| Cause::Segment { model: scope.clone(), id });
        let request = Cause::Request { service: scope.clone(), digest: id };
        let is_held =
            |cause: &Cause| self.quarantine.holds().iter().any(|hold| hold.causes.contains(cause));
        let found: Vec<Cause> = segment.into_iter().chain([request]).filter(is_held).collect();
        let held = !found.is_empty();
        for cause in found {
            let at = table_now(cx.now);
            self.observe(Observation::Survival(Survival { cause, at }));
        }
        if held {
            self.update_quarantine(cx, out);
        }
        held
    }

    /// Number of requests and of groups of segments that are quarantined.
    pub fn quarantined_groups(&self) -> usize {
        self.quarantine.holds().len()
    }

    /// The quarantined causes, for operators.
    pub fn dump_quarantine(&self, now: Time) -> Vec<Value> {
        let now = table_now(now);
        let shown = |hold: &Hold| {
            let trial = self.quarantine.table.trial(hold);
            let mut segments = Vec::new();
            let (mut service, mut request) = (Name::default(), String::new());
            for cause in &hold.causes {
                match cause {
                    Cause::Segment { id, .. } => segments.push(format!("{id:x}")),
                    Cause::Request { service: found, digest } => {
                        service = found.clone();
                        request = format!("{digest:x}");
                    }
                }
            }
            json!({
                "model": hold.model().map_or("", |model| model),
                "segments": segments.join(","),
                "service": &*service,
                "request": request,
                "servers": hold.servers().join(","),
                "last_crash_ms": now.since(hold.last_crash()).as_millis() as u64,
                "trials": trial.map_or(0, |trial| trial.number),
                "last_trial_at": trial.map(|trial| &*trial.entry),
            })
        };
        self.quarantine.holds().iter().map(shown).collect()
    }

    /// The quarantined causes of requests that this entry has rejected, if they are to be sent.
    pub fn take_held_back(&mut self, now: Time) -> Vec<border::Cause> {
        if now < self.quarantine.next_held_back || self.quarantine.held_back.is_empty() {
            return Vec::new();
        }
        self.quarantine.next_held_back = now + HELD_BACK_INTERVAL;
        std::mem::take(&mut self.quarantine.held_back)
    }
}

pub(super) fn to_border(cause: &Cause) -> border::Cause {
    match cause {
        Cause::Segment { model, id } => border::Cause::Segment { model: model.clone(), id: *id },
        Cause::Request { service, digest } => {
            border::Cause::Request { service: service.clone(), digest: *digest }
        }
    }
}
