//! Learns how long requests of a plain service usually take, from observed response times.
//!
//! Servers are compared by the time that a request would take there. How much a slow VM adds to that depends on how
//! long the work takes at all.

/// Number of samples over which the mean decays.
const DECAY_SAMPLES: f64 = 50.0;
/// Upper bound of a sample as a multiple of the mean: a longer time means that the server stalled.
const OUTLIER_FACTOR: f64 = 4.0;

/// Decaying mean of response times.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ServiceTime {
    millis: Option<f64>,
}

impl ServiceTime {
    /// Adds a response that came `millis` milliseconds after its request was sent, while work took `slowdown` longer
    /// than usual.
    pub fn add_sample(&mut self, millis: f64, slowdown: f64) {
        let usual = millis.max(0.0) / (1.0 + slowdown).max(0.1);
        self.millis = Some(match self.millis {
            None => usual,
            Some(mean) => {
                let sample = usual.min(mean * OUTLIER_FACTOR);
                mean + (sample - mean) / DECAY_SAMPLES
            }
        });
    }

    /// The usual response time, milliseconds; 0 before any sample.
    pub fn millis(&self) -> f64 {
        self.millis.unwrap_or(0.0)
    }
}
