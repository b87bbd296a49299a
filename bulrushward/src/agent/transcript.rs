//! The frames of one attempt, kept so that a router can resume on a new connection.

use std::{
    collections::VecDeque,
    sync::{Mutex, MutexGuard, PoisonError},
};

use bulrushward_protocol::{Frame, Outcome, Refusal};
use tokio::sync::watch;

/// Bytes of an answer kept behind its reader and, at most, ahead of it.
const WINDOW_BYTES: usize = 4 << 20;

/// How far an attempt is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    Waiting,
    Started,
    Ended,
}

/// What a reader finds at its position.
#[derive(Debug)]
pub(crate) enum Read {
    /// The next frame.
    Frame(Frame),
    /// Nothing yet.
    Wait,
    /// The position is behind the last frame.
    End,
    /// The frame is no longer kept.
    Lost,
}

#[derive(Debug)]
struct State {
    phase: Phase,
    frames: VecDeque<Frame>,
    dropped: usize,
    kept_bytes: usize,
    length: u64,
    /// Position of the reader that is furthest ahead.
    read: usize,
    readers: usize,
}

/// The frames of one attempt after its admission.
#[derive(Debug)]
pub(crate) struct Transcript {
    state: Mutex<State>,
    written: watch::Sender<usize>,
    consumed: watch::Sender<usize>,
}

impl Default for Transcript {
    fn default() -> Self {
        Self {
            state: Mutex::new(State {
                phase: Phase::Waiting,
                frames: VecDeque::new(),
                dropped: 0,
                kept_bytes: 0,
                length: 0,
                read: 0,
                readers: 0,
            }),
            written: watch::Sender::new(0),
            consumed: watch::Sender::new(0),
        }
    }
}

impl Transcript {
    /// Marks the attempt as started; `false` if it ended before, so that it must not start.
    pub(crate) fn begin(&self) -> bool {
        let mut state = self.lock();
        if state.phase != Phase::Waiting {
            return false;
        }
        state.phase = Phase::Started;
        self.append(&mut state, Frame::Started);
        true
    }

    /// Ends the attempt if it has not started; `true` if it now never will.
    pub(crate) fn bar(&self, refusal: Refusal) -> bool {
        let mut state = self.lock();
        match state.phase {
            Phase::Waiting => {
                state.phase = Phase::Ended;
                self.append(&mut state, Frame::Refused(refusal));
                true
            }
            Phase::Started => false,
            Phase::Ended => state.not_run(),
        }
    }

    /// Adds the head of the answer.
    pub(crate) fn head(&self, frame: Frame) {
        self.append(&mut self.lock(), frame);
    }

    /// Adds a piece of the body, after the reader has made room for it.
    pub(crate) async fn data(&self, bytes: bytes::Bytes) {
        let mut consumed = self.consumed.subscribe();
        while !self.try_data(&bytes) {
            // The sender lives as long as this transcript, so the wait cannot fail.
            let _changed = consumed.changed().await;
        }
    }

    fn try_data(&self, bytes: &bytes::Bytes) -> bool {
        let mut state = self.lock();
        while state.kept_bytes + bytes.len() > WINDOW_BYTES && state.read > state.dropped {
            state.drop_oldest();
        }
        if state.kept_bytes > 0 && state.kept_bytes + bytes.len() > WINDOW_BYTES {
            return false;
        }
        let frame = Frame::Data {
            offset: state.length,
            bytes: bytes.clone(),
        };
        state.length += bytes.len() as u64;
        state.kept_bytes += bytes.len();
        self.append(&mut state, frame);
        true
    }

    /// Ends the answer in whole.
    pub(crate) fn end(&self) {
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
            .send_replace(state.dropped + state.frames.len());
    }

    /// Returns the frame at a position, counted from the first frame of the attempt.
    pub(crate) fn read(&self, position: usize) -> Read {
        let mut state = self.lock();
        let Some(index) = position.checked_sub(state.dropped) else {
            return Read::Lost;
        };
        let Some(frame) = state.frames.get(index).cloned() else {
            return if state.phase == Phase::Ended {
                Read::End
            } else {
                Read::Wait
            };
        };
        if position >= state.read {
            state.read = position + 1;
            self.consumed.send_replace(position + 1);
        }
        Read::Frame(frame)
    }

    /// Tells about new frames.
    pub(crate) fn written(&self) -> watch::Receiver<usize> {
        self.written.subscribe()
    }

    /// Counts a reader in; the count of readers says whether anybody still wants the answer.
    pub(crate) fn attach(&self) {
        self.lock().readers += 1;
    }

    /// Counts a reader out and returns whether none is left while the attempt goes on.
    pub(crate) fn detach(&self) -> bool {
        let mut state = self.lock();
        state.readers -= 1;
        state.readers == 0 && state.phase != Phase::Ended
    }

    /// Returns whether nobody reads while the attempt goes on.
    pub(crate) fn abandoned(&self) -> bool {
        let state = self.lock();
        state.readers == 0 && state.phase != Phase::Ended
    }

    /// Returns whether the last frame was written.
    pub(crate) fn ended(&self) -> bool {
        self.lock().phase == Phase::Ended
    }

    /// Returns whether the attempt ended without having run.
    pub(crate) fn not_run(&self) -> bool {
        self.lock().not_run()
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl State {
    fn drop_oldest(&mut self) {
        if let Some(Frame::Data { bytes, .. }) = self.frames.pop_front() {
            self.kept_bytes -= bytes.len();
        }
        self.dropped += 1;
    }

    fn not_run(&self) -> bool {
        let last = self.frames.back();
        matches!(last, Some(Frame::Refused(refusal)) if refusal.outcome == Outcome::NotRun)
    }
}
