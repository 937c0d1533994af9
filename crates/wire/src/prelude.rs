//! The one import of every file that speaks between processes.
pub use crate::envelope::{decode, encode, Envelope, FrameError, FRAME_MAX, SPEECH};
pub use crate::hard::{Order, Retirement};
pub use crate::message::{crc32, Digest, Head, Op, Outcome, Stage};
pub use crate::msg::{Carried, Fence, Found, Holding, Msg, Offer, Reading, Refusal, Room, Settled, Stamp, Told, COPY_LIFE};
pub use crate::news::{Claim, Grant, Item, Member, Placing, Report, Slice, Worker};
pub use crate::note::{Level, Note};
pub use crate::step::{Ask, AskId, Call, CallId, Charge, Core, Effect, Event, Reply, Sent, Verdict};
pub use bytes::Bytes;
pub use dw_election::prelude::Talk;
pub use dw_lease::prelude::*;
pub use dw_membership::prelude::{Beat, Doubt, Pace as BeatPace, Spot, Watch};
