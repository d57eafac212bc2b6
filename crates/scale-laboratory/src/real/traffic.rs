//! Counts of the calls and bytes of stubs, and a TCP connection that counts its bytes.

use std::io;
use std::ops::{Add, Sub};
use std::pin::Pin;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::task::{Context, Poll};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// Counters of a stub's calls and bytes, updated by all its connections.
#[derive(Debug, Default)]
pub struct Traffic {
    calls: AtomicU64,
    /// Bytes in both directions.
    bytes: AtomicU64,
}

/// Number of calls and bytes up to one moment, or between two.
#[derive(Clone, Copy, Debug, Default)]
pub struct TrafficTotals {
    /// Number of calls.
    pub calls: u64,
    /// Bytes in both directions.
    pub bytes: u64,
}

impl Add for TrafficTotals {
    type Output = TrafficTotals;

    fn add(self, other: TrafficTotals) -> TrafficTotals {
        TrafficTotals { calls: self.calls + other.calls, bytes: self.bytes + other.bytes }
    }
}

impl Sub for TrafficTotals {
    type Output = TrafficTotals;

    fn sub(self, earlier: TrafficTotals) -> TrafficTotals {
        TrafficTotals { calls: self.calls - earlier.calls, bytes: self.bytes - earlier.bytes }
    }
}

impl Traffic {
    /// Counts a received call.
    pub fn record_call(&self) {
        self.calls.fetch_add(1, Ordering::Relaxed);
    }

    /// Counts bytes read or written.
    fn record_bytes(&self, bytes: usize) {
        self.bytes.fetch_add(bytes as u64, Ordering::Relaxed);
    }

    /// Returns the calls and bytes counted so far.
    pub fn totals(&self) -> TrafficTotals {
        TrafficTotals { calls: self.calls.load(Ordering::Relaxed), bytes: self.bytes.load(Ordering::Relaxed) }
    }
}

/// A TCP connection that counts its bytes.
pub struct CountedStream {
    /// Underlying TCP connection.
    pub stream: TcpStream,
    /// Counters to which the bytes are added.
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
