//! Tests the deserialization of each supported type, and the error for each invalid value.

#![allow(clippy::unwrap_used)]

use super::{SettingsError, SettingsText};
use serde::Deserialize;

#[derive(Debug, Deserialize, PartialEq)]
struct Sample {
    rate: f64,
    count: u32,
    open: bool,
    mode: Mode,
    absent: Option<f64>,
    names: Vec<String>,
    entries: Vec<Entry>,
    section: Entry,
}

#[derive(Debug, Deserialize, PartialEq)]
#[serde(rename_all = "lowercase")]
enum Mode {
    Push,
    Ask,
}

#[derive(Debug, Deserialize, PartialEq)]
struct Entry {
    limit: u32,
}

const TEXT: &str =
    "rate=1.5\ncount=2\nopen=true\nmode=ask\nnames=a,b\nentries.count=2\nentries.0.limit=3\n\
    entries.1.limit=4\nsection.limit=5\nunknown=6\nno value\n";

fn read(text: &str) -> Result<Sample, String> {
    let sample = SettingsText::new(text).read();
    sample.map_err(|error: SettingsError| error.to_string())
}

#[test]
fn values_are_read_by_their_paths() {
    let sample = read(TEXT).unwrap();
    assert_eq!(
        sample,
        Sample {
            rate: 1.5,
            count: 2,
            open: true,
            mode: Mode::Ask,
            absent: None,
            names: vec!["a".to_owned(), "b".to_owned()],
            entries: vec![Entry { limit: 3 }, Entry { limit: 4 }],
            section: Entry { limit: 5 },
        }
    );
}

#[test]
fn each_error_names_the_path() {
    for (line, replacement, error) in [
        (
            "rate=1.5",
            "rate=-1",
            "setting rate is not a number of 0 or more: \"-1\"",
        ),
        (
            "rate=1.5",
            "rate=inf",
            "setting rate is not a number of 0 or more: \"inf\"",
        ),
        ("rate=1.5\n", "", "setting rate is missing"),
        (
            "count=2",
            "count=2.5",
            "setting count is not a whole number: \"2.5\"",
        ),
        (
            "open=true",
            "open=yes",
            "setting open is neither true nor false: \"yes\"",
        ),
        (
            "mode=ask",
            "mode=poll",
            "setting mode has an unknown value: \"poll\"",
        ),
        ("names=a,b\n", "", "setting names is missing"),
        ("entries.count=2\n", "", "setting entries.count is missing"),
        (
            "entries.1.limit=4\n",
            "",
            "setting entries.1.limit is missing",
        ),
        ("section.limit=5\n", "", "setting section.limit is missing"),
    ] {
        assert_eq!(
            read(&TEXT.replacen(line, replacement, 1)),
            Err(error.to_owned())
        );
    }
}
