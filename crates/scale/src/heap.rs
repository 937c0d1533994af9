//! A counting allocator: bytes in use now, over the whole process.
use std::alloc::{GlobalAlloc, Layout, System};
use std::sync::atomic::{AtomicI64, Ordering};

static LIVE: AtomicI64 = AtomicI64::new(0);

/// Named as the global allocator by the program; elsewhere `live` stays 0.
/// What the allocator itself adds to each piece is not counted.
pub struct Counting;

// Each method hands its arguments on to the system's allocator unchanged.
unsafe impl GlobalAlloc for Counting {
    unsafe fn alloc(&self, l: Layout) -> *mut u8 {
        LIVE.fetch_add(l.size() as i64, Ordering::Relaxed);
        System.alloc(l)
    }
    unsafe fn dealloc(&self, p: *mut u8, l: Layout) {
        LIVE.fetch_sub(l.size() as i64, Ordering::Relaxed);
        System.dealloc(p, l)
    }
    unsafe fn realloc(&self, p: *mut u8, l: Layout, size: usize) -> *mut u8 {
        LIVE.fetch_add(size as i64 - l.size() as i64, Ordering::Relaxed);
        System.realloc(p, l, size)
    }
}

pub fn live() -> i64 {
    LIVE.load(Ordering::Relaxed)
}

/// Bytes that dropping this gave back.
pub fn freed<T>(x: T) -> i64 {
    let before = live();
    drop(x);
    before - live()
}
