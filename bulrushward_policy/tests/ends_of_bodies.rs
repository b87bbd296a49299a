//! By what the body of a response ended.

use bulrushward_policy::body_end::{BodyEnd, Framing, SenderState, judge};
use rstest::rstest;

/// Guards against a length or chunks that are overlooked, and against either that is assumed.
#[rstest]
#[case::length(Some(0), false, Framing::Length)]
#[case::both(Some(7), true, Framing::Length)]
#[case::chunks(None, true, Framing::Chunked)]
#[case::neither(None, false, Framing::UntilClose)]
fn a_framing_is_that_of_the_head(
    #[case] len: Option<u64>,
    #[case] is_chunked: bool,
    #[case] expected: Framing,
) {
    assert_eq!(Framing::of(len, is_chunked), expected);
}

/// Guards against a close of the connection that passes for the end of a body.
#[rstest]
fn a_body_that_ends_with_its_connection_is_complete_only_if_its_sender_lives(
    #[values(Framing::Length, Framing::Chunked, Framing::UntilClose)] framing: Framing,
    #[values(SenderState::Alive, SenderState::Gone, SenderState::Unknown)] sender: SenderState,
) {
    let is_cut = framing == Framing::UntilClose && sender != SenderState::Alive;
    let expected = if is_cut {
        BodyEnd::Cut
    } else {
        BodyEnd::Complete
    };
    assert_eq!(judge(framing, sender), expected);
}
