//! Compression of the frames sent over connections to peers.
use bytes::{BufMut, Bytes, BytesMut};
use dw_shell::compression::{FrameCompressor, FrameDecompressor, COMPRESS_AFTER_BYTES, MAX_CHUNK_BYTES};
use dw_shell::peer_transport::{bind, PeerConnections, PeerTransport};
use dw_shell::prelude::*;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::time::timeout;
use tokio_util::codec::{Decoder, LengthDelimitedCodec};

const TEST_TIMEOUT: Duration = Duration::from_secs(20);

/// Encodes frames in the codec's format.
fn length_prefixed(frames: &[Vec<u8>]) -> BytesMut {
    let mut bytes = BytesMut::new();
    for frame in frames {
        bytes.put_u32(frame.len() as u32);
        bytes.put_slice(frame);
    }
    bytes
}

fn codec() -> LengthDelimitedCodec {
    LengthDelimitedCodec::builder().max_frame_length(MAX_FRAME_BYTES).new_codec()
}

/// Decodes the next frame as the codec of the receiver does.
fn decode_frame(bytes: &mut BytesMut) -> Option<BytesMut> {
    codec().decode(bytes).unwrap()
}

/// A frame that begins like a CBOR map, with `random_bytes` bytes that repeat nothing.
fn frame(n: u64, random_bytes: usize) -> Vec<u8> {
    let random = (0..random_bytes as u64 / 8).flat_map(|k| hash_of(&(n << 32 | k).to_le_bytes()).to_le_bytes());
    let mut bytes = vec![0xa7];
    bytes.extend(b"the names of the fields, who it is from and where that listens".iter().copied().chain(random));
    bytes
}

#[test]
fn decompressed_frames_equal_the_compressed_ones() {
    let (mut compressor, mut decompressor) = (FrameCompressor::new().unwrap(), FrameDecompressor::default());
    for round in 0..200u64 {
        let sizes = [0, 8, 900, 4_000, if round % 40 == 0 { MAX_CHUNK_BYTES / 2 } else { 16 }];
        let frames: Vec<Vec<u8>> = sizes.iter().take(1 + round as usize % 5).map(|size| frame(round, *size)).collect();
        let mut compressed = compressor.compress(&length_prefixed(&frames)).unwrap();
        let chunk = decode_frame(&mut compressed).unwrap();
        assert!(compressed.is_empty(), "more than one frame for the codec");
        let out = decompressor.decompress(chunk).unwrap();
        assert_eq!(out, frames.iter().cloned().map(Bytes::from).collect::<Vec<_>>());
    }
}

#[test]
fn the_contents_of_earlier_frames_are_not_sent_again() {
    let mut compressor = FrameCompressor::new().unwrap();
    let mut last_size = 0;
    for n in 0..20 {
        last_size = compressor.compress(&length_prefixed(&[frame(n, 16)])).unwrap().len();
    }
    assert!(last_size < 50, "{last_size} bytes for a frame of which 16 bytes are new");
}

#[test]
fn a_frame_that_is_not_compressed_is_returned_unchanged() {
    let (mut compressor, mut decompressor) = (FrameCompressor::new().unwrap(), FrameDecompressor::default());
    for n in 0..5 {
        let plain = frame(n, 64);
        assert_eq!(decompressor.decompress(BytesMut::from(&plain[..])).unwrap(), [Bytes::from(plain.clone())]);
        let mut compressed = compressor.compress(&length_prefixed(std::slice::from_ref(&plain))).unwrap();
        assert_eq!(decompressor.decompress(decode_frame(&mut compressed).unwrap()).unwrap(), [Bytes::from(plain)]);
    }
}

#[test]
fn an_invalid_stream_or_a_truncated_frame_is_an_error() {
    let mut decompressor = FrameDecompressor::default();
    assert!(decompressor.decompress(BytesMut::from(&[1, 2, 3, 4, 5, 6, 7, 8][..])).is_err());
    let mut truncated = length_prefixed(&[frame(1, 64)]);
    truncated.truncate(40);
    let mut compressed = FrameCompressor::new().unwrap().compress(&truncated).unwrap();
    assert!(FrameDecompressor::default().decompress(decode_frame(&mut compressed).unwrap()).is_err());
}

/// A chunk whose contents exceed the maximum frame size is rejected, however small it is
/// when compressed.
#[test]
fn a_chunk_that_decompresses_to_too_much_is_an_error() {
    let too_large = length_prefixed(&[vec![0; 2 * MAX_FRAME_BYTES]]);
    let mut compressed = FrameCompressor::new().unwrap().compress(&too_large).unwrap();
    assert!(compressed.len() < MAX_FRAME_BYTES);
    assert!(FrameDecompressor::default().decompress(decode_frame(&mut compressed).unwrap()).is_err());
}

/// Sends `frames` similar frames over a connection to a peer. Returns the bytes that the
/// connection carried and the number of frames that the peer read from it.
async fn send_frames(accepts_compressed: bool, zone: &str, frames: usize) -> (usize, usize) {
    let startup = |id: &str| {
        let text = format!(r#"{{"cluster":"c","id":"{id}","zone":"z1","listen":"127.0.0.1:0"}}"#);
        Startup::parse(&text, "s".as_ref()).unwrap()
    };
    let own = startup("store-1");
    let (transport, sockets) = bind(&own, own.member(IncarnationId(1))).unwrap();
    let own_address = sockets.address().unwrap();
    let (event_sender, events) = crossbeam_channel::bounded(64);
    let serving = tokio::spawn(dw_shell::peer_transport::serve(transport.clone(), sockets, event_sender.clone()));
    let peer = Daemon("store-2".into());
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap().to_string();
    announce_peer(&transport, &own_address, (&peer, zone), &address, accepts_compressed, &events).await;
    let mut connections = PeerConnections::new(transport.clone(), event_sender);
    let (mut bytes, mut read, mut decompressor) = (0, 0, FrameDecompressor::default());
    let mut stream = None;
    let (mut buffer, mut codec) = (BytesMut::new(), codec());
    for n in 0..frames {
        connections.write(peer.clone(), frame(n as u64, 16));
        if stream.is_none() {
            stream = Some(timeout(TEST_TIMEOUT, listener.accept()).await.unwrap().unwrap().0);
        }
        let Some(stream) = stream.as_mut() else { continue };
        let chunk = loop {
            if let Some(chunk) = codec.decode(&mut buffer).unwrap() {
                break chunk;
            }
            let count = timeout(TEST_TIMEOUT, tokio::io::AsyncReadExt::read_buf(stream, &mut buffer)).await.unwrap().unwrap();
            assert!(count > 0, "the connection ended");
            bytes += count;
        };
        read += decompressor.decompress(chunk).unwrap().len();
    }
    serving.abort();
    (bytes, read)
}

/// Sends a message from the peer, which says whether it accepts compressed frames.
async fn announce_peer(
    transport: &Arc<PeerTransport>,
    to: &str,
    (peer, zone): (&Daemon, &str),
    address: &str,
    accepts_compressed: bool,
    events: &crossbeam_channel::Receiver<Event>,
) {
    transport.set_peer_address(peer, address);
    let envelope = Envelope {
        protocol_version: PROTOCOL_VERSION,
        cluster: "c".into(),
        from: peer.clone(),
        addr: address.into(),
        incarnation: IncarnationId(1),
        to: "store-1".into(),
        reads_packed: accepts_compressed,
        zone: Some(Zone(zone.into())),
        msg: PeerMessage::NotPrimary { leader: None },
    };
    let mut stream = tokio::net::TcpStream::connect(to).await.unwrap();
    tokio::io::AsyncWriteExt::write_all(&mut stream, &length_prefixed(&[encode(&envelope)])).await.unwrap();
    let events = events.clone();
    let event = tokio::task::spawn_blocking(move || events.recv_timeout(TEST_TIMEOUT)).await.unwrap().unwrap();
    assert!(matches!(event, Event::MessageReceived { .. }));
}

#[tokio::test]
async fn a_busy_connection_to_another_zone_is_compressed() {
    const FRAMES: usize = 1_000;
    let uncompressed = FRAMES * (4 + frame(0, 16).len());
    assert!(uncompressed > 4 * COMPRESS_AFTER_BYTES);
    let (bytes, read) = send_frames(true, "z2", FRAMES).await;
    assert_eq!(read, FRAMES);
    assert!(bytes < uncompressed / 2, "{bytes} of {uncompressed}");
    // Within the zone, and to a daemon of the previous version, frames are not compressed.
    assert_eq!(send_frames(true, "z1", FRAMES).await, (uncompressed, FRAMES));
    assert_eq!(send_frames(false, "z2", FRAMES).await, (uncompressed, FRAMES));
}

#[tokio::test]
async fn a_connection_that_carries_little_is_not_compressed() {
    let size = 4 + frame(0, 16).len();
    let few = COMPRESS_AFTER_BYTES / size - 1;
    assert_eq!(send_frames(true, "z2", few).await, (few * size, few));
}
