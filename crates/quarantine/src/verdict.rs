//! Which segments and requests explain the crashes.

use std::collections::{BTreeSet, HashMap};

use base::prelude::*;

use crate::{Cause, Content, Crash, Server};

/// Crashes from which a cause is blamed.
const MIN_CRASHES: usize = 2;
/// Further crashes that are needed for a cause that survived before the first of them, and where servers also crash with
/// other causes. A whole request never needs more than this: also where it has a prompt, never ran alone, or shares all its
/// crashes with another one.
const MORE_CRASHES: usize = 1;
/// Losses of a plain request, at distinct servers, from which it is blamed although nothing else shows that they crashed.
const MIN_UNCONFIRMED: usize = 3;
/// Entries that must have observed them: one alone may have lost its connections.
const MIN_OBSERVERS: usize = 2;
/// Time before the first of its crashes in which crashes with other causes count against blaming a cause.
const OTHER_CAUSES_WINDOW: Duration = Duration::from_secs(30);
/// Crashes within this time have a common cause, such as a rack without power, and count as one.
const COINCIDENCE: Duration = Duration::from_millis(20);

/// Causes that crash servers where a request has all of them.
///
/// There are several if they are segments that have only occurred together, so that nothing tells which one it is.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Hold {
    /// The causes.
    pub causes: Vec<Cause>,
    /// The crashes that they explain, by time.
    pub crashes: Vec<(Server, Time)>,
}

impl Hold {
    /// When the last of the crashes was.
    pub fn last_crash(&self) -> Time {
        self.crashes.last().map_or(Time::ZERO, |(_, at)| *at)
    }

    /// Identities of the crashed servers, by the times of the crashes.
    pub fn servers(&self) -> Vec<&str> {
        self.crashes.iter().map(|(server, _)| &*server.id).collect()
    }

    /// Whether it is a whole request.
    pub fn is_request(&self) -> bool {
        self.causes.iter().any(Cause::is_request)
    }

    /// The model of its segments.
    pub fn model(&self) -> Option<&Name> {
        self.causes.first()?.model()
    }

    /// Whether it explains a crash.
    pub(crate) fn explains(&self, crash: &Crash) -> bool {
        self.crashes.iter().any(|(server, at)| (server, at) == (&crash.server, &crash.at))
    }

    /// Whether a request has all its causes.
    pub fn matches(&self, content: &Content) -> bool {
        self.causes.iter().all(|cause| content.has(cause))
    }
}

/// The causes that explain these crashes, which are sorted by time. `survived` is the last survival of a cause.
///
/// Segments go before whole requests, which are blamed for what no segment explains.
pub(crate) fn holds(crashes: &[&Crash], survived: &HashMap<Cause, Time>) -> Vec<Hold> {
    let mut unexplained: BTreeSet<usize> = (0..crashes.len()).collect();
    let mut holds = Vec::new();
    for is_request in [false, true] {
        let mut by_cause = crashes_by_cause(crashes, &unexplained, survived, is_request);
        by_cause.retain(|_, found| found.len() >= MIN_CRASHES);
        explain(crashes, by_cause, survived, &mut unexplained, &mut holds);
    }
    holds
}

/// The causes with the strongest evidence are taken first, and the crashes that they explain no longer count for others.
fn explain(
    crashes: &[&Crash],
    mut by_cause: HashMap<Cause, BTreeSet<usize>>,
    survived: &HashMap<Cause, Time>,
    unexplained: &mut BTreeSet<usize>,
    holds: &mut Vec<Hold>,
) {
    let events = events(crashes);
    loop {
        let alike = |cause: &Cause, found: &BTreeSet<usize>| -> Vec<Cause> {
            let is_alike =
                |other: &Cause| survived.contains_key(other) == survived.contains_key(cause);
            let alike = by_cause.iter().filter(|(other, set)| *set == found && is_alike(other));
            alike.map(|(other, _)| other.clone()).collect()
        };
        let strength = |(cause, found): (&Cause, &BTreeSet<usize>)| {
            let count = found.iter().map(|index| events[*index]).collect::<BTreeSet<_>>().len();
            let survived = survived.contains_key(cause);
            let mut needed = min_crashes(crashes, found, unexplained, survived);
            if cause.is_request() {
                let has_prompt = || !found.iter().all(|index| crashes[*index].is_plain());
                let was_alone =
                    || found.iter().any(|index| crashes[*index].candidates().len() == 1);
                let doubtful = needed > MIN_CRASHES || has_prompt() || !was_alone();
                needed = MIN_CRASHES + MORE_CRASHES * usize::from(doubtful);
            }
            (count >= needed).then(|| (!survived, count, found.clone(), cause.clone()))
        };
        let Some((.., found, cause)) = by_cause.iter().filter_map(strength).max() else {
            return;
        };
        let mut causes = alike(&cause, &found);
        causes.sort();
        let explained = |index: &usize| (crashes[*index].server.clone(), crashes[*index].at);
        let explained: Vec<(Server, Time)> = found.iter().map(explained).collect();
        // A request has one digest, so each of these is held by itself.
        if cause.is_request() {
            let hold = |cause| Hold { causes: vec![cause], crashes: explained.clone() };
            holds.extend(causes.into_iter().map(hold));
        } else {
            holds.push(Hold { causes, crashes: explained });
        }
        unexplained.retain(|index| !found.contains(index));
        by_cause.retain(|_, other| {
            other.retain(|index| !found.contains(index));
            other.len() >= MIN_CRASHES
        });
    }
}

/// Plain requests that were lost at several servers, each time without a response, although nothing shows that these
/// crashed: each may have run the request alone. `crashes` are the possible ones, and `held` is what explains some.
pub(crate) fn unconfirmed(
    crashes: &[&Crash],
    survived: &HashMap<Cause, Time>,
    held: &[Hold],
) -> Vec<Hold> {
    let open = |index: &usize| {
        let crash = crashes[*index];
        crash.is_plain() && !held.iter().any(|hold| hold.explains(crash))
    };
    let open: BTreeSet<usize> = (0..crashes.len()).filter(open).collect();
    let mut by_cause = crashes_by_cause(crashes, &open, survived, true);
    by_cause.retain(|_, found| found.len() >= MIN_UNCONFIRMED);
    let events = events(crashes);
    let is_blamed = |(cause, found): &(&Cause, &BTreeSet<usize>)| {
        let servers: BTreeSet<&Server> =
            found.iter().map(|index| &crashes[*index].server).collect();
        let losses = found.iter().flat_map(|index| crashes[*index].losses());
        let observers =
            losses.filter(|loss| loss.candidates.iter().any(|found| found.content.has(cause)));
        let observers: BTreeSet<&Name> = observers.map(|loss| &loss.entry).collect();
        let events: BTreeSet<usize> = found.iter().map(|index| events[*index]).collect();
        let others = by_cause.iter().filter(|(other, set)| other != cause && set == found);
        servers.len().min(events.len()) >= MIN_UNCONFIRMED
            && observers.len() >= MIN_OBSERVERS
            && others.count() == 0
    };
    let hold = |(cause, found): (&Cause, &BTreeSet<usize>)| {
        let explained = |index: &usize| (crashes[*index].server.clone(), crashes[*index].at);
        Hold { causes: vec![cause.clone()], crashes: found.iter().map(explained).collect() }
    };
    let mut holds: Vec<Hold> = by_cause.iter().filter(is_blamed).map(hold).collect();
    holds.sort_by(|one, other| one.causes.cmp(&other.causes));
    holds
}

/// Those of the crashes `among` that each cause of a kind may have had since its last survival.
fn crashes_by_cause(
    crashes: &[&Crash],
    among: &BTreeSet<usize>,
    survived: &HashMap<Cause, Time>,
    is_request: bool,
) -> HashMap<Cause, BTreeSet<usize>> {
    let mut found: HashMap<Cause, BTreeSet<usize>> = HashMap::new();
    for index in among {
        let crash = crashes[*index];
        for cause in crash.candidates().iter().flat_map(|candidate| candidate.content.causes()) {
            if cause.is_request() == is_request
                && survived.get(&cause).is_none_or(|at| crash.at > *at)
            {
                found.entry(cause).or_default().insert(*index);
            }
        }
    }
    found
}

/// How many crashes a cause needs to be blamed. `found` are its crashes, `survived` whether it survived before them.
fn min_crashes(
    crashes: &[&Crash],
    found: &BTreeSet<usize>,
    unexplained: &BTreeSet<usize>,
    survived: bool,
) -> usize {
    let at = |index: &usize| crashes[*index].at;
    let first = found.first().map_or(Time::ZERO, at);
    let last = found.last().map_or(Time::ZERO, at);
    // Servers of prompts and of plain requests run different software.
    let is_plain = |index: &usize| crashes[*index].is_plain();
    let plain = found.iter().all(is_plain);
    let related =
        |index: &&usize| is_plain(index) == plain || crashes[**index].candidates().is_empty();
    let mut others = unexplained.difference(found).filter(related).map(at);
    let has_other_causes = others.any(|other| other <= last && other + OTHER_CAUSES_WINDOW > first);
    MIN_CRASHES + MORE_CRASHES * (usize::from(survived) + usize::from(has_other_causes))
}

/// Number of the event that each crash belongs to.
fn events(crashes: &[&Crash]) -> Vec<usize> {
    let mut events = Vec::with_capacity(crashes.len());
    let mut began = None;
    let mut event = 0;
    for crash in crashes {
        if began.is_none_or(|at| crash.at.since(at) >= COINCIDENCE) {
            began = Some(crash.at);
            event += 1;
        }
        events.push(event);
    }
    events
}
