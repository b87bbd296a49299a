//! What a TCP connection has still to deliver, as the operating system knows it.

use std::{
    io,
    os::fd::{AsFd, AsRawFd},
    time::Duration,
};

/// State of an open connection in `tcp_info`.
const TCP_ESTABLISHED: u8 = 1;

/// Returns the number of bytes that were written to a connection and that its peer has not acknowledged.
///
/// # Errors
///
/// Returns the system's error if the descriptor is not that of a TCP socket.
pub fn unacknowledged_bytes(socket: &impl AsFd) -> io::Result<usize> {
    let mut bytes: libc::c_int = 0;
    // SAFETY: the descriptor is open while it is borrowed, and TIOCOUTQ writes one int.
    let result = unsafe { libc::ioctl(socket.as_fd().as_raw_fd(), libc::TIOCOUTQ, &raw mut bytes) };
    if result < 0 {
        return Err(io::Error::last_os_error());
    }
    Ok(usize::try_from(bytes).unwrap_or(0))
}

/// Returns whether segments were sent to which no acknowledgement has arrived.
///
/// Bytes that wait only because the peer does not read are not in flight.
///
/// # Errors
///
/// Returns the system's error if the descriptor is not that of a TCP socket.
pub fn has_segments_in_flight(socket: &impl AsFd) -> io::Result<bool> {
    Ok(tcp_info(socket)?.tcpi_unacked > 0)
}

/// Returns for how long no data has arrived on a connection, or `None` if a side has closed or reset it.
///
/// # Errors
///
/// Returns the system's error if the descriptor is not that of a TCP socket.
pub fn quiet_time(socket: &impl AsFd) -> io::Result<Option<Duration>> {
    let info = tcp_info(socket)?;
    let quiet = Duration::from_millis(info.tcpi_last_data_recv.into());
    Ok((info.tcpi_state == TCP_ESTABLISHED).then_some(quiet))
}

fn tcp_info(socket: &impl AsFd) -> io::Result<libc::tcp_info> {
    let mut info = std::mem::MaybeUninit::<libc::tcp_info>::zeroed();
    let mut len = size_of::<libc::tcp_info>() as libc::socklen_t;
    // SAFETY: the descriptor is open while it is borrowed, and the system writes at most `len` bytes.
    let result = unsafe {
        libc::getsockopt(
            socket.as_fd().as_raw_fd(),
            libc::IPPROTO_TCP,
            libc::TCP_INFO,
            info.as_mut_ptr().cast(),
            &raw mut len,
        )
    };
    if result < 0 {
        return Err(io::Error::last_os_error());
    }
    // SAFETY: all fields are integers, which are valid whether the system has written them or they are still zero.
    Ok(unsafe { info.assume_init() })
}
