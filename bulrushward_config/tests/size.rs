//! Parsing texts of the largest expected size stays within the memory limit for control.

use std::{fmt::Write, fs, time::Instant};

use bulrushward_config::{Config, TextErrors, parse};

/// Number of organisations expected in two years.
const ORGANISATIONS: usize = 32_000;
/// Memory limit for control (membership, configuration and quarantine) of a node, in KiB.
const CONTROL_MEMORY_KIB: u64 = 32 << 10;

fn text() -> String {
    let mut text = String::new();
    for index in 0..ORGANISATIONS {
        writeln!(text, "[[organisation]]\nname = \"org-{index}\"")
            .expect("writing to a string succeeds");
        writeln!(text, "key_sha256 = [\"{index:064x}\"]\n").expect("writing to a string succeeds");
    }
    text
}

/// Returns a field of `/proc/self/status` such as `VmRSS:` in KiB.
fn memory_kib(field: &str) -> u64 {
    let status = fs::read_to_string("/proc/self/status").expect("Linux provides the file");
    let line = status.lines().find(|line| line.starts_with(field));
    let number = line.and_then(|line| line.split_whitespace().nth(1));
    number
        .and_then(|number| number.parse().ok())
        .expect("the field is a number")
}

/// Parses a text, and returns the result and the peak growth of memory in KiB.
fn measure(name: &str, text: &str) -> (Result<Config, TextErrors>, u64) {
    let before = memory_kib("VmRSS:");
    let start = Instant::now();
    let parsed = parse(text);
    let elapsed = start.elapsed().as_millis();
    let kept = memory_kib("VmRSS:").saturating_sub(before);
    let peak = memory_kib("VmHWM:").saturating_sub(before);
    let bytes = text.len();
    println!("text={name} bytes={bytes} parse_ms={elapsed} kept_kib={kept} peak_kib={peak}");
    (parsed, peak)
}

#[test]
fn text_of_largest_expected_size_parses_within_the_memory_limit() {
    let (parsed, peak) = measure("good", &text());
    let config = parsed.expect("the text is valid");
    assert_eq!(config.organisations.len(), ORGANISATIONS);
    assert!(peak < CONTROL_MEMORY_KIB, "parsing took {peak} KiB");
}

#[test]
fn text_full_of_errors_parses_within_the_memory_limit() {
    let text = ("[[kind]]\n".to_owned() + &"x\n".repeat(65_000)).repeat(64);
    let (parsed, peak) = measure("errors", &text);
    assert_eq!(parsed.expect_err("the text has errors").0.len(), 1_001);
    assert!(peak < CONTROL_MEMORY_KIB, "parsing took {peak} KiB");
}
