//! Responses of endpoints: success, or one of several faults.

use crate::connection::Connection;
use std::io;
use std::ops::ControlFlow;
use std::time::Duration;
use tokio::time::sleep;

/// Time for which an endpoint that hangs keeps the connection open.
const HANG_TIME: Duration = Duration::from_secs(20);
const INVALID_HTTP: &[u8] = b"\x01\x02 this is no HTTP\r\n\r\n";

/// The way in which an endpoint handles a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Behaviour {
    /// Executes the request and responds with 200.
    Serves,
    /// Executes the request and never responds.
    Hangs,
    /// Executes the request and resets the connection.
    Resets,
    /// Rejects the request with 503 and the header `X-Turned-Away`, which says that it was not executed.
    Rejects,
    /// Executes the request and responds with bytes that are not valid HTTP.
    SendsInvalidHttp,
    /// Responds without a `Content-Length`, and closes the connection at the end of the body.
    OmitsLength,
    /// Sends the response twice.
    AnswersTwice,
    /// Closes the connection after the response without a `Connection: close` header.
    ClosesUnannounced,
}

/// The response of an endpoint that executes a request.
#[derive(Clone, Copy, Debug)]
pub struct Response<'a> {
    /// Complete header lines, each with its line ending.
    pub headers: &'a str,
    /// Body of the response.
    pub body: &'a str,
}

/// Responds to a request as `behaviour` says. Returns `Break` if the connection must not be used any further.
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
            connection.close_write().await?;
            return Ok(ControlFlow::Break(()));
        }
        Behaviour::AnswersTwice => {
            connection.respond(200, headers, body).await?;
            connection.respond(200, headers, body).await?;
        }
        Behaviour::ClosesUnannounced => {
            connection.respond(200, headers, body).await?;
            connection.close_write().await?;
            return Ok(ControlFlow::Break(()));
        }
    }
    Ok(ControlFlow::Continue(()))
}
