//! A startup file that changes while the process runs.
use dw_shell::prelude::*;
use dw_shell::settings::Settings;
use std::path::PathBuf;

const SEEDS: &str = r#""10.0.0.2:8000""#;

/// A folder of this test's own, with one file in it.
struct Room(PathBuf);

impl Room {
    fn new(name: &str) -> Room {
        let at = std::env::temp_dir().join(format!("dw-settings-{}-{name}", std::process::id()));
        std::fs::create_dir_all(&at).unwrap();
        Room(at)
    }
    fn file(&self) -> PathBuf {
        self.0.join("startup.json")
    }
    fn write(&self, seeds: &str, more: &str) {
        let text = format!(
            r#"{{"cluster":"c","id":"agent-1","zone":"z","listen":"10.0.0.1:7000","speech":"platform","sibling_port":7000,"seeds":[{seeds}]{more}}}"#
        );
        std::fs::write(self.file(), text).unwrap();
    }
    fn open(&self) -> Settings {
        self.write(SEEDS, "");
        Settings::new(Startup::read(&self.file()).unwrap())
    }
}

impl Drop for Room {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

#[test]
fn a_changed_file_is_taken_and_the_same_one_is_not() {
    let room = Room::new("taken");
    let mut s = room.open();
    assert!(s.look(false).is_none() && s.look(true).is_none());
    room.write(r#""10.0.0.2:8000","10.0.0.33:8000""#, "");
    assert!(matches!(s.look(false), Some(Ok(()))));
    assert_eq!(s.now().seeds().unwrap().len(), 2);
    assert!(s.look(false).is_none());
    room.write(SEEDS, r#","intake":{"idle_ms":7}"#);
    assert!(matches!(s.look(true), Some(Ok(()))));
    assert_eq!(s.now().intake.idle_ms, 7);
}

#[test]
fn a_bad_file_is_refused_once_and_the_old_one_stays() {
    let room = Room::new("bad");
    let mut s = room.open();
    let cases = [
        (r#""nowhere""#, "", "'seeds' is 'nowhere'"),
        (SEEDS, r#","unknown":1"#, "unknown field"),
        (SEEDS, r#","http":"10.0.0.1:9000""#, "'http' can't change"),
        (SEEDS, r#","times":{"pull":2000}"#, "pull three times"),
        (SEEDS, r#", "#, "is faulty"),
    ];
    for (seeds, more, says) in cases {
        room.write(seeds, more);
        let Some(Err(e)) = s.look(false) else { panic!("taken: {more}") };
        assert!(e.to_string().contains(says), "wanted '{says}', got '{e}'");
        assert!(s.look(false).is_none());
        assert_eq!(s.now().seeds().unwrap()[0].addr, "10.0.0.2:7000");
    }
    std::fs::remove_file(room.file()).unwrap();
    assert!(matches!(s.look(false), Some(Err(_))));
    room.write(SEEDS, r#","bootstrap":true"#);
    assert!(matches!(s.look(false), Some(Ok(()))));
}
