//! Links to other processes: h2 streams on the tokio thread.
//!
//! One long stream in each direction per link. A link without a frame for [`SILENCE`] is dead,
//! whatever TCP says, so a frozen or cut peer is found by its heartbeats alone.

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
use tokio::sync::watch;
use tokio::time::{sleep, timeout};
use wire::{Decoder, Frame, Hello};

use crate::metrics::Metrics;
use crate::{Input, Inputs};

/// Longest wait for the handshake of a link.
const CONNECT: Duration = Duration::from_secs(1);
/// First wait for a connection, doubled after each that failed: the first packet to a VM that is
/// still starting is lost, and is sent again only after a second.
const FIRST_CONNECT: Duration = Duration::from_millis(150);
const REDIAL: Duration = Duration::from_millis(100);
/// Longest pause between two tries of an address that does not answer.
const REDIAL_MOST: Duration = Duration::from_secs(1);
/// Time that a process has to dial again before it is dialled, so that two seldom dial each other.
const UNLINKED: Duration = Duration::from_millis(500);
const SILENCE: Duration = Duration::from_secs(2);
/// Silence after which a link says that it is alive.
const IDLE: Duration = Duration::from_millis(600);
const WINDOW: u32 = 4 << 20;
/// Most bytes gathered into one write.
const GATHER: usize = 64 << 10;
/// Most frames that wait for a peer before its link is cut.
const MAX_QUEUE: usize = 200_000;

type Error = Box<dyn std::error::Error + Send + Sync>;

/// What the host asks of the links.
#[derive(Debug)]
pub enum Command {
    /// Send a frame to a peer.
    Send {
        /// Name of the peer.
        to: Name,
        /// The frame.
        frame: Box<Frame>,
    },
    /// Keep a link to an address.
    Dial {
        /// The address.
        addr: SocketAddr,
        /// When to dial it.
        when: Dial,
    },
    /// Keep a link to an address no longer.
    Undial {
        /// The address.
        addr: SocketAddr,
    },
}

enum News {
    Up(Link),
    Down { peer: Name, number: u64 },
}

struct Link {
    hello: Hello,
    number: u64,
    frames: UnboundedSender<Frame>,
}

type Links = HashMap<Name, Vec<Link>>;
/// How many links there are to each address, whoever dialled; each dialler waits for its own alone.
type Linked = HashMap<SocketAddr, watch::Sender<usize>>;

#[derive(Clone)]
struct Shared {
    hello: Hello,
    inputs: Inputs,
    news: UnboundedSender<News>,
    metrics: Arc<Metrics>,
}

/// Serves the links until the host is gone.
pub async fn run(
    hello: Hello,
    listener: TcpListener,
    mut commands: UnboundedReceiver<Command>,
    inputs: Inputs,
    metrics: Arc<Metrics>,
) {
    let (news, mut news_in) = unbounded_channel();
    let shared = Shared { hello, inputs, news, metrics };
    tokio::spawn(accept(shared.clone(), listener));
    let mut links = Links::new();
    let mut linked = Linked::new();
    let mut dialled = HashMap::new();
    loop {
        tokio::select! {
            // A link is known before the answer to its first frame is sent.
            biased;
            Some(news) = news_in.recv() => match news {
                News::Up(link) => {
                    shared.metrics.linked();
                    let hello = link.hello.clone();
                    linked.entry(hello.addr).or_default().send_modify(|count| *count += 1);
                    links.entry(hello.name.clone()).or_default().push(link);
                    let _ = shared.inputs.send(Input::Event(Event::Connected(hello)));
                }
                News::Down { peer, number } => down(&shared, &mut links, &mut linked, &peer, number),
            },
            command = commands.recv() => match command {
                None => return,
                Some(Command::Dial { addr, when }) => {
                    let linked = linked.entry(addr).or_default().subscribe();
                    let shared = shared.clone();
                    dialled.entry(addr).or_insert_with(|| tokio::spawn(dial(shared, addr, when, linked)));
                }
                Some(Command::Undial { addr }) => {
                    if let Some(dialler) = dialled.remove(&addr) {
                        dialler.abort();
                    }
                }
                Some(Command::Send { to, frame }) => send(&links, &to, *frame),
            },
        }
    }
}

fn send(links: &Links, to: &Name, frame: Frame) {
    let link = links.get(to).and_then(|list| list.last());
    if link.is_none_or(|link| link.frames.send(frame).is_err()) {
        log::debug!(peer:% = to; "frame dropped: no link");
    }
}

/// A link is down. Two processes may have more than one link, each dialled by the other side; what
/// was on its way on this one is lost, so the reducer is told even if another is left.
fn down(shared: &Shared, links: &mut Links, linked: &mut Linked, peer: &Name, number: u64) {
    let Some(list) = links.get_mut(peer) else {
        return;
    };
    for link in list.extract_if(.., |link| link.number == number) {
        let Some(count) = linked.get(&link.hello.addr) else { continue };
        count.send_modify(|count| *count -= 1);
        // A dialler that waits here still needs the count.
        if *count.borrow() == 0 && count.receiver_count() == 0 {
            linked.remove(&link.hello.addr);
        }
    }
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

async fn accept(shared: Shared, listener: TcpListener) {
    loop {
        match listener.accept().await {
            Ok((socket, _)) => {
                tokio::spawn(serve(shared.clone(), socket));
            }
            Err(error) => {
                log::warn!("link listener: {error}");
                sleep(REDIAL).await;
            }
        }
    }
}

async fn serve(shared: Shared, socket: TcpStream) {
    let _ = socket.set_nodelay(true);
    let mut builder = h2::server::Builder::new();
    builder.initial_window_size(WINDOW).initial_connection_window_size(WINDOW);
    let handshake = timeout(CONNECT, builder.handshake::<_, Bytes>(socket)).await;
    let Ok(Ok(mut connection)) = handshake else {
        return;
    };
    let Ok(Some(Ok((request, mut respond)))) = timeout(CONNECT, connection.accept()).await else {
        return;
    };
    let Ok(sender) = respond.send_response(Response::new(()), false) else {
        return;
    };
    let link = tokio::spawn(exchange(shared, sender, request.into_body()));
    // Polling for further streams also drives the connection.
    let driver = async { while connection.accept().await.is_some() {} };
    tokio::select! {
        _ = link => {}
        () = driver => {}
    }
}

async fn dial(shared: Shared, addr: SocketAddr, when: Dial, mut linked: watch::Receiver<usize>) {
    let mut pause = REDIAL;
    let mut wait = FIRST_CONNECT;
    let mut reached = true;
    while when == Dial::Always || stays_unlinked(&mut linked).await {
        match dial_once(&shared, addr, wait).await {
            Ok(()) => (pause, wait, reached) = (REDIAL, FIRST_CONNECT, true),
            Err(error) => {
                if std::mem::take(&mut reached) {
                    log::info!(addr:%, error:%; "address unreachable, retrying");
                }
                pause = (2 * pause).min(REDIAL_MOST);
                wait = (2 * wait).min(CONNECT);
            }
        }
        sleep(pause).await;
    }
}

/// Waits until no link has been up for [`UNLINKED`]; false when the process ends.
async fn stays_unlinked(linked: &mut watch::Receiver<usize>) -> bool {
    while linked.wait_for(|count| *count == 0).await.is_ok() {
        match timeout(UNLINKED, linked.wait_for(|count| *count > 0)).await {
            Err(_) => return true,
            Ok(Ok(_)) => {}
            Ok(Err(_)) => return false,
        }
    }
    false
}

async fn dial_once(shared: &Shared, addr: SocketAddr, wait: Duration) -> Result<(), Error> {
    let socket = timeout(wait, TcpStream::connect(addr)).await??;
    socket.set_nodelay(true)?;
    let mut builder = h2::client::Builder::new();
    builder.initial_window_size(WINDOW).initial_connection_window_size(WINDOW);
    let (requests, connection) = timeout(CONNECT, builder.handshake::<_, Bytes>(socket)).await??;
    let driver = tokio::spawn(connection);
    let result = dial_stream(shared, requests).await;
    driver.abort();
    result
}

async fn dial_stream(
    shared: &Shared,
    requests: h2::client::SendRequest<Bytes>,
) -> Result<(), Error> {
    let mut requests = timeout(CONNECT, requests.ready()).await??;
    let request = Request::post("http://link/").body(())?;
    let (response, sender) = requests.send_request(request, false)?;
    let response = timeout(CONNECT, response).await??;
    exchange(shared.clone(), sender, response.into_body()).await;
    Ok(())
}

async fn exchange(shared: Shared, mut sender: SendStream<Bytes>, mut receiver: RecvStream) {
    let mut decoder = Decoder::default();
    let first = wire::encode(&Frame::Hello(shared.hello.clone()));
    if write(&mut sender, first.into()).await.is_err() {
        return;
    }
    let Ok(Ok(Some(Frame::Hello(peer)))) =
        timeout(CONNECT, read(&mut receiver, &mut decoder)).await
    else {
        return;
    };
    let (frames, queue) = unbounded_channel();
    let number = link_number();
    let name = peer.name.clone();
    if shared.news.send(News::Up(Link { hello: peer, number, frames })).is_err() {
        return;
    }
    tokio::select! {
        () = write_all(&shared, &mut sender, queue) => {}
        () = read_all(&shared, &name, &mut receiver, &mut decoder) => {}
    }
    let _ = shared.news.send(News::Down { peer: name, number });
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
        // A link that the reducer has no use for at present is kept alive here.
        let frame = match timeout(IDLE, queue.recv()).await {
            Ok(Some(frame)) => frame,
            Ok(None) => return,
            Err(_) => Frame::Idle,
        };
        if queue.len() > MAX_QUEUE {
            log::warn!("link closed: send queue full");
            return;
        }
        let mut bytes = wire::encode(&frame);
        while bytes.len() < GATHER {
            let Ok(frame) = queue.try_recv() else { break };
            bytes.extend(wire::encode(&frame));
        }
        shared.metrics.sent(bytes.len());
        if write(sender, bytes.into()).await.is_err() {
            return;
        }
    }
}

async fn read_all(shared: &Shared, name: &Name, receiver: &mut RecvStream, decoder: &mut Decoder) {
    loop {
        match timeout(SILENCE, read_counted(shared, receiver, decoder)).await {
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
    let before = decoder.taken();
    let frame = read(receiver, decoder).await;
    shared.metrics.received(decoder.taken() - before);
    frame
}

async fn read(receiver: &mut RecvStream, decoder: &mut Decoder) -> Result<Option<Frame>, Error> {
    loop {
        if let Some(frame) = decoder.next_frame()? {
            return Ok(Some(frame));
        }
        let Some(bytes) = receiver.data().await else {
            return Ok(None);
        };
        let bytes = bytes?;
        receiver.flow_control().release_capacity(bytes.len())?;
        decoder.push(&bytes);
    }
}

async fn write(sender: &mut SendStream<Bytes>, mut bytes: Bytes) -> Result<(), Error> {
    while !bytes.is_empty() {
        sender.reserve_capacity(bytes.len());
        let Some(room) = poll_fn(|cx| sender.poll_capacity(cx)).await else {
            return Err("stream closed".into());
        };
        let chunk = bytes.split_to(room?.min(bytes.len()));
        sender.send_data(chunk, false)?;
    }
    Ok(())
}
