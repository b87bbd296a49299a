//! A connection to a server, the store or a peer: what is read from it is bounded, and what it has not delivered is
//! discarded when it closes.

use std::{
    io,
    mem::MaybeUninit,
    pin::Pin,
    sync::{
        Arc, Mutex, MutexGuard, PoisonError, Weak,
        atomic::{AtomicU64, Ordering},
    },
    task::{Context, Poll, ready},
    time::Duration,
};

use bulrushward_net::{has_segments_in_flight, quiet_time, unacknowledged_bytes};
use bulrushward_policy::{delivery::SendQueue, receive_allowance::ReceiveAllowance};
use socket2::SockRef;
use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::TcpStream,
};

/// Largest number of bytes that is read at once, so that little is read ahead of the content.
const MAX_READ_BYTES: usize = 16 << 10;

/// A stream that fails once its peer has sent more than its allowance, and that is reset when it closes.
///
/// The reset discards what is still to be delivered, also if the process is killed.
#[derive(Debug)]
pub(crate) struct BoundedStream {
    stream: Arc<TcpStream>,
    shared: Arc<StreamState>,
}

/// State that a stream and its handles share.
#[derive(Debug, Default)]
struct StreamState {
    allowance: Mutex<ReceiveAllowance>,
    /// Bytes written since the current exchange began.
    written: AtomicU64,
}

/// The allowance and the socket of a [`BoundedStream`], which it does not keep open.
#[derive(Clone, Debug)]
pub(crate) struct BoundedStreamHandle {
    stream: Weak<TcpStream>,
    shared: Arc<StreamState>,
}

impl BoundedStream {
    /// Wraps a connection.
    ///
    /// # Errors
    ///
    /// Returns the system's error if the connection cannot be set to be reset when it closes.
    pub(crate) fn new(stream: TcpStream) -> io::Result<(Self, BoundedStreamHandle)> {
        SockRef::from(&stream).set_linger(Some(Duration::ZERO))?;
        let stream = Self {
            stream: Arc::new(stream),
            shared: Arc::default(),
        };
        let handle = BoundedStreamHandle {
            stream: Arc::downgrade(&stream.stream),
            shared: Arc::clone(&stream.shared),
        };
        Ok((stream, handle))
    }
}

impl BoundedStreamHandle {
    /// Locks the allowance.
    pub(crate) fn allowance(&self) -> MutexGuard<'_, ReceiveAllowance> {
        self.shared.allowance()
    }

    /// Begins to count what is written and read for a request.
    pub(crate) fn begin_exchange(&self) {
        self.shared.written.store(0, Ordering::Relaxed);
        self.allowance().begin();
    }

    /// Returns what is written and not delivered of the request that was begun last.
    ///
    /// # Errors
    ///
    /// Returns an error if the connection is closed.
    pub(crate) fn send_queue(&self) -> io::Result<SendQueue> {
        let stream = self.stream.upgrade().ok_or(io::ErrorKind::NotConnected)?;
        // Read first, as it grows meanwhile.
        let written = self.shared.written.load(Ordering::Relaxed);
        let unacknowledged = unacknowledged_bytes(&*stream)? as u64;
        Ok(SendQueue {
            written,
            unacknowledged,
            is_in_flight: unacknowledged > 0 && has_segments_in_flight(&*stream)?,
        })
    }

    /// Makes the connection deliver what was written when it closes, instead of being reset.
    pub(crate) fn close_in_order(&self) {
        if let Some(stream) = self.stream.upgrade() {
            // A closed connection cannot be changed any more.
            let _closed = SockRef::from(&*stream).set_linger(None);
        }
    }

    /// Returns for how long no data has arrived, or `None` if a side has closed the connection, whatever was read of it.
    pub(crate) fn quiet_time(&self) -> Option<Duration> {
        quiet_time(&*self.stream.upgrade()?).ok()?
    }

    /// Returns whether data has arrived that was not read.
    fn has_unread(&self) -> bool {
        let Some(stream) = self.stream.upgrade() else {
            return false;
        };
        let peeked = SockRef::from(&*stream).peek(&mut [MaybeUninit::uninit()]);
        !peeked.is_err_and(|error| error.kind() == io::ErrorKind::WouldBlock)
    }

    /// Returns whether the peer has had nothing to deliver for some `time` and has not closed the connection.
    ///
    /// While data arrives or waits, the close of a peer that has ended may be queued behind it.
    pub(crate) fn is_idle_for(&self, time: Duration) -> bool {
        self.quiet_time().is_some_and(|quiet| quiet >= time) && !self.has_unread()
    }

    /// Returns whether the connection is open, all that was written was acknowledged, and all that has arrived was read.
    pub(crate) fn is_quiet(&self) -> bool {
        let Some(stream) = self.stream.upgrade() else {
            return false;
        };
        let peeked = SockRef::from(&*stream).peek(&mut [MaybeUninit::uninit()]);
        peeked.is_err_and(|error| error.kind() == io::ErrorKind::WouldBlock)
            && unacknowledged_bytes(&*stream).is_ok_and(|bytes| bytes == 0)
    }
}

impl StreamState {
    fn allowance(&self) -> MutexGuard<'_, ReceiveAllowance> {
        self.allowance
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}

impl AsyncRead for BoundedStream {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        loop {
            ready!(self.stream.poll_read_ready(cx))?;
            let len = buf.remaining().min(MAX_READ_BYTES);
            match self.stream.try_read(buf.initialize_unfilled_to(len)) {
                Ok(len) => {
                    buf.advance(len);
                    return Poll::Ready(if self.shared.allowance().receive(len) {
                        Ok(())
                    } else {
                        Err(io::Error::new(
                            io::ErrorKind::InvalidData,
                            "too many bytes that are no content",
                        ))
                    });
                }
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                Err(error) => return Poll::Ready(Err(error)),
            }
        }
    }
}

impl AsyncWrite for BoundedStream {
    fn poll_write(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.poll_write_with(cx, |stream| stream.try_write(buf))
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.poll_write_with(cx, |stream| stream.try_write_vectored(bufs))
    }

    fn is_write_vectored(&self) -> bool {
        true
    }

    fn poll_flush(self: Pin<&mut Self>, _cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    /// Does nothing, as the socket is closed right after it, in order or by a reset.
    fn poll_shutdown(self: Pin<&mut Self>, _cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }
}

impl BoundedStream {
    fn poll_write_with(
        &self,
        cx: &mut Context<'_>,
        write: impl Fn(&TcpStream) -> io::Result<usize>,
    ) -> Poll<io::Result<usize>> {
        loop {
            ready!(self.stream.poll_write_ready(cx))?;
            match write(&self.stream) {
                Ok(len) => {
                    self.shared.written.fetch_add(len as u64, Ordering::Relaxed);
                    return Poll::Ready(Ok(len));
                }
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                Err(error) => return Poll::Ready(Err(error)),
            }
        }
    }
}
