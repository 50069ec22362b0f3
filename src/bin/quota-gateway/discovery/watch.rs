//! An open watch: reads its events and hands the lists in them on.

use super::error::DiscoveryError;
use super::framing::{Frame, ObjectFramer};
use super::handler::EndpointListHandler;
use super::list::EndpointList;
use crate::http::Reader;
use crate::socket::Socket;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{timeout_at, Instant};

/// Discovery writes an empty line every 2 s, so a watch that is silent for this long is broken. It has to be reopened
/// soon: the site assumes that a gateway knows the changes it missed 6 s after the watch fell silent, and what a local
/// agent learns when discovery returns at once.
pub const IDLE_TIMEOUT: Duration = Duration::from_millis(2400);
/// An object that never ends does not keep a watch alive, unless this much of it has arrived: the longest lists take
/// their time.
const KEEPALIVE_BYTES: usize = 256 * 1024;

/// A watch whose response head has arrived.
pub struct Watch {
    pub reader: Reader<Socket>,
    /// The complete list, where it was requested.
    pub complete_list: Option<EndpointList>,
}

/// What is known of the endpoint list.
pub struct ListState {
    pub version: u64,
    /// A change was missed, so that further changes don't apply: the complete list has to be fetched.
    pub incomplete: bool,
}

impl ListState {
    fn advance(&mut self, list: &EndpointList) -> Result<(), DiscoveryError> {
        if !list.complete && list.version < self.version {
            self.incomplete = true;
            return Err(DiscoveryError::StaleUpdate);
        }
        self.version = list.version;
        self.incomplete = false;
        Ok(())
    }
}

/// Hands on what a watch reports until it ends; returns why it ended.
pub async fn follow(
    mut watch: Watch,
    state: &mut ListState,
    handler: &Rc<dyn EndpointListHandler>,
) -> DiscoveryError {
    let mut events = WatchEvents { framer: ObjectFramer::default(), state, handler };
    if let Some(list) = watch.complete_list.take() {
        if let Err(error) = events.apply(list) {
            return error;
        }
    }
    match events.read(&mut watch.reader).await {
        Ok(()) => DiscoveryError::Closed,
        Err(error) => error,
    }
}

struct WatchEvents<'a> {
    framer: ObjectFramer,
    state: &'a mut ListState,
    handler: &'a Rc<dyn EndpointListHandler>,
}

impl WatchEvents<'_> {
    async fn read(&mut self, reader: &mut Reader<Socket>) -> Result<(), DiscoveryError> {
        let mut idle = IdleTimer::new();
        while let Some(bytes) = timeout_at(idle.deadline, reader.read_body_chunk()).await?? {
            let was_inside_object = self.framer.inside_object();
            self.framer.push(&bytes);
            self.handle_frames()?;
            let only_continues_object = was_inside_object && self.framer.inside_object();
            idle.received(bytes.len(), only_continues_object);
        }
        Ok(())
    }

    fn handle_frames(&mut self) -> Result<(), DiscoveryError> {
        while let Some(frame) = self.next_frame()? {
            match frame {
                Frame::LineEnd => self.handler.discovery_synced(),
                Frame::Object(text) => {
                    let list = self.parse(&text)?;
                    self.apply(list)?;
                }
            }
        }
        Ok(())
    }

    fn next_frame(&mut self) -> Result<Option<Frame>, DiscoveryError> {
        self.framer.next_frame().inspect_err(|_| self.state.incomplete = true)
    }

    /// An event that can't be read changes nothing, but the change in it is missed.
    fn parse(&mut self, text: &[u8]) -> Result<EndpointList, DiscoveryError> {
        let list = serde_json::from_slice(text).inspect_err(|_| self.state.incomplete = true)?;
        Ok(list)
    }

    fn apply(&mut self, list: EndpointList) -> Result<(), DiscoveryError> {
        self.state.advance(&list)?;
        self.handler.clone().endpoint_list_changed(list);
        self.handler.discovery_synced();
        Ok(())
    }
}

/// Detects a watch that is broken: nothing arrives, or only pieces of an object that never ends.
struct IdleTimer {
    deadline: Instant,
    /// Bytes of an unfinished object received since the deadline was set.
    unfinished_bytes: usize,
}

impl IdleTimer {
    fn new() -> Self {
        IdleTimer { deadline: Instant::now() + IDLE_TIMEOUT, unfinished_bytes: 0 }
    }

    fn received(&mut self, bytes: usize, only_continues_object: bool) {
        self.unfinished_bytes += bytes;
        if !only_continues_object || self.unfinished_bytes >= KEEPALIVE_BYTES {
            *self = IdleTimer::new();
        }
    }
}
