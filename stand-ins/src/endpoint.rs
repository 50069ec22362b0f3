//! How an endpoint answers requests: by serving them, or with one of the faults that tests need.

use crate::connection::Connection;
use std::io;
use std::ops::ControlFlow;
use std::time::Duration;
use tokio::time::sleep;

/// A request that is never answered keeps its connection for this long.
const HANG_TIME: Duration = Duration::from_secs(20);
const INVALID_HTTP: &[u8] = b"\x01\x02 this is no HTTP\r\n\r\n";

/// How an endpoint behaves towards requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Behaviour {
    /// Serves them.
    Serves,
    /// Executes them and never answers.
    Hangs,
    /// Executes them and resets the connection.
    Resets,
    /// Rejects them, and says that they were never executed.
    Rejects,
    /// Executes them and answers with something other than HTTP.
    SendsInvalidHttp,
    /// Answers without a length, and ends the connection behind that.
    OmitsLength,
    /// Answers twice.
    AnswersTwice,
    /// Closes the connection behind each answer without announcing it.
    ClosesUnannounced,
}

/// The response that an endpoint makes.
#[derive(Clone, Copy, Debug)]
pub struct Response<'a> {
    /// Headers as complete lines.
    pub headers: &'a str,
    /// The body.
    pub body: &'a str,
}

/// Answers a request in the manner of a behaviour. Returns whether the connection is used any further.
///
/// # Errors
///
/// Fails if the connection is broken.
pub async fn answer(
    connection: &mut Connection,
    behaviour: Behaviour,
    response: Response<'_>,
) -> io::Result<ControlFlow<()>> {
    let Response { headers, body } = response;
    match behaviour {
        Behaviour::Serves => {
            connection.respond(200, headers, body).await?;
        }
        Behaviour::Rejects => {
            connection.respond(503, "X-Turned-Away: 1\r\n", "").await?;
        }
        Behaviour::Hangs => {
            sleep(HANG_TIME).await;
            return Ok(ControlFlow::Break(()));
        }
        Behaviour::Resets => {
            connection.reset_on_drop();
            return Ok(ControlFlow::Break(()));
        }
        Behaviour::SendsInvalidHttp => connection.send(INVALID_HTTP).await?,
        Behaviour::OmitsLength => {
            let text = format!("HTTP/1.1 200 OK\r\n{headers}\r\n{body}");
            connection.send(text.as_bytes()).await?;
            connection.finish().await?;
            return Ok(ControlFlow::Break(()));
        }
        Behaviour::AnswersTwice => {
            connection.respond(200, headers, body).await?;
            connection.respond(200, headers, body).await?;
        }
        Behaviour::ClosesUnannounced => {
            connection.respond(200, headers, body).await?;
            connection.finish().await?;
            return Ok(ControlFlow::Break(()));
        }
    }
    Ok(ControlFlow::Continue(()))
}
