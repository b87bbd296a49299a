//! Buffers the frames of one attempt, so that a router can resume it on a new connection.

use std::{
    collections::VecDeque,
    sync::{Mutex, MutexGuard, PoisonError},
};

use bulrushward_protocol::{Frame, Outcome, Refusal};
use bytes::Bytes;
use tokio::sync::watch;

/// Maximum bytes that the frames of a response take, both read and unread ones.
const MAX_BUFFERED_BYTES: usize = 4 << 20;

/// Progress of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    Waiting,
    Started,
    Ended,
}

/// Result of reading at a position.
#[derive(Debug)]
pub(crate) enum ReadResult {
    /// The next frame.
    Frame(Frame),
    /// The frame has not been written yet.
    Pending,
    /// The position is past the last frame.
    End,
    /// The frame was discarded to limit the size of the buffer.
    Discarded,
}

#[derive(Debug)]
struct State {
    phase: Phase,
    frames: VecDeque<Frame>,
    /// Number of frames that were discarded.
    discarded: usize,
    buffered_bytes: usize,
    /// Bytes of the response body so far.
    length: u64,
    /// Position of the reader that is furthest ahead, in frames.
    read_position: usize,
    readers: usize,
    /// Number of readers that were added so far.
    readers_added: u64,
}

/// Returns the memory that a frame of the body takes, most of which is the frame itself if servers send tiny parts.
fn size_in_memory(body: &Bytes) -> usize {
    body.len() + size_of::<Frame>()
}

/// The frames of one attempt after its admission, and its progress.
#[derive(Debug)]
pub(crate) struct ReplayBuffer {
    state: Mutex<State>,
    /// Number of frames written so far.
    written: watch::Sender<usize>,
    /// Number of frames read so far by the reader that is furthest ahead.
    consumed: watch::Sender<usize>,
}

impl Default for ReplayBuffer {
    fn default() -> Self {
        Self {
            state: Mutex::new(State {
                phase: Phase::Waiting,
                frames: VecDeque::new(),
                discarded: 0,
                buffered_bytes: 0,
                length: 0,
                read_position: 0,
                readers: 0,
                readers_added: 0,
            }),
            written: watch::Sender::new(0),
            consumed: watch::Sender::new(0),
        }
    }
}

impl ReplayBuffer {
    /// Marks the attempt as started; returns `false` if it ended before and so must not start.
    pub(crate) fn mark_started(&self) -> bool {
        let mut state = self.lock();
        if state.phase != Phase::Waiting {
            return false;
        }
        state.phase = Phase::Started;
        self.append(&mut state, Frame::Started);
        true
    }

    /// Ends the attempt if it has not started; returns `true` if it never runs.
    pub(crate) fn bar(&self, refusal: Refusal) -> bool {
        let mut state = self.lock();
        match state.phase {
            Phase::Waiting => {
                state.phase = Phase::Ended;
                self.append(&mut state, Frame::Refused(refusal));
                true
            }
            Phase::Started => false,
            Phase::Ended => state.ended_without_running(),
        }
    }

    /// Appends the head of the response.
    pub(crate) fn push_head(&self, frame: Frame) {
        self.append(&mut self.lock(), frame);
    }

    /// Appends a chunk of the body. Waits while the buffer is full of unread frames.
    pub(crate) async fn push_data(&self, bytes: Bytes) {
        let mut consumed = self.consumed.subscribe();
        while !self.try_push_data(&bytes) {
            // The sender lives as long as this buffer, so the wait cannot fail.
            let _changed = consumed.changed().await;
        }
    }

    fn try_push_data(&self, bytes: &Bytes) -> bool {
        let mut state = self.lock();
        let size = size_in_memory(bytes);
        while state.buffered_bytes + size > MAX_BUFFERED_BYTES
            && state.read_position > state.discarded
        {
            state.discard_oldest();
        }
        if state.buffered_bytes > 0 && state.buffered_bytes + size > MAX_BUFFERED_BYTES {
            return false;
        }
        let frame = Frame::Data {
            offset: state.length,
            bytes: bytes.clone(),
        };
        state.length += bytes.len() as u64;
        state.buffered_bytes += size;
        self.append(&mut state, frame);
        true
    }

    /// Appends the end of a complete response.
    pub(crate) fn push_end(&self) {
        let mut state = self.lock();
        let length = state.length;
        self.finish(&mut state, Frame::End { length });
    }

    /// Ends the attempt with a refusal.
    pub(crate) fn refuse(&self, refusal: Refusal) {
        self.finish(&mut self.lock(), Frame::Refused(refusal));
    }

    fn finish(&self, state: &mut State, frame: Frame) {
        if state.phase != Phase::Ended {
            state.phase = Phase::Ended;
            self.append(state, frame);
        }
    }

    fn append(&self, state: &mut State, frame: Frame) {
        state.frames.push_back(frame);
        self.written
            .send_replace(state.discarded + state.frames.len());
    }

    /// Returns the frame at a position, counted from the first frame of the attempt.
    pub(crate) fn read(&self, position: usize) -> ReadResult {
        let mut state = self.lock();
        let Some(index) = position.checked_sub(state.discarded) else {
            return ReadResult::Discarded;
        };
        let Some(frame) = state.frames.get(index).cloned() else {
            return if state.phase == Phase::Ended {
                ReadResult::End
            } else {
                ReadResult::Pending
            };
        };
        if position >= state.read_position {
            state.read_position = position + 1;
            self.consumed.send_replace(position + 1);
        }
        ReadResult::Frame(frame)
    }

    /// Returns a receiver of the number of frames written so far.
    pub(crate) fn written(&self) -> watch::Receiver<usize> {
        self.written.subscribe()
    }

    /// Adds a reader.
    pub(crate) fn add_reader(&self) {
        let mut state = self.lock();
        state.readers += 1;
        state.readers_added += 1;
    }

    /// Removes a reader. If it was the last one of an unfinished attempt, returns the number of
    /// readers added so far, for [`Self::is_abandoned_since`].
    pub(crate) fn remove_reader(&self) -> Option<u64> {
        let mut state = self.lock();
        state.readers -= 1;
        (state.readers == 0 && state.phase != Phase::Ended).then_some(state.readers_added)
    }

    /// Returns whether the attempt is unfinished and has had no reader since the last of
    /// `readers_added` ones left.
    pub(crate) fn is_abandoned_since(&self, readers_added: u64) -> bool {
        let state = self.lock();
        state.readers_added == readers_added && state.phase != Phase::Ended
    }

    /// Returns whether the last frame was written.
    pub(crate) fn has_ended(&self) -> bool {
        self.lock().phase == Phase::Ended
    }

    /// Returns whether the attempt ended without having run.
    pub(crate) fn ended_without_running(&self) -> bool {
        self.lock().ended_without_running()
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl State {
    fn discard_oldest(&mut self) {
        if let Some(Frame::Data { bytes, .. }) = self.frames.pop_front() {
            self.buffered_bytes -= size_in_memory(&bytes);
        }
        self.discarded += 1;
    }

    fn ended_without_running(&self) -> bool {
        let last = self.frames.back();
        matches!(last, Some(Frame::Refused(refusal)) if refusal.outcome == Outcome::NotRun)
    }
}
