//! The command line.

use std::path::PathBuf;

use argh::FromArgs;

/// tamarack operates a tamarackbank deployment: records, servers, rollouts, dumps, replays.
///
/// Connect to any process by its operators' address. Any process passes changes on to the keepers;
/// history and wait need a keeper; servers needs a keeper, or an entry that forwards requests.
///
/// Examples:
///   tamarack get workspace
///   tamarack put workspace shop shop.json --expect 3 --wait
///   tamarack rollout model v2 --parallel 3 --floor 12
///   tamarack trace siam-baan --seconds 120 > siam.trace
///   tamarack replay siam.trace --baselines
#[derive(FromArgs, Debug)]
pub struct Args {
    /// operators' address of a process (default 127.0.0.1:7401)
    #[argh(option, default = "String::from(\"127.0.0.1:7401\")")]
    pub at: String,
    /// operators' key, if the process requires one
    #[argh(option, default = "String::new()")]
    pub key: String,
    /// your name, as shown in the history
    #[argh(option, default = "String::from(\"operator\")")]
    pub by: String,
    /// print JSON instead of tables
    #[argh(switch)]
    pub json: bool,
    #[argh(subcommand)]
    pub command: Command,
}

#[derive(FromArgs, Debug)]
#[argh(subcommand)]
pub enum Command {
    Get(Get),
    Put(Put),
    Delete(Delete),
    History(History),
    Watch(Watch),
    HashKey(HashKey),
    Servers(Servers),
    Wait(Wait),
    Drain(Drain),
    Undrain(Undrain),
    Rollout(Rollout),
    Evacuate(Evacuate),
    Evacuations(Evacuations),
    Dump(Dump),
    Ready(Ready),
    Explain(Explain),
    Quarantine(Quarantine),
    Release(Release),
    Story(Story),
    Trace(Generate),
    Replay(Replay),
    Bench(Bench),
}

/// Show what happened to one request, from the logs of several processes.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "story")]
pub struct Story {
    /// ID of the request
    #[argh(positional)]
    pub id: String,
    /// log files, one or more
    #[argh(positional)]
    pub logs: Vec<PathBuf>,
}

/// Show records: all, those of a kind, or one.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "get")]
pub struct Get {
    /// a kind (model, version, adapter, workspace, priority, role, service, server, rollout or
    /// evacuation), optionally followed by a name
    #[argh(positional)]
    pub of: Vec<String>,
}

/// Put a record. The body is a JSON object; --expect is the version that you have read.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "put")]
pub struct Put {
    /// kind of the record
    #[argh(positional)]
    pub kind: String,
    /// name of the record
    #[argh(positional)]
    pub name: String,
    /// file with the body (default: standard input)
    #[argh(positional)]
    pub file: Option<PathBuf>,
    /// version that you have read; 0 for a new record (default 0)
    #[argh(option, default = "0")]
    pub expect: u64,
    /// schema version of the body (default: the newest known to the process)
    #[argh(option)]
    pub schema: Option<u32>,
    /// request ID; to retry after a lost response, use the same one
    #[argh(option)]
    pub request: Option<String>,
    /// wait until the change is in force on every process
    #[argh(switch)]
    pub wait: bool,
}

/// Delete a record that nothing refers to.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "delete")]
pub struct Delete {
    /// kind of the record
    #[argh(positional)]
    pub kind: String,
    /// name of the record
    #[argh(positional)]
    pub name: String,
    /// version that you have read
    #[argh(option)]
    pub expect: u64,
}

/// Show all changes of records and who made them, in log order.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "history")]
pub struct History {}

/// Print changes of records as they are made, until interrupted.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "watch")]
pub struct Watch {
    /// stop after this many changes; 0 for no limit (default 0)
    #[argh(option, default = "0")]
    pub count: usize,
}

/// Print the hash by which a workspace's record names a bearer key.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "hash-key")]
pub struct HashKey {
    /// the bearer key
    #[argh(positional)]
    pub key: String,
}

/// Show the processes and their status; servers without an agent, stores and weights.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "servers")]
pub struct Servers {}

/// Wait until a revision is in force on every process; show those that lag.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "wait")]
pub struct Wait {
    /// revision, as EPOCH.INDEX
    #[argh(positional)]
    pub revision: String,
    /// time limit, seconds (default 30)
    #[argh(option, default = "30")]
    pub seconds: u64,
}

/// Stop sending new work to a backend server.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "drain")]
pub struct Drain {
    /// name of the server's agent
    #[argh(positional)]
    pub server: String,
}

/// Send new work to a drained backend server again.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "undrain")]
pub struct Undrain {
    /// name of the server's agent
    #[argh(positional)]
    pub server: String,
}

/// Set the weight version that a model's replicas load; also pauses a rollout or rolls it back.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "rollout")]
pub struct Rollout {
    /// model
    #[argh(positional)]
    pub model: String,
    /// weight version
    #[argh(positional)]
    pub version: String,
    /// maximum number of replicas that load at the same time (default 2)
    #[argh(option, default = "2")]
    pub parallel: u64,
    /// minimum number of replicas that keep serving (default 1)
    #[argh(option, default = "1")]
    pub floor: u64,
    /// start no further loads
    #[argh(switch)]
    pub pause: bool,
}

/// Stop sending requests to the servers of an availability zone.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "evacuate")]
pub struct Evacuate {
    /// the zone
    #[argh(positional)]
    pub zone: String,
    /// end the evacuation: the servers get requests again
    #[argh(switch)]
    pub end: bool,
}

/// Show the availability zones that were evacuated, and whether they still are.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "evacuations")]
pub struct Evacuations {}

/// Print the state of a process as JSON.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "dump")]
pub struct Dump {}

/// Show whether a process is ready to serve.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "ready")]
pub struct Ready {}

/// Show how a backend server was chosen for a request; connect to the entry that served it.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "explain")]
pub struct Explain {
    /// the request's x-request-id
    #[argh(positional)]
    pub request: String,
}

/// Show the prompt segments and requests that crash servers and are rejected; connect to an entry that forwards requests.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "quarantine")]
pub struct Quarantine {}

/// Release a prompt segment or a request from quarantine, at all entries.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "release")]
pub struct Release {
    /// model of the segment, or service of the request
    #[argh(positional)]
    pub scope: String,
    /// ID of the segment, or digest of the request, as `quarantine` shows it
    #[argh(positional)]
    pub id: String,
}

/// Generate a seeded trace that resembles a deployment, and print it.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "trace")]
pub struct Generate {
    /// siam-baan or shatla
    #[argh(positional)]
    pub shape: String,
    /// seed (default 1)
    #[argh(option, default = "1")]
    pub seed: u64,
    /// length in seconds (default 240)
    #[argh(option, default = "240")]
    pub seconds: u64,
    /// load in percent of an ordinary day (default 100)
    #[argh(option, default = "100")]
    pub load: u64,
}

/// Replay a trace against the reducers and simulated servers.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "replay")]
pub struct Replay {
    /// trace file
    #[argh(positional)]
    pub trace: PathBuf,
    /// replay under the baseline routing policies too
    #[argh(switch)]
    pub baselines: bool,
    /// write a plot of time to first token to this SVG file
    #[argh(option)]
    pub plot: Option<PathBuf>,
}

/// Run a benchmark: load on a deployment, idle connections, commits, routing, memory, recovery.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "bench")]
pub struct Bench {
    #[argh(subcommand)]
    pub kind: BenchKind,
}

#[derive(FromArgs, Debug)]
#[argh(subcommand)]
pub enum BenchKind {
    Load(Load),
    Idle(Idle),
    Commits(Commits),
    Route(Route),
    Memory(Memory),
    Recovery(Recovery),
}

/// Keep a number of requests in flight against a callers' address, or an engine's for comparison.
#[derive(FromArgs, Debug, Clone)]
#[argh(subcommand, name = "load")]
pub struct Load {
    /// callers' addresses, or engines', separated by commas
    #[argh(positional)]
    pub to: String,
    /// requests in flight (default 200)
    #[argh(option, default = "200")]
    pub streams: usize,
    /// duration, seconds (default 10)
    #[argh(option, default = "10")]
    pub seconds: u64,
    /// tokens of each answer (default 100)
    #[argh(option, default = "100")]
    pub tokens: u32,
    /// bytes of each prompt (default 400)
    #[argh(option, default = "400")]
    pub prompt_bytes: usize,
    /// model (default demo)
    #[argh(option, default = "String::from(\"demo\")")]
    pub model: String,
    /// bearer key (default demo)
    #[argh(option, default = "String::from(\"demo\")")]
    pub bearer: String,
    /// path of a plain call, to send instead of prompts
    #[argh(option, default = "String::new()")]
    pub call: String,
    /// send an idempotency key, so that each request runs at most once
    #[argh(switch)]
    pub once: bool,
    /// part of the idempotency keys; use another one for each run (default 1)
    #[argh(option, default = "1")]
    pub seed: u64,
}

/// Hold connections open that have sent an incomplete request.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "idle")]
pub struct Idle {
    /// address to connect to
    #[argh(positional)]
    pub to: String,
    /// number of connections (default 1000)
    #[argh(option, default = "1000")]
    pub connections: usize,
    /// time to hold them, seconds (default 5)
    #[argh(option, default = "5")]
    pub seconds: u64,
}

/// Measure commits per second of three keepers with logs on disk, for 1, 8 and 64 writers.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "commits")]
pub struct Commits {
    /// folder for the files
    #[argh(positional)]
    pub folder: PathBuf,
    /// seconds for each number of writers (default 4)
    #[argh(option, default = "4")]
    pub seconds: u64,
}

/// Measure the time of a routing decision and of computing a prompt's block keys.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "route")]
pub struct Route {}

/// Measure the memory per record, claim and directory entry.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "memory")]
pub struct Memory {}

/// Measure the time to open and apply a log, by its length.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "recovery")]
pub struct Recovery {}
