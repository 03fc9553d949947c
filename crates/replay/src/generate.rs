//! Seeded traces with the shapes of the two deployments of the brief.
//!
//! Gaps of hours are told in seconds: what matters is that a document's blocks are evicted from the
//! engines before it comes back, and that follows from how many other documents come between.

use base::Time;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

use crate::{Ask, Deployment, Line, Trace};

/// Which deployment a trace is like.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Shape {
    /// Siam Baan: long site histories, yes-or-no answers and short replies.
    SiamBaan,
    /// Shatla: plant histories, and schedules that must not be doubled.
    Shatla,
}

struct Pattern {
    /// Prompts per second.
    rate: f64,
    /// Documents that are alive.
    documents: u64,
    /// Tokens of a document at its first coming.
    tokens: (u64, u64),
    /// Tokens that a document gains between two comings.
    gains: (u64, u64),
    /// Tokens of an answer, for a share of the requests in percent.
    answers: [(u64, u32); 2],
    /// Calls that may be done only once, per prompt.
    calls: f64,
}

impl Shape {
    /// The deployment, in the sizes of the brief.
    pub fn deployment(self) -> Deployment {
        match self {
            Self::SiamBaan => Deployment {
                entries: 4,
                replicas: 18,
                plains: 4,
                zones: 4,
                step_us: 6_000,
                slots: 16,
                prefill: 256,
                blocks: 256,
                store_blocks: 20_000,
                block_bytes: 16 << 20,
                link_rate: 2 << 30,
                load_us: 600_000,
                parallel: 3,
                weigh_first: 1_000,
                weigh_recompute: 200,
                weigh_link: 100,
                ..Deployment::default()
            },
            Self::Shatla => Deployment {
                entries: 3,
                replicas: 9,
                plains: 3,
                zones: 3,
                step_us: 3_500,
                slots: 16,
                prefill: 64,
                blocks: 128,
                store_blocks: 5_000,
                block_bytes: 16 << 20,
                link_rate: 512 << 20,
                load_us: 300_000,
                parallel: 2,
                weigh_first: 400,
                weigh_recompute: 1_000,
                weigh_link: 300,
                ..Deployment::default()
            },
        }
    }

    fn pattern(self) -> Pattern {
        match self {
            Self::SiamBaan => Pattern {
                rate: 36.0,
                documents: 2_000,
                tokens: (4_000, 20_000),
                gains: (0, 400),
                answers: [(65, 3), (35, 60)],
                calls: 0.2,
            },
            Self::Shatla => Pattern {
                rate: 8.0,
                documents: 600,
                tokens: (3_000, 12_000),
                gains: (0, 300),
                answers: [(30, 20), (70, 60)],
                calls: 0.4,
            },
        }
    }
}

/// A trace of this length; `load_percent` scales the rate, 100 being an ordinary day.
pub fn generate(shape: Shape, seed: u64, seconds: u64, load_percent: u64) -> Trace {
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let pattern = shape.pattern();
    let deployment = shape.deployment();
    let rate = pattern.rate * load_percent as f64 / 100.0;
    let mut sizes: Vec<Option<u64>> = vec![None; pattern.documents as usize];
    let mut lines = Vec::new();
    let mut at = 2.0;
    let mut key = 0;
    while at < seconds as f64 {
        // A burst every twenty seconds doubles the rate for two.
        let burst = if (at as u64) % 20 < 2 { 2.0 } else { 0.9 };
        at += -(1.0 - rng.random::<f64>()).ln() / (rate * burst);
        let time = Time((at * 1e6) as u64);
        let document = rng.random_range(0..pattern.documents);
        let size = match sizes[document as usize] {
            None => rng.random_range(pattern.tokens.0..pattern.tokens.1),
            Some(size) => size + rng.random_range(pattern.gains.0..=pattern.gains.1),
        };
        sizes[document as usize] = Some(size);
        let short = rng.random_range(0..100) < pattern.answers[0].0;
        let answer = pattern.answers[usize::from(!short)].1;
        let ask = Ask {
            workspace: workspace(document),
            document,
            prompt: size,
            answer,
            priority: if short { "high" } else { "normal" }.to_owned(),
            deadline_ms: 30_000,
        };
        lines.push((time, Line::Ask(ask)));
        if rng.random::<f64>() < pattern.calls {
            key += 1;
            lines.push((time, Line::Call { workspace: workspace(document), key }));
            if rng.random_range(0..10) == 0 {
                // A caller that lost the answer sends again.
                lines.push((time, Line::Call { workspace: workspace(document), key }));
            }
        }
    }
    Trace { deployment, lines }
}

/// Ten workspaces; three of them own six documents in ten.
fn workspace(document: u64) -> String {
    let number = match document % 10 {
        0..=5 => document % 3,
        _ => 3 + document % 7,
    };
    format!("w{number}")
}
