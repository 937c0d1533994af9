//! Compression of what goes over one line to a peer. Frames of one line are
//! much alike: what one of them said is not written again by the next.
//!
//! A packed frame is `PACKED` and a piece of the line's zstd stream; unpacked,
//! the piece is a few whole frames as the codec reads them. Every other frame
//! of a line begins as CBOR writes a map, and stands outside of the stream.
use bytes::{Buf, BufMut, Bytes, BytesMut};
use dw_wire::prelude::MAX_FRAME_BYTES;
use std::io::{Error, ErrorKind, Result};
use zstd::stream::raw::{CParameter, DParameter, Decoder, Encoder, InBuffer, Operation, OutBuffer};

/// First byte of a packed frame. No CBOR map begins with it.
const PACKED: u8 = 0x01;
/// A line is packed once it has carried so many bytes: most lines carry few,
/// and each that is packed holds some 300 kB at both ends together.
pub const COMPRESS_AFTER_BYTES: usize = 8 << 10;
/// What is larger is written as it is: a packed frame must fit a frame.
pub const MAX_CHUNK_BYTES: usize = 256 << 10;
/// So far back, as a power of two, the stream looks for what it wrote before.
const WINDOW_LOG: u32 = 15;
/// The fastest of zstd's usual levels.
const LEVEL: i32 = 1;
/// Room for the next bytes that come out.
const STEP: usize = 16 << 10;

/// The writing end of one line's stream.
pub struct FrameCompressor {
    encoder: Encoder<'static>,
}

impl FrameCompressor {
    pub fn new() -> Result<FrameCompressor> {
        let mut encoder = Encoder::new(LEVEL)?;
        encoder.set_parameter(CParameter::WindowLog(WINDOW_LOG))?;
        encoder.set_parameter(CParameter::ContentSizeFlag(false))?;
        encoder.set_parameter(CParameter::ChecksumFlag(false))?;
        Ok(FrameCompressor { encoder })
    }

    /// Some whole frames, as the codec reads them, as one packed frame. An
    /// error leaves the stream unfit: its line has to be opened anew.
    pub fn pack(&mut self, frames: &[u8]) -> Result<BytesMut> {
        let mut packed = BytesMut::with_capacity(frames.len() / 2 + 64);
        packed.put_u32(0);
        packed.put_u8(PACKED);
        let mut input = InBuffer::around(frames);
        while input.pos < frames.len() {
            produce(&mut packed, |output| self.encoder.run(&mut input, output))?;
        }
        while produce(&mut packed, |output| self.encoder.flush(output))? > 0 {}
        let length = (packed.len() - 4) as u32;
        packed[..4].copy_from_slice(&length.to_be_bytes());
        Ok(packed)
    }
}

/// The reading end of one line's stream.
#[derive(Default)]
pub struct FrameDecompressor {
    decoder: Option<Decoder<'static>>,
}

impl FrameDecompressor {
    /// The frames that a frame stands for: itself, or those packed in it.
    pub fn unpack(&mut self, frame: BytesMut) -> Result<Vec<Bytes>> {
        if frame.first() != Some(&PACKED) {
            return Ok(vec![frame.freeze()]);
        }
        if self.decoder.is_none() {
            let mut decoder = Decoder::new()?;
            decoder.set_parameter(DParameter::WindowLogMax(WINDOW_LOG))?;
            self.decoder = Some(decoder);
        }
        let Some(decoder) = self.decoder.as_mut() else { return Ok(Vec::new()) };
        let unpacked = unpack_piece(decoder, &frame[1..])?;
        split(unpacked.freeze())
    }
}

/// All that a piece of the stream holds.
fn unpack_piece(decoder: &mut Decoder<'static>, piece: &[u8]) -> Result<BytesMut> {
    let mut unpacked = BytesMut::new();
    let mut input = InBuffer::around(piece);
    loop {
        let before = unpacked.len();
        produce(&mut unpacked, |output| decoder.run(&mut input, output))?;
        let filled = unpacked.len() - before == STEP;
        if input.pos == piece.len() && !filled {
            return Ok(unpacked);
        }
        if unpacked.len() > MAX_FRAME_BYTES {
            return Err(Error::new(ErrorKind::InvalidData, "a packed frame holds more than a frame may"));
        }
    }
}

/// Appends what one call of the library puts out; gives what it returned.
fn produce(to: &mut BytesMut, call: impl FnOnce(&mut OutBuffer<'_, [u8]>) -> Result<usize>) -> Result<usize> {
    let begin = to.len();
    to.resize(begin + STEP, 0);
    let mut output = OutBuffer::around(&mut to[begin..]);
    let returned = call(&mut output);
    let written = output.pos();
    to.truncate(begin + written);
    returned
}

/// Frames that stand one behind the other, each with its length before it.
fn split(mut all: Bytes) -> Result<Vec<Bytes>> {
    let mut frames = Vec::new();
    while all.has_remaining() {
        let length = all.try_get_u32().map_err(|_| cut_short())? as usize;
        if length > all.len() {
            return Err(cut_short());
        }
        frames.push(all.split_to(length));
    }
    Ok(frames)
}

fn cut_short() -> Error {
    Error::new(ErrorKind::InvalidData, "a packed frame ends within a frame")
}
