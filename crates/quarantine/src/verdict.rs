//! Which segments explain the crashes.

use std::collections::{BTreeSet, HashMap};

use base::prelude::*;

use crate::{Crash, Segment, Server};

/// Crashes from which a segment is blamed.
const MIN_CRASHES: usize = 2;
/// Further crashes that are needed for a segment that survived before the first of them, and where servers also crash with
/// other causes.
const MORE_CRASHES: usize = 1;
/// Time before the first of its crashes in which crashes with other causes count against blaming a segment.
const OTHER_CAUSES_WINDOW: Duration = Duration::from_secs(30);
/// Crashes within this time have a common cause, such as a rack without power, and count as one.
const COINCIDENCE: Duration = Duration::from_millis(20);

/// Segments that crash servers where a prompt has all of them.
///
/// There are several if they have only occurred together, so that nothing tells which one it is.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Hold {
    /// The segments.
    pub segments: Vec<Segment>,
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

    /// Whether it explains a crash.
    pub(crate) fn explains(&self, crash: &Crash) -> bool {
        self.crashes.iter().any(|(server, at)| (server, at) == (&crash.server, &crash.at))
    }

    /// Whether a prompt has all its segments.
    pub fn matches(&self, model: &Name, segments: &[u64]) -> bool {
        self.segments
            .iter()
            .all(|segment| segment.model == *model && segments.contains(&segment.id))
    }
}

/// The segments that explain these crashes, which are sorted by time. `survived` is the last survival of a segment.
///
/// The segments with the strongest evidence are taken first, and the crashes that they explain no longer count for others.
pub(crate) fn holds(crashes: &[&Crash], survived: &HashMap<Segment, Time>) -> Vec<Hold> {
    let events = events(crashes);
    let mut by_segment = crashes_by_segment(crashes, survived);
    let mut unexplained: BTreeSet<usize> = (0..crashes.len()).collect();
    let mut holds = Vec::new();
    loop {
        let strength = |(segment, found): (&Segment, &BTreeSet<usize>)| {
            let count = found.iter().map(|index| events[*index]).collect::<BTreeSet<_>>().len();
            let survived = survived.contains_key(segment);
            let needed = min_crashes(crashes, found, &unexplained, survived);
            (count >= needed).then(|| (!survived, count, found.clone()))
        };
        let Some((never_survived, _, found)) = by_segment.iter().filter_map(strength).max() else {
            return holds;
        };
        let is_alike = |segment: &Segment| survived.contains_key(segment) != never_survived;
        let alike =
            by_segment.iter().filter(|(segment, other)| **other == found && is_alike(segment));
        let mut segments: Vec<Segment> = alike.map(|(segment, _)| segment.clone()).collect();
        segments.sort();
        let explained = |index: &usize| (crashes[*index].server.clone(), crashes[*index].at);
        holds.push(Hold { segments, crashes: found.iter().map(explained).collect() });
        unexplained.retain(|index| !found.contains(index));
        by_segment.retain(|_, other| {
            other.retain(|index| !found.contains(index));
            other.len() >= MIN_CRASHES
        });
    }
}

/// The crashes of each segment since its last survival, without segments that have too few to be blamed.
fn crashes_by_segment(
    crashes: &[&Crash],
    survived: &HashMap<Segment, Time>,
) -> HashMap<Segment, BTreeSet<usize>> {
    let mut found: HashMap<Segment, BTreeSet<usize>> = HashMap::new();
    for (index, crash) in crashes.iter().enumerate() {
        for candidate in crash.candidates() {
            for id in &candidate.segments {
                let segment = Segment { model: candidate.model.clone(), id: *id };
                if survived.get(&segment).is_none_or(|at| crash.at > *at) {
                    found.entry(segment).or_default().insert(index);
                }
            }
        }
    }
    found.retain(|_, crashes| crashes.len() >= MIN_CRASHES);
    found
}

/// How many crashes a segment needs to be blamed. `found` are its crashes, `survived` whether it survived before them.
fn min_crashes(
    crashes: &[&Crash],
    found: &BTreeSet<usize>,
    unexplained: &BTreeSet<usize>,
    survived: bool,
) -> usize {
    let at = |index: &usize| crashes[*index].at;
    let first = found.first().map_or(Time::ZERO, at);
    let last = found.last().map_or(Time::ZERO, at);
    let mut others = unexplained.difference(found).map(at);
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
