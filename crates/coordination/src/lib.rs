//! Coordination parts for others to embed. Each is a pure core: you give it
//! events and the time, it gives you effects; it opens no socket, reads no
//! clock and writes no file. dahliawick's own daemons run on the same code.
//!
//! * [`election`]: one primary among a few replicas, and a small replicated
//!   log, with amnesia handled;
//! * [`lease`]: time-limited grants, counted so that the holder stops first;
//! * [`membership`]: heartbeats along a ring, and who is doubted;
//! * [`share`]: fair turns, allowances over a window, warm-up, breakers.
//!
//! # Leases
//!
//! The giver never gives a thing anew while its holder may still act on it:
//!
//! ```
//! use dw_coordination::lease::*;
//! let terms = Terms { length: Span::secs(3), drift: 5 };
//! let mut given: Given<&str, &str> = Given::new(terms, Term(1));
//! let mut held: Held<&str> = Held::new(terms);
//! let asked = Time::millis(1000);
//! let epoch = given.give("roof", "ada", Time::millis(1010)).unwrap();
//! assert!(held.take("roof", epoch, asked));
//! assert_eq!(held.may(&"roof", Time::millis(3800)), Some(epoch));
//! // The holder stops, and only then may another be given the thing.
//! assert_eq!(held.may(&"roof", Time::millis(3900)), None);
//! assert_eq!(given.give("roof", "bob", Time::millis(3900)), None);
//! let next = given.give("roof", "bob", Time::millis(4200)).unwrap();
//! assert!(next > epoch);
//! ```
//!
//! # Fair turns
//!
//! ```
//! use dw_coordination::share::*;
//! let mut turns = Drr::default();
//! for n in 0..8 {
//!     turns.push("large", 3, n);
//!     turns.push("small", 1, 100 + n);
//! }
//! let first: Vec<i32> = (0..4).filter_map(|_| turns.pop()).collect();
//! assert_eq!(first, [0, 1, 2, 100]);
//! ```
//!
//! # Allowances
//!
//! ```
//! use dw_coordination::share::*;
//! let mut a = Allowance::new(10, Time(0));
//! // A newcomer takes little at first: its predecessor may have used the window.
//! let now = Time::millis(10);
//! assert_eq!((0..50).filter(|_| a.take(now)).count(), 4);
//! ```
pub use dw_election::prelude as election;
pub use dw_lease::prelude as lease;
pub use dw_membership::prelude as membership;
pub use dw_share::prelude as share;
