//! Decodes response bodies by their framing. The decoder takes bytes out of a buffer and does no I/O itself.

use super::error::MalformedResponse;
use bytes::{Buf, Bytes, BytesMut};
use httparse::Status;

/// Maximum length of a chunk size line or a trailer line.
pub const MAX_LINE_BYTES: usize = 16 * 1024;
/// The end of a line.
const LINE_END: &[u8] = b"\r\n";

/// The state of a body, named after the part that is expected next.
#[derive(Clone, Copy)]
pub enum BodyDecoder {
    /// The given number of bytes, up to the end of the body.
    Length(usize),
    /// The line with the size of a chunk.
    ChunkSize,
    /// The given number of bytes of a chunk, followed by a line end.
    ChunkData(u64),
    /// The lines after the last chunk.
    Trailers,
    /// All bytes until the connection is closed.
    UntilClose,
    /// No more bytes: the body has ended.
    Complete,
}

/// The result of decoding a buffer.
pub enum Decoded {
    /// Bytes of the body.
    Data(Bytes),
    /// The end of the body.
    End,
    /// More bytes have to be read into the buffer.
    Incomplete,
}

impl BodyDecoder {
    /// True if the body ends only when the connection is closed.
    pub fn ends_with_connection(&self) -> bool {
        matches!(self, BodyDecoder::UntilClose)
    }

    /// True once a body has ended because its announced length was read.
    pub fn ends_by_length(&self) -> bool {
        matches!(self, BodyDecoder::Length(0))
    }

    /// The length of the body that is left, if the peer has announced it.
    pub fn announced_bytes(&self) -> Option<usize> {
        match self {
            BodyDecoder::Length(length) => Some(*length),
            _ => None,
        }
    }

    /// Takes the next bytes of the body out of the buffer. Bytes are returned as they arrive, so that a large length
    /// announced by a peer uses no memory.
    pub fn decode(&mut self, buffer: &mut BytesMut) -> Result<Decoded, MalformedResponse> {
        loop {
            let advanced = match *self {
                BodyDecoder::Complete | BodyDecoder::Length(0) => return Ok(Decoded::End),
                BodyDecoder::ChunkSize => self.read_chunk_size(buffer)?,
                BodyDecoder::ChunkData(0) => self.read_chunk_end(buffer)?,
                BodyDecoder::Trailers => self.read_trailer(buffer)?,
                BodyDecoder::Length(_) | BodyDecoder::ChunkData(_) | BodyDecoder::UntilClose => {
                    return Ok(self.take_data(buffer));
                }
            };
            if !advanced {
                return Ok(Decoded::Incomplete);
            }
        }
    }

    fn take_data(&mut self, buffer: &mut BytesMut) -> Decoded {
        if buffer.is_empty() {
            return Decoded::Incomplete;
        }
        let data = match *self {
            BodyDecoder::Length(remaining) => {
                let length = remaining.min(buffer.len());
                *self = BodyDecoder::Length(remaining - length);
                buffer.split_to(length)
            }
            BodyDecoder::ChunkData(remaining) => {
                let length = usize::try_from(remaining)
                    .unwrap_or(usize::MAX)
                    .min(buffer.len());
                *self = BodyDecoder::ChunkData(remaining - length as u64);
                buffer.split_to(length)
            }
            _ => buffer.split(),
        };
        Decoded::Data(data.freeze())
    }

    /// Reads a chunk size line. Returns false while the line is incomplete.
    fn read_chunk_size(&mut self, buffer: &mut BytesMut) -> Result<bool, MalformedResponse> {
        match httparse::parse_chunk_size(buffer) {
            Ok(Status::Complete((line_length, size))) => {
                buffer.advance(line_length);
                *self = if size == 0 {
                    BodyDecoder::Trailers
                } else {
                    BodyDecoder::ChunkData(size)
                };
                Ok(true)
            }
            Ok(Status::Partial) if buffer.len() > MAX_LINE_BYTES => {
                Err(MalformedResponse::ChunkLineTooLong)
            }
            Ok(Status::Partial) => Ok(false),
            Err(_) => Err(MalformedResponse::InvalidChunkSize),
        }
    }

    /// Reads the line end after a chunk. Returns false while the line end is incomplete. A missing line end is an
    /// error, because the size of the chunk was wrong and the following bytes would be misread.
    fn read_chunk_end(&mut self, buffer: &mut BytesMut) -> Result<bool, MalformedResponse> {
        if buffer.len() < LINE_END.len() {
            return Ok(false);
        }
        if !buffer.starts_with(LINE_END) {
            return Err(MalformedResponse::MissingChunkEnd);
        }
        buffer.advance(LINE_END.len());
        *self = BodyDecoder::ChunkSize;
        Ok(true)
    }

    /// Discards one line after the last chunk; an empty line ends the body. Returns false while the line is incomplete.
    /// A line that is no header field is an error, because the size of the last chunk may be wrong and the line may
    /// belong to the body.
    fn read_trailer(&mut self, buffer: &mut BytesMut) -> Result<bool, MalformedResponse> {
        let Some(end) = buffer
            .windows(LINE_END.len())
            .position(|window| window == LINE_END)
        else {
            if buffer.len() > MAX_LINE_BYTES {
                return Err(MalformedResponse::TrailerTooLong);
            }
            return Ok(false);
        };
        if end == 0 {
            *self = BodyDecoder::Complete;
        } else if !is_header_field(&buffer[..end]) {
            return Err(MalformedResponse::InvalidTrailer);
        }
        buffer.advance(end + LINE_END.len());
        Ok(true)
    }
}

/// True if a line without its end is a header field.
fn is_header_field(line: &[u8]) -> bool {
    let section = [line, LINE_END, LINE_END].concat();
    let mut fields = [httparse::EMPTY_HEADER];
    httparse::parse_headers(&section, &mut fields).is_ok()
}
