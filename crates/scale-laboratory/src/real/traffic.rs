//! A connection that counts its bytes.

use std::io;
use std::ops::{Add, Sub};
use std::pin::Pin;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::task::{Context, Poll};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// Calls and bytes that a stub has seen.
#[derive(Debug, Default)]
pub struct Traffic {
    /// Calls.
    calls: AtomicU64,
    /// Bytes both ways.
    bytes: AtomicU64,
}

/// Calls and bytes at one moment.
#[derive(Clone, Copy, Debug, Default)]
pub struct TrafficCount {
    /// Calls.
    pub calls: u64,
    /// Bytes both ways.
    pub bytes: u64,
}

impl Add for TrafficCount {
    type Output = TrafficCount;

    fn add(self, other: TrafficCount) -> TrafficCount {
        TrafficCount { calls: self.calls + other.calls, bytes: self.bytes + other.bytes }
    }
}

impl Sub for TrafficCount {
    type Output = TrafficCount;

    fn sub(self, earlier: TrafficCount) -> TrafficCount {
        TrafficCount { calls: self.calls - earlier.calls, bytes: self.bytes - earlier.bytes }
    }
}

impl Traffic {
    /// A call came.
    pub fn record_call(&self) {
        self.calls.fetch_add(1, Ordering::Relaxed);
    }

    /// Bytes were read or written.
    fn record_bytes(&self, bytes: usize) {
        self.bytes.fetch_add(bytes as u64, Ordering::Relaxed);
    }

    /// What was counted so far.
    pub fn count(&self) -> TrafficCount {
        TrafficCount { calls: self.calls.load(Ordering::Relaxed), bytes: self.bytes.load(Ordering::Relaxed) }
    }
}

/// A TCP connection whose bytes are counted.
pub struct CountedStream {
    /// The connection.
    pub stream: TcpStream,
    /// Where its bytes are counted.
    pub traffic: Arc<Traffic>,
}

impl AsyncRead for CountedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        let polled = Pin::new(&mut self.stream).poll_read(context, buffer);
        self.traffic.record_bytes(buffer.filled().len() - before);
        polled
    }
}

impl AsyncWrite for CountedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        data: &[u8],
    ) -> Poll<io::Result<usize>> {
        let polled = Pin::new(&mut self.stream).poll_write(context, data);
        if let Poll::Ready(Ok(written)) = &polled {
            self.traffic.record_bytes(*written);
        }
        polled
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
