//! Reads the events of an open watch and applies the lists in them.

use super::error::DiscoveryError;
use super::framing::{Frame, ObjectFramer};
use super::list::{parsed_bytes, EndpointList};
use super::updates::ListUpdates;
use crate::http::Reader;
use crate::memory::MemoryBudget;
use crate::socket::Socket;
use std::time::Duration;
use tokio::time::{timeout_at, Instant};

/// Time without received data after which a watch counts as broken. Discovery writes an empty line every 2 s, and the
/// protocol counts a gateway as notified 6 s after a change, whether or not its watch was broken.
pub const IDLE_TIMEOUT: Duration = Duration::from_millis(2400);
/// Number of bytes of an unfinished object that restart the idle timeout. A long list may take longer than the timeout
/// to arrive; fewer bytes do not count, because a peer could send an object that never ends.
const KEEPALIVE_BYTES: usize = 256 * 1024;

/// Applies the events of a watch until it ends, and returns the reason for its end. `reader` has already read the head
/// of the watch's response.
pub async fn follow_watch(mut reader: Reader<Socket>, updates: &ListUpdates) -> DiscoveryError {
    let mut events = WatchEvents {
        framer: ObjectFramer::default(),
        updates,
    };
    match events.read(&mut reader).await {
        Ok(()) => DiscoveryError::Closed,
        Err(error) => error,
    }
}

struct WatchEvents<'a> {
    framer: ObjectFramer,
    updates: &'a ListUpdates,
}

impl WatchEvents<'_> {
    async fn read(&mut self, reader: &mut Reader<Socket>) -> Result<(), DiscoveryError> {
        let mut idle = IdleTimer::new();
        while let Some(bytes) = timeout_at(idle.deadline, reader.read_body_chunk()).await?? {
            let was_inside_object = self.framer.inside_object();
            self.framer.push(&bytes);
            self.handle_frames(reader.memory()).await?;
            let only_continues_object = was_inside_object && self.framer.inside_object();
            idle.on_received(bytes.len(), only_continues_object);
        }
        Ok(())
    }

    async fn handle_frames(&mut self, memory: &MemoryBudget) -> Result<(), DiscoveryError> {
        while let Some(frame) = self.next_frame()? {
            match frame {
                Frame::LineEnd => self.updates.report_synced(),
                Frame::Object(text) => {
                    memory.make_room(parsed_bytes(text.len())).await;
                    let list = self.parse(&text)?;
                    self.updates.apply_watched(list)?;
                }
            }
        }
        Ok(())
    }

    fn next_frame(&mut self) -> Result<Option<Frame>, DiscoveryError> {
        self.framer
            .next_frame()
            .inspect_err(|_| self.updates.mark_incomplete())
    }

    /// Parses an event. The change in an invalid event is lost, so the complete list has to be fetched.
    fn parse(&mut self, text: &[u8]) -> Result<EndpointList, DiscoveryError> {
        let list = serde_json::from_slice(text).inspect_err(|_| self.updates.mark_incomplete())?;
        Ok(list)
    }
}

/// Detects a broken watch, on which nothing arrives or only pieces of an object that never ends.
struct IdleTimer {
    deadline: Instant,
    /// Number of bytes of an unfinished object received since the deadline was set.
    unfinished_bytes: usize,
}

impl IdleTimer {
    fn new() -> Self {
        IdleTimer {
            deadline: Instant::now() + IDLE_TIMEOUT,
            unfinished_bytes: 0,
        }
    }

    fn on_received(&mut self, bytes: usize, only_continues_object: bool) {
        self.unfinished_bytes += bytes;
        if !only_continues_object || self.unfinished_bytes >= KEEPALIVE_BYTES {
            *self = IdleTimer::new();
        }
    }
}
