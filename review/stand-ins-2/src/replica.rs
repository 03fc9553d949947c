//! A replica of a plain service, and what it saw.

use std::io::{self, BufReader, ErrorKind, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{self, Request};
use crate::system::{Network, Unable};

/// A request as it arrived.
#[derive(Clone)]
pub struct Arrival {
    pub path: String,
    pub headers: Vec<(String, String)>,
}

impl Arrival {
    pub fn header(&self, name: &str) -> &str {
        let mut found = self.headers.iter().filter(|(known, _)| known.eq_ignore_ascii_case(name));
        found.next().map_or("", |(_, value)| value)
    }

    pub fn id(&self) -> &str {
        self.header("x-tamarackbank-request-id")
    }
}

/// Writes an answer; an error ends the connection.
type Respond = dyn Fn(&Replica, &Request, &mut TcpStream) -> io::Result<()> + Send + Sync;

#[derive(Clone)]
pub struct Replica {
    pub id: String,
    pub service: String,
    pub addr: SocketAddr,
    pub zone: String,
    pub software: String,
    pub slots: u32,
    ended: Arc<AtomicBool>,
    open: Arc<Mutex<Vec<TcpStream>>>,
    arrivals: Arc<Mutex<Vec<Arrival>>>,
    respond: Arc<Respond>,
}

impl Replica {
    pub fn start(
        network: &Network,
        number: u8,
        (id, service, zone): (&str, &str, &str),
        respond: impl Fn(&Self, &Request, &mut TcpStream) -> io::Result<()> + Send + Sync + 'static,
    ) -> Result<Self, Unable> {
        let addr = SocketAddr::new(network.ip(number), 0);
        Self::start_at(addr, (id, service, zone), "v1", respond)
    }

    /// Starts a replica of a software version at an address, which an earlier one may have had.
    pub fn start_at(
        addr: SocketAddr,
        (id, service, zone): (&str, &str, &str),
        software: &str,
        respond: impl Fn(&Self, &Request, &mut TcpStream) -> io::Result<()> + Send + Sync + 'static,
    ) -> Result<Self, Unable> {
        let end = Instant::now() + Duration::from_secs(2);
        let listener = loop {
            match TcpListener::bind(addr) {
                Ok(listener) => break listener,
                // The port of an earlier replica may not be closed yet.
                Err(_) if Instant::now() < end => thread::sleep(Duration::from_millis(5)),
                Err(error) => return Err(error.into()),
            }
        };
        listener.set_nonblocking(true)?;
        let replica = Self {
            id: id.to_owned(),
            service: service.to_owned(),
            addr: listener.local_addr()?,
            zone: zone.to_owned(),
            software: software.to_owned(),
            slots: 8,
            ended: Arc::default(),
            open: Arc::default(),
            arrivals: Arc::default(),
            respond: Arc::new(respond),
        };
        let serving = replica.clone();
        thread::spawn(move || serving.accept(&listener));
        Ok(replica)
    }

    fn accept(&self, listener: &TcpListener) {
        while !self.ended.load(Ordering::SeqCst) {
            match listener.accept() {
                Ok((socket, _)) => {
                    let replica = self.clone();
                    thread::spawn(move || replica.connection(socket));
                }
                Err(error) if error.kind() == ErrorKind::WouldBlock => {
                    thread::sleep(Duration::from_millis(2));
                }
                Err(_) => return,
            }
        }
    }

    fn connection(&self, socket: TcpStream) {
        let _ = socket.set_nonblocking(false);
        let _ = socket.set_nodelay(true);
        let (Ok(mut writer), Ok(kept)) = (socket.try_clone(), socket.try_clone()) else { return };
        self.open.lock().unwrap().push(kept);
        let mut reader = BufReader::new(socket);
        while let Some(request) = http::read_request(&mut reader) {
            if self.handle(&request, &mut writer).is_err() {
                break;
            }
        }
        let _ = writer.shutdown(Shutdown::Both);
    }

    fn handle(&self, request: &Request, writer: &mut TcpStream) -> io::Result<()> {
        if request.path == "/healthz" {
            let headers = [("X-Tamarackbank-Instance-Id", self.id.as_str())];
            return writer.write_all(&http::answer(200, &headers, b""));
        }
        if request.header("x-tamarackbank-expect-instance").is_some_and(|id| id != self.id) {
            let headers = [("X-Tamarackbank-Not-Executed", "1")];
            return writer.write_all(&http::answer(421, &headers, b""));
        }
        if !request.path.starts_with("/v1/") {
            self.arrivals
                .lock()
                .unwrap()
                .push(Arrival { path: request.path.clone(), headers: request.headers.clone() });
        }
        (self.respond)(self, request, writer)
    }

    /// A complete answer with what identifies it.
    pub fn answer(
        &self,
        request: &Request,
        status: u16,
        more: &[(&str, &str)],
        body: &[u8],
    ) -> Vec<u8> {
        let id = request.header("x-tamarackbank-request-id").unwrap_or_default();
        let signature = format!("{}.{id}", self.id);
        let mut headers = vec![
            ("X-Tamarackbank-Request-Id", id),
            ("X-Tamarackbank-Server-Signature", signature.as_str()),
        ];
        headers.extend(more);
        http::answer(status, &headers, body)
    }

    pub fn arrivals(&self) -> Vec<Arrival> {
        self.arrivals.lock().unwrap().clone()
    }

    /// Has what an earlier replica at this place saw among its arrivals.
    pub fn keep_arrivals_of(&self, earlier: &Self) {
        let before = earlier.arrivals();
        self.arrivals.lock().unwrap().splice(0..0, before);
    }

    pub fn has_ended(&self) -> bool {
        self.ended.load(Ordering::SeqCst)
    }

    /// Ends: closes its port and all connections.
    pub fn end(&self) {
        self.ended.store(true, Ordering::SeqCst);
        thread::sleep(Duration::from_millis(10));
        for socket in self.open.lock().unwrap().drain(..) {
            let _ = socket.shutdown(Shutdown::Both);
        }
    }

    /// Its entry in the platform's list.
    pub fn entry(&self, state: &str, born_ms: u64, models: &str) -> Vec<u8> {
        format!(
            "{{\"id\":\"{}\",\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"{}\",\"version\":\"{}\",\
             \"slots\":{},\"state\":\"{state}\",\"coldLeftMs\":0,\"born\":{born_ms},\
             \"stage\":\"colocated\",\"models\":[{models}]}}",
            self.id, self.service, self.addr, self.zone, self.software, self.slots
        )
        .into_bytes()
    }
}
