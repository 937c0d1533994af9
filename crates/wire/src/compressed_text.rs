//! A long text that is compressed once and sent to many daemons.
use crate::prelude::*;

/// Zstandard's default level.
const COMPRESSION_LEVEL: i32 = 3;

/// A text compressed with Zstandard, and its original length in bytes. Configurations
/// repeat the same field names for each route and service, so they compress well.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CompressedText {
    length: usize,
    bytes: Bytes,
}

impl CompressedText {
    /// Compresses a text; `None` if that fails. The text is sent uncompressed then.
    pub fn of(text: &str) -> Option<CompressedText> {
        let bytes = zstd::bulk::compress(text.as_bytes(), COMPRESSION_LEVEL).ok()?;
        Some(CompressedText { length: text.len(), bytes: bytes.into() })
    }

    /// The original text; `None` if it is longer than `max_bytes` or can't be restored.
    pub fn read(&self, max_bytes: usize) -> Option<String> {
        if self.length > max_bytes {
            return None;
        }
        let bytes = zstd::bulk::decompress(&self.bytes, self.length).ok()?;
        (bytes.len() == self.length).then_some(())?;
        String::from_utf8(bytes).ok()
    }

    /// The compressed size in bytes.
    pub fn size(&self) -> usize {
        self.bytes.len()
    }
}
