//! Event ids of a resumed stream increase, and the first is given.

use bulrushward_policy::event_order::{EventOrder, IdSpacing, OrderError};
use proptest::{collection::vec, prelude::*};
use rstest::rstest;

/// An error or an earlier event was accepted as the next of the stream.
#[rstest]
#[case::next(&[Some("4"), Some("5")], true)]
#[case::gap(&[Some("9")], true)]
#[case::end_without_id(&[Some("4"), None], true)]
#[case::text(&[Some("3-b")], true)]
#[case::nothing(&[], true)]
#[case::no_id(&[None, Some("4")], false)]
#[case::same(&[Some("3")], false)]
#[case::earlier(&[Some("1")], false)]
#[case::repeated(&[Some("4"), Some("4")], false)]
#[case::back(&[Some("5"), Some("4")], false)]
fn events_go_on_after_the_last_one(#[case] ids: &[Option<&str>], #[case] goes_on: bool) {
    let mut order = EventOrder::after("3", IdSpacing::default());
    assert_eq!(order.admit(ids.iter().copied()).is_ok(), goes_on);
    if !goes_on {
        assert_eq!(order.last(), "3", "nothing of it counts");
    }
}

#[test]
fn errors_name_the_events() {
    let mut order = EventOrder::after("3", IdSpacing::default());
    assert_eq!(order.admit([Some("4")]), Ok(()));
    let (id, last) = ("2".to_owned(), "4".to_owned());
    assert_eq!(
        order.admit([Some("2")]),
        Err(OrderError::NotAfter { id, last })
    );
}

/// A stream continued with a gap, although its events before had none.
#[rstest]
#[case::adjacent(&["1", "2", "3"], "4", true)]
#[case::one_missing(&["1", "2", "3"], "5", false)]
#[case::one_missing_after_the_first(&["1"], "3", false)]
#[case::steps(&["6", "12", "18"], "24", true)]
#[case::shorter_step(&["6", "12", "18"], "20", true)]
#[case::step_missing(&["6", "12", "18"], "30", false)]
#[case::uneven(&["1", "5", "6"], "10", true)]
#[case::from_zero(&["0"], "7", true)]
#[case::texts(&["a", "b"], "d", true)]
fn a_stream_continues_no_further_than_its_events_were_apart(
    #[case] before: &[&str],
    #[case] next: &str,
    #[case] is_admitted: bool,
) {
    let mut spacing = IdSpacing::default();
    spacing.record(before.iter().copied().map(Some));
    let last = before.last().expect("there is one");
    let mut order = EventOrder::after(last, spacing);
    assert_eq!(order.admit([Some(next)]).is_ok(), is_admitted);
    let expected = if is_admitted { next } else { last };
    assert_eq!(order.last(), expected);
}

/// Gaps within what one server sends are its own: a response is passed on unchanged.
#[test]
fn only_the_first_event_that_continues_a_stream_is_compared_with_those_before() {
    let mut spacing = IdSpacing::default();
    spacing.record([Some("1"), Some("2")]);
    let mut order = EventOrder::after("2", spacing);
    assert_eq!(order.admit([Some("3"), Some("9")]), Ok(()));
    assert_eq!(order.admit([Some("20")]), Ok(()));
}

proptest! {
    #[test]
    fn however_events_arrive_the_admitted_ones_grow(
        batches in vec(vec(prop::option::of(0..20_u64), 0..5), 0..20),
    ) {
        let mut order = EventOrder::after("3", IdSpacing::default());
        let mut admitted = vec![3];
        for batch in batches {
            let ids: Vec<_> = batch.iter().map(|id| id.map(|id| id.to_string())).collect();
            if order.admit(ids.iter().map(Option::as_deref)).is_ok() {
                admitted.extend(batch.iter().flatten());
            }
            let last = admitted.last().expect("there is one").to_string();
            prop_assert_eq!(order.last(), last);
        }
        prop_assert!(admitted.is_sorted_by(|one, next| one < next));
    }
}
