//! All errors of an invalid text are reported together, with positions and expected values.

use bulrushward_config::{MAX_TEXT_BYTES, parse};

/// Returns the formatted errors of a text.
fn errors(text: &str) -> Vec<String> {
    let errors = parse(text).expect_err("the text is invalid");
    errors.0.iter().map(ToString::to_string).collect()
}

#[track_caller]
fn check(text: &str, expected: &[&str]) {
    assert_eq!(errors(text), expected, "for the text:\n{text}");
}

#[test]
fn syntax_errors() {
    check(
        "[fleet]\nload_multiple = \nretry_fraction 0.1\n",
        &[
            "line 2, column 17: found the end of the line: string values must be quoted, expected literal string",
            "line 3, column 16: found the end of the line: key with no value, expected `=`",
        ],
    );
}

#[test]
fn other_errors_are_reported_along_with_syntax_errors() {
    check(
        "[fleet]\nload_multiple = 0.5\nretry_fraction = \n",
        &[
            "line 2, column 17: load_multiple: found 0.5, expected a number above 1 and at most 100",
            "line 3, column 18: found the end of the line: string values must be quoted, expected literal string",
        ],
    );
    check(
        "[[service]]\nname = \"a\nprotocol = \"plain\"\n",
        &["line 2, column 10: found the end of the line: invalid basic string, expected `\"`"],
    );
}

#[test]
fn unknown_keys() {
    check(
        "flet = 1\n[fleet]\nload_multipel = 2\nfoo = 1\n",
        &[
            "line 1, column 1: unknown key \"flet\" in the text, expected \"fleet\"",
            "line 3, column 1: unknown key \"load_multipel\" in [fleet], expected \"load_multiple\"",
            "line 4, column 1: unknown key \"foo\" in [fleet], expected one of load_multiple, retry_fraction, quarantine_crashes, quarantine_seconds, claim_retention_seconds, fingerprint_window_seconds",
        ],
    );
}

#[test]
fn wrong_types() {
    check(
        "fleet = 3\nservice = \"x\"\norganisation = [1]\n[kind]\nname = \"a\"\n",
        &[
            "line 1, column 9: fleet: found 3, expected a table [fleet]",
            "line 2, column 11: service: found the string \"x\", expected tables [[service]]",
            "line 3, column 17: organisation: found 1, expected tables [[organisation]]",
            "line 4, column 1: kind: found a table, expected tables [[kind]]",
        ],
    );
    check(
        "[[service]]\nname = 1979-05-27\nprotocol = \"chatt\"\nmodels = \"m\"\nservers = [1, \"\"]\n\
         checks_fencing = \"yes\"\nqueue = 1.5\nidempotent = [\"get /x\", \"GET x\", \"GET /*/x\"]\n",
        &[
            "line 2, column 8: name: found the date or time 1979-05-27, expected a name of 1 to 64 letters, digits, \".\", \"_\" or \"-\"",
            "line 3, column 12: protocol: found the string \"chatt\", expected \"chat\" or \"plain\"",
            "line 4, column 10: models: found the string \"m\", expected an array with a model name of 1 to 128 visible ASCII characters as each element",
            "line 5, column 12: servers: found 1, expected a name of 1 to 64 letters, digits, \".\", \"_\" or \"-\"",
            "line 5, column 15: servers: found the string \"\", expected a name of 1 to 64 letters, digits, \".\", \"_\" or \"-\"",
            "line 6, column 18: checks_fencing: found the string \"yes\", expected true or false",
            "line 7, column 9: queue: found 1.5, expected an integer from 0 to 1000000",
            "line 8, column 15: idempotent: found the string \"get /x\", expected \"METHOD /path\" with upper-case letters and at most one \"*\", at the end",
            "line 8, column 25: idempotent: found the string \"GET x\", expected \"METHOD /path\" with upper-case letters and at most one \"*\", at the end",
            "line 8, column 34: idempotent: found the string \"GET /*/x\", expected \"METHOD /path\" with upper-case letters and at most one \"*\", at the end",
        ],
    );
}

#[test]
fn values_out_of_range() {
    check(
        "[fleet]\nload_multiple = 1\nretry_fraction = 1.5\nquarantine_crashes = 0\n\
         quarantine_seconds = -1\nclaim_retention_seconds = 60\nfingerprint_window_seconds = 61\n",
        &[
            "line 2, column 17: load_multiple: found 1, expected a number above 1 and at most 100",
            "line 3, column 18: retry_fraction: found 1.5, expected a number from 0 to 1",
            "line 4, column 22: quarantine_crashes: found 0, expected an integer from 1 to 255",
            "line 5, column 22: quarantine_seconds: found -1, expected an integer from 1 to 31536000",
            "line 7, column 30: fingerprint_window_seconds: found 61, expected at most claim_retention_seconds, which is 60",
        ],
    );
    check(
        "[[kind]]\nname = \"a b\"\npriority = 256\nfirst_token_ms = 5000\ndeadline_seconds = 4\n\
         max_tokens = 0\nreserved_share = nan\n",
        &[
            "line 2, column 8: name: found the string \"a b\", expected a name of 1 to 64 letters, digits, \".\", \"_\" or \"-\"",
            "line 3, column 12: priority: found 256, expected an integer from 0 to 255",
            "line 4, column 18: first_token_ms: found 5000, expected at most deadline_seconds, 4 s",
            "line 6, column 14: max_tokens: found 0, expected an integer from 1 to 9223372036854775807",
            "line 7, column 18: reserved_share: found nan, expected a number from 0 to 1",
        ],
    );
    check(
        "[[organisation]]\nname = \"a\"\nkey_sha256 = [\"12\", 5]\nweight = 0\nrequests_per_second = inf\n",
        &[
            "line 3, column 15: key_sha256: found a string of 2 characters, expected a SHA-256 hash of 64 hex digits",
            "line 3, column 21: key_sha256: found 5, expected a SHA-256 hash of 64 hex digits",
            "line 4, column 10: weight: found 0, expected a number above 0 and at most 1000",
            "line 5, column 23: requests_per_second: found inf, expected a number above 0 and at most 1000000",
        ],
    );
}

#[test]
fn missing_keys() {
    check(
        "[[kind]]\n\n[[service]]\n\n[[organisation]]\n",
        &[
            "line 1, column 1: [[kind]] has no \"name\", expected a name of 1 to 64 letters, digits, \".\", \"_\" or \"-\"",
            "line 1, column 1: [[kind]] has no \"priority\", expected an integer from 0 to 255",
            "line 1, column 1: [[kind]] has no \"first_token_ms\", expected an integer from 1 to 31536000000",
            "line 1, column 1: [[kind]] has no \"deadline_seconds\", expected an integer from 1 to 31536000",
            "line 3, column 1: [[service]] has no \"name\", expected a name of 1 to 64 letters, digits, \".\", \"_\" or \"-\"",
            "line 3, column 1: [[service]] has no \"protocol\", expected \"chat\" or \"plain\"",
            "line 5, column 1: [[organisation]] has no \"name\", expected a name of 1 to 64 letters, digits, \".\", \"_\" or \"-\"",
            "line 5, column 1: [[organisation]] has no \"key_sha256\", expected an array with a SHA-256 hash of 64 hex digits as each element",
        ],
    );
}

#[test]
fn sum_of_reserved_shares_above_one() {
    let kind = |name: &str, share: f64| {
        format!(
            "[[kind]]\nname = \"{name}\"\npriority = 1\nfirst_token_ms = 1\n\
             deadline_seconds = 1\nreserved_share = {share}\n"
        )
    };
    let within = [kind("a", 0.7), kind("b", 0.2), kind("c", 0.1)].concat();
    assert!(parse(&within).is_ok());
    check(
        &[kind("a", 0.7), kind("b", 0.4)].concat(),
        &[
            "line 12, column 18: reserved_share: the shares of all kinds up to here add up to 1.100, expected at most 1",
        ],
    );
}

#[test]
fn duplicate_names() {
    let kind = "[[kind]]\nname = \"a\"\npriority = 1\nfirst_token_ms = 1\ndeadline_seconds = 1\n";
    check(
        &kind.repeat(2),
        &["line 7, column 8: kind \"a\" is declared twice, first on line 2"],
    );
    let service = "[[service]]\nname = \"a\"\nprotocol = \"plain\"\n";
    check(
        &service.repeat(2),
        &["line 5, column 8: service \"a\" is declared twice, first on line 2"],
    );
    check(
        "[fleet]\nretry_fraction = 0\nretry_fraction = 1\n",
        &["line 3, column 1: found \"retry_fraction\": duplicate key"],
    );
}

#[test]
fn values_with_two_owners() {
    let service = |name: &str| {
        format!(
            "[[service]]\nname = \"{name}\"\nprotocol = \"chat\"\nmodels = [\"m\"]\n\
             servers = [\"s\"]\n"
        )
    };
    check(
        &[service("a"), service("b")].concat(),
        &[
            "line 9, column 11: model \"m\" is already served by service \"a\" on line 4",
            "line 10, column 12: backend server \"s\" already belongs to service \"a\" on line 5",
        ],
    );
    let organisation = |name: &str, hash: &str| {
        let hash = hash.repeat(32);
        format!("[[organisation]]\nname = \"{name}\"\nkey_sha256 = [\"{hash}\"]\n")
    };
    check(
        &[organisation("a", "ab"), organisation("b", "AB")].concat(),
        &["line 6, column 15: this key already belongs to organisation \"a\" on line 3"],
    );
}

#[test]
fn unknown_names() {
    check(
        "[[kind]]\nname = \"quick\"\npriority = 1\nfirst_token_ms = 1\ndeadline_seconds = 1\n\
         [[service]]\nname = \"registry\"\nprotocol = \"plain\"\nservers = [\"r-1\"]\n\
         draining = [\"r-2\", \"zzz\"]\nkinds = [\"quik\"]\ndepends_on = [\"regstry\", \"mail\"]\n",
        &[
            "line 10, column 13: backend server \"r-2\" is not in the servers of this service, expected \"r-1\"?",
            "line 10, column 20: backend server \"zzz\" is not in the servers of this service",
            "line 11, column 10: kind \"quik\" is not declared, expected \"quick\"?",
            "line 12, column 15: service \"regstry\" is not declared, expected \"registry\"?",
            "line 12, column 26: service \"mail\" is not declared",
        ],
    );
    let announced = "[[service]]\nname = \"a\"\nprotocol = \"plain\"\ndraining = [\"any\"]\n";
    assert!(parse(announced).is_ok());
}

#[test]
fn dependency_cycles() {
    let service = |name: &str, on: &str| {
        format!("[[service]]\nname = \"{name}\"\nprotocol = \"plain\"\ndepends_on = [\"{on}\"]\n")
    };
    check(
        &[
            service("a", "b"),
            service("b", "c"),
            service("c", "b"),
            service("d", "d"),
        ]
        .concat(),
        &[
            "line 12, column 15: services depend on each other in a cycle: \"b\" -> \"c\" -> \"b\"",
            "line 16, column 15: services depend on each other in a cycle: \"d\" -> \"d\"",
        ],
    );
}

#[test]
fn columns_count_characters() {
    check(
        "[fleet]\n\"é\" = 1\nretry_fraction = \"ज्ञ\" # é\n",
        &[
            "line 2, column 1: unknown key \"é\" in [fleet], expected one of load_multiple, retry_fraction, quarantine_crashes, quarantine_seconds, claim_retention_seconds, fingerprint_window_seconds",
            "line 3, column 18: retry_fraction: found the string \"ज\\u{94d}ञ\", expected a number from 0 to 1",
        ],
    );
    check(
        "a = \"é\" b\r\n",
        &[
            "line 1, column 9: found the end of the line: unexpected key or value, expected newline, `#`",
        ],
    );
}

#[test]
fn oversized_text() {
    let text = "#".repeat(MAX_TEXT_BYTES + 1);
    check(
        &text,
        &["line 1, column 1: the text has 8388609 bytes, expected at most 8388608"],
    );
}

#[test]
fn number_of_reported_errors_is_limited() {
    let errors = errors(&"[[kind]]\n".repeat(1_000));
    assert_eq!(errors.len(), 1_001);
    assert!(errors[1_000].ends_with(": 3000 further errors are left out"));
}
