//! A body without a length and without chunks is complete only if its sender is known to live.

use bulrushward_policy::body_end::{BodyEnd, Framing, SenderState, Witness, judge};
use rstest::rstest;

/// A close of the connection was taken for the end of the body.
#[rstest]
#[case::held(Witness::Held, Some(true), BodyEnd::Complete)]
#[case::held_and_nothing_answered(Witness::Held, None, BodyEnd::Complete)]
#[case::held_and_refused(Witness::Held, Some(false), BodyEnd::Cut)]
#[case::replaced_at_once(Witness::Closed, Some(true), BodyEnd::Cut)]
#[case::killed(Witness::Closed, Some(false), BodyEnd::Cut)]
#[case::closed_and_nothing_answered(Witness::Closed, None, BodyEnd::Cut)]
#[case::too_short_for_a_witness(Witness::None, Some(true), BodyEnd::Complete)]
#[case::too_short_and_killed(Witness::None, Some(false), BodyEnd::Cut)]
#[case::nothing_known(Witness::None, None, BodyEnd::Cut)]
fn a_body_that_ends_with_its_connection_needs_a_living_sender(
    #[case] witness: Witness,
    #[case] is_accepted: Option<bool>,
    #[case] end: BodyEnd,
) {
    let sender = SenderState::from_evidence(witness, is_accepted);
    assert_eq!(judge(Framing::UntilClose, sender), end);
}

/// What marks its own end needs no other evidence.
#[rstest]
fn a_marked_body_is_complete_whatever_became_of_its_sender(
    #[values(
        Framing::of(Some(0), false),
        Framing::of(Some(7), true),
        Framing::of(None, true)
    )]
    framing: Framing,
    #[values(SenderState::Alive, SenderState::Gone, SenderState::Unknown)] sender: SenderState,
) {
    assert_eq!(judge(framing, sender), BodyEnd::Complete);
}

#[test]
fn a_body_without_length_and_chunks_ends_with_its_connection() {
    assert_eq!(Framing::of(None, false), Framing::UntilClose);
}
