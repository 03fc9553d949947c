//! A limit on the bytes of a connection that belong to neither a head nor a body.
//!
//! A peer may send an endless sequence of bytes that never completes what a parser waits for: digits of a chunk size,
//! header lines, interim responses. The parser accepts them as they arrive, so one such connection would keep the
//! thread busy and no time-out of its own would end it. [`Socket`] counts the bytes read and [`Counted`] the bytes that
//! became part of a message; a connection with too many unparsed bytes fails.

use std::io::{Error, ErrorKind, Result};
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::task::{Context, Poll};

use bytes::{Buf, Bytes};
use http::Request;
use http_body::{Frame, SizeHint};
use hyper::body::Incoming;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// Largest buffer of a parser in bytes, which limits the size of a head.
pub const BUFFER: usize = 64 << 10;
/// Maximum number of unparsed bytes: a parser's buffer, the frames on their way to a reader, and as much again.
const MAX_UNPARSED: u64 = 4 * BUFFER as u64;
/// Framing bytes per body frame: a chunk size, a short extension and line ends.
const FRAMING: u64 = 64;

/// Numbers of bytes of a connection.
#[derive(Debug, Default)]
struct Counts {
    /// Read and not yet part of a message.
    unparsed: AtomicU64,
    /// Written in all.
    written: AtomicU64,
}

/// Counts the bytes of a connection.
#[derive(Clone, Debug, Default)]
pub struct Meter(Arc<Counts>);

impl Meter {
    /// Records a parsed head.
    pub fn record_head(&self) {
        self.0.unparsed.store(0, Ordering::Relaxed);
    }

    /// Counts the body of a request whose head was parsed.
    pub fn request(&self, request: Request<Incoming>) -> Request<Counted> {
        request.map(|body| Counted::new(body, self.clone()))
    }

    /// Records a parsed body frame.
    fn record_frame(&self, bytes: usize) {
        let unparsed = &self.0.unparsed;
        let remaining = unparsed.load(Ordering::Relaxed).saturating_sub(bytes as u64 + FRAMING);
        unparsed.store(remaining, Ordering::Relaxed);
    }

    fn record_read(&self, bytes: usize) -> Result<()> {
        let before = self.0.unparsed.fetch_add(bytes as u64, Ordering::Relaxed);
        if before + bytes as u64 > MAX_UNPARSED {
            return Err(Error::new(ErrorKind::InvalidData, "too many unparsed bytes"));
        }
        Ok(())
    }

    /// Number of bytes written to the connection.
    pub fn written(&self) -> u64 {
        self.0.written.load(Ordering::Relaxed)
    }

    fn record_write(&self, written: &Poll<Result<usize>>) {
        if let Poll::Ready(Ok(bytes)) = written {
            self.0.written.fetch_add(*bytes as u64, Ordering::Relaxed);
        }
    }
}

/// A connection whose bytes are counted.
#[derive(Debug)]
pub struct Socket {
    stream: TcpStream,
    meter: Meter,
}

impl Socket {
    /// Counts the bytes of a connection.
    pub fn new(stream: TcpStream, meter: Meter) -> Self {
        Self { stream, meter }
    }
}

impl AsyncRead for Socket {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<Result<()>> {
        let this = self.get_mut();
        let before = buf.filled().len();
        let polled = Pin::new(&mut this.stream).poll_read(cx, buf);
        let bytes = buf.filled().len() - before;
        polled.map(|result| result.and_then(|()| this.meter.record_read(bytes)))
    }
}

impl AsyncWrite for Socket {
    fn poll_write(self: Pin<&mut Self>, cx: &mut Context<'_>, bytes: &[u8]) -> Poll<Result<usize>> {
        let this = self.get_mut();
        let written = Pin::new(&mut this.stream).poll_write(cx, bytes);
        this.meter.record_write(&written);
        written
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        slices: &[std::io::IoSlice<'_>],
    ) -> Poll<Result<usize>> {
        let this = self.get_mut();
        let written = Pin::new(&mut this.stream).poll_write_vectored(cx, slices);
        this.meter.record_write(&written);
        written
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Result<()>> {
        Pin::new(&mut self.get_mut().stream).poll_flush(cx)
    }

    fn poll_shutdown(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Result<()>> {
        Pin::new(&mut self.get_mut().stream).poll_shutdown(cx)
    }
}

/// A body whose frames are counted.
#[derive(Debug)]
pub struct Counted {
    incoming: Incoming,
    meter: Meter,
}

impl Counted {
    /// The body of a message whose head was parsed.
    pub fn new(incoming: Incoming, meter: Meter) -> Self {
        meter.record_head();
        Self { incoming, meter }
    }
}

impl http_body::Body for Counted {
    type Data = Bytes;
    type Error = hyper::Error;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<std::result::Result<Frame<Bytes>, hyper::Error>>> {
        let this = self.get_mut();
        let polled = Pin::new(&mut this.incoming).poll_frame(cx);
        if let Poll::Ready(Some(Ok(frame))) = &polled
            && let Some(data) = frame.data_ref()
        {
            this.meter.record_frame(data.remaining());
        }
        polled
    }

    fn is_end_stream(&self) -> bool {
        self.incoming.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.incoming.size_hint()
    }
}
