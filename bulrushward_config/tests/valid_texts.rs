//! Valid texts parse to the declared configuration, and lookups in it return the right entries.

use std::time::Duration;

use bulrushward_config::{Config, Protocol, parse, text_diff};
use proptest::prelude::*;

const TEXT: &str = r#"
[fleet]
load_multiple = 2
retry_fraction = 0.05
quarantine_crashes = 3

[[kind]]
name = "label"
priority = 9
first_token_ms = 500
deadline_seconds = 5
max_tokens = 0x40
reserved_share = 0.1

[[kind]]
name = "answer"
priority = 5
first_token_ms = 1_400
deadline_seconds = 60
max_tokens = 1_000

[[kind]]
name = "draft"
priority = 1
first_token_ms = 60_000
deadline_seconds = 3600

[[service]]
name = "assessment"
protocol = "chat"
models = ["review/large:1", "review-small"]
servers = ["engine-1", "engine-2"]
depends_on = ["registry"]
draining = ["engine-2"]

[[service]]
name = "registry"
protocol = "plain"
kinds = ["answer", "label"]
load_floor = 10
concurrency = 4
queue = 0
checks_fencing = true
idempotent = ["POST /lookup/*", "PUT /name"]
not_idempotent = ["GET /issue*", "POST /lookup/and-issue"]

[[organisation]]
name = "shrestha"
key_sha256 = [
    "2C70E12B7A0646F92279F427C7B38E7334D8E5389CFF167A1DC30E73F826B683",
    "0000000000000000000000000000000000000000000000000000000000000000",
]
weight = 1_0.5
requests_per_second = 20

[[organisation]]
name = "other"
key_sha256 = []
"#;

fn config() -> Config {
    parse(TEXT).expect("the text is valid")
}

#[test]
fn values_are_read() {
    let config = config();
    assert!((config.fleet.load_multiple - 2.0).abs() < f64::EPSILON);
    assert_eq!(config.fleet.quarantine_crashes, 3);
    assert_eq!(config.fleet.claim_retention, Duration::from_hours(24));
    assert_eq!(config.kinds[0].max_tokens, Some(64));
    assert_eq!(config.kinds[1].first_token, Duration::from_millis(1_400));
    assert_eq!(config.kinds[2].deadline, Duration::from_hours(1));
    assert_eq!(config.services[0].protocol, Protocol::Chat);
    assert_eq!(config.services[0].concurrency, 16);
    assert_eq!(config.services[1].queue, 0);
    assert!(config.services[1].checks_fencing);
    let organisation = &config.organisations[0];
    assert!((organisation.weight - 10.5).abs() < f64::EPSILON);
    assert_eq!(organisation.requests_per_second, Some(20.0));
    assert!(organisation.key_sha256[0].starts_with("2c70e12b"));
    assert_eq!(
        parse("").expect("an empty text is valid"),
        Config::default()
    );
}

#[test]
fn organisations_are_found_by_key() {
    let config = config();
    let organisation = config
        .organisation_for_key("key")
        .expect("the key is known");
    assert_eq!(organisation.name, "shrestha");
    assert_eq!(config.organisation_for_key("Key"), None);
    assert_eq!(config.organisation_for_key(""), None);
}

#[test]
fn services_are_found_by_model() {
    let config = config();
    let service = config
        .service_for_model("review-small")
        .expect("a service has the model");
    assert_eq!(service.name, "assessment");
    assert_eq!(config.service_for_model("review"), None);
    assert_eq!(config.service("registry"), Some(&config.services[1]));
}

#[test]
fn kinds_are_chosen_by_name_or_max_tokens() {
    let config = config();
    let (chat, plain) = (&config.services[0], &config.services[1]);
    let name = |kind: Option<&bulrushward_config::Kind>| kind.map(|kind| kind.name.clone());
    let choose = |service, named, tokens| name(config.kind_for(service, named, tokens));
    assert_eq!(
        choose(chat, Some("draft"), Some(1)).as_deref(),
        Some("draft")
    );
    assert_eq!(choose(chat, Some("missing"), None), None);
    assert_eq!(choose(chat, None, Some(64)).as_deref(), Some("label"));
    assert_eq!(choose(chat, None, Some(65)).as_deref(), Some("answer"));
    assert_eq!(choose(chat, None, Some(1_001)).as_deref(), Some("draft"));
    assert_eq!(choose(chat, None, None).as_deref(), Some("draft"));
    assert_eq!(choose(plain, Some("draft"), None), None);
    assert_eq!(choose(plain, None, None).as_deref(), Some("answer"));
    assert_eq!(Config::default().kind_for(chat, None, None), None);
}

#[test]
fn calls_are_idempotent_as_declared() {
    let config = config();
    let service = &config.services[1];
    let idempotent = [
        ("GET", "/status"),
        ("GET", "/status?all=1"),
        ("GET", "/caf%C3%A9"),
        ("HEAD", "/"),
        ("POST", "/lookup/7"),
        ("POST", "/lookup/7?x=../issue"),
        ("PUT", "/name"),
    ];
    let not_idempotent = [
        ("POST", "/status"),
        ("get", "/status"),
        ("GET", "/issue"),
        ("GET", "/issue/7"),
        ("GET", "/%69ssue/7"),
        ("POST", "/lookup/and-issue"),
        ("POST", "/lookup/and%2Dissue"),
        ("PUT", "/name/x"),
        ("DELETE", "/lookup/7"),
        // A backend server may resolve these to different paths.
        ("POST", "/lookup/../issue"),
        ("POST", "/lookup/%2e%2e/issue"),
        ("POST", "/lookup/%2E%2e%2fissue"),
        ("POST", "/lookup/%252e%252e/issue"),
        ("POST", "/lookup/..;/issue"),
        ("POST", "/lookup\\..\\issue"),
        ("GET", "//issue"),
        ("GET", "/./issue"),
        ("GET", "/%ff"),
        ("POST", "/lookup/a%00"),
    ];
    for (method, path) in idempotent {
        assert!(service.is_idempotent(method, path), "{method} {path}");
    }
    for (method, path) in not_idempotent {
        assert!(!service.is_idempotent(method, path), "{method} {path}");
    }
}

#[test]
fn diff_lists_changed_declarations() {
    let old = config();
    let text = TEXT
        .replace("load_multiple = 2", "load_multiple = 3")
        .replace("queue = 0", "queue = 1")
        .replace("name = \"other\"", "name = \"third\"");
    let new = parse(&text).expect("the text is valid");
    let changes: Vec<_> = old.diff(&new).iter().map(ToString::to_string).collect();
    let expected = [
        "fleet changed",
        "service \"registry\" changed",
        "organisation \"third\" added",
        "organisation \"other\" removed",
    ];
    assert_eq!(changes, expected);
    assert_eq!(old.diff(&config()), []);
    assert_eq!(text_diff(TEXT, TEXT), "");
    let diff = text_diff("a\nb\n", "a\nc\n");
    assert_eq!(diff, "@@ -1,2 +1,2 @@\n a\n-b\n+c\n");
}

#[test]
fn configuration_page_documents_every_key_and_its_example_is_valid() {
    let page = include_str!("../../docs/CONFIGURATION.md");
    let example = page
        .split("```toml\n")
        .nth(1)
        .and_then(|rest| rest.split("```").next());
    let config = parse(example.expect("the page has an example")).expect("the example is valid");
    assert!(config.organisation_for_key("key").is_some());
    let errors = parse(
        "[fleet]\n\"?\"=1\n[[kind]]\n\"?\"=1\n[[service]]\n\"?\"=1\n[[organisation]]\n\"?\"=1\n",
    );
    let mut keys = 0;
    for error in errors.expect_err("the keys are unknown").0 {
        let Some((_, list)) = error.message.split_once("expected one of ") else {
            continue;
        };
        for key in list.split(", ") {
            assert!(
                page.contains(&format!("\n| `{key}` |")),
                "the page does not document {key}"
            );
            keys += 1;
        }
    }
    assert_eq!(keys, 29, "number of keys in all four sections");
}

/// Generates texts from pieces of TOML syntax and known keys in random order.
fn shuffled_pieces() -> impl Strategy<Value = String> {
    let piece = prop::sample::select(vec![
        "[[kind]]",
        "[fleet]",
        "[[service]]",
        "[[organisation]]",
        "name",
        "depends_on",
        " = ",
        "\"",
        "'''",
        "[",
        "]",
        "{",
        "}",
        "\n",
        "#",
        ".",
        ",",
        "1",
        "-1",
        "1e999",
        "true",
        "é",
        "\u{0}",
        "\r",
        "\\",
        "key_sha256",
        "1979-05-27",
        "servers",
        "draining",
        "x",
    ]);
    prop::collection::vec(piece, 0..64).prop_map(|pieces| pieces.concat())
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 2_000,
        rng_seed: proptest::test_runner::RngSeed::Fixed(43),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn arbitrary_texts_never_panic(text in prop_oneof![any::<String>(), shuffled_pieces()]) {
        if let Err(errors) = parse(&text) {
            prop_assert!(!errors.0.is_empty());
            let lines = text.matches('\n').count() + 1;
            prop_assert!(errors.0.iter().all(|error| (1..=lines).contains(&error.line)));
            prop_assert!(errors.0.iter().all(|error| error.column >= 1));
        }
    }

    #[test]
    fn truncated_texts_never_panic(cut in 0..TEXT.len(), method: String, path: String) {
        let _ = parse(&TEXT[..cut]);
        let _ = config().services[1].is_idempotent(&method, &path);
    }
}
