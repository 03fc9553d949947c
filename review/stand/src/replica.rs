//! A sound server of a plain service: it runs a request that names it, and says 421 to others.

use std::io::{BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use crate::http::{Request, read_request};
use crate::record::Record;

/// A request that a server has run.
#[derive(Clone, Debug)]
pub struct Run {
    pub at_ms: u64,
    pub request: Request,
}

impl Run {
    pub fn id(&self) -> &str {
        self.request.header("x-tamarackbank-request-id").unwrap_or_default()
    }
}

#[derive(Clone)]
pub struct Replica {
    pub id: String,
    pub service: String,
    pub addr: SocketAddr,
    pub zone: String,
    /// Unix millisecond of its start.
    born: u64,
    leaving: Arc<AtomicBool>,
    ended: Arc<AtomicBool>,
    /// Time of a run.
    work: Duration,
    sockets: Arc<Mutex<Vec<TcpStream>>>,
    runs: Arc<Mutex<Vec<Run>>>,
    record: Record,
}

impl Replica {
    pub fn start(id: &str, service: &str, zone: &str, record: &Record) -> std::io::Result<Self> {
        Self::start_working(id, service, zone, 30, record)
    }

    /// Starts a server whose runs take this long.
    pub fn start_working(
        id: &str,
        service: &str,
        zone: &str,
        work_ms: u64,
        record: &Record,
    ) -> std::io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let replica = Self {
            id: id.to_owned(),
            service: service.to_owned(),
            addr: listener.local_addr()?,
            zone: zone.to_owned(),
            born: crate::unix_ms(),
            leaving: Arc::default(),
            ended: Arc::default(),
            work: Duration::from_millis(work_ms),
            sockets: Arc::default(),
            runs: Arc::default(),
            record: record.clone(),
        };
        Ok(replica.serve(listener))
    }

    fn serve(self, listener: TcpListener) -> Self {
        let own = self.clone();
        std::thread::spawn(move || {
            for socket in listener.incoming().flatten() {
                let own = own.clone();
                std::thread::spawn(move || own.connection(socket));
            }
        });
        self
    }

    /// Its own entry in the platform's list.
    pub fn entry(&self) -> Vec<u8> {
        let state = if self.is_leaving() { "draining" } else { "ready" };
        format!(
            "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"{}\",\"version\":\"v1\",\"slots\":8,\
             \"state\":\"{state}\",\"coldLeftMs\":0,\"id\":\"{}\",\"born\":{}}}",
            self.service, self.addr, self.zone, self.id, self.born
        )
        .into_bytes()
    }

    /// Says from now on that it leaves, in its answers and in its entry.
    pub fn leave(&self) {
        self.leaving.store(true, Ordering::SeqCst);
        self.record.line(&format!("server {} leaves", self.id));
    }

    /// Ends: its connections are closed, and it accepts none any more.
    pub fn end(&self) {
        self.ended.store(true, Ordering::SeqCst);
        for socket in self.sockets.lock().expect("the sockets").drain(..) {
            let _ = socket.shutdown(Shutdown::Both);
        }
        self.record.line(&format!("server {} has ended", self.id));
    }

    /// Whether it has ended.
    pub fn has_ended(&self) -> bool {
        self.ended.load(Ordering::SeqCst)
    }

    pub fn is_leaving(&self) -> bool {
        self.leaving.load(Ordering::SeqCst)
    }

    pub fn runs(&self) -> Vec<Run> {
        self.runs.lock().expect("the runs").clone()
    }

    fn connection(&self, socket: TcpStream) {
        let (Ok(mut writer), Ok(kept)) = (socket.try_clone(), socket.try_clone()) else { return };
        if self.has_ended() {
            return;
        }
        self.sockets.lock().expect("the sockets").push(kept);
        let _ = writer.set_nodelay(true);
        let mut reader = BufReader::new(socket);
        while let Some(request) = read_request(&mut reader) {
            if writer.write_all(self.answer(request).as_bytes()).is_err() {
                return;
            }
        }
    }

    fn answer(&self, request: Request) -> String {
        let id = request.header("x-tamarackbank-request-id").unwrap_or_default().to_owned();
        let leaving = if self.is_leaving() { "Server-Leaving: 1\r\n" } else { "" };
        let expected = request.header("x-tamarackbank-expect-instance");
        if expected.is_some_and(|expected| expected != self.id) {
            self.record.line(&format!("server {} answers 421 to {id}", self.id));
            return format!(
                "HTTP/1.1 421 Misdirected\r\nX-Tamarackbank-Request-Id: {id}\r\n\
                 X-Tamarackbank-Not-Executed: 1\r\n{leaving}Content-Length: 0\r\n\r\n"
            );
        }
        let tenant = request.header("x-tamarackbank-tenant").unwrap_or("none").to_owned();
        self.record.line(&format!(
            "server {} of service {} runs {} {} id {id}, tenant {tenant}",
            self.id, self.service, request.method, request.path
        ));
        let body = format!("{} by {}", request.path, self.id);
        let at_ms = self.record.now_ms();
        self.runs.lock().expect("the runs").push(Run { at_ms, request });
        std::thread::sleep(self.work);
        format!(
            "HTTP/1.1 200 OK\r\nX-Tamarackbank-Request-Id: {id}\r\n\
             X-Tamarackbank-Server-Signature: signed.{}\r\n{leaving}Content-Length: {}\r\n\r\n{body}",
            self.id,
            body.len()
        )
    }
}
