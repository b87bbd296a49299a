//! Large texts, which are parsed in parts, give the same results as if parsed at once.

use std::fmt::Write;

use bulrushward_config::parse;

/// Number of organisations whose tables fill several parts.
const ORGANISATIONS: usize = 3_000;

fn organisations(from: usize) -> String {
    let mut text = String::new();
    for index in from..from + ORGANISATIONS {
        writeln!(text, "[[organisation]]\nname = \"org-{index}\"")
            .expect("writing to a string succeeds");
        writeln!(text, "key_sha256 = [\"{index:064x}\"]").expect("writing to a string succeeds");
    }
    text
}

fn errors(text: &str) -> Vec<String> {
    let errors = parse(text).expect_err("the text is invalid");
    errors.0.iter().map(ToString::to_string).collect()
}

#[test]
fn sections_may_appear_in_any_order() {
    let service = "[[service]]\nname = \"s\"\nprotocol = \"plain\"\n";
    let text = [
        &organisations(0),
        service,
        &organisations(10_000),
        "[fleet]\n",
    ]
    .concat();
    let config = parse(&text).expect("the text is valid");
    assert_eq!(config.organisations.len(), 2 * ORGANISATIONS);
    assert_eq!(config.services.len(), 1);
    let two_services = [
        service,
        &organisations(0),
        &service.replace("\"s\"", "\"t\""),
    ]
    .concat();
    let config = parse(&two_services).expect("services in two places are valid");
    assert_eq!(config.services.len(), 2);
}

#[test]
fn errors_in_later_parts_have_correct_positions() {
    let text = organisations(0) + "[[organisation]]\nname = \"org-5\"\nkey_sha256 = [3]\nx = 1\n";
    let expected = [
        "line 9002, column 8: organisation \"org-5\" is declared twice, first on line 17",
        "line 9003, column 15: key_sha256: found 3, expected a SHA-256 hash of 64 hex digits",
        "line 9004, column 1: unknown key \"x\" in [[organisation]], expected one of name, \
         key_sha256, weight, requests_per_second",
    ];
    assert_eq!(errors(&text), expected);
}

#[test]
fn tables_declared_in_two_parts_are_errors() {
    let text = ["[fleet]\n", &organisations(0), "[fleet]\n"].concat();
    assert_eq!(
        errors(&text),
        ["line 9002, column 2: found \"fleet\": duplicate key"]
    );
    let text = "organisation = []\n".to_owned() + &organisations(0);
    assert!(errors(&text)[0].starts_with("line 2, column 3: "));
}

#[test]
fn table_heading_inside_a_string_splits_a_large_text() {
    let text = [
        &organisations(0),
        "[[service]]\nname = \"s\"\nprotocol = \"plain\"\nmodels = [\'\'\'\n",
        &organisations(10_000),
        "\'\'\']\n",
    ]
    .concat();
    let errors_of_text = errors(&text);
    assert!(
        errors_of_text
            .iter()
            .any(|error| error.contains("unclosed array"))
    );
    assert!(
        errors_of_text[0].starts_with("line 9004, column 11: models: found the string \"[[org"),
        "{errors_of_text:?}"
    );
    // A small text is not split, so that a string in it may contain a table heading.
    let text =
        "[[service]]\nname = \"s\"\nprotocol = \"chat\"\nmodels = [\'\'\'\n[[kind]]\n\'\'\']\n";
    assert!(errors(text)[0].contains("models: found the string \"[[kind]]\\n\""));
}

#[test]
fn oversized_parts_are_errors() {
    let text = organisations(0) + "[[kind]]\n" + &"# comment\n".repeat(30_000);
    assert_eq!(
        errors(&text),
        [
            "line 8440, column 1: found 321888 bytes up to the next line that starts with [[kind]], \
          [[service]] or [[organisation]], expected at most 131072"
        ]
    );
}

#[test]
fn syntax_errors_in_later_parts_have_correct_positions() {
    let text = organisations(0) + "[[organisation]]\nname = \nkey_sha256 = []\n";
    let errors = errors(&text);
    assert_eq!(errors.len(), 1, "{errors:?}");
    assert!(errors[0].starts_with("line 9002, column 8: found the end of the line: "));
}
