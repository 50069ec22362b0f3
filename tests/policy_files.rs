//! Checks the policy source files: the deploy file must list all of them, and each must follow the formatting rules.

use std::collections::BTreeSet;
use std::fs;
use std::path::{Path, PathBuf};

/// Longest line of a policy file, in characters.
const MAX_LINE_LENGTH: usize = 110;

fn root() -> &'static Path {
    Path::new(env!("CARGO_MANIFEST_DIR"))
}

/// The files that the deploy file lists under the key `policy`.
fn named_policy_files() -> BTreeSet<PathBuf> {
    let deploy = fs::read_to_string(root().join("deploy/balancer.toml"))
        .expect("the deploy file can be read");
    let line = deploy
        .lines()
        .find(|line| line.starts_with("policy"))
        .expect("the deploy file has a policy key");
    line.split('"')
        .skip(1)
        .step_by(2)
        .map(|name| root().join(name))
        .collect()
}

/// All source files below `src/policy`, without the files of tests.
fn policy_files() -> BTreeSet<PathBuf> {
    let mut files = BTreeSet::new();
    let mut directories = vec![root().join("src/policy")];
    while let Some(directory) = directories.pop() {
        for entry in fs::read_dir(directory).expect("a directory below src/policy can be read") {
            let path = entry.expect("an entry below src/policy can be read").path();
            if path.is_dir() {
                directories.push(path);
            } else if path.file_name().is_some_and(|name| name != "tests.rs") {
                files.insert(path);
            }
        }
    }
    files
}

#[test]
fn the_deploy_file_lists_exactly_the_policy_files() {
    assert_eq!(named_policy_files(), policy_files());
}

#[test]
fn the_policy_files_follow_the_formatting_rules() {
    let texts: Vec<_> = policy_files()
        .iter()
        .map(|path| fs::read_to_string(path).expect("a policy file can be read as text"))
        .collect();
    assert!(!texts.is_empty());
    let mut lines = texts.iter().flat_map(|text| text.lines());
    assert!(lines.all(|line| line.chars().count() <= MAX_LINE_LENGTH));
    assert!(
        texts.iter().all(|text| text.starts_with("//! ")),
        "a policy file does not begin with a module comment"
    );
}

#[test]
fn the_head_of_the_entry_point_refers_to_the_public_types() {
    let text = fs::read_to_string(root().join("src/gateway.rs")).expect("gateway.rs can be read");
    assert!(text.lines().take(3).any(|line| line.contains("src/api")));
}
