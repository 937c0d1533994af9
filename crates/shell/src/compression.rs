//! Compression of the frames that are sent over one connection to a peer. The frames
//! of a connection are very similar, so they share one zstd stream, in which a frame
//! refers to the contents of earlier ones.
//!
//! A compressed frame is `COMPRESSED_MARKER` followed by a chunk of the connection's
//! zstd stream. Decompressed, the chunk is one or more complete frames as the codec
//! reads them. Every other frame of a connection begins with the first byte of a CBOR
//! map and is not part of the stream.
use bytes::{Buf, BufMut, Bytes, BytesMut};
use dw_wire::prelude::MAX_FRAME_BYTES;
use std::io::{Error, ErrorKind, Result};
use zstd::stream::raw::{CParameter, DParameter, Decoder, Encoder, InBuffer, Operation, OutBuffer};

/// First byte of a compressed frame. No CBOR map begins with it.
const COMPRESSED_MARKER: u8 = 0x01;
/// A connection is compressed once it has carried this many bytes. Most connections
/// carry fewer, and compression takes some 300 kB of memory per connection, both ends
/// together.
pub const COMPRESS_AFTER_BYTES: usize = 8 << 10;
/// Larger chunks are written uncompressed, because a compressed frame must not exceed
/// the maximum frame size.
pub const MAX_CHUNK_BYTES: usize = 256 << 10;
/// Size of the window in which zstd looks for repeated bytes, as a power of two.
const WINDOW_LOG: u32 = 15;
/// The fastest of zstd's regular compression levels.
const COMPRESSION_LEVEL: i32 = 1;
/// Space that is added to the output buffer for each call of the library.
const OUTPUT_STEP_BYTES: usize = 16 << 10;

/// The sending end of one connection's zstd stream.
pub struct FrameCompressor {
    encoder: Encoder<'static>,
}

impl FrameCompressor {
    pub fn new() -> Result<FrameCompressor> {
        let mut encoder = Encoder::new(COMPRESSION_LEVEL)?;
        encoder.set_parameter(CParameter::WindowLog(WINDOW_LOG))?;
        encoder.set_parameter(CParameter::ContentSizeFlag(false))?;
        encoder.set_parameter(CParameter::ChecksumFlag(false))?;
        Ok(FrameCompressor { encoder })
    }

    /// Compresses complete frames, as the codec reads them, to one compressed frame.
    /// After an error the stream is unusable and its connection has to be reopened.
    pub fn compress(&mut self, frames: &[u8]) -> Result<BytesMut> {
        let mut compressed = BytesMut::with_capacity(frames.len() / 2 + 64);
        compressed.put_u32(0);
        compressed.put_u8(COMPRESSED_MARKER);
        let mut input = InBuffer::around(frames);
        while input.pos < frames.len() {
            append_output(&mut compressed, |output| self.encoder.run(&mut input, output))?;
        }
        while append_output(&mut compressed, |output| self.encoder.flush(output))? > 0 {}
        let length = (compressed.len() - 4) as u32;
        compressed[..4].copy_from_slice(&length.to_be_bytes());
        Ok(compressed)
    }
}

/// The receiving end of one connection's zstd stream.
#[derive(Default)]
pub struct FrameDecompressor {
    decoder: Option<Decoder<'static>>,
}

impl FrameDecompressor {
    /// Returns the frames in `frame`: those compressed in it, or `frame` itself if it is
    /// not compressed.
    pub fn decompress(&mut self, frame: BytesMut) -> Result<Vec<Bytes>> {
        if frame.first() != Some(&COMPRESSED_MARKER) {
            return Ok(vec![frame.freeze()]);
        }
        if self.decoder.is_none() {
            let mut decoder = Decoder::new()?;
            decoder.set_parameter(DParameter::WindowLogMax(WINDOW_LOG))?;
            self.decoder = Some(decoder);
        }
        let Some(decoder) = self.decoder.as_mut() else { return Ok(Vec::new()) };
        let decompressed = decompress_chunk(decoder, &frame[1..])?;
        split_frames(decompressed.freeze())
    }
}

/// Decompresses one chunk of the stream.
fn decompress_chunk(decoder: &mut Decoder<'static>, chunk: &[u8]) -> Result<BytesMut> {
    let mut decompressed = BytesMut::new();
    let mut input = InBuffer::around(chunk);
    loop {
        let before = decompressed.len();
        append_output(&mut decompressed, |output| decoder.run(&mut input, output))?;
        let is_output_full = decompressed.len() - before == OUTPUT_STEP_BYTES;
        if input.pos == chunk.len() && !is_output_full {
            return Ok(decompressed);
        }
        if decompressed.len() > MAX_FRAME_BYTES {
            return Err(Error::new(ErrorKind::InvalidData, "the contents of a compressed frame exceed the maximum frame size"));
        }
    }
}

/// Appends the output of one call of the library to `buffer`; returns the call's result.
fn append_output(buffer: &mut BytesMut, call: impl FnOnce(&mut OutBuffer<'_, [u8]>) -> Result<usize>) -> Result<usize> {
    let begin = buffer.len();
    buffer.resize(begin + OUTPUT_STEP_BYTES, 0);
    let mut output = OutBuffer::around(&mut buffer[begin..]);
    let returned = call(&mut output);
    let written = output.pos();
    buffer.truncate(begin + written);
    returned
}

/// Splits consecutive frames, each of which is preceded by its length.
fn split_frames(mut remaining: Bytes) -> Result<Vec<Bytes>> {
    let mut frames = Vec::new();
    while remaining.has_remaining() {
        let length = remaining.try_get_u32().map_err(|_| truncated_frame())? as usize;
        if length > remaining.len() {
            return Err(truncated_frame());
        }
        frames.push(remaining.split_to(length));
    }
    Ok(frames)
}

fn truncated_frame() -> Error {
    Error::new(ErrorKind::InvalidData, "the contents of a compressed frame end in the middle of a frame")
}
