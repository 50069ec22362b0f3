//! The bytes of the wire: frames with records of fixed length and a tail, little-endian, without padding.

use std::io::{self, Read};
use thiserror::Error;

/// Length of an event record.
const EVENT_BYTES: usize = 56;
/// Length of an action record.
const ACTION_BYTES: usize = 32;
/// The longest frame that is read; batches may have several megabytes.
const MAX_FRAME_BYTES: u32 = 256 << 20;
/// Length of the field that gives a frame's length.
const LENGTH_BYTES: usize = 4;
/// Length of the rest of a batch's header.
const HEADER_BYTES: usize = 16;

/// A frame that cannot be read.
#[derive(Debug, Error)]
pub enum FrameError {
    #[error("input cannot be read: {0}")]
    Read(#[source] io::Error),
    #[error("input ends {found} bytes into a frame's length")]
    LengthEnds { found: usize },
    #[error("frame of {length} bytes is over the limit of {MAX_FRAME_BYTES}")]
    TooLong { length: u32 },
    #[error("input ends {found} bytes into a frame of {length}")]
    FrameEnds { found: usize, length: u32 },
    #[error("frame of {length} bytes is shorter than its header of {HEADER_BYTES}")]
    NoHeader { length: u32 },
    #[error("batch {batch}: the clock at byte 8 is not a finite number")]
    BadClock { batch: u32 },
    #[error("batch {batch}: {records} records do not fit; there is room for {capacity}")]
    RecordsDoNotFit {
        batch: u32,
        records: usize,
        capacity: usize,
    },
}

/// A field that cannot be read.
#[derive(Debug, Error)]
pub enum FieldError {
    #[error("record at byte {record} ends before its field at {at}")]
    RecordEnds { record: usize, at: usize },
    #[error("record at byte {record}: {count} items from {offset} lie outside the tail of {length} bytes")]
    OutsideTail {
        record: usize,
        offset: usize,
        count: usize,
        length: usize,
    },
}

/// A batch of event records.
pub struct Batch {
    /// The frame without its length.
    bytes: Vec<u8>,
    records: usize,
    /// The clock, in ms.
    pub now: f64,
    pub number: u32,
}

impl Batch {
    /// Reads the next batch; none at a clean end of the input.
    pub fn read(input: &mut impl Read) -> Result<Option<Batch>, FrameError> {
        let Some(length) = read_length(input)? else {
            return Ok(None);
        };
        if length > MAX_FRAME_BYTES {
            return Err(FrameError::TooLong { length });
        }
        let bytes = read_up_to(input, u64::from(length))?;
        if bytes.len() < length as usize {
            return Err(FrameError::FrameEnds {
                found: bytes.len(),
                length,
            });
        }
        Batch::new(bytes, length).map(Some)
    }

    fn new(bytes: Vec<u8>, length: u32) -> Result<Batch, FrameError> {
        let mut header = Fields::new(&bytes, &[], LENGTH_BYTES);
        let no_header = |_| FrameError::NoHeader { length };
        let records = header.u32().map_err(no_header)? as usize;
        let now = header.f64().map_err(no_header)?;
        let number = header.u32().map_err(no_header)?;
        if !now.is_finite() {
            return Err(FrameError::BadClock { batch: number });
        }
        let capacity = (bytes.len() - HEADER_BYTES) / EVENT_BYTES;
        if records > capacity {
            return Err(FrameError::RecordsDoNotFit {
                batch: number,
                records,
                capacity,
            });
        }
        Ok(Batch {
            bytes,
            records,
            now,
            number,
        })
    }

    /// The event records, in order.
    pub fn events(&self) -> impl Iterator<Item = Fields<'_>> {
        let (records, tail) = self.bytes[HEADER_BYTES..].split_at(self.records * EVENT_BYTES);
        records
            .chunks_exact(EVENT_BYTES)
            .enumerate()
            .map(move |(index, record)| {
                Fields::new(
                    record,
                    tail,
                    LENGTH_BYTES + HEADER_BYTES + index * EVENT_BYTES,
                )
            })
    }
}

/// The length of the next frame; none at a clean end of the input.
fn read_length(input: &mut impl Read) -> Result<Option<u32>, FrameError> {
    let bytes = read_up_to(input, LENGTH_BYTES as u64)?;
    if bytes.is_empty() {
        return Ok(None);
    }
    match <[u8; LENGTH_BYTES]>::try_from(bytes) {
        Ok(length) => Ok(Some(u32::from_le_bytes(length))),
        Err(short) => Err(FrameError::LengthEnds { found: short.len() }),
    }
}

fn read_up_to(input: &mut impl Read, max: u64) -> Result<Vec<u8>, FrameError> {
    let mut bytes = Vec::new();
    input
        .take(max)
        .read_to_end(&mut bytes)
        .map_err(FrameError::Read)?;
    Ok(bytes)
}

/// Reads the fields of a record one after the other.
pub struct Fields<'a> {
    record: &'a [u8],
    tail: &'a [u8],
    /// Where the record starts in the frame, for messages.
    position: usize,
    /// Where the next field starts in the record.
    next: usize,
}

impl<'a> Fields<'a> {
    /// The record found at `position` of a frame with this tail.
    pub fn new(record: &'a [u8], tail: &'a [u8], position: usize) -> Self {
        Fields {
            record,
            tail,
            position,
            next: 0,
        }
    }

    /// Where the record starts in the frame.
    pub fn position(&self) -> usize {
        self.position
    }

    pub fn u8(&mut self) -> Result<u8, FieldError> {
        Ok(self.take::<1>()?[0])
    }

    pub fn u16(&mut self) -> Result<u16, FieldError> {
        self.take().map(u16::from_le_bytes)
    }

    pub fn u32(&mut self) -> Result<u32, FieldError> {
        self.take().map(u32::from_le_bytes)
    }

    pub fn u64(&mut self) -> Result<u64, FieldError> {
        self.take().map(u64::from_le_bytes)
    }

    pub fn f32(&mut self) -> Result<f64, FieldError> {
        self.take()
            .map(|bytes| f64::from(f32::from_le_bytes(bytes)))
    }

    pub fn f64(&mut self) -> Result<f64, FieldError> {
        self.take().map(f64::from_le_bytes)
    }

    /// The items of this length in the tail that the next field refers to.
    pub fn tail(&mut self, item_bytes: usize) -> Result<&'a [u8], FieldError> {
        let offset = self.u32()? as usize;
        let count = self.u32()? as usize;
        let end = count
            .checked_mul(item_bytes)
            .and_then(|length| offset.checked_add(length));
        end.and_then(|end| self.tail.get(offset..end))
            .ok_or(FieldError::OutsideTail {
                record: self.position,
                offset,
                count,
                length: self.tail.len(),
            })
    }

    fn take<const N: usize>(&mut self) -> Result<[u8; N], FieldError> {
        let at = self.next;
        self.next += N;
        let bytes = self
            .record
            .get(at..at + N)
            .and_then(|bytes| bytes.try_into().ok());
        bytes.ok_or(FieldError::RecordEnds {
            record: self.position,
            at,
        })
    }
}

/// A reply under construction.
#[derive(Default)]
pub struct Reply {
    records: Vec<u8>,
    tail: Vec<u8>,
}

impl Reply {
    /// Starts an action record; what its fields leave free is zero.
    pub fn record(&mut self, code: u8, instance: u32) -> RecordWriter<'_> {
        let next = self.records.len();
        self.records.resize(next + ACTION_BYTES, 0);
        RecordWriter { reply: self, next }.u8(code).u32(instance)
    }

    /// The complete frame, in answer to the batch of this number.
    pub fn frame(&self, batch: u32) -> Vec<u8> {
        let records = (self.records.len() / ACTION_BYTES) as u32;
        let length =
            size_of_val(&records) + size_of_val(&batch) + self.records.len() + self.tail.len();
        let mut frame = Vec::with_capacity(LENGTH_BYTES + length);
        frame.extend((length as u32).to_le_bytes());
        frame.extend(records.to_le_bytes());
        frame.extend(batch.to_le_bytes());
        frame.extend(&self.records);
        frame.extend(&self.tail);
        frame
    }
}

/// Writes the fields of an action record one after the other.
pub struct RecordWriter<'a> {
    reply: &'a mut Reply,
    /// Where the next field starts in the reply's records.
    next: usize,
}

impl RecordWriter<'_> {
    pub fn u8(self, value: u8) -> Self {
        self.put(&[value])
    }

    pub fn u32(self, value: u32) -> Self {
        self.put(&value.to_le_bytes())
    }

    pub fn u64(self, value: u64) -> Self {
        self.put(&value.to_le_bytes())
    }

    pub fn f32(self, value: f32) -> Self {
        self.put(&value.to_le_bytes())
    }

    pub fn f64(self, value: f64) -> Self {
        self.put(&value.to_le_bytes())
    }

    /// Adds the bytes to the tail and writes the field that refers to them.
    pub fn tail(self, bytes: &[u8]) -> Self {
        let offset = self.reply.tail.len() as u32;
        self.reply.tail.extend(bytes);
        self.u32(offset).u32(bytes.len() as u32)
    }

    fn put(mut self, bytes: &[u8]) -> Self {
        let end = self.next + bytes.len();
        self.reply.records[self.next..end].copy_from_slice(bytes);
        self.next = end;
        self
    }
}
