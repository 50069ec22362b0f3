//! Tests that the gateway's program starts with the example configuration from the README.

use std::io::{BufRead, BufReader};
use std::process::{Child, Command, Stdio};

const EXAMPLE: &str = include_str!("../deploy/example-config.json");

/// The gateway's process, which is killed when the test ends.
struct GatewayProcess(Child);

impl Drop for GatewayProcess {
    fn drop(&mut self) {
        self.0.kill().expect("the gateway can be killed");
        self.0.wait().expect("the gateway exits");
    }
}

#[test]
fn the_example_configuration_starts_a_gateway() {
    let on_any_port = EXAMPLE.replace("127.0.0.1:9000", "127.0.0.1:0");
    let path =
        std::env::temp_dir().join(format!("quota-gateway-example-{}.json", std::process::id()));
    std::fs::write(&path, on_any_port)
        .expect("the configuration can be written to the temporary directory");
    let program = env!("CARGO_BIN_EXE_quota-gateway");
    let child = Command::new(program)
        .env("RELAY_CONFIG", &path)
        .stderr(Stdio::piped())
        .spawn();
    let mut gateway = GatewayProcess(child.expect("the gateway's program starts"));
    let log = BufReader::new(gateway.0.stderr.take().expect("the gateway's log is piped"));
    let is_listening = log
        .lines()
        .map_while(Result::ok)
        .any(|line| line.contains("listening on "));
    std::fs::remove_file(&path).expect("the configuration can be removed");
    assert!(is_listening);
}
