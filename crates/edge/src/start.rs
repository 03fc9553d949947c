//! Starts a process: binds every listener, then runs the reducer.

use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::Sender;
use std::thread;

use conf::{Role, ServerKind, Settings};
use node::{Config, Event, Keeper, LocalProcess, Node};
use quorum::{Bootstrap, Member, Replica, Timing};
use tokio::net::TcpListener;
use tokio::sync::mpsc::{UnboundedReceiver, unbounded_channel};
use wire::{Hello, ServerInfo};

use crate::budget::Budget;
use crate::connections::Shares;
use crate::host::{self, Exit, Sinks};
use crate::metrics::Metrics;
use crate::{Clock, Input, Inputs, callers, clock, control, files, net, server};

/// Folder of the keeper's files within the data folder.
const KEEPER_FOLDER: &str = "keeper";

/// A running process.
#[derive(Debug)]
pub struct Running {
    /// Address of the links.
    pub link: SocketAddr,
    /// Address of the operators' listener.
    pub operators: SocketAddr,
    /// Address of the callers' listener, if the process has the role entry.
    pub callers: Option<SocketAddr>,
    /// Receives events.
    pub inputs: Inputs,
    exit: UnboundedReceiver<Exit>,
}

/// A handle that requests the shutdown of a process.
#[derive(Clone, Debug)]
pub struct Stopper {
    inputs: Inputs,
}

impl Stopper {
    /// Requests shutdown; a second call, immediate shutdown.
    pub fn stop(&self) {
        let _ = self.inputs.send(Input::Event(Event::Stop));
    }
}

impl Running {
    /// A handle that requests the shutdown of this process.
    pub fn stopper(&self) -> Stopper {
        Stopper { inputs: self.inputs.clone() }
    }

    /// Waits until the process may or must exit.
    pub fn wait(&mut self) -> Exit {
        let exit = self.exit.blocking_recv().unwrap_or(Exit::Done { in_flight: 0 });
        thread::sleep(exit.delay());
        exit
    }
}

/// Returns the next number for an HTTP exchange.
pub(crate) fn call_number() -> u64 {
    static NEXT: AtomicU64 = AtomicU64::new(1);
    NEXT.fetch_add(1, Ordering::Relaxed)
}

/// Starts a process with these settings.
///
/// # Errors
/// A listener can't be bound, a thread can't be started, or a keeper's folder can't be used.
pub fn start(settings: &Settings) -> io::Result<Running> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    let link = runtime.block_on(TcpListener::bind(settings.link))?;
    let callers = if settings.has_role(Role::Entry) {
        Some(runtime.block_on(TcpListener::bind(settings.callers))?)
    } else {
        None
    };
    let (inputs, inputs_out) = unbounded_channel();
    let (commands, commands_out) = unbounded_channel();
    let (exit, exit_out) = unbounded_channel();
    let link_addr = link.local_addr()?;
    let callers_addr = callers.as_ref().map(TcpListener::local_addr).transpose()?;
    let metrics = Arc::new(Metrics::new().map_err(io::Error::other)?);
    let memory = settings.memory_mb << 20;
    let shares = Shares::new(settings.max_fds, memory, false);
    let budget = Budget::new(memory, settings.max_body.max(control::MAX_BODY));
    let operators = control::Start {
        key: settings.operator_key.clone(),
        connections: shares.operators,
        budget: budget.clone(),
        inputs: inputs.clone(),
        metrics: metrics.clone(),
    };
    let operators_addr = operators.start(settings.operators)?;

    let process = local_process(settings, link_addr);
    let (keeper, files) = keeper(settings, &process, &inputs)?.unzip();
    let server = settings.has_role(Role::Agent).then(|| {
        let stores = settings.stores.iter().map(|store| (store.name.clone(), store.addr));
        let stores = stores.collect();
        let client =
            server::Client::new(settings.server_addr, stores, settings.piece_bytes, inputs.clone());
        if settings.server_kind == ServerKind::Engine {
            client.watch_load();
        }
        client
    });
    let seeds = settings.seeds.iter().map(|seed| seed.addr).collect();
    let _ = inputs.send(Input::Event(Event::Seeds(seeds)));

    let limits = callers::Limits {
        connections: settings.max_connections.min(shares.callers),
        body: settings.max_body,
        arrival: settings.arrival_timeout,
    };
    let hello = process.hello.clone();
    let net_inputs = inputs.clone();
    let net_metrics = metrics.clone();
    thread::Builder::new().name("net".to_owned()).spawn(move || {
        runtime.block_on(async move {
            if let Some(listener) = callers {
                let (inputs, metrics) = (net_inputs.clone(), net_metrics.clone());
                tokio::spawn(callers::run(listener, limits, inputs, budget, metrics));
            }
            let unknown = shares.unknown_links;
            net::run(hello, link, commands_out, net_inputs, net_metrics, unknown).await;
        });
    })?;

    let config = Config::from(settings);
    let sinks = Sinks { net: commands, server, files, direct: None, metrics, exit };
    let timers = tokio::runtime::Builder::new_current_thread().enable_time().build()?;
    thread::Builder::new().name("reducer".to_owned()).spawn(move || {
        let node = Node::new(process, config, keeper);
        timers.block_on(host::run(node, Clock::default(), sinks, inputs_out));
    })?;
    Ok(Running {
        link: link_addr,
        operators: operators_addr,
        callers: callers_addr,
        inputs,
        exit: exit_out,
    })
}

/// Folder of a keeper's files.
pub fn keeper_folder(settings: &Settings) -> PathBuf {
    settings.data.join(KEEPER_FOLDER)
}

pub(crate) fn local_process(settings: &Settings, addr: SocketAddr) -> LocalProcess {
    let server = settings.has_role(Role::Agent).then(|| ServerInfo {
        serves: settings.serves.clone(),
        plain: settings.server_kind == ServerKind::Plain,
        slots: settings.slots as u32,
    });
    LocalProcess {
        hello: Hello {
            name: settings.name.clone(),
            incarnation: clock::incarnation(),
            zone: settings.zone.clone(),
            addr: settings.advertise.unwrap_or(addr),
            entry: settings.has_role(Role::Entry),
            keeper: settings.has_role(Role::Keeper),
            server,
        },
        version: settings.version.clone(),
        started_ms: clock::unix_ms(),
    }
}

/// The state of the role keeper and its files, if the process has this role.
pub(crate) fn keeper(
    settings: &Settings,
    process: &LocalProcess,
    inputs: &Inputs,
) -> io::Result<Option<(Keeper, Sender<files::Command>)>> {
    if !settings.has_role(Role::Keeper) {
        return Ok(None);
    }
    let name = settings.name.clone();
    // A new disk gets an identity made from the start time and the process ID, which distinguishes it from all others.
    let incarnation = process.hello.incarnation.0;
    let identity = incarnation ^ u64::from(std::process::id()) << 48;
    let opened = files::open(&keeper_folder(settings), identity).map_err(io::Error::other)?;
    let contacts = files::contacts(&opened);
    // The reducer handles queued inputs once it starts.
    let _ = inputs.send(Input::Event(Event::ContactsLoaded(contacts)));
    let evidence = files::evidence(&opened);
    if !evidence.is_empty() {
        let _ = inputs.send(Input::Event(Event::EvidenceLoaded(evidence)));
    }
    let streams = files::streams(&opened);
    if !streams.is_empty() {
        let _ = inputs.send(Input::Event(Event::StreamsLoaded(streams)));
    }
    let member = Member { name: name.clone(), disk_id: opened.identity };
    let bootstrap = Bootstrap {
        names: settings.voters.clone(),
        epoch: process.started_ms / 1_000,
        voters_wanted: settings.voters_wanted,
        accept_new_members: settings.accept_new_members,
    };
    let seed = process.hello.seed();
    let quorum = Replica::new(member, bootstrap, Timing::default(), seed, opened.saved);
    let keeper = Keeper::new(name, quorum).map_err(io::Error::other)?;
    let files = files::start(opened.store, opened.recent, inputs.clone())?;
    Ok(Some((keeper, files)))
}
