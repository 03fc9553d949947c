//! As much of HTTP/1.1 as the stand-ins need.

use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// A request as a server read it.
#[derive(Clone, Debug, Default)]
pub struct Request {
    pub method: String,
    pub path: String,
    /// Names in lower case.
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Request {
    pub fn header(&self, name: &str) -> Option<&str> {
        find(&self.headers, name)
    }
}

/// An answer as a client read it.
#[derive(Clone, Debug, Default)]
pub struct Answer {
    /// 0 if there was none.
    pub status: u16,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    /// Whether the body came to its end.
    pub complete: bool,
}

impl Answer {
    pub fn header(&self, name: &str) -> Option<&str> {
        find(&self.headers, name)
    }

    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

fn find<'a>(headers: &'a [(String, String)], name: &str) -> Option<&'a str> {
    headers.iter().find(|(found, _)| found == name).map(|(_, value)| value.as_str())
}

fn line(reader: &mut impl BufRead) -> Option<String> {
    let mut bytes = Vec::new();
    let count = reader.read_until(b'\n', &mut bytes).ok()?;
    (count > 0).then(|| String::from_utf8_lossy(&bytes).trim_end().to_owned())
}

fn head(reader: &mut impl BufRead) -> Option<Vec<(String, String)>> {
    let mut headers = Vec::new();
    loop {
        let text = line(reader)?;
        if text.is_empty() {
            return Some(headers);
        }
        let (name, value) = text.split_once(':')?;
        headers.push((name.trim().to_ascii_lowercase(), value.trim().to_owned()));
    }
}

/// Reads a request; none at the end of the connection.
pub fn read_request(reader: &mut impl BufRead) -> Option<Request> {
    let first = line(reader)?;
    let mut words = first.split(' ');
    let (method, path) = (words.next()?.to_owned(), words.next()?.to_owned());
    let headers = head(reader)?;
    let length = find(&headers, "content-length").and_then(|text| text.parse().ok()).unwrap_or(0);
    let mut body = vec![0; length];
    reader.read_exact(&mut body).ok()?;
    Some(Request { method, path, headers, body })
}

/// Writes a request.
pub fn write_request(
    socket: &mut TcpStream,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &[u8],
) -> std::io::Result<()> {
    let mut text = format!("{method} {path} HTTP/1.1\r\nContent-Length: {}\r\n", body.len());
    if !headers.iter().any(|(name, _)| name.eq_ignore_ascii_case("host")) {
        text.push_str("Host: here\r\n");
    }
    for (name, value) in headers {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    text.push_str("\r\n");
    let mut bytes = text.into_bytes();
    bytes.extend_from_slice(body);
    socket.write_all(&bytes)
}

/// Reads an answer.
pub fn read_answer(reader: &mut impl BufRead) -> Answer {
    let mut answer = Answer::default();
    let Some(first) = line(reader) else { return answer };
    answer.status = first.split(' ').nth(1).and_then(|word| word.parse().ok()).unwrap_or(0);
    let Some(headers) = head(reader) else { return answer };
    answer.headers = headers;
    if answer.header("transfer-encoding").is_some_and(|value| value.contains("chunked")) {
        answer.complete = read_chunks(reader, &mut answer.body);
    } else if let Some(length) = answer.header("content-length").and_then(|text| text.parse().ok())
    {
        let mut body = vec![0; length];
        answer.complete = reader.read_exact(&mut body).is_ok();
        answer.body = body;
    } else {
        answer.complete = reader.read_to_end(&mut answer.body).is_ok();
    }
    answer
}

fn read_chunks(reader: &mut impl BufRead, body: &mut Vec<u8>) -> bool {
    loop {
        let Some(size) = line(reader).and_then(|text| usize::from_str_radix(&text, 16).ok()) else {
            return false;
        };
        let mut chunk = vec![0; size + 2];
        if reader.read_exact(&mut chunk).is_err() {
            return false;
        }
        body.extend_from_slice(&chunk[..size]);
        if size == 0 {
            return true;
        }
    }
}

/// Sends one request on a connection of its own and waits for the answer.
pub fn call(
    addr: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &[u8],
    wait: Duration,
) -> Answer {
    let Ok(mut socket) = TcpStream::connect_timeout(&addr, Duration::from_secs(1)) else {
        return Answer::default();
    };
    let _ = socket.set_read_timeout(Some(wait));
    let _ = socket.set_nodelay(true);
    if write_request(&mut socket, method, path, headers, body).is_err() {
        return Answer::default();
    }
    read_answer(&mut BufReader::new(socket))
}
