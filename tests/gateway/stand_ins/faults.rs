//! Fault injection for the system calls of the program under test, by a library that is preloaded into it.

use std::path::PathBuf;
use std::process::Command;
use std::sync::OnceLock;

/// The environment of a program whose system calls fail as `faults` says; see `tests/shim/syscall_faults.c`.
pub fn fault_environment(faults: &str) -> Vec<(&'static str, String)> {
    let library = fault_library().to_str().unwrap().to_owned();
    vec![
        ("LD_PRELOAD", library),
        ("GATEWAY_FAULTS", faults.to_owned()),
    ]
}

/// The library, compiled once for each run of the tests.
fn fault_library() -> &'static PathBuf {
    static LIBRARY: OnceLock<PathBuf> = OnceLock::new();
    LIBRARY.get_or_init(|| {
        let source = concat!(env!("CARGO_MANIFEST_DIR"), "/tests/shim/syscall_faults.c");
        let name = format!("syscall-faults-{}.so", std::process::id());
        let library = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
        let mut compiler = Command::new("cc");
        compiler
            .args(["-shared", "-fPIC", "-O1", "-o"])
            .arg(&library)
            .args([source, "-ldl"]);
        assert!(compiler.status().expect("a C compiler").success());
        library
    })
}
