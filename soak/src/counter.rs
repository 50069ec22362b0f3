//! The stand-in for the shared counter.

use crate::http::Connection;
use crate::loopback::any_port;
use crate::world::{ServiceMode, World};
use std::cell::RefCell;
use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::task::spawn_local;
use tokio::time::sleep;

/// Time that a call takes.
const CALL_TIME: Duration = Duration::from_millis(1);

/// Totals by name.
type Totals = Rc<RefCell<HashMap<String, f64>>>;

/// Starts a counter; it runs until the end.
pub async fn start(world: &Rc<World>) -> io::Result<SocketAddr> {
    let listener = TcpListener::bind(any_port()).await?;
    let address = listener.local_addr()?;
    let world = world.clone();
    spawn_local(async move {
        let totals = Totals::default();
        while let Ok((stream, _)) = listener.accept().await {
            let world = world.clone();
            let totals = totals.clone();
            spawn_local(async move {
                // Connections break as part of the test.
                let _ = serve(&world, &totals, Connection::new(stream)).await;
            });
        }
    });
    Ok(address)
}

async fn serve(world: &World, totals: &Totals, mut connection: Connection) -> io::Result<()> {
    while let Some(call) = connection.receive().await? {
        match world.counter_mode.get() {
            ServiceMode::Works => {
                sleep(CALL_TIME).await;
                let total = add(totals, call.second_word());
                connection.respond(200, "", &format!("{total:.3}")).await?;
            }
            ServiceMode::Silent => {}
            ServiceMode::Closes => return Ok(()),
            ServiceMode::Refuses => connection.respond(503, "", "").await?,
            ServiceMode::Garbles => connection.respond(200, "", "many").await?,
        }
    }
    Ok(())
}

fn add(totals: &Totals, target: &str) -> f64 {
    let (name, query) = target.split_once('?').unwrap_or((target, ""));
    let amount = query
        .split('&')
        .find_map(|part| part.strip_prefix("by=")?.parse::<f64>().ok());
    let mut totals = totals.borrow_mut();
    let total = totals.entry(name.to_owned()).or_default();
    *total += amount.unwrap_or(0.0);
    *total
}
