//! The command line.

use std::path::PathBuf;

use argh::FromArgs;

/// tamarack looks after a tamarackbank deployment: records, servers, rollouts, dumps, replays.
///
/// Ask any process by its operators' address. Changes go to the keepers from wherever you ask;
/// history and wait are answered by a keeper; servers by a keeper, or by an entry that forwards.
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
    /// operators' key, if the process asks for one
    #[argh(option, default = "String::new()")]
    pub key: String,
    /// your name, for the history
    #[argh(option, default = "String::from(\"operator\")")]
    pub by: String,
    /// print JSON for programs instead of tables for people
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
    Dump(Dump),
    Ready(Ready),
    Explain(Explain),
    Story(Story),
    Trace(Generate),
    Replay(Replay),
    Bench(Bench),
}

/// Tell the story of one request from the logs of several processes.
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
    /// a kind (model, version, adapter, workspace, priority, role, service, server or rollout),
    /// and behind it a name
    #[argh(positional)]
    pub of: Vec<String>,
}

/// Put a record. The body is a JSON object; --expect is the version you have read.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "put")]
pub struct Put {
    /// kind of the record
    #[argh(positional)]
    pub kind: String,
    /// name of the record
    #[argh(positional)]
    pub name: String,
    /// file with the body; standard input if left out
    #[argh(positional)]
    pub file: Option<PathBuf>,
    /// version you have read; 0 for a new record (default 0)
    #[argh(option, default = "0")]
    pub expect: u64,
    /// schema version of the body (default: the newest known here)
    #[argh(option)]
    pub schema: Option<u32>,
    /// request id; the same one makes a repeat safe after a lost answer
    #[argh(option)]
    pub request: Option<String>,
    /// wait until every process has it in force
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
    /// version you have read
    #[argh(option)]
    pub expect: u64,
}

/// Show who changed what, in the log's order.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "history")]
pub struct History {}

/// Print each change of records as it comes, until interrupted.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "watch")]
pub struct Watch {
    /// stop after this many changes; 0 for never (default 0)
    #[argh(option, default = "0")]
    pub count: usize,
}

/// Print the form in which a workspace's record holds a bearer key.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "hash-key")]
pub struct HashKey {
    /// the bearer key
    #[argh(positional)]
    pub key: String,
}

/// Show the processes and where they stand; servers without an agent, stores and weights.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "servers")]
pub struct Servers {}

/// Wait until a revision is in force everywhere; shows who lags.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "wait")]
pub struct Wait {
    /// revision, as EPOCH.INDEX
    #[argh(positional)]
    pub revision: String,
    /// longest wait, seconds (default 30)
    #[argh(option, default = "30")]
    pub seconds: u64,
}

/// Let a backend server take no new work.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "drain")]
pub struct Drain {
    /// name of the agent beside it
    #[argh(positional)]
    pub server: String,
}

/// Let a drained backend server take work again.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "undrain")]
pub struct Undrain {
    /// name of the agent beside it
    #[argh(positional)]
    pub server: String,
}

/// Set the weight version that a model's replicas shall hold; also pauses and turns back.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "rollout")]
pub struct Rollout {
    /// model
    #[argh(positional)]
    pub model: String,
    /// weight version
    #[argh(positional)]
    pub version: String,
    /// most replicas that load at once (default 2)
    #[argh(option, default = "2")]
    pub parallel: u64,
    /// least replicas that go on serving (default 1)
    #[argh(option, default = "1")]
    pub floor: u64,
    /// start no further loads
    #[argh(switch)]
    pub pause: bool,
}

/// Print the whole state of a process as JSON.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "dump")]
pub struct Dump {}

/// Tell whether a process serves.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "ready")]
pub struct Ready {}

/// Show how a backend server was chosen for a request; ask the entry that served it.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "explain")]
pub struct Explain {
    /// the request's x-request-id
    #[argh(positional)]
    pub request: String,
}

/// Print a seeded trace with the shape of a deployment.
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

/// Replay a trace against the reducers and small stand-ins.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "replay")]
pub struct Replay {
    /// trace file
    #[argh(positional)]
    pub trace: PathBuf,
    /// replay under the baselines too
    #[argh(switch)]
    pub baselines: bool,
    /// write a plot of time to first token to this SVG file
    #[argh(option)]
    pub plot: Option<PathBuf>,
}

/// Measure: load on a deployment, commits, decisions, memory, recovery.
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

/// Keep a number of requests open against a callers' address, or an engine's for comparison.
#[derive(FromArgs, Debug, Clone)]
#[argh(subcommand, name = "load")]
pub struct Load {
    /// callers' addresses, or engines', with commas between
    #[argh(positional)]
    pub to: String,
    /// requests open at once (default 200)
    #[argh(option, default = "200")]
    pub streams: usize,
    /// length, seconds (default 10)
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
    /// path of a plain call, in place of prompts
    #[argh(option, default = "String::new()")]
    pub call: String,
    /// whether each request may run at most once
    #[argh(switch)]
    pub once: bool,
    /// tells the keys of one run from another's (default 1)
    #[argh(option, default = "1")]
    pub seed: u64,
}

/// Hold connections open that have sent half a request.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "idle")]
pub struct Idle {
    /// address
    #[argh(positional)]
    pub to: String,
    /// connections (default 1000)
    #[argh(option, default = "1000")]
    pub connections: usize,
    /// seconds to hold them (default 5)
    #[argh(option, default = "5")]
    pub seconds: u64,
}

/// Commits a second on three logs with real files, with 1, 8 and 64 writers.
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

/// Time of a routing decision and of a prompt's keys.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "route")]
pub struct Route {}

/// Memory of records, claims and directory entries.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "memory")]
pub struct Memory {}

/// Time to open and apply a log by its length.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "recovery")]
pub struct Recovery {}
