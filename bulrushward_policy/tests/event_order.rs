//! Event ids of a resumed stream increase, and the first is given.

use bulrushward_policy::event_order::{EventOrder, OrderError};
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
    let mut order = EventOrder::after("3");
    assert_eq!(order.admit(ids.iter().copied()).is_ok(), goes_on);
    if !goes_on {
        assert_eq!(order.last(), "3", "nothing of it counts");
    }
}

#[test]
fn errors_name_the_events() {
    let mut order = EventOrder::after("3");
    assert_eq!(order.admit([Some("4")]), Ok(()));
    let (id, last) = ("2".to_owned(), "4".to_owned());
    assert_eq!(
        order.admit([Some("2")]),
        Err(OrderError::NotAfter { id, last })
    );
}

proptest! {
    #[test]
    fn however_events_arrive_the_admitted_ones_grow(
        batches in vec(vec(prop::option::of(0..20_u64), 0..5), 0..20),
    ) {
        let mut order = EventOrder::after("3");
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
