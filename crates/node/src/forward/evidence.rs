//! Exchanges observations of crashes between entries.
//!
//! Entries send their observations to the leader among the keepers, which passes new ones on to all entries. It sends all
//! observations at an interval and to processes that have connected; an entry answers with those that are missing there, so
//! that a new leader learns them too.

use base::prelude::*;
use quarantine::{
    Candidate, Cause, Content, Loss, Observation, Server, Stage, Survival, Table, Trial,
};
use wire::quarantine as border;

use super::quarantine::{table_now, to_border};
use super::{Context, Forward};
use crate::decision::Decision;
use crate::{Effect, Effects};

/// Interval between two messages of the leader with all observations.
const COMPLETE_INTERVAL: Duration = Duration::from_secs(30);

impl Forward {
    /// Handles observations that a peer sent.
    pub fn evidence_received(
        &mut self,
        cx: &Context<'_>,
        evidence: &border::Evidence,
        out: &mut Effects,
    ) {
        // What the sender has, to find what it lacks.
        let mut sent = evidence.complete.then(Table::default);
        let mut causes = Vec::new();
        for observation in &evidence.observations {
            let observation = from_border(cx.now, observation);
            if let Some(sent) = &mut sent {
                sent.merge(&observation);
            }
            if !self.quarantine.table.merge(&observation) {
                continue;
            }
            causes.extend(candidate_causes(&observation));
            self.contradict(cx, &observation);
            if let Observation::Trial(trial) = &observation {
                out.push(Effect::Decision(Box::new(Decision::TrialPermitted(trial.clone()))));
                self.quarantine.unsaved = true;
            }
            if cx.term.is_some() {
                self.quarantine.outbox.push(observation);
            }
        }
        self.send_own_survivals(cx.now, causes);
        if let Some(mut sent) = sent.filter(|_| cx.term.is_none()) {
            let own = self.quarantine.table.observations();
            self.quarantine.outbox.extend(own.into_iter().filter(|found| sent.merge(found)));
        }
        self.update_quarantine(cx, out);
    }

    /// Reports that a server on which another entry has lost runs continues to answer runs of this one.
    fn contradict(&mut self, cx: &Context<'_>, observation: &Observation) {
        let Observation::Loss(loss) = observation else {
            return;
        };
        let Some(key) = self.servers.incarnation_key(&loss.server.id, loss.server.born) else {
            return;
        };
        if !self.quarantine.table.is_likely(&loss.server, cx.entries)
            || self.quarantine.losses.contains_key(&key)
        {
            return;
        }
        let remaining = self.answered_runs(key);
        if remaining == 0 {
            return;
        }
        self.observe(Observation::Loss(Loss {
            entry: cx.process.clone(),
            lost: 0,
            remaining,
            refused: false,
            answered: false,
            candidates: Vec::new(),
            ..loss.clone()
        }));
    }

    /// Observations to send: to the leader, or as the leader to all entries.
    pub fn take_evidence(&mut self, cx: &Context<'_>) -> Option<border::Evidence> {
        let quarantine = &mut self.quarantine;
        if let Some(term) = cx.term {
            let new_term = std::mem::replace(&mut quarantine.term, term) != term;
            let due = cx.now >= quarantine.next_complete && !quarantine.table.is_empty();
            if new_term || due {
                quarantine.next_complete = cx.now + COMPLETE_INTERVAL;
                quarantine.outbox.clear();
                return Some(self.evidence(cx.now));
            }
        } else {
            quarantine.term = 0;
            // Kept for a leader to come; the table has them too.
            if self.limits.reachable().is_none() {
                quarantine.outbox.clear();
                return None;
            }
        }
        let observations = std::mem::take(&mut self.quarantine.outbox);
        if observations.is_empty() {
            return None;
        }
        let observations = observations.iter().map(|found| to_wire(cx.now, found)).collect();
        Some(border::Evidence { complete: false, observations })
    }

    /// The leader, if it is another process and reachable.
    pub fn leader(&self) -> Option<&Name> {
        self.limits.reachable().map(|issuer| &issuer.name)
    }

    /// All observations.
    pub fn evidence(&self, now: Time) -> border::Evidence {
        let observations = self.quarantine.table.observations();
        let observations = observations.iter().map(|found| to_wire(now, found)).collect();
        border::Evidence { complete: true, observations }
    }
}

/// What the candidates of a loss carry.
pub(super) fn candidate_causes(observation: &Observation) -> Vec<Cause> {
    let Observation::Loss(loss) = observation else {
        return Vec::new();
    };
    loss.candidates.iter().flat_map(|candidate| candidate.content.causes()).collect()
}

fn to_wire(now: Time, observation: &Observation) -> border::Observation {
    let ago_us = |at: Time| table_now(now).since(at).as_micros() as u64;
    match observation {
        Observation::Loss(loss) => border::Observation::Loss {
            server: wire::limit::ServerIncarnation {
                id: loss.server.id.clone(),
                born: loss.server.born,
            },
            entry: loss.entry.clone(),
            ago_us: ago_us(loss.at),
            lost: loss.lost,
            remaining: loss.remaining,
            refused: loss.refused,
            answered: loss.answered,
            candidates: loss
                .candidates
                .iter()
                .map(|candidate| border::Candidate {
                    request: candidate.request.clone(),
                    begun: candidate.stage == Stage::Begun,
                    service: candidate.content.service.clone(),
                    digest: candidate.content.digest,
                    model: candidate.content.model.clone(),
                    segments: candidate.content.segments.clone(),
                })
                .collect(),
        },
        Observation::Survival(survival) => border::Observation::Survival {
            cause: to_border(&survival.cause),
            ago_us: ago_us(survival.at),
        },
        Observation::Trial(trial) => border::Observation::Trial {
            cause: to_border(&trial.cause),
            entry: trial.entry.clone(),
            number: trial.number,
            ago_us: ago_us(trial.at),
        },
    }
}

fn from_border(now: Time, observation: &border::Observation) -> Observation {
    let at = |ago_us: u64| table_now(now) - Duration::from_micros(ago_us);
    match observation {
        border::Observation::Loss {
            server,
            entry,
            ago_us,
            lost,
            remaining,
            refused,
            answered,
            candidates,
        } => Observation::Loss(Loss {
            server: Server { id: server.id.clone(), born: server.born },
            entry: entry.clone(),
            at: at(*ago_us),
            lost: *lost,
            remaining: *remaining,
            refused: *refused,
            answered: *answered,
            candidates: candidates
                .iter()
                .map(|candidate| Candidate {
                    request: candidate.request.clone(),
                    stage: if candidate.begun { Stage::Begun } else { Stage::Sent },
                    content: Content {
                        service: candidate.service.clone(),
                        digest: candidate.digest,
                        model: candidate.model.clone(),
                        segments: candidate.segments.clone(),
                    },
                })
                .collect(),
        }),
        border::Observation::Survival { cause, ago_us } => {
            Observation::Survival(Survival { cause: from_border_cause(cause), at: at(*ago_us) })
        }
        border::Observation::Trial { cause, entry, number, ago_us } => Observation::Trial(Trial {
            cause: from_border_cause(cause),
            entry: entry.clone(),
            number: *number,
            at: at(*ago_us),
        }),
    }
}

fn from_border_cause(cause: &border::Cause) -> Cause {
    match cause {
        border::Cause::Segment { model, id } => Cause::Segment { model: model.clone(), id: *id },
        border::Cause::Request { service, digest } => {
            Cause::Request { service: service.clone(), digest: *digest }
        }
    }
}
