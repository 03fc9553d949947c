//! Requests that go straight to a backend server which has no agent.
//!
//! | file | what it does |
//! |---|---|
//! | `event` | what the edges tell and are told |
//! | `admit` | takes a request or refuses it at once |
//! | `place` | chooses a backend server |
//! | `follow` | takes answers, losses and ends |
//! | `load` | tells what this entry has at the servers, and hears of the others |
//! | `stores` | where prompt parts are fetched from and saved |
//! | `reader` | reads what stores and servers hold |
//! | `notices` | what servers say of what they take: observed |
//! | `limits` | the same: advertised; rate limits and who issues permits |
//! | `permits` | permits for calls to such servers |
//! | `list` | reads the list of servers, and tells it |
//! | `weights` | which weight versions runs may begin on, and orders to servers |
//! | `explain` | what operators are told of all this |
//!
//! The edge that read a request holds its caller and its connection to the server; bytes never pass
//! through here. What may be said and done after each try is decided here: a status that promises
//! "not run" is given only before anything was sent, or when the server said so itself.

mod admit;
mod event;
mod explain;
mod follow;
mod limits;
mod list;
mod load;
mod notices;
mod permits;
mod place;
mod reader;
mod stores;
mod weights;

use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};
use std::net::SocketAddr;

use base::prelude::*;
use cache::Segment;
use fleet::{Key, Servers, Versions, rollout::Rollout};
use limit::{Allowance, SharedBudget};
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use record::{RetryPolicy, View};
use route::PrefillRate;
use serde_json::{Value, json};

use crate::Effects;
use crate::decision::PlacementInputs;
use explain::RecentRequests;
use limits::Limits;
use list::ListState;
use load::LoadExchange;
use permits::PendingPermit;
use stores::Stores;

pub use event::{
    Action, Attempt, Change, ControlCall, Event, Failure, Prompt, Rejection, RequestHead,
    ResponseHead,
};
pub use follow::MISDIRECTED;

/// Settings of forwarding.
#[derive(Clone, Debug)]
pub struct Config {
    /// The retry budget that all entries share.
    pub allowance: Allowance,
    /// Time between two reads of the list of servers.
    pub list_interval: Duration,
    /// How long requests are still taken after the process was asked to stop, until the balancer
    /// has noticed.
    pub drain_delay: Duration,
    /// How long a server that says that it leaves may still get requests, where no other takes them.
    pub server_drain: Duration,
    /// How long a new leader waits before it orders: until its predecessor has stopped.
    pub lease: Duration,
    /// How long after a newer weight version runs may still begin on an older one.
    pub old_weights: Duration,
    /// How long after the configuration was confirmed requests that it does not allow are still denied.
    pub deny_window: Duration,
}

impl From<&conf::Forward> for Config {
    fn from(settings: &conf::Forward) -> Self {
        Self {
            allowance: Allowance {
                ratio: settings.retry_permille as f64 / 1_000.0,
                slack: settings.retry_slack as f64,
                window: settings.retry_window,
            },
            list_interval: settings.list_interval,
            drain_delay: settings.drain_delay,
            server_drain: settings.server_drain,
            lease: settings.lease,
            old_weights: settings.old_weights_grace,
            deny_window: settings.max_deny_age,
        }
    }
}

/// What a decision needs besides the reducer's own state.
#[derive(Debug)]
pub struct Context<'a> {
    /// The present time.
    pub now: Time,
    /// The configuration.
    pub view: &'a View,
    /// Whether the configuration is known.
    pub ready: bool,
    /// Time since the configuration was last known to be the latest.
    pub confirmed_ago: Option<Duration>,
    /// Whether the process leaves and the balancer has had the time to notice.
    pub closing: bool,
    /// Entries that share the retry budget and the limits of servers.
    pub entries: usize,
    /// Place of this one among them.
    pub entry_index: usize,
    /// Term in which this process leads the keepers, if it does.
    pub term: Option<u64>,
}

/// A try under way.
#[derive(Clone, Copy, Debug)]
struct Placement {
    server: Key,
    /// Prompt tokens counted as being read there.
    reading: u64,
    /// Tokens of memory that it needs there.
    tokens: u64,
    /// Where most of its prompt is fetched from, and for how long, milliseconds.
    from: Option<(SocketAddr, f64)>,
}

/// A request under way.
#[derive(Debug)]
struct Run {
    head: Box<RequestHead>,
    route: Name,
    /// Time to the first bytes of the answer that callers expect.
    target: Duration,
    retry_policy: RetryPolicy,
    service: Name,
    workspace: Option<Name>,
    isolated: bool,
    rank: u8,
    max_attempts: u32,
    arrived_at: Time,
    deadline: Time,
    /// Tries that may have run.
    possibly_run: u32,
    /// Tries in all.
    attempts: u32,
    tried_servers: Vec<Key>,
    placement: Option<Placement>,
    last_server: Option<Name>,
    inputs: PlacementInputs,
    /// Whether an answer has begun to reach the caller.
    delivery_started: bool,
    status: u16,
    first_bytes_at: Option<Time>,
    /// When the present try was sent.
    sent_at: Time,
    /// The question for a permit that it waits for.
    pending_permit: Option<PendingPermit>,
    /// Such questions so far.
    permit_requests: u32,
}

impl Run {
    fn parts(&self) -> &[Segment] {
        self.head.prompt.as_ref().map_or(&[], |prompt| &prompt.segments)
    }
}

/// The reducer of forwarded requests.
#[derive(Debug)]
pub struct Forward {
    config: Config,
    zone: Name,
    servers: Servers,
    rollout: Rollout,
    stores: Stores,
    loads: LoadExchange,
    limits: Limits,
    /// Requests that wait for the configuration, and when each was taken.
    awaiting_config: VecDeque<(Time, u64, Box<RequestHead>)>,
    runs: HashMap<u64, Run>,
    deadlines: BTreeSet<(Time, u64)>,
    retry_budgets: HashMap<Name, SharedBudget>,
    /// How fast the engines of each service read.
    prefill_rates: HashMap<Name, PrefillRate>,
    rng: Pcg64Mcg,
    list_state: ListState,
    next_orders: Time,
    leading_since: Option<(u64, Time)>,
    /// The weight versions of each model.
    versions: HashMap<Name, Versions>,
    next_version_ages: Time,
    recent: RecentRequests,
}

impl Forward {
    /// No server is known yet.
    pub fn new(config: Config, zone: Name, seed: u64) -> Self {
        Self {
            config,
            zone,
            servers: Servers::default(),
            rollout: Rollout::default(),
            stores: Stores::default(),
            loads: LoadExchange::default(),
            limits: Limits::default(),
            awaiting_config: VecDeque::new(),
            runs: HashMap::new(),
            deadlines: BTreeSet::new(),
            retry_budgets: HashMap::new(),
            prefill_rates: HashMap::new(),
            rng: Pcg64Mcg::seed_from_u64(seed),
            list_state: ListState::default(),
            next_orders: Time::ZERO,
            leading_since: None,
            versions: HashMap::new(),
            next_version_ages: Time::ZERO,
            recent: RecentRequests::default(),
        }
    }

    /// Settings.
    pub fn config(&self) -> &Config {
        &self.config
    }

    /// Requests under way.
    pub fn open(&self) -> usize {
        self.runs.len() + self.awaiting_config.len()
    }

    /// The state as JSON, without anything of callers.
    pub fn dump(&self, now: Time) -> Value {
        json!({
            "open": self.runs.len(),
            "waiting": self.awaiting_config.len(),
            "list_age_ms": self.servers.read_at().map(|at| now.since(at).as_millis() as u64),
            "servers": self.dump_servers(now),
            "stored": self.stores.tokens().into_iter().collect::<BTreeMap<_, _>>(),
            "weights": self.versions.iter().map(|(model, found)| (&**model, found.newest()))
                .collect::<BTreeMap<_, _>>(),
        })
    }

    /// The servers known.
    pub fn servers(&self) -> &Servers {
        &self.servers
    }

    /// Takes one event.
    pub fn event(&mut self, cx: &Context<'_>, event: Event, out: &mut Effects) {
        let from = out.len();
        match event {
            Event::Arrived { call, head } => self.arrived(cx, call, head, out),
            Event::Answered { call, answer } => self.answered(cx, call, &answer, out),
            Event::BodyStarted { call } => self.body_started(cx, call),
            Event::Failed { call, failure } => self.failed(cx, call, failure, out),
            Event::Completed { call } => self.completed(cx, call, out),
            Event::ClientDisconnected { call } => self.client_disconnected(cx, call, out),
            Event::Listed { list } => self.listed(cx, list, out),
            Event::Reported { id, report, notice } => {
                self.reported(cx, &id, (report, notice), out);
            }
            Event::ChangeAnswered { id, reply, notice } => {
                self.noticed_of(cx, &id, notice, out);
                self.changed(cx.now, &id, reply);
            }
            Event::ReportFailed { id, notice } => self.noticed_of(cx, &id, notice, out),
            Event::StoreRead { addr, since, delta } => {
                self.stores.was_read(cx, addr, since, delta, out);
            }
        }
        self.keep(cx, out, from);
    }

    /// Time passes.
    pub fn tick(&mut self, cx: &Context<'_>, out: &mut Effects) {
        let from = out.len();
        while let Some((_, call)) = self.deadlines.first().copied().filter(|(at, _)| *at <= cx.now)
        {
            self.deadlines.pop_first();
            self.deadline_passed(cx, call, out);
        }
        self.expire_asks(cx, out);
        self.admit_waiting(cx, out);
        self.read_list(cx, out);
        self.note_weights(cx, out);
        self.order(cx, out);
        self.stores.read(cx, &self.servers, &mut self.limits, out);
        self.stores.free(cx, &self.servers, out);
        self.keep(cx, out, from);
    }

    /// Every request under way ends, since the process leaves.
    pub fn abort_all(&mut self, cx: &Context<'_>, out: &mut Effects) {
        let calls: Vec<u64> = self.runs.keys().copied().collect();
        for call in calls {
            self.reject(cx, call, Code::Draining, "this entry is stopping", out);
        }
        for (_, call, head) in std::mem::take(&mut self.awaiting_config) {
            self.reject_new(call, head.id, Code::Draining, "this entry is stopping", out);
        }
    }
}

/// Spread of a time to come back, so that callers who were refused together do not return together.
fn jitter(rng: &mut Pcg64Mcg, least: Duration) -> Duration {
    use rand::Rng;
    least.mul_f64(rng.random_range(1.0..2.0))
}
