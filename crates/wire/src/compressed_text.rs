//! A long text that is compressed once and sent to many daemons.
use crate::prelude::*;

/// Zstandard's usual level.
const LEVEL: i32 = 3;

/// A text compressed with Zstandard, and its length. Configurations name the
/// same fields for each route and service, so they shrink to a small part.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CompressedText {
    length: usize,
    bytes: Bytes,
}

impl CompressedText {
    /// `None` if it can't be compressed; it is sent as it is then.
    pub fn of(text: &str) -> Option<CompressedText> {
        let bytes = zstd::bulk::compress(text.as_bytes(), LEVEL).ok()?;
        Some(CompressedText { length: text.len(), bytes: bytes.into() })
    }

    /// The text, unless it is longer than `most` bytes or is no text.
    pub fn read(&self, most: usize) -> Option<String> {
        if self.length > most {
            return None;
        }
        let bytes = zstd::bulk::decompress(&self.bytes, self.length).ok()?;
        (bytes.len() == self.length).then_some(())?;
        String::from_utf8(bytes).ok()
    }

    /// How many bytes are sent.
    pub fn size(&self) -> usize {
        self.bytes.len()
    }
}
