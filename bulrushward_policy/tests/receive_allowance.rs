//! What holds no content is bounded, however it is framed.

use bulrushward_policy::receive_allowance::ReceiveAllowance;

/// Bytes that are read at once.
const CHUNK_BYTES: usize = 16 << 10;

// Guards against blank lines and comments that earn the allowance for more of them.
#[test]
fn endless_filler_is_not_allowed() {
    let mut allowance = ReceiveAllowance::default();
    let chunks = (0..100).take_while(|_| {
        let is_allowed = allowance.receive(CHUNK_BYTES);
        allowance.record_content(CHUNK_BYTES);
        is_allowed && allowance.take_back(CHUNK_BYTES)
    });
    assert!(chunks.count() < 20);
}

// Guards against ending sound streams that hold a comment between any two events.
#[test]
fn filler_between_events_is_allowed() {
    const EVENT_BYTES: usize = 40;
    const COMMENT_BYTES: usize = 20;
    let mut allowance = ReceiveAllowance::default();
    let events = CHUNK_BYTES / (EVENT_BYTES + COMMENT_BYTES);
    for _ in 0..1_000 {
        assert!(allowance.receive(CHUNK_BYTES));
        allowance.record_content(CHUNK_BYTES);
        allowance.record_events(events);
        assert!(allowance.take_back(events * COMMENT_BYTES));
    }
}
