//! The platform's list of servers. It serves the bytes that a case sets.

use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Mutex};

use crate::http::read_request;

#[derive(Clone)]
pub struct List {
    pub addr: SocketAddr,
    entries: Arc<Mutex<Vec<Vec<u8>>>>,
}

impl List {
    pub fn start() -> std::io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let addr = listener.local_addr()?;
        let entries: Arc<Mutex<Vec<Vec<u8>>>> = Arc::default();
        let shown = entries.clone();
        std::thread::spawn(move || {
            for socket in listener.incoming().flatten() {
                let shown = shown.clone();
                std::thread::spawn(move || {
                    let Ok(mut writer) = socket.try_clone() else { return };
                    let mut reader = BufReader::new(socket);
                    while read_request(&mut reader).is_some() {
                        let mut body = b"{\"instances\":[".to_vec();
                        body.extend(shown.lock().expect("the list").join(&b','));
                        body.extend(b"],\"next\":null}");
                        let head = format!(
                            "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
                            body.len()
                        );
                        if writer.write_all(&[head.as_bytes(), &body].concat()).is_err() {
                            return;
                        }
                    }
                });
            }
        });
        Ok(Self { addr, entries })
    }

    /// Replaces the entries, each of them a JSON object.
    pub fn show(&self, entries: Vec<Vec<u8>>) {
        *self.entries.lock().expect("the list") = entries;
    }
}
