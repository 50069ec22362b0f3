//! Signals and errors during the start of the program.

use crate::stand_ins::*;
use std::fs::OpenOptions;
use std::io::Write;
use std::net::TcpListener;
use std::process::{Command, Stdio};
use std::thread::sleep;
use std::time::{Duration, Instant};

/// SIGHUP or SIGTERM arrives while the process still reads its configuration. Without a handler, SIGHUP would end the
/// process, and SIGTERM would end it with an error. SIGHUP must not end the process, and SIGTERM must end it with
/// success. The configuration file is a named pipe, on which the process waits until the test writes the configuration.
#[test]
fn signals_during_the_start_are_handled() {
    for (number, signal) in ["-HUP", "-TERM"].into_iter().enumerate() {
        let (endpoint, _) = healthy_endpoint();
        let config = config_with_silent_discovery(&[endpoint]);
        let path = std::env::temp_dir().join(format!(
            "quota-gateway-{}-pipe-{number}.json",
            std::process::id()
        ));
        assert!(Command::new("mkfifo")
            .arg(&path)
            .status()
            .unwrap()
            .success());
        let mut child = spawn_program_at(&path, 256, Stdio::piped(), &[]);
        // Opening the pipe blocks until the program has opened it.
        let mut pipe = OpenOptions::new().write(true).open(&path).unwrap();
        // A regular file takes the place of the pipe, for the reload after SIGHUP.
        std::fs::remove_file(&path).unwrap();
        std::fs::write(&path, config.to_string()).unwrap();
        let id = child.id().to_string();
        assert!(Command::new("kill")
            .args([signal, &id])
            .status()
            .unwrap()
            .success());
        pipe.write_all(config.to_string().as_bytes()).unwrap();
        drop(pipe);
        if signal == "-TERM" {
            let exit = child.wait().unwrap();
            assert!(
                exit.success(),
                "the program ended with {exit} after SIGTERM during its start, expected success"
            );
            std::fs::remove_file(&path).unwrap();
        } else {
            let gateway = Gateway::from_process((child, path));
            gateway.wait_until_ready();
            assert_eq!(gateway.get(1, 1).status(), 200);
        }
    }
}

/// After a restart, the former process may still use the address for a short time. A process that gives up at once
/// would have to be started again manually. The process must wait for the address and then serve.
#[test]
fn startup_waits_for_an_address_that_is_briefly_in_use() {
    let (endpoint, _) = healthy_endpoint();
    let former = TcpListener::bind("127.0.0.1:0").unwrap();
    let mut config = config_with_silent_discovery(&[endpoint]);
    config["listen"] = former.local_addr().unwrap().to_string().into();
    let (mut child, path) = spawn_program(&config);
    sleep(Duration::from_millis(500));
    assert!(
        child.try_wait().unwrap().is_none(),
        "the program has given up"
    );
    drop(former);
    let gateway = Gateway::from_process((child, path));
    gateway.wait_until_ready();
    assert_eq!(gateway.get(1, 1).status(), 200);
}

/// The address stays in use, and SIGTERM arrives during the wait for it. A process that ignores the signal while it
/// waits would run until SIGKILL. The process must exit with success at once.
#[test]
fn sigterm_ends_the_wait_for_the_address() {
    let former = TcpListener::bind("127.0.0.1:0").unwrap();
    let mut config = config_with_silent_discovery(&[unused_address()]);
    config["listen"] = former.local_addr().unwrap().to_string().into();
    let (mut child, path) = spawn_program(&config);
    sleep(Duration::from_millis(300));
    let start = Instant::now();
    assert!(Command::new("kill")
        .args(["-TERM", &child.id().to_string()])
        .status()
        .unwrap()
        .success());
    let exit = child.wait().unwrap();
    assert!(
        exit.success(),
        "the program ended with {exit} after SIGTERM in its wait for the address, expected success"
    );
    assert!(
        start.elapsed() < Duration::from_secs(3),
        "the program exits {:?} after SIGTERM, expected less than 3 s",
        start.elapsed()
    );
    std::fs::remove_file(path).unwrap();
}
