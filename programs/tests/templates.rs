//! The startup templates, filled as the platform fills them: what comes out
//! must be fit to start.
use std::path::PathBuf;
use std::process::Command;

const KINDS: [(&str, &str); 5] = [
    ("placement", env!("CARGO_BIN_EXE_dahliawick-placement")),
    ("store", env!("CARGO_BIN_EXE_dahliawick-store")),
    ("delivery", env!("CARGO_BIN_EXE_dahliawick-delivery")),
    ("proxy", env!("CARGO_BIN_EXE_dahliawick-proxy")),
    ("agent", env!("CARGO_BIN_EXE_dahliawick-agent")),
];

/// Stands only where the platform states it.
const SLACK: &str = "timingBounds.coldSlack";

const GAPS: [(&str, &str); 18] = [
    ("{{timingBounds.coldSlack}}", "5"),
    ("{{nodeName}}", "machine-1"),
    ("{{ipAddress}}", "10.1.0.40"),
    ("{{zone}}", "z1"),
    ("{{dataDir}}", "/data/own"),
    ("{{internalPorts.0}}", "7780"),
    ("{{internalPorts.1}}", "7795"),
    ("{{bindAddrs.control}}", "10.1.0.40:8064"),
    ("{{bindAddrs.front}}", "10.1.0.40:8069"),
    ("{{bindAddrs.readyAddr}}", "10.1.0.40:8063"),
    ("{{limits.memoryMb}}", "260"),
    ("{{limits.diskMb}}", "310"),
    ("{{limits.maxFds}}", "4100"),
    ("{{faultTolerance.machines}}", "2"),
    ("{{faultTolerance.zones}}", "1"),
    ("{{faultTolerance.regions}}", "0"),
    ("{{cloudApi.address}}", "10.200.0.70:8065"),
    ("{{cloudApi.ratePerS}}", "40"),
];

fn filled(kind: &str, seeds: &[&str], bootstrap: bool) -> String {
    let path = format!("{}/../deploy/{kind}.tmpl", env!("CARGO_MANIFEST_DIR"));
    let mut text = std::fs::read_to_string(path).unwrap();
    let (begin, end) = (format!("{{{{#{SLACK}}}}}"), format!("{{{{/{SLACK}}}}}"));
    if let (Some(from), Some(to), false) = (text.find(&begin), text.find(&end), bootstrap) {
        text.replace_range(from..to, "");
    }
    text = text.replace(&begin, "").replace(&end, "");
    for (gap, value) in GAPS {
        text = text.replace(gap, value);
    }
    let each: Vec<String> = seeds.iter().map(|s| format!("\"{s}\"")).collect();
    text = text.replace("{{#seedNodes}}\"{{.}}\"{{,}}{{/seedNodes}}", &each.join(","));
    text.replace("{{bootstrap|json}}", if bootstrap { "true" } else { "false" })
}

#[test]
fn every_template_makes_a_file_that_is_fit_to_start() {
    let three = ["10.1.0.40:8064", "10.2.0.42:8064", "10.3.0.35:8064"];
    for (kind, bin) in KINDS {
        for seeds in [&three[..], &three[..1]] {
            let text = filled(kind, seeds, seeds.len() == 3);
            assert!(!text.contains("{{"), "{kind}: a gap is left in {text}");
            let file: PathBuf = std::env::temp_dir().join(format!("dw-template-{}-{kind}", std::process::id()));
            std::fs::write(&file, text).unwrap();
            let out = Command::new(bin).arg("--startup").arg(&file).arg("--check").output().unwrap();
            let _ = std::fs::remove_file(&file);
            assert!(out.status.success(), "{kind}: {}", String::from_utf8_lossy(&out.stderr));
        }
    }
}
