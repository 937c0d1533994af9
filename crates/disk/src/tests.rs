use crate::prelude::*;
use std::fs;

fn room(name: &str) -> std::path::PathBuf {
    let p = std::env::temp_dir().join(format!("dw-disk-{}-{name}", std::process::id()));
    let _ = fs::remove_dir_all(&p);
    fs::create_dir_all(&p).unwrap();
    p
}

#[test]
fn what_is_saved_is_read_back_and_what_is_torn_is_set_aside() {
    let p = room("torn");
    let f = Folder::open(&p, "one").unwrap();
    f.save("a", b"alpha").unwrap();
    f.save("b", b"beta").unwrap();
    fs::write(p.join("c.aside"), b"half").unwrap();
    let mut raw = fs::read(p.join("b")).unwrap();
    raw.truncate(raw.len() - 1);
    fs::write(p.join("b"), raw).unwrap();
    let f = Folder::open(&p, "one").unwrap();
    let all = f.load().unwrap();
    assert_eq!(all, vec![("a".to_string(), Bytes::from_static(b"alpha")), ("b".to_string(), Bytes::new())]);
    assert!(!p.join("c.aside").exists());
    assert!(p.join("b.bad").exists());
    fs::remove_dir_all(p).unwrap();
}

#[test]
fn a_foreign_or_missing_folder_is_refused() {
    let p = room("foreign");
    Folder::open(&p, "one").unwrap();
    assert!(matches!(Folder::open(&p, "two"), Err(DiskError::Foreign { .. })));
    fs::remove_dir_all(&p).unwrap();
    assert!(matches!(Folder::open(&p, "one"), Err(DiskError::Missing { .. })));
}
