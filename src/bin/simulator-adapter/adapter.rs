//! Manages the gateway instances that the simulator has started and the endpoint lists that it has defined.

use crate::actions;
use crate::events::{self, code, EndpointLists, RecordError};
use crate::frame::{Batch, Fields, FrameError, Reply};
use crate::setup;
use quota_gateway::{Action, Gateway};
use std::collections::BTreeMap;
use thiserror::Error;

/// Error that ends the adapter: a batch cannot be read, handled or answered.
#[derive(Debug, Error)]
pub enum AdapterError {
    #[error(transparent)]
    Frame(#[from] FrameError),
    #[error("batch {batch}: {error}")]
    Record { batch: u32, error: RecordError },
    #[error("cannot write the reply to batch {batch}: {error}")]
    Write { batch: u32, error: std::io::Error },
}

/// Passes the events of each batch to their gateway instances and collects the resulting actions.
#[derive(Default)]
pub struct Adapter {
    instances: BTreeMap<u32, Gateway>,
    lists: EndpointLists,
    /// Buffer for the actions of one event, reused to avoid allocations.
    actions: Vec<Action>,
}

impl Adapter {
    /// Handles all events of a batch, in order.
    pub fn handle(&mut self, batch: &Batch) -> Result<Reply, AdapterError> {
        let mut reply = Reply::default();
        for mut record in batch.events() {
            self.handle_record(batch.now, &mut record, &mut reply)
                .map_err(|error| AdapterError::Record {
                    batch: batch.number,
                    error,
                })?;
        }
        Ok(reply)
    }

    fn handle_record(
        &mut self,
        now: f64,
        fields: &mut Fields,
        reply: &mut Reply,
    ) -> Result<(), RecordError> {
        let code = fields.u8()?;
        if code == code::DEFINE_LIST {
            let list = fields.u32()?;
            self.lists.insert(list, events::decode_list(fields)?);
            return Ok(());
        }
        let instance = fields.u32()?;
        match code {
            code::PROVISION => self.start_instance(now, instance, fields),
            code::RETIRE => {
                self.instances.remove(&instance);
                Ok(())
            }
            code => self.handle_event(now, code, instance, fields, reply),
        }
    }

    fn start_instance(
        &mut self,
        now: f64,
        instance: u32,
        fields: &mut Fields,
    ) -> Result<(), RecordError> {
        let record = fields.position();
        let seed = fields.u64()?;
        let text = std::str::from_utf8(fields.tail(1)?)
            .map_err(|error| RecordError::SettingsNotUtf8 { record, error })?;
        let gateway = Gateway::new(setup::read(text)?, seed, now);
        self.instances.insert(instance, gateway);
        Ok(())
    }

    fn handle_event(
        &mut self,
        now: f64,
        code: u8,
        instance: u32,
        fields: &mut Fields,
        reply: &mut Reply,
    ) -> Result<(), RecordError> {
        let record = fields.position();
        let Some(gateway) = self.instances.get_mut(&instance) else {
            return Err(RecordError::UnknownInstance { record, instance });
        };
        let Some(event) = events::decode(code, fields, &self.lists)? else {
            return Ok(());
        };
        gateway.handle(now, event, &mut self.actions);
        for action in self.actions.drain(..) {
            actions::encode(&action, instance, reply);
        }
        Ok(())
    }
}
