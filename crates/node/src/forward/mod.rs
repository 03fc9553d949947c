//! Requests that are forwarded directly to backend servers without an agent.
//!
//! | file | what it does |
//! |---|---|
//! | `event` | events from the edges, and the actions and calls for them |
//! | `admit` | admits a request, holds it for the configuration or rejects it |
//! | `place` | chooses the backend server of an attempt |
//! | `waiting` | requests that wait until a server can take them |
//! | `follow` | handles responses, failed attempts and the end of a request |
//! | `ended` | handles responses that arrive when their requests have ended |
//! | `load` | exchanges the load of servers with the other entries |
//! | `stores` | chooses where prompt segments are fetched from and saved to |
//! | `reader` | reads the segment inventories of stores and servers, and frees stale segments |
//! | `saves` | permits to save segments on stores, which are offered when no save can begin |
//! | `fence` | leases for fetches from stores, which no free overlaps |
//! | `notices` | leaving and backoff notices of servers |
//! | `limits` | rate limits of servers, their advertisement and the issuer of permits |
//! | `cold` | cold servers, to which the cold rate of their service applies |
//! | `permits` | permits for calls to rate-limited servers |
//! | `quarantine` | crashes of servers, and the requests and prompt segments that cause them |
//! | `evidence` | exchanges observations of crashes |
//! | `streams` | streams that go on after they broke off, and the records of their origins |
//! | `list` | reads and advertises the list of servers |
//! | `weights` | weight versions that runs may begin on, and orders to servers |
//! | `explain` | state and past decisions, for operators |
//!
//! The edge that read a request holds the connections to its caller and to the server; bodies do not
//! pass through this module. It decides after each attempt whether to deliver, retry or reject: a status that
//! states "not run" is only sent before anything was sent to a server, or when the server itself
//! stated that it has not run the request.

mod admit;
mod cold;
mod ended;
mod event;
mod evidence;
mod explain;
mod fence;
mod follow;
mod limits;
mod list;
mod load;
mod notices;
mod permits;
mod place;
mod quarantine;
mod reader;
mod saves;
mod stores;
mod streams;
mod waiting;
mod weights;

use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};
use std::net::SocketAddr;

use base::prelude::*;
use cache::Segment;
use fleet::{Key, Servers, Versions, rollout::Rollout};
use limit::{Allowance, SharedBudget};
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use record::{Restriction, RetryPolicy, View};
use resume::Binding;
use route::{PrefillRate, ServiceTime};
use serde_json::{Value, json};

use crate::Effects;
use crate::decision::PlacementInputs;
use ended::EndedAttempt;
use explain::RecentRequests;
use limits::Limits;
use list::ListState;
use load::LoadExchange;
use permits::PendingPermit;
use quarantine::Quarantine;
use saves::Saves;
use stores::Stores;
use streams::{Recorded, Streams};
use waiting::{Queueing, Waiting};

pub use event::{
    Action, Attempt, Change, Connection, ControlCall, Event, Failure, Progress, Prompt, Rejection,
    RequestHead, ResponseHead, Resumption,
};
pub use follow::MISDIRECTED;

/// Settings of forwarding.
#[derive(Clone, Debug)]
pub struct Config {
    /// The retry budget that all entries share.
    pub allowance: Allowance,
    /// Interval between reads of the list of servers.
    pub list_interval: Duration,
    /// How long requests are still accepted after the process was asked to stop, so that the load
    /// balancer has time to notice.
    pub drain_delay: Duration,
    /// How long a server that is leaving still gets requests that no other server accepts.
    pub server_drain: Duration,
    /// How long a new leader waits before its first order, until the lease of its predecessor has expired.
    pub lease: Duration,
    /// How long runs may still begin on an older weight version after a newer one was set.
    pub old_weights_grace: Duration,
    /// How long after the last confirmation of the configuration requests that it does not allow are
    /// denied.
    pub deny_window: Duration,
    /// Whether requests that no server can take within their target wait in the entry.
    pub queue: bool,
    /// Region of each availability zone.
    pub regions: BTreeMap<Name, Name>,
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
            old_weights_grace: settings.old_weights_grace,
            deny_window: settings.max_deny_age,
            queue: settings.queue,
            regions: BTreeMap::new(),
        }
    }
}

/// Inputs of a decision besides the reducer's own state.
#[derive(Debug)]
pub struct Context<'a> {
    /// Current time.
    pub now: Time,
    /// The configuration.
    pub view: &'a View,
    /// Whether the configuration is known.
    pub ready: bool,
    /// Time since the configuration was last known to be the latest.
    pub confirmed_ago: Option<Duration>,
    /// Whether the process is stopping and its drain delay is over, so that new requests are rejected.
    pub drain_delay_elapsed: bool,
    /// Number of entries, which share the retry budget and the rate limits of servers.
    pub entries: usize,
    /// Index of this entry among them.
    pub entry_index: usize,
    /// Number of keepers that this process knows, linked or not.
    pub keepers: usize,
    /// Term in which this process leads the keepers, if it does.
    pub term: Option<u64>,
    /// Name of this process.
    pub process: &'a Name,
}

/// An attempt in progress.
#[derive(Clone, Copy, Debug)]
struct Placement {
    server: Key,
    /// Prompt tokens that count as prefill in progress there.
    prefill_tokens: u64,
    /// Memory that it needs there, tokens.
    memory_tokens: u64,
    /// The source of its largest fetched segment, and the estimated time of that transfer, milliseconds.
    transfer: Option<(SocketAddr, f64)>,
    /// When the head of its response was received.
    head_at: Option<Time>,
    /// When the first bytes of its body were received.
    body_at: Option<Time>,
}

impl Placement {
    fn progress(&self, now: Time) -> Progress {
        match (self.head_at, self.body_at) {
            (_, Some(at)) => Progress::Body(now.since(at)),
            (Some(_), None) => Progress::Head,
            (None, None) => Progress::Sent,
        }
    }
}

/// A request in progress.
#[derive(Debug)]
struct Run {
    head: Box<RequestHead>,
    route: Name,
    /// Target time to first token.
    target: Duration,
    retry_policy: RetryPolicy,
    service: Name,
    workspace: Option<Name>,
    /// Digest of the request and its caller.
    digest: Option<u128>,
    isolated: bool,
    /// Allowed regions of its route and of its workspace at its arrival; used for one that was deleted since.
    regions: [Vec<Name>; 2],
    rank: u8,
    max_attempts: u32,
    arrived_at: Time,
    deadline: Time,
    /// Number of attempts that may have run.
    possible_executions: u32,
    /// Number of attempts.
    attempts: u32,
    tried_servers: Vec<Key>,
    placement: Option<Placement>,
    last_server: Option<Name>,
    /// Software version of that server.
    last_software: Option<Name>,
    inputs: PlacementInputs,
    /// The software version that it is bound to, if it is a stream.
    binding: Binding,
    recorded: Recorded,
    /// For a stream that the client resumes: the process that knew its origin.
    origin_source: Option<Name>,
    /// Whether delivery of a response to the caller has begun.
    delivery_started: bool,
    /// Whether that response is an event stream, which another server can continue.
    is_event_stream: bool,
    status: u16,
    first_bytes_at: Option<Time>,
    /// When the current attempt was sent.
    sent_at: Time,
    /// The permit request that it waits for.
    pending_permit: Option<PendingPermit>,
    /// Number of permit requests so far.
    permit_requests: u32,
    /// Its permit to save segments.
    save_permit: saves::Permit,
    /// Whether it is the permitted trial of a quarantined cause.
    is_trial: bool,
    /// Whether a server ended as it was about to answer it.
    is_suspect: bool,
    queueing: Queueing,
    /// Total time that it has waited in the queue.
    queue_wait: Duration,
}

impl Run {
    /// The zones that it may use, by the lists that are in force now.
    fn restriction(&self, view: &View, regions: &BTreeMap<Name, Name>) -> Restriction {
        let [of_route, of_workspace] = &self.regions;
        let route = view.route_table().get(&self.route).map_or(of_route, |found| &found.regions);
        let workspace = self.workspace.as_ref().and_then(|name| view.workspace(name));
        let workspace = workspace.map_or(of_workspace, |found| &found.regions);
        Restriction::new(&[route, workspace], regions)
    }

    fn segments(&self) -> &[Segment] {
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
    saves: Saves,
    loads: LoadExchange,
    limits: Limits,
    /// Revision of the configuration whose cold rates are in use.
    cold_rates_from: Option<Revision>,
    /// Numbers of requests to keepers.
    numbers: Numbers,
    quarantine: Quarantine,
    streams: Streams,
    waiting: Waiting,
    /// Requests that wait for the configuration, each with the time of its arrival.
    awaiting_config: VecDeque<(Time, u64, Box<RequestHead>)>,
    runs: HashMap<u64, Run>,
    ended: VecDeque<EndedAttempt>,
    deadlines: BTreeSet<(Time, u64)>,
    retry_budgets: HashMap<Name, SharedBudget>,
    /// Prefill rate of the engines of each service.
    prefill_rates: HashMap<Name, PrefillRate>,
    /// Usual response time of the plain services.
    service_times: HashMap<Name, ServiceTime>,
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
    /// Creates a reducer that has no servers yet.
    pub fn new(config: Config, zone: Name, incarnation: Incarnation, seed: u64) -> Self {
        Self {
            config,
            zone,
            servers: Servers::default(),
            rollout: Rollout::default(),
            stores: Stores::default(),
            saves: Saves::new(incarnation.first_number()),
            loads: LoadExchange::default(),
            limits: Limits::default(),
            cold_rates_from: None,
            numbers: Numbers::new(incarnation),
            quarantine: Quarantine::default(),
            streams: Streams::default(),
            waiting: Waiting::default(),
            awaiting_config: VecDeque::new(),
            runs: HashMap::new(),
            ended: VecDeque::new(),
            deadlines: BTreeSet::new(),
            retry_budgets: HashMap::new(),
            prefill_rates: HashMap::new(),
            service_times: HashMap::new(),
            rng: Pcg64Mcg::seed_from_u64(seed),
            list_state: ListState::default(),
            next_orders: Time::ZERO,
            leading_since: None,
            versions: HashMap::new(),
            next_version_ages: Time::ZERO,
            recent: RecentRequests::default(),
        }
    }

    /// The settings of forwarding.
    pub fn config(&self) -> &Config {
        &self.config
    }

    /// Whether this process has led in a term.
    pub fn has_led_in(&self, term: u64) -> bool {
        self.stores.targets_version.term == term
    }

    /// Number of requests in progress.
    pub fn open(&self) -> usize {
        self.runs.len() + self.awaiting_config.len()
    }

    /// Number of requests that wait until a server can take them.
    pub fn queued(&self) -> usize {
        self.waiting.len()
    }

    /// The state as JSON, without data of callers.
    pub fn dump(&self, now: Time, view: &View) -> Value {
        let (save_permits, issued_save_permits) = self.saves.counts();
        let (withheld, former) = self.stores.withheld_counts();
        json!({
            "save_permits": save_permits,
            "save_permits_issued": issued_save_permits,
            "segments_withheld": withheld,
            "segments_of_earlier_incarnations": former,
            "open": self.runs.len(),
            "waiting": self.awaiting_config.len(),
            "queued": self.waiting.dump(),
            "list_age_ms": self.servers.read_at().map(|at| now.since(at).as_millis() as u64),
            "servers": self.dump_servers(now, view),
            "quarantine": self.dump_quarantine(now),
            "stored": self.stores.tokens().into_iter().collect::<BTreeMap<_, _>>(),
            "weights": self.versions.iter().map(|(model, found)| (&**model, found.newest()))
                .collect::<BTreeMap<_, _>>(),
        })
    }

    /// The servers on the list.
    pub fn servers(&self) -> &Servers {
        &self.servers
    }

    /// Handles one event.
    pub fn event(&mut self, cx: &Context<'_>, event: Event, out: &mut Effects) {
        let from = out.len();
        self.update_cold_rates(cx);
        let may_free = matches!(
            event,
            Event::BodyStarted { .. }
                | Event::Failed { .. }
                | Event::Completed { .. }
                | Event::ClientDisconnected { .. }
        );
        match event {
            Event::Arrived { call, head } => self.arrived(cx, call, head, out),
            Event::ResponseReceived { call, response } => {
                self.response_received(cx, call, &response, out);
            }
            Event::BodyStarted { call } => self.body_started(cx, call),
            Event::Failed { call, failure } => {
                self.server_unreachable(cx, call, failure, out);
                self.attempt_failed(cx, call, failure, out);
            }
            Event::Completed { call } => self.completed(cx, call, out),
            Event::ClientDisconnected { call } => self.client_disconnected(cx, call, out),
            Event::Listed { list } => self.list_read(cx, list, out),
            Event::Reported { id, report, notice } => {
                self.apply_report(cx, &id, (report, notice), out);
            }
            Event::ChangeAnswered { id, reply, notice } => {
                self.notice_from_call(cx, &id, notice, out);
                self.change_answered(cx.now, &id, reply);
            }
            Event::ReportFailed { id, notice } => self.notice_from_call(cx, &id, notice, out),
            Event::StoreRead { addr, since, delta } => {
                let predecessor = self.config.lease;
                self.saves.lead(cx);
                let saves = &mut self.saves;
                self.stores.read_finished(cx, (addr, since), delta, predecessor, saves, out);
            }
            Event::StoreChecked { addr, began, epoch } => {
                if let Ok(epoch) = epoch {
                    self.stores.offer_settled(cx, (addr, epoch), began, &self.saves);
                }
            }
        }
        if may_free {
            self.release_waiting(cx, out);
        }
        self.record_decisions(cx, out, from);
    }

    /// Performs the work that is due at the current time.
    pub fn tick(&mut self, cx: &Context<'_>, out: &mut Effects) {
        let from = out.len();
        self.update_cold_rates(cx);
        self.record_cold(cx, out);
        while let Some((_, call)) = self.deadlines.first().copied().filter(|(at, _)| *at <= cx.now)
        {
            self.deadlines.pop_first();
            self.deadline_passed(cx, call, out);
        }
        self.expire_permit_requests(cx, out);
        self.expire_save_requests(cx, out);
        self.stores.expire_former(cx);
        self.tick_streams(cx, out);
        self.tick_quarantine(cx, out);
        self.admit_waiting(cx, out);
        self.release_waiting(cx, out);
        self.read_list(cx, out);
        self.record_weights(cx, out);
        self.order_weights(cx, out);
        self.stores.read(cx, &self.servers, &mut self.limits, out);
        self.stores.check(cx, &self.saves, out);
        self.stores.renew_leases(cx, &self.servers, out);
        self.stores.free_stale(cx, &self.servers, out);
        self.record_decisions(cx, out, from);
    }

    /// Rejects or aborts all requests, since the process stops.
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

/// Adds jitter to a Retry-After, so that callers whose requests were rejected together do not retry
/// together.
fn jitter(rng: &mut Pcg64Mcg, min: Duration) -> Duration {
    use rand::Rng;
    min.mul_f64(rng.random_range(1.0..2.0))
}
