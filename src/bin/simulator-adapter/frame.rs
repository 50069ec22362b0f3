//! The frames of the simulator's protocol. A frame has a header, records of fixed length, and a tail for data of
//! variable length. Numbers are little-endian, and there is no padding between fields.

use std::io::{self, Read};
use thiserror::Error;

/// Length of an event record, in bytes.
const EVENT_BYTES: usize = 56;
/// Length of an action record, in bytes.
const ACTION_BYTES: usize = 32;
/// Longest frame that is accepted, in bytes. Batches of several megabytes occur.
const MAX_FRAME_BYTES: u32 = 256 << 20;
/// Length of the field that states a frame's length, in bytes.
const LENGTH_BYTES: usize = 4;
/// Length of a batch's header (number of records, time, number of the batch) in bytes, without the length field.
const HEADER_BYTES: usize = 16;

/// A frame that cannot be read.
#[derive(Debug, Error)]
pub enum FrameError {
    #[error("cannot read the input: {0}")]
    Read(#[source] io::Error),
    #[error("input ends after {found} of the {LENGTH_BYTES} bytes of a frame's length")]
    TruncatedLength { found: usize },
    #[error("frame of {length} bytes exceeds the limit of {MAX_FRAME_BYTES} bytes")]
    TooLong { length: u32 },
    #[error("input ends after {found} of the {length} bytes of a frame")]
    TruncatedFrame { found: usize, length: u32 },
    #[error("frame of {length} bytes is shorter than its header of {HEADER_BYTES} bytes")]
    MissingHeader { length: u32 },
    #[error("batch {batch}: the time at byte 8 is not a finite number")]
    InvalidTime { batch: u32 },
    #[error(
        "batch {batch}: header states {records} records, but the frame has room for {capacity}"
    )]
    TooManyRecords {
        batch: u32,
        records: usize,
        capacity: usize,
    },
}

/// A field of a record that cannot be read.
#[derive(Debug, Error)]
pub enum FieldError {
    #[error("record at byte {record} ends before the field at offset {offset} is complete")]
    TruncatedRecord { record: usize, offset: usize },
    #[error("record at byte {record}: {count} items at offset {offset} are outside the tail of {length} bytes")]
    OutsideTail {
        record: usize,
        offset: usize,
        count: usize,
        length: usize,
    },
}

/// A batch of event records.
pub struct Batch {
    /// The frame without its length field.
    bytes: Vec<u8>,
    /// Number of event records.
    records: usize,
    /// Time of all events of the batch, in ms.
    pub now: f64,
    /// Number of the batch, which its reply repeats.
    pub number: u32,
}

impl Batch {
    /// Reads the next batch. Returns `None` if the input ends between two frames.
    pub fn read(input: &mut impl Read) -> Result<Option<Batch>, FrameError> {
        let Some(length) = read_length(input)? else {
            return Ok(None);
        };
        if length > MAX_FRAME_BYTES {
            return Err(FrameError::TooLong { length });
        }
        let bytes = read_up_to(input, u64::from(length))?;
        if bytes.len() < length as usize {
            return Err(FrameError::TruncatedFrame {
                found: bytes.len(),
                length,
            });
        }
        Batch::new(bytes, length).map(Some)
    }

    fn new(bytes: Vec<u8>, length: u32) -> Result<Batch, FrameError> {
        let mut header = Fields::new(&bytes, &[], LENGTH_BYTES);
        let missing_header = |_| FrameError::MissingHeader { length };
        let records = header.u32().map_err(missing_header)? as usize;
        let now = header.f64().map_err(missing_header)?;
        let number = header.u32().map_err(missing_header)?;
        if !now.is_finite() {
            return Err(FrameError::InvalidTime { batch: number });
        }
        let capacity = (bytes.len() - HEADER_BYTES) / EVENT_BYTES;
        if records > capacity {
            return Err(FrameError::TooManyRecords {
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

    /// The event records in their order.
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

/// Reads the length of the next frame. Returns `None` if the input ends between two frames.
fn read_length(input: &mut impl Read) -> Result<Option<u32>, FrameError> {
    let bytes = read_up_to(input, LENGTH_BYTES as u64)?;
    if bytes.is_empty() {
        return Ok(None);
    }
    match <[u8; LENGTH_BYTES]>::try_from(bytes) {
        Ok(length) => Ok(Some(u32::from_le_bytes(length))),
        Err(short) => Err(FrameError::TruncatedLength { found: short.len() }),
    }
}

/// Reads `max` bytes, or fewer if the input ends before.
fn read_up_to(input: &mut impl Read, max: u64) -> Result<Vec<u8>, FrameError> {
    let mut bytes = Vec::new();
    input
        .take(max)
        .read_to_end(&mut bytes)
        .map_err(FrameError::Read)?;
    Ok(bytes)
}

/// Reads the fields of a record in sequence.
pub struct Fields<'a> {
    record: &'a [u8],
    tail: &'a [u8],
    /// Offset of the record in the frame, for error messages.
    position: usize,
    /// Offset of the next field in the record.
    next: usize,
}

impl<'a> Fields<'a> {
    /// Starts to read a record at the offset `position` of a frame with this tail.
    pub fn new(record: &'a [u8], tail: &'a [u8], position: usize) -> Self {
        Fields {
            record,
            tail,
            position,
            next: 0,
        }
    }

    /// Offset of the record in the frame.
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

    /// Reads a reference to the tail, an offset and a number of items, and returns the bytes of these items.
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
        let offset = self.next;
        self.next += N;
        let bytes = self
            .record
            .get(offset..offset + N)
            .and_then(|bytes| bytes.try_into().ok());
        bytes.ok_or(FieldError::TruncatedRecord {
            record: self.position,
            offset,
        })
    }
}

/// A reply that is being built.
#[derive(Default)]
pub struct Reply {
    records: Vec<u8>,
    tail: Vec<u8>,
}

impl Reply {
    /// Starts an action record. Bytes without a field are zero.
    pub fn record(&mut self, code: u8, instance: u32) -> RecordWriter<'_> {
        let next = self.records.len();
        self.records.resize(next + ACTION_BYTES, 0);
        RecordWriter { reply: self, next }.u8(code).u32(instance)
    }

    /// Encodes the reply to the batch with this number as a complete frame.
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

/// Writes the fields of an action record in sequence.
pub struct RecordWriter<'a> {
    reply: &'a mut Reply,
    /// Offset of the next field in the reply's records.
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

    /// Appends bytes to the tail and writes a reference to them.
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
