//! Generates seeded traces that resemble the two target deployments.
//!
//! Gaps of hours between two requests for one document are compressed to seconds: what matters is that
//! its blocks are evicted from the engines in between, which depends on how many other documents are
//! requested in that time.

use base::Time;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

use crate::{Ask, Deployment, Line, Trace};

/// The deployment that a trace resembles.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Shape {
    /// Siam Baan: long site histories, yes-or-no answers and short replies.
    SiamBaan,
    /// Shatla: plant histories, and schedules that must run at most once.
    Shatla,
}

struct Pattern {
    prompts_per_s: f64,
    documents: u64,
    /// Tokens of a document at its first request, minimum and maximum.
    tokens: (u64, u64),
    /// Tokens that a document grows by between two requests, minimum and maximum.
    growth: (u64, u64),
    /// Share of the requests in percent, and tokens of their answers.
    answers: [(u64, u32); 2],
    /// Plain calls that must run at most once, per prompt.
    calls_per_prompt: f64,
}

impl Shape {
    /// Sizes and speeds of the deployment.
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
                prompts_per_s: 36.0,
                documents: 2_000,
                tokens: (4_000, 20_000),
                growth: (0, 400),
                answers: [(65, 3), (35, 60)],
                calls_per_prompt: 0.2,
            },
            Self::Shatla => Pattern {
                prompts_per_s: 8.0,
                documents: 600,
                tokens: (3_000, 12_000),
                growth: (0, 300),
                answers: [(30, 20), (70, 60)],
                calls_per_prompt: 0.4,
            },
        }
    }
}

/// Generates a trace of this length; `load_percent` scales the rate, 100 is an ordinary day.
pub fn generate(shape: Shape, seed: u64, seconds: u64, load_percent: u64) -> Trace {
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let pattern = shape.pattern();
    let deployment = shape.deployment();
    let rate = pattern.prompts_per_s * load_percent as f64 / 100.0;
    let mut sizes: Vec<Option<u64>> = vec![None; pattern.documents as usize];
    let mut lines = Vec::new();
    let mut at = 2.0;
    let mut key = 0;
    while at < seconds as f64 {
        // Every 20 s a burst doubles the rate for 2 s; 0.9 in between keeps the mean close to `rate`.
        let burst = if (at as u64) % 20 < 2 { 2.0 } else { 0.9 };
        at += -(1.0 - rng.random::<f64>()).ln() / (rate * burst);
        let time = Time((at * 1e6) as u64);
        let document = rng.random_range(0..pattern.documents);
        let size = match sizes[document as usize] {
            None => rng.random_range(pattern.tokens.0..pattern.tokens.1),
            Some(size) => size + rng.random_range(pattern.growth.0..=pattern.growth.1),
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
        if rng.random::<f64>() < pattern.calls_per_prompt {
            key += 1;
            lines.push((time, Line::Call { workspace: workspace(document), key }));
            if rng.random_range(0..10) == 0 {
                // One call in ten is resent, as by a caller that did not receive the response.
                lines.push((time, Line::Call { workspace: workspace(document), key }));
            }
        }
    }
    Trace { deployment, lines }
}

/// Assigns a document to one of ten workspaces; three of them own 60 % of the documents.
fn workspace(document: u64) -> String {
    let number = match document % 10 {
        0..=5 => document % 3,
        _ => 3 + document % 7,
    };
    format!("w{number}")
}
