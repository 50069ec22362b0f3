//! Fault injection into the system calls of the program under test, by a preloaded library.

use std::path::PathBuf;
use std::process::Command;
use std::sync::OnceLock;

/// Environment variables that make system calls of a program fail as `faults` specifies. The format is described in
/// `tests/shim/syscall_faults.c`.
pub fn fault_environment(faults: &str) -> Vec<(&'static str, String)> {
    let library = fault_library().to_str().unwrap().to_owned();
    vec![
        ("LD_PRELOAD", library),
        ("GATEWAY_FAULTS", faults.to_owned()),
    ]
}

/// Path of the fault library, which is compiled once per test run.
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
        let status = compiler
            .status()
            .expect("the C compiler `cc` can be started");
        assert!(
            status.success(),
            "the fault library does not compile: {status}"
        );
        library
    })
}
