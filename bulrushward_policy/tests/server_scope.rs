//! Tests of the servers at which a request may still run.

use bulrushward_policy::server_scope::{
    Exclusion, ServerScope, VersionBound, VersionKey, version_key,
};
use proptest::{collection::vec, prelude::*};

#[test]
fn a_request_that_has_not_begun_runs_at_any_version_but_not_twice_at_a_server() {
    let mut scope = ServerScope::new(VersionBound::Any);
    for version in [None, Some(version_key("v1")), Some(version_key("v2"))] {
        assert_eq!(scope.check("s-1", version), Ok(()));
    }
    scope.record_tried("s-1");
    assert_eq!(scope.check("s-1", None), Err(Exclusion::Tried));
    assert_eq!(scope.untried().check("s-1", None), Ok(()));
}

#[test]
fn a_stream_that_began_at_an_unknown_version_goes_on_nowhere() {
    let mut scope = ServerScope::new(VersionBound::Any);
    scope.begin(None);
    for version in [None, Some(version_key("v1"))] {
        assert_eq!(scope.check("s-1", version), Err(Exclusion::VersionUnknown));
    }
}

fn versions() -> impl Strategy<Value = Option<VersionKey>> {
    prop_oneof![
        Just(None),
        prop::sample::select(vec!["v1", "v2", "v3"]).prop_map(|text| Some(version_key(text))),
    ]
}

/// A step of a stream.
#[derive(Clone, Debug)]
enum Step {
    /// A server is chosen, if the scope allows it, and sends an event.
    Serve {
        server: u8,
        version: Option<VersionKey>,
    },
    /// The caller resumes the stream, at a router that knows the version or not.
    Resume { is_known: bool },
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let serve = (0..6_u8, versions()).prop_map(|(server, version)| Step::Serve { server, version });
    let resume = any::<bool>().prop_map(|is_known| Step::Resume { is_known });
    vec(prop_oneof![4 => serve, 1 => resume], 1..40)
}

proptest! {
    /// Streams held events of two versions when a place that chooses a server did not check for it.
    #[test]
    fn no_stream_holds_events_of_two_versions(steps in steps()) {
        let mut scope = ServerScope::new(VersionBound::Any);
        let mut events: Vec<Option<VersionKey>> = Vec::new();
        for step in steps {
            match step {
                Step::Serve { server, version } => {
                    if scope.check(&server.to_string(), version).is_ok() {
                        scope.record_tried(&server.to_string());
                        scope.begin(version);
                        events.push(version);
                    }
                }
                Step::Resume { is_known } => {
                    if let Some(first) = events.first() {
                        let known = first.filter(|_| is_known);
                        scope = ServerScope::new(VersionBound::begun_at(known));
                    }
                }
            }
        }
        if let Some((first, rest)) = events.split_first() {
            prop_assert!(rest.is_empty() || first.is_some());
            prop_assert!(rest.iter().all(|version| version == first));
        }
    }
}
