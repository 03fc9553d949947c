//! The merged observations, and the causes that are quarantined.

use std::collections::HashMap;

use base::prelude::*;

use crate::verdict::{self, Hold};
use crate::{Cause, Content, Crash, Loss, Observation, Server, Survival, Trial};

/// How long losses that are no confirmed crash are kept: the same request may be lost at other servers.
const UNCONFIRMED_RETENTION: Duration = Duration::from_secs(30);
/// How long after a loss a refused connection or an answer of the server says whether it crashed.
const CONFIRMATION_WINDOW: Duration = Duration::from_secs(5);
/// How long a crash that no quarantined cause explains is kept.
const CRASH_RETENTION: Duration = Duration::from_secs(600);
/// How long a cause stays quarantined after its last crash.
const HOLD_RETENTION: Duration = Duration::from_secs(3_600);
/// Crashes that are kept.
const MAX_CRASHES: usize = 128;
/// Trials of a quarantined cause. The users allow three requests after the third crash.
pub const MAX_TRIALS: u32 = 3;
/// Time from the last crash or trial to the next trial; doubles with each trial.
const TRIAL_INTERVAL: Duration = Duration::from_secs(30);
/// Difference between the times of the same survival at two processes, from the latency of messages.
const TOLERANCE: Duration = Duration::from_millis(100);
/// How long an entry may use a permitted trial.
pub const TRIAL_VALIDITY: Duration = Duration::from_secs(10);

/// The observations of all entries.
#[derive(Debug, Default)]
pub struct Table {
    /// Possible crashes, by time.
    crashes: Vec<Crash>,
    /// The last survival of each cause of a possible crash.
    survived: HashMap<Cause, Time>,
    trials: HashMap<Cause, Trial>,
    holds: Vec<Hold>,
    /// Whether the holds may be out of date.
    changed: bool,
}

/// What an update of a table changed.
#[derive(Debug, Default)]
pub struct Changes {
    /// Crashes that were confirmed.
    pub crashes: Vec<Crash>,
    /// Crashes that quarantined causes explain.
    pub explained: Vec<(Server, Hold)>,
    /// Causes that are quarantined now.
    pub held: Vec<Hold>,
    /// Causes that are not quarantined any more.
    pub released: Vec<Hold>,
}

impl Table {
    /// Adds an observation; returns whether it is new.
    pub fn merge(&mut self, observation: &Observation) -> bool {
        let changed = match observation {
            Observation::Loss(loss) => self.merge_loss(loss),
            Observation::Survival(survival) => self.merge_survival(survival),
            Observation::Trial(trial) => self.merge_trial(trial),
        };
        self.changed |= changed;
        changed
    }

    fn merge_loss(&mut self, loss: &Loss) -> bool {
        let known = self.crashes.iter().position(|crash| crash.includes(loss));
        let index = known.unwrap_or_else(|| {
            self.crashes.push(Crash::new(loss));
            self.crashes.len() - 1
        });
        let changed = self.crashes[index].merge(loss);
        self.crashes.sort_by_key(|crash| crash.at);
        changed
    }

    fn merge_survival(&mut self, survival: &Survival) -> bool {
        let known = self.survived.get(&survival.cause);
        let newer = known.is_none_or(|at| survival.at > *at + TOLERANCE);
        if newer {
            self.survived.insert(survival.cause.clone(), survival.at);
        }
        newer
    }

    fn merge_trial(&mut self, trial: &Trial) -> bool {
        let known = self.trials.get(&trial.cause);
        let newer = known.is_none_or(|known| trial.number > known.number);
        if newer {
            self.trials.insert(trial.cause.clone(), trial.clone());
        }
        newer
    }

    /// Whether there are no observations.
    pub fn is_empty(&self) -> bool {
        self.crashes.is_empty()
    }

    /// Whether a cause is in a possible crash, so that its survivals matter.
    pub fn is_watched(&self, cause: &Cause) -> bool {
        self.crashes
            .iter()
            .any(|crash| crash.candidates().iter().any(|candidate| candidate.content.has(cause)))
    }

    /// Whether a server seems to have crashed, so that an entry whose runs there go on has to report it.
    pub fn is_likely(&self, server: &Server, entries: usize) -> bool {
        let found = self.crashes.iter().rfind(|crash| crash.server == *server);
        found.is_some_and(|crash| crash.is_likely(entries))
    }

    /// When a server has lost runs recently without being a confirmed crash, so that a refused connection matters, and an
    /// answer too, unless one came.
    pub fn unconfirmed(&self, now: Time, server: &Server, entries: usize) -> Option<Time> {
        let found = self.crashes.iter().rfind(|crash| crash.server == *server)?;
        let recent = now.since(found.at) < CONFIRMATION_WINDOW;
        let open = recent && !found.is_answered() && !found.is_confirmed(now, entries);
        open.then_some(found.at)
    }

    /// Decides again which causes are quarantined, if anything has changed, and removes old observations. `entries` is the
    /// number of entries.
    pub fn update(&mut self, now: Time, entries: usize) -> Changes {
        let mut changes = Changes::default();
        // A crash is confirmed some time after its last observation.
        for crash in &mut self.crashes {
            if !crash.confirmed && crash.is_confirmed(now, entries) {
                crash.confirmed = true;
                changes.crashes.push(crash.clone());
                self.changed = true;
            }
        }
        if !self.changed && !self.has_expired(now, entries) {
            return changes;
        }
        let before = self.holds.clone();
        // First with what this process has only just learned: a crash that is old by itself may be one that a cause explains.
        self.decide(now, entries);
        self.expire(now, entries);
        self.decide(now, entries);
        self.changed = false;
        let same = |one: &Hold, other: &Hold| one.causes == other.causes;
        let new = |hold: &&Hold| !before.iter().any(|other| same(hold, other));
        changes.held = self.holds.iter().filter(new).cloned().collect();
        let gone = |hold: &Hold| !self.holds.iter().any(|other| same(hold, other));
        changes.released = before.iter().filter(|hold| gone(hold)).cloned().collect();
        for crash in &mut self.crashes {
            let hold = self.holds.iter().find(|hold| hold.explains(crash));
            if let Some(hold) = hold.filter(|_| !crash.explained) {
                crash.explained = true;
                changes.explained.push((crash.server.clone(), hold.clone()));
            }
        }
        // The next quarantine of a cause has trials of its own.
        for hold in &changes.released {
            for cause in &hold.causes {
                if !self.holds.iter().any(|other| other.causes.contains(cause)) {
                    self.trials.remove(cause);
                }
            }
        }
        changes
    }

    fn decide(&mut self, now: Time, entries: usize) {
        let confirmed: Vec<&Crash> =
            self.crashes.iter().filter(|crash| crash.is_confirmed(now, entries)).collect();
        self.holds = verdict::holds(&confirmed, &self.survived);
        let possible: Vec<&Crash> =
            self.crashes.iter().filter(|crash| crash.is_possible(now)).collect();
        let holds = verdict::unconfirmed(&possible, &self.survived, &self.holds);
        self.holds.extend(holds);
    }

    /// Whether an observation is old enough to be removed.
    fn is_old(&self, crash: &Crash, now: Time, entries: usize) -> bool {
        let explaining = self.holds.iter().filter(|hold| hold.explains(crash));
        match explaining.map(Hold::last_crash).max() {
            Some(last) => now.since(last) >= HOLD_RETENTION,
            None if crash.is_confirmed(now, entries) => now.since(crash.at) >= CRASH_RETENTION,
            None => now.since(crash.at) >= UNCONFIRMED_RETENTION,
        }
    }

    fn has_expired(&self, now: Time, entries: usize) -> bool {
        self.crashes.iter().any(|crash| self.is_old(crash, now, entries))
    }

    fn expire(&mut self, now: Time, entries: usize) {
        let crashes = std::mem::take(&mut self.crashes);
        let (old, mut kept): (Vec<Crash>, Vec<Crash>) =
            crashes.into_iter().partition(|crash| self.is_old(crash, now, entries));
        let surplus = kept.len().saturating_sub(MAX_CRASHES);
        for _ in 0..surplus {
            let unexplained = |crash: &&Crash| !self.holds.iter().any(|hold| hold.explains(crash));
            let oldest = |kept: &[Crash], also: &dyn Fn(&Crash) -> bool| {
                kept.iter().position(|crash| unexplained(&crash) && also(crash))
            };
            let unconfirmed = oldest(&kept, &|crash| !crash.confirmed);
            let found = unconfirmed.or_else(|| oldest(&kept, &|_| true));
            kept.remove(found.unwrap_or(0));
        }
        self.crashes = kept;
        if !old.is_empty() || surplus > 0 {
            let survived = std::mem::take(&mut self.survived);
            self.survived =
                survived.into_iter().filter(|(cause, _)| self.is_watched(cause)).collect();
        }
    }

    /// The quarantined causes.
    pub fn holds(&self) -> &[Hold] {
        &self.holds
    }

    /// The quarantined causes that a request has, if any.
    pub fn find(&self, content: &Content) -> Option<&Hold> {
        self.holds.iter().find(|hold| hold.matches(content))
    }

    /// The last trial of quarantined causes.
    pub fn trial(&self, hold: &Hold) -> Option<&Trial> {
        let trials = hold.causes.iter().filter_map(|cause| self.trials.get(cause));
        trials.max_by_key(|trial| trial.number)
    }

    /// When the next trial of quarantined causes is due; none if there are no more. `changed_at` is when the weights of
    /// the model last changed: a segment may be harmless to the new ones.
    pub fn next_trial(&self, hold: &Hold, changed_at: Option<Time>) -> Option<Time> {
        let trial = self.trial(hold);
        let number = trial.map_or(0, |trial| trial.number);
        if number >= MAX_TRIALS {
            return None;
        }
        let last = hold.last_crash().max(trial.map_or(Time::ZERO, |trial| trial.at));
        let due = last + TRIAL_INTERVAL * (1 << number);
        let free = trial.map_or(Time::ZERO, |trial| trial.at + TRIAL_VALIDITY);
        Some(match changed_at.filter(|at| *at > last) {
            Some(changed_at) => due.min(changed_at).max(free),
            None => due,
        })
    }

    /// As the leader: permits an entry the next trial of quarantined causes, if it is due.
    pub fn permit_trial(
        &mut self,
        now: Time,
        hold: &Hold,
        entry: &Name,
        changed_at: Option<Time>,
    ) -> Vec<Trial> {
        if self.next_trial(hold, changed_at).is_none_or(|due| due > now) {
            return Vec::new();
        }
        let number = self.trial(hold).map_or(0, |trial| trial.number) + 1;
        let trial =
            |cause: &Cause| Trial { cause: cause.clone(), entry: entry.clone(), number, at: now };
        let trials: Vec<Trial> = hold.causes.iter().map(trial).collect();
        for trial in &trials {
            self.merge_trial(trial);
        }
        trials
    }

    /// All observations.
    pub fn observations(&self) -> Vec<Observation> {
        let losses = self.crashes.iter().flat_map(Crash::losses).cloned().map(Observation::Loss);
        let survived = self
            .survived
            .iter()
            .map(|(cause, at)| Observation::Survival(Survival { cause: cause.clone(), at: *at }));
        let trials = self.trials.values().cloned().map(Observation::Trial);
        losses.chain(survived).chain(trials).collect()
    }
}
