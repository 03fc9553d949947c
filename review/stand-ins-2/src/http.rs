//! Minimal HTTP/1.1 over blocking sockets: the exact bytes on the wire are visible to a case.

use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::thread;
use std::time::Duration;

pub struct Request {
    pub path: String,
    pub headers: Vec<(String, String)>,
}

impl Request {
    pub fn header(&self, name: &str) -> Option<&str> {
        find(&self.headers, name)
    }
}

#[derive(Default)]
pub struct Answer {
    /// 0: no answer, or one that can't be read.
    pub status: u16,
    pub body: Vec<u8>,
    pub complete: bool,
}

fn find<'a>(headers: &'a [(String, String)], name: &str) -> Option<&'a str> {
    let mut found = headers.iter().filter(|(known, _)| known.eq_ignore_ascii_case(name));
    found.next().map(|(_, value)| value.as_str())
}

fn line(reader: &mut impl BufRead) -> Option<String> {
    let mut text = Vec::new();
    let count = reader.read_until(b'\n', &mut text).ok()?;
    (count > 0).then(|| String::from_utf8_lossy(&text).trim_end().to_owned())
}

fn head(reader: &mut impl BufRead) -> Option<Vec<(String, String)>> {
    let mut headers = Vec::new();
    loop {
        let text = line(reader)?;
        if text.is_empty() {
            return Some(headers);
        }
        let (name, value) = text.split_once(':')?;
        headers.push((name.trim().to_owned(), value.trim().to_owned()));
    }
}

/// Reads a body; the flag tells whether it is complete.
fn body(reader: &mut impl BufRead, headers: &[(String, String)], to_end: bool) -> (Vec<u8>, bool) {
    let mut bytes = Vec::new();
    if find(headers, "transfer-encoding").is_some_and(|value| value.eq_ignore_ascii_case("chunked"))
    {
        loop {
            let size = line(reader).and_then(|text| usize::from_str_radix(&text, 16).ok());
            let Some(size) = size else { return (bytes, false) };
            let mut chunk = vec![0; size + 2];
            if reader.read_exact(&mut chunk).is_err() {
                return (bytes, false);
            }
            bytes.extend(&chunk[..size]);
            if size == 0 {
                return (bytes, true);
            }
        }
    }
    match find(headers, "content-length").and_then(|text| text.parse::<usize>().ok()) {
        Some(length) => {
            bytes.resize(length, 0);
            let complete = reader.read_exact(&mut bytes).is_ok();
            (bytes, complete)
        }
        None if to_end => {
            let complete = reader.read_to_end(&mut bytes).is_ok();
            (bytes, complete)
        }
        None => (bytes, true),
    }
}

pub fn read_request(reader: &mut impl BufRead) -> Option<Request> {
    let first = line(reader)?;
    let mut words = first.split(' ');
    let _method = words.next()?;
    let path = words.next()?.to_owned();
    let headers = head(reader)?;
    let (_, complete) = body(reader, &headers, false);
    complete.then_some(Request { path, headers })
}

/// One call on a connection of its own.
pub fn call(addr: SocketAddr, request: &[u8], time: Duration) -> Answer {
    let Ok(mut socket) = TcpStream::connect_timeout(&addr, Duration::from_secs(1)) else {
        return Answer::default();
    };
    let _ = socket.set_nodelay(true);
    if socket.set_read_timeout(Some(time)).is_err() || socket.write_all(request).is_err() {
        return Answer::default();
    }
    let mut reader = BufReader::new(socket);
    let Some(first) = line(&mut reader) else { return Answer::default() };
    let status = first.split(' ').nth(1).and_then(|word| word.parse().ok()).unwrap_or(0);
    let Some(headers) = head(&mut reader) else { return Answer::default() };
    let (body, complete) = body(&mut reader, &headers, true);
    Answer { status, body, complete }
}

/// Text of a request with a body of known length.
pub fn request(method: &str, path: &str, headers: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let mut text = format!("{method} {path} HTTP/1.1\r\nContent-Length: {}\r\n", body.len());
    for (name, value) in headers {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    text.push_str("\r\n");
    [text.as_bytes(), body].concat()
}

/// Text of an answer with a body of known length.
pub fn answer(status: u16, headers: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let mut text = format!("HTTP/1.1 {status} Status\r\nContent-Length: {}\r\n", body.len());
    for (name, value) in headers {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    text.push_str("\r\n");
    [text.as_bytes(), body].concat()
}

/// Serves requests; the handler's bytes are written as they are, none end the connection.
pub fn serve(
    listener: TcpListener,
    handle: impl Fn(&Request) -> Option<Vec<u8>> + Clone + Send + 'static,
) {
    thread::spawn(move || {
        for socket in listener.incoming().flatten() {
            let handle = handle.clone();
            thread::spawn(move || {
                let _ = socket.set_nodelay(true);
                let Ok(mut writer) = socket.try_clone() else { return };
                let mut reader = BufReader::new(socket);
                while let Some(request) = read_request(&mut reader) {
                    let Some(bytes) = handle(&request) else { return };
                    if writer.write_all(&bytes).is_err() {
                        return;
                    }
                }
            });
        }
    });
}
