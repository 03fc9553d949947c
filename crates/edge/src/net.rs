//! Links to other processes: h2 streams on the tokio thread.
//!
//! A link is one long stream in each direction. A link without a frame for `SILENCE_TIMEOUT` is dead even if TCP
//! reports no error, so a frozen or disconnected peer is detected by its missing heartbeats.
//!
//! Two processes may have several links, since either side dials. Frames go out on the latest one that works. The end of a
//! link is reported by `LinkGuard`, however its task ends.

use std::collections::HashMap;
use std::future::poll_fn;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use base::Name;
use bytes::Bytes;
use h2::{RecvStream, SendStream};
use http::{Request, Response};
use node::{Dial, Event};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel};
use tokio::sync::{oneshot, watch};
use tokio::time::{sleep, timeout};
use wire::{Decoder, Frame, Hello};

use crate::connections::{Connection, Connections};
use crate::metrics::Metrics;
use crate::{Input, Inputs};

/// Longest wait for the handshake of a link.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// First wait for a connection, doubled after each failure: the first packet to a VM that is still starting is lost and
/// resent only after a second.
const FIRST_CONNECT_TIMEOUT: Duration = Duration::from_millis(150);
/// Delay after a link has failed, doubled after each further failure to dial.
const REDIAL_DELAY: Duration = Duration::from_millis(100);
/// Longest delay between two attempts to dial an address that does not answer.
const MAX_REDIAL_DELAY: Duration = Duration::from_secs(1);
/// Time for which a process may dial again before it is dialed, so that two processes rarely dial each other.
const UNLINKED_DELAY: Duration = Duration::from_millis(500);
/// Time without a frame after which a link is dead.
const SILENCE_TIMEOUT: Duration = Duration::from_secs(2);
/// Time without a frame to send after which a keep-alive is sent.
const KEEP_ALIVE_INTERVAL: Duration = Duration::from_millis(600);
/// h2 window of a link to a known peer in bytes.
const WINDOW: u32 = 4 << 20;
/// Window in bytes of an accepted connection until its peer's hello was received; h2 begins with no smaller one.
const UNKNOWN_WINDOW: u32 = 65_535;
/// Maximum number of bytes received of a hello, which has a few names and addresses.
const MAX_HELLO: usize = 16 << 10;
/// Maximum number of streams that a peer may open; it uses one.
const MAX_STREAMS: u32 = 4;
/// Largest list of headers in bytes that a peer may send; it sends none of its own.
const MAX_HEADERS: u32 = 4 << 10;
/// Maximum number of bytes gathered into one write.
const MAX_BATCH: usize = 64 << 10;
/// Maximum number of frames queued for a peer before its link is closed.
const MAX_QUEUE: usize = 200_000;

type Error = Box<dyn std::error::Error + Send + Sync>;

/// Command from the host to the links.
#[derive(Debug)]
pub enum Command {
    /// Sends a frame to a peer.
    Send {
        /// Name of the peer.
        to: Name,
        /// The frame.
        frame: Box<Frame>,
    },
    /// Keeps a link to an address.
    Dial {
        /// The address.
        addr: SocketAddr,
        /// When to dial it.
        when: Dial,
    },
    /// Stops keeping a link to an address.
    StopDialing {
        /// The address.
        addr: SocketAddr,
    },
}

enum LinkEvent {
    Up(Link),
    Down { peer: Name, number: u64 },
}

struct Link {
    hello: Hello,
    number: u64,
    frames: UnboundedSender<Frame>,
}

/// Reports the end of a link when it is dropped: the task may also be aborted or panic.
struct LinkGuard {
    link_events: UnboundedSender<LinkEvent>,
    peer: Name,
    number: u64,
}

impl Drop for LinkGuard {
    fn drop(&mut self) {
        // The send fails only when the process exits.
        let _ =
            self.link_events.send(LinkEvent::Down { peer: self.peer.clone(), number: self.number });
    }
}

type Links = HashMap<Name, Vec<Link>>;
/// Number of links to each address, whichever side dialed; each dialer watches its own address.
type LinkCounts = HashMap<SocketAddr, watch::Sender<usize>>;

#[derive(Clone)]
struct Shared {
    hello: Hello,
    inputs: Inputs,
    link_events: UnboundedSender<LinkEvent>,
    metrics: Arc<Metrics>,
}

/// Serves the links until the host is gone; at most `max_unknown` links are open whose peer is not known yet.
pub async fn run(
    hello: Hello,
    listener: TcpListener,
    mut commands: UnboundedReceiver<Command>,
    inputs: Inputs,
    metrics: Arc<Metrics>,
    max_unknown: usize,
) {
    let unknown = Connections::new(max_unknown, "unknown links", metrics.clone());
    let (link_events, mut link_events_in) = unbounded_channel();
    let shared = Shared { hello, inputs, link_events, metrics };
    tokio::spawn(accept_links(shared.clone(), listener, unknown));
    let mut links = Links::new();
    let mut link_counts = LinkCounts::new();
    let mut dialers = HashMap::new();
    loop {
        tokio::select! {
            // A link is registered before the response to its first frame is sent.
            biased;
            Some(event) = link_events_in.recv() => match event {
                LinkEvent::Up(link) => {
                    shared.metrics.record_link();
                    close_replaced(&shared, &mut links, &mut link_counts, &link.hello);
                    let hello = link.hello.clone();
                    link_counts.entry(hello.addr).or_default().send_modify(|count| *count += 1);
                    links.entry(hello.name.clone()).or_default().push(link);
                    let _ = shared.inputs.send(Input::Event(Event::Connected(hello)));
                }
                LinkEvent::Down { peer, number } => handle_down(&shared, &mut links, &mut link_counts, &peer, number),
            },
            command = commands.recv() => match command {
                None => return,
                Some(Command::Dial { addr, when }) => {
                    let link_count = link_counts.entry(addr).or_default().subscribe();
                    let shared = shared.clone();
                    dialers.entry(addr).or_insert_with(|| tokio::spawn(dial(shared, addr, when, link_count)));
                }
                Some(Command::StopDialing { addr }) => {
                    if let Some(dialer) = dialers.remove(&addr) {
                        dialer.abort();
                    }
                }
                Some(Command::Send { to, frame }) => send(&links, &to, *frame),
            },
        }
    }
}

fn send(links: &Links, to: &Name, mut frame: Frame) {
    // A link that has just ended is still listed until its end is handled.
    for link in links.get(to).into_iter().flatten().rev() {
        match link.frames.send(frame) {
            Ok(()) => return,
            Err(unsent) => frame = unsent.0,
        }
    }
    log::debug!(peer:% = to; "frame dropped: no link");
}

/// Closes the links to other incarnations of a process that has connected. Their ends may not be detected for
/// [`SILENCE_TIMEOUT`], and the reducer must not take one for the end of a link to this incarnation.
fn close_replaced(shared: &Shared, links: &mut Links, link_counts: &mut LinkCounts, hello: &Hello) {
    let Some(list) = links.get_mut(&hello.name) else {
        return;
    };
    // Dropping the queue of its frames ends a link.
    let closed: Vec<Link> =
        list.extract_if(.., |link| link.hello.incarnation != hello.incarnation).collect();
    for link in &closed {
        uncount(link_counts, link);
    }
    if !closed.is_empty() {
        let event = Event::Disconnected { peer: hello.name.clone() };
        let _ = shared.inputs.send(Input::Event(event));
    }
}

fn uncount(link_counts: &mut LinkCounts, link: &Link) {
    let Some(count) = link_counts.get(&link.hello.addr) else {
        return;
    };
    count.send_modify(|count| *count -= 1);
    // A waiting dialer still needs the count.
    if *count.borrow() == 0 && count.receiver_count() == 0 {
        link_counts.remove(&link.hello.addr);
    }
}

/// Handles a closed link. Two processes may have more than one link, each dialed by the other side. Frames in flight on
/// this one are lost, so the reducer is notified even if another link is left.
fn handle_down(
    shared: &Shared,
    links: &mut Links,
    link_counts: &mut LinkCounts,
    peer: &Name,
    number: u64,
) {
    let Some(list) = links.get_mut(peer) else {
        return;
    };
    let Some(index) = list.iter().position(|link| link.number == number) else {
        // It was closed when another incarnation connected.
        return;
    };
    uncount(link_counts, &list.remove(index));
    let event = Event::Disconnected { peer: peer.clone() };
    let _ = shared.inputs.send(Input::Event(event));
    match list.last() {
        Some(left) => {
            let _ = shared.inputs.send(Input::Event(Event::Connected(left.hello.clone())));
        }
        None => {
            links.remove(peer);
        }
    }
}

async fn accept_links(shared: Shared, listener: TcpListener, unknown: Arc<Connections>) {
    loop {
        let (socket, open) = unknown.accept(&listener, "link listener").await;
        let number = open.number;
        let task = tokio::spawn(serve(shared.clone(), socket, open));
        unknown.set_task(number, task.abort_handle());
    }
}

async fn serve(shared: Shared, socket: TcpStream, open: Connection) {
    let _ = socket.set_nodelay(true);
    let mut builder = h2::server::Builder::new();
    builder
        .initial_window_size(WINDOW)
        .initial_connection_window_size(UNKNOWN_WINDOW)
        .max_concurrent_streams(MAX_STREAMS)
        .max_header_list_size(MAX_HEADERS);
    let handshake = timeout(CONNECT_TIMEOUT, builder.handshake::<_, Bytes>(socket)).await;
    let Ok(Ok(mut connection)) = handshake else {
        return;
    };
    let Ok(Some(Ok((request, mut respond)))) = timeout(CONNECT_TIMEOUT, connection.accept()).await
    else {
        return;
    };
    let Ok(sender) = respond.send_response(Response::new(()), false) else {
        return;
    };
    let (known, mut is_known) = oneshot::channel();
    let link = tokio::spawn(exchange(shared, sender, request.into_body(), Some(known)));
    // Polling for further streams also drives the connection. After an error each poll returns one at once, so the first
    // one ends the link: a loop over them would never yield.
    loop {
        tokio::select! {
            hello = &mut is_known => match hello {
                Ok(()) => break,
                Err(_) => return,
            },
            stream = connection.accept() => if !matches!(stream, Some(Ok(_))) { return },
        }
    }
    drop(open);
    connection.set_target_window_size(WINDOW);
    let driver = async { while let Some(Ok(_)) = connection.accept().await {} };
    tokio::select! {
        _ = link => {}
        () = driver => {}
    }
}

async fn dial(
    shared: Shared,
    addr: SocketAddr,
    when: Dial,
    mut link_count: watch::Receiver<usize>,
) {
    let mut delay = REDIAL_DELAY;
    let mut connect_timeout = FIRST_CONNECT_TIMEOUT;
    let mut reached = true;
    while when == Dial::Always || stays_unlinked(&mut link_count).await {
        match dial_once(&shared, addr, connect_timeout).await {
            Ok(()) => {
                (delay, connect_timeout, reached) = (REDIAL_DELAY, FIRST_CONNECT_TIMEOUT, true);
            }
            Err(error) => {
                if std::mem::take(&mut reached) {
                    log::info!(addr:%, error:%; "address unreachable, retrying");
                }
                delay = (2 * delay).min(MAX_REDIAL_DELAY);
                connect_timeout = (2 * connect_timeout).min(CONNECT_TIMEOUT);
            }
        }
        sleep(delay).await;
    }
}

/// Waits until there has been no link for [`UNLINKED_DELAY`]; returns false when the process exits.
async fn stays_unlinked(link_count: &mut watch::Receiver<usize>) -> bool {
    while link_count.wait_for(|count| *count == 0).await.is_ok() {
        match timeout(UNLINKED_DELAY, link_count.wait_for(|count| *count > 0)).await {
            Err(_) => return true,
            Ok(Ok(_)) => {}
            Ok(Err(_)) => return false,
        }
    }
    false
}

async fn dial_once(
    shared: &Shared,
    addr: SocketAddr,
    connect_timeout: Duration,
) -> Result<(), Error> {
    let socket = timeout(connect_timeout, TcpStream::connect(addr)).await??;
    socket.set_nodelay(true)?;
    let mut builder = h2::client::Builder::new();
    builder.initial_window_size(WINDOW).initial_connection_window_size(WINDOW);
    let (requests, connection) =
        timeout(CONNECT_TIMEOUT, builder.handshake::<_, Bytes>(socket)).await??;
    let driver = tokio::spawn(connection);
    let result = dial_stream(shared, requests).await;
    driver.abort();
    result
}

async fn dial_stream(
    shared: &Shared,
    requests: h2::client::SendRequest<Bytes>,
) -> Result<(), Error> {
    let mut requests = timeout(CONNECT_TIMEOUT, requests.ready()).await??;
    let request = Request::post("http://link/").body(())?;
    let (response, sender) = requests.send_request(request, false)?;
    let response = timeout(CONNECT_TIMEOUT, response).await??;
    exchange(shared.clone(), sender, response.into_body(), None).await;
    Ok(())
}

/// Exchanges frames; `known` is notified once the peer's hello was received.
async fn exchange(
    shared: Shared,
    mut sender: SendStream<Bytes>,
    mut receiver: RecvStream,
    known: Option<oneshot::Sender<()>>,
) {
    let mut decoder = Decoder::default();
    let first = wire::encode(&Frame::Hello(shared.hello.clone()));
    if write(&mut sender, first.into()).await.is_err() {
        return;
    }
    let Ok(Ok(Some(Frame::Hello(peer)))) =
        timeout(CONNECT_TIMEOUT, read(&mut receiver, &mut decoder, MAX_HELLO)).await
    else {
        return;
    };
    if let Some(known) = known {
        // The receiver is gone only if the connection has ended.
        let _ = known.send(());
    }
    let (frames, queue) = unbounded_channel();
    let number = link_number();
    let name = peer.name.clone();
    if shared.link_events.send(LinkEvent::Up(Link { hello: peer, number, frames })).is_err() {
        return;
    }
    let _guard = LinkGuard { link_events: shared.link_events.clone(), peer: name.clone(), number };
    tokio::select! {
        () = write_all(&shared, &mut sender, queue) => {}
        () = read_all(&shared, &name, &mut receiver, &mut decoder) => {}
    }
    sender.send_reset(h2::Reason::CANCEL);
}

fn link_number() -> u64 {
    use std::sync::atomic::{AtomicU64, Ordering};
    static NEXT: AtomicU64 = AtomicU64::new(1);
    NEXT.fetch_add(1, Ordering::Relaxed)
}

async fn write_all(
    shared: &Shared,
    sender: &mut SendStream<Bytes>,
    mut queue: UnboundedReceiver<Frame>,
) {
    loop {
        // Keeps a link alive on which the reducer sends nothing at present.
        let frame = match timeout(KEEP_ALIVE_INTERVAL, queue.recv()).await {
            Ok(Some(frame)) => frame,
            Ok(None) => return,
            Err(_) => Frame::Idle,
        };
        if queue.len() > MAX_QUEUE {
            log::warn!("link closed: send queue full");
            return;
        }
        shared.metrics.record_sent_frame(&frame);
        let mut bytes = wire::encode(&frame);
        while bytes.len() < MAX_BATCH {
            let Ok(frame) = queue.try_recv() else { break };
            shared.metrics.record_sent_frame(&frame);
            bytes.extend(wire::encode(&frame));
        }
        shared.metrics.record_sent(bytes.len());
        if write(sender, bytes.into()).await.is_err() {
            return;
        }
    }
}

async fn read_all(shared: &Shared, name: &Name, receiver: &mut RecvStream, decoder: &mut Decoder) {
    loop {
        match timeout(SILENCE_TIMEOUT, read_counted(shared, receiver, decoder)).await {
            Ok(Ok(Some(Frame::Idle))) => {}
            Ok(Ok(Some(frame))) => {
                let event = Event::Frame { peer: name.clone(), frame };
                if shared.inputs.send(Input::Event(event)).is_err() {
                    return;
                }
            }
            Ok(Err(error)) => {
                log::warn!(peer:% = name; "link closed: {error}");
                return;
            }
            Ok(Ok(None)) | Err(_) => return,
        }
    }
}

async fn read_counted(
    shared: &Shared,
    receiver: &mut RecvStream,
    decoder: &mut Decoder,
) -> Result<Option<Frame>, Error> {
    let before = decoder.received_bytes();
    let frame = read(receiver, decoder, usize::MAX).await;
    shared.metrics.record_received(decoder.received_bytes() - before);
    if let Ok(Some(frame)) = &frame {
        shared.metrics.record_received_frame(frame);
    }
    frame
}

/// Reads a frame, for which the link may receive at most `max` bytes in total.
async fn read(
    receiver: &mut RecvStream,
    decoder: &mut Decoder,
    max: usize,
) -> Result<Option<Frame>, Error> {
    loop {
        if let Some(frame) = decoder.next_frame()? {
            return Ok(Some(frame));
        }
        let Some(bytes) = receiver.data().await else {
            return Ok(None);
        };
        let bytes = bytes?;
        if decoder.received_bytes() + bytes.len() > max {
            return Err("too many bytes before a frame".into());
        }
        receiver.flow_control().release_capacity(bytes.len())?;
        decoder.push(&bytes);
    }
}

async fn write(sender: &mut SendStream<Bytes>, mut bytes: Bytes) -> Result<(), Error> {
    while !bytes.is_empty() {
        sender.reserve_capacity(bytes.len());
        let Some(capacity) = poll_fn(|cx| sender.poll_capacity(cx)).await else {
            return Err("stream closed".into());
        };
        let chunk = bytes.split_to(capacity?.min(bytes.len()));
        sender.send_data(chunk, false)?;
    }
    Ok(())
}
