//! PeerConnections whose frames are packed.
use bytes::{BufMut, Bytes, BytesMut};
use dw_shell::compression::{FrameCompressor, FrameDecompressor, COMPRESS_AFTER_BYTES, MAX_CHUNK_BYTES};
use dw_shell::peer_transport::{bind, PeerConnections, PeerTransport};
use dw_shell::prelude::*;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::time::timeout;
use tokio_util::codec::{Decoder, LengthDelimitedCodec};

const LONG: Duration = Duration::from_secs(20);

/// Frames as the codec reads them.
fn coded(frames: &[Vec<u8>]) -> BytesMut {
    let mut all = BytesMut::new();
    for frame in frames {
        all.put_u32(frame.len() as u32);
        all.put_slice(frame);
    }
    all
}

fn codec() -> LengthDelimitedCodec {
    LengthDelimitedCodec::builder().max_frame_length(MAX_FRAME_BYTES).new_codec()
}

/// What the codec of the other side hands on.
fn decoded(bytes: &mut BytesMut) -> Option<BytesMut> {
    codec().decode(bytes).unwrap()
}

/// A frame that begins as CBOR does, with `noise` bytes that repeat nothing.
fn frame(n: u64, noise: usize) -> Vec<u8> {
    let words = (0..noise as u64 / 8).flat_map(|k| hash_of(&(n << 32 | k).to_le_bytes()).to_le_bytes());
    let mut all = vec![0xa7];
    all.extend(b"the names of the fields, who it is from and where that listens".iter().copied().chain(words));
    all
}

#[test]
fn frames_come_out_as_they_went_in() {
    let (mut packer, mut unpacker) = (FrameCompressor::new().unwrap(), FrameDecompressor::default());
    for round in 0..200u64 {
        let sizes = [0, 8, 900, 4_000, if round % 40 == 0 { MAX_CHUNK_BYTES / 2 } else { 16 }];
        let frames: Vec<Vec<u8>> = sizes.iter().take(1 + round as usize % 5).map(|size| frame(round, *size)).collect();
        let mut packed = packer.compress(&coded(&frames)).unwrap();
        let piece = decoded(&mut packed).unwrap();
        assert!(packed.is_empty(), "one frame for the codec");
        let out = unpacker.decompress(piece).unwrap();
        assert_eq!(out, frames.iter().cloned().map(Bytes::from).collect::<Vec<_>>());
    }
}

#[test]
fn what_an_earlier_frame_said_is_not_written_again() {
    let mut packer = FrameCompressor::new().unwrap();
    let mut last = 0;
    for n in 0..20 {
        last = packer.compress(&coded(&[frame(n, 16)])).unwrap().len();
    }
    assert!(last < 50, "{last} bytes for a frame of which 16 bytes are new");
}

#[test]
fn a_frame_that_is_not_packed_is_handed_on_as_it_is() {
    let (mut packer, mut unpacker) = (FrameCompressor::new().unwrap(), FrameDecompressor::default());
    for n in 0..5 {
        let plain = frame(n, 64);
        assert_eq!(unpacker.decompress(BytesMut::from(&plain[..])).unwrap(), [Bytes::from(plain.clone())]);
        let mut packed = packer.compress(&coded(std::slice::from_ref(&plain))).unwrap();
        assert_eq!(unpacker.decompress(decoded(&mut packed).unwrap()).unwrap(), [Bytes::from(plain)]);
    }
}

#[test]
fn what_is_no_stream_or_ends_within_a_frame_is_an_error() {
    let mut unpacker = FrameDecompressor::default();
    assert!(unpacker.decompress(BytesMut::from(&[1, 2, 3, 4, 5, 6, 7, 8][..])).is_err());
    let mut short = coded(&[frame(1, 64)]);
    short.truncate(40);
    let mut packed = FrameCompressor::new().unwrap().compress(&short).unwrap();
    assert!(FrameDecompressor::default().decompress(decoded(&mut packed).unwrap()).is_err());
}

/// More than a frame may hold is not unpacked, however small it came.
#[test]
fn a_piece_that_holds_too_much_is_an_error() {
    let huge = coded(&[vec![0; 2 * MAX_FRAME_BYTES]]);
    let mut packed = FrameCompressor::new().unwrap().compress(&huge).unwrap();
    assert!(packed.len() < MAX_FRAME_BYTES);
    assert!(FrameDecompressor::default().decompress(decoded(&mut packed).unwrap()).is_err());
}

/// The bytes that a line to a peer carries for `frames` like frames, and
/// how many of those were read from it.
async fn carried(reads_packed: bool, zone: &str, frames: usize) -> (usize, usize) {
    let startup = |id: &str| {
        let text = format!(r#"{{"cluster":"c","id":"{id}","zone":"z1","listen":"127.0.0.1:0"}}"#);
        Startup::parse(&text, "s".as_ref()).unwrap()
    };
    let own = startup("store-1");
    let (wires, sockets) = bind(&own, own.member(IncarnationId(1))).unwrap();
    let own_address = sockets.address().unwrap();
    let (ring, heard) = crossbeam_channel::bounded(64);
    let serving = tokio::spawn(dw_shell::peer_transport::serve(wires.clone(), sockets, ring.clone()));
    let peer = Daemon("store-2".into());
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap().to_string();
    tell(&wires, &own_address, (&peer, zone), &address, reads_packed, &heard).await;
    let mut lines = PeerConnections::new(wires.clone(), ring);
    let (mut bytes, mut read, mut unpacker) = (0, 0, FrameDecompressor::default());
    let mut stream = None;
    let (mut buffer, mut codec) = (BytesMut::new(), codec());
    for n in 0..frames {
        lines.write(peer.clone(), frame(n as u64, 16));
        if stream.is_none() {
            stream = Some(timeout(LONG, listener.accept()).await.unwrap().unwrap().0);
        }
        let Some(stream) = stream.as_mut() else { continue };
        let piece = loop {
            if let Some(piece) = codec.decode(&mut buffer).unwrap() {
                break piece;
            }
            let count = timeout(LONG, tokio::io::AsyncReadExt::read_buf(stream, &mut buffer)).await.unwrap().unwrap();
            assert!(count > 0, "the line ended");
            bytes += count;
        };
        read += unpacker.decompress(piece).unwrap().len();
    }
    serving.abort();
    (bytes, read)
}

/// The peer says something, and with it whether it reads packed frames.
async fn tell(
    wires: &Arc<PeerTransport>,
    to: &str,
    (peer, zone): (&Daemon, &str),
    address: &str,
    reads_packed: bool,
    heard: &crossbeam_channel::Receiver<Event>,
) {
    wires.set_peer_address(peer, address);
    let envelope = Envelope {
        protocol_version: PROTOCOL_VERSION,
        cluster: "c".into(),
        from: peer.clone(),
        addr: address.into(),
        incarnation: IncarnationId(1),
        to: "store-1".into(),
        reads_packed,
        zone: Some(Zone(zone.into())),
        msg: PeerMessage::NotPrimary { leader: None },
    };
    let mut line = tokio::net::TcpStream::connect(to).await.unwrap();
    tokio::io::AsyncWriteExt::write_all(&mut line, &coded(&[encode(&envelope)])).await.unwrap();
    let heard = heard.clone();
    let event = tokio::task::spawn_blocking(move || heard.recv_timeout(LONG)).await.unwrap().unwrap();
    assert!(matches!(event, Event::MessageReceived { .. }));
}

#[tokio::test]
async fn a_busy_line_to_another_zone_is_packed() {
    const FRAMES: usize = 1_000;
    let plain = FRAMES * (4 + frame(0, 16).len());
    assert!(plain > 4 * COMPRESS_AFTER_BYTES);
    let (bytes, read) = carried(true, "z2", FRAMES).await;
    assert_eq!(read, FRAMES);
    assert!(bytes < plain / 2, "{bytes} of {plain}");
    // Within the zone, and to a daemon of the version before, it is not.
    assert_eq!(carried(true, "z1", FRAMES).await, (plain, FRAMES));
    assert_eq!(carried(false, "z2", FRAMES).await, (plain, FRAMES));
}

#[tokio::test]
async fn a_line_that_carries_little_is_not_packed() {
    let size = 4 + frame(0, 16).len();
    let few = COMPRESS_AFTER_BYTES / size - 1;
    assert_eq!(carried(true, "z2", few).await, (few * size, few));
}
