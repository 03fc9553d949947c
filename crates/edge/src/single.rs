//! A complete process on one thread, for VMs with a part of a core.
//!
//! The reducer, links, callers, operators and calls to servers share one loop. Only a keeper's files have their own
//! thread, so that a sync does not block the loop.

use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use conf::Settings;
use node::{Config, Event, Node};
use tokio::net::TcpListener;
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::sync::mpsc::unbounded_channel;
use tokio::sync::watch;
use tokio::task::{LocalSet, spawn_local};
use tokio::time::{sleep, timeout};

use crate::budget::Budget;
use crate::connections::{Connections, Shares};
use crate::control::Control;
use crate::forward::{Phase, Shared};
use crate::host::Sinks;
use crate::metrics::Metrics;
use crate::pool::{CONNECT_TIMEOUT, Pool};
use crate::{Clock, Exit, Input, Inputs, Protocol, control, direct, forward, host, net, start};

pub use crate::forward::Limits;

/// Interval at which the seeds are read from the settings, since they may change without a signal.
const RELOAD_INTERVAL: Duration = Duration::from_secs(5);

/// Reads the seeds from the settings; `None` if they can't be read.
pub type Reload = Box<dyn Fn() -> Option<Vec<SocketAddr>>>;

/// Addresses and limits besides the settings.
#[derive(Clone, Debug)]
pub struct Ports {
    /// Address of the listener for callers, who use the deployment's protocol.
    pub callers: SocketAddr,
    /// Addresses of the listeners for operators, who use the deployment's protocol.
    pub operators: Vec<SocketAddr>,
    /// Address of the server list.
    pub list: Option<SocketAddr>,
    /// Limits on what a caller sends.
    pub limits: Limits,
}

/// Runs a process until it may or must exit.
///
/// # Errors
/// A listener can't be bound, or a keeper's folder can't be used.
pub fn run(
    settings: &Settings,
    config: Config,
    ports: &Ports,
    protocol: &Rc<dyn Protocol>,
    reload: Reload,
) -> io::Result<Exit> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    let local = LocalSet::new();
    local.block_on(&runtime, serve(settings, config, ports, protocol, reload))
}

async fn serve(
    settings: &Settings,
    config: Config,
    ports: &Ports,
    protocol: &Rc<dyn Protocol>,
    reload: Reload,
) -> io::Result<Exit> {
    // Before anything that takes time: without handlers, these signals end the process.
    let hangup = signal(SignalKind::hangup())?;
    let terminate = signal(SignalKind::terminate())?;
    let interrupt = signal(SignalKind::interrupt())?;
    let link = TcpListener::bind(settings.link).await?;
    let callers = TcpListener::bind(ports.callers).await?;
    let own_operators = TcpListener::bind(settings.operators).await?;
    let (inputs, inputs_out) = unbounded_channel();
    let (commands, commands_out) = unbounded_channel();
    let (calls, calls_out) = unbounded_channel();
    let (exit, mut exit_out) = unbounded_channel();
    let metrics = Arc::new(Metrics::new().map_err(io::Error::other)?);
    let process = start::local_process(settings, link.local_addr()?);
    let (keeper, files) = start::keeper(settings, &process, &inputs)?.unzip();
    let seeds: Vec<SocketAddr> = settings.seeds.iter().map(|seed| seed.addr).collect();
    let _ = inputs.send(Input::Event(Event::Seeds(seeds.clone())));
    spawn_local(follow_seeds(inputs.clone(), seeds, reload, hangup));

    let (phases, phase) = watch::channel(Phase::Serving);
    let memory = settings.memory_mb << 20;
    let shares = Shares::new(settings.max_fds, memory, true);
    let budget = Budget::new(memory, ports.limits.body);
    let connect_timeout =
        settings.forward.as_ref().map_or(CONNECT_TIMEOUT, |forward| forward.connect_timeout);
    let pool = Rc::new(Pool::new(shares.idle_servers, connect_timeout));
    let shared = Rc::new(Shared {
        limits: ports.limits,
        protocol: protocol.clone(),
        pool: pool.clone(),
        budget: budget.clone(),
        connections: Connections::new(shares.callers, "callers' connections", metrics.clone()),
        metrics: metrics.clone(),
        inputs: inputs.clone(),
        phase,
    });
    let client = Rc::new(direct::Client {
        pool,
        protocol: protocol.clone(),
        inputs: inputs.clone(),
        list: ports.list,
        holder: settings.name.clone(),
        memory: direct::Memory::new(memory),
    });
    let operators = |protocol| {
        Rc::new(Control {
            protocol,
            key: settings.operator_key.clone(),
            budget: budget.clone(),
            connections: control::connection_table(shares.operators, &metrics),
            inputs: inputs.clone(),
            metrics: metrics.clone(),
        })
    };
    spawn_local(net::run(
        process.hello.clone(),
        link,
        commands_out,
        inputs.clone(),
        metrics.clone(),
        shares.unknown_links,
    ));
    spawn_local(direct::run(client, calls_out));
    spawn_local(control::run(own_operators, operators(None)));
    for addr in &ports.operators {
        let operators = operators(Some(protocol.clone()));
        spawn_local(control::run(TcpListener::bind(addr).await?, operators));
    }
    let drain_delay = config.forward.as_ref().map_or(Duration::ZERO, |forward| forward.drain_delay);
    spawn_local(stop_on_signals(inputs.clone(), phases, drain_delay, [terminate, interrupt]));
    let sinks = Sinks { net: commands, server: None, files, direct: Some(calls), metrics, exit };
    spawn_local(host::run(Node::new(process, config, keeper), Clock::default(), sinks, inputs_out));
    spawn_local(forward::run(callers, shared));
    let exit = exit_out.recv().await.unwrap_or(Exit::Done { in_flight: 0 });
    sleep(exit.delay()).await;
    Ok(exit)
}

/// Applies changed seeds from the settings, immediately on SIGHUP. Other changes of the settings have no effect after
/// the start.
async fn follow_seeds(
    inputs: Inputs,
    mut seeds: Vec<SocketAddr>,
    reload: Reload,
    mut hangup: Signal,
) -> io::Result<()> {
    loop {
        let signaled = timeout(RELOAD_INTERVAL, hangup.recv()).await.is_ok();
        match reload() {
            Some(found) if found != seeds => {
                log::info!(seeds:? = found; "reload: seeds changed");
                seeds.clone_from(&found);
                if inputs.send(Input::Event(Event::Seeds(found))).is_err() {
                    return Ok(());
                }
            }
            _ if signaled => log::info!("reload: no active setting changed"),
            _ => {}
        }
    }
}

/// Requests shutdown on SIGTERM and SIGINT.
async fn stop_on_signals(
    inputs: Inputs,
    phases: watch::Sender<Phase>,
    drain_delay: Duration,
    [mut terminate, mut interrupt]: [Signal; 2],
) -> io::Result<()> {
    let mut stopping = false;
    loop {
        tokio::select! {
            _ = terminate.recv() => {}
            _ = interrupt.recv() => {}
        }
        if stopping {
            // The drain time is limited, and SIGKILL stops the process without it.
            log::info!("second shutdown request");
            continue;
        }
        stopping = true;
        log::info!("shutdown requested");
        if inputs.send(Input::Event(Event::Stop)).is_err() {
            return Ok(());
        }
        phases.send_replace(Phase::Stopping);
        let phases = phases.clone();
        spawn_local(async move {
            sleep(drain_delay).await;
            phases.send_replace(Phase::Closing);
        });
    }
}
