//! Each crate that compiles or links native code has its system packages listed
//! in the deploy file and in the README.
use serde_json::Value;
use std::collections::{BTreeMap, BTreeSet};
use std::path::{Path, PathBuf};
use std::process::Command;

/// Libraries whose users compile, link or look for native code.
const NATIVE_BUILD_TOOLS: [&str; 6] = ["autotools", "bindgen", "cc", "cmake", "pkg-config", "vcpkg"];
/// cargo itself needs these to fetch crates from the registry.
const FOR_CARGO: &str = "ca-certificates";

fn root() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("..")
}

fn read(path: &str) -> String {
    std::fs::read_to_string(root().join(path)).unwrap_or_else(|error| panic!("{path}: {error}"))
}

/// What cargo prints, run at the root.
fn cargo(arguments: &[&str]) -> String {
    let output = Command::new(env!("CARGO")).args(arguments).current_dir(root()).output().unwrap();
    assert!(output.status.success(), "{}", String::from_utf8_lossy(&output.stderr));
    String::from_utf8(output.stdout).unwrap()
}

/// Every package of the lock file that may be built on some target.
fn locked() -> Vec<Value> {
    let metadata: Value = serde_json::from_str(&cargo(&["metadata", "--locked", "--format-version", "1"])).unwrap();
    array(&metadata["packages"]).clone()
}

fn array(value: &Value) -> &Vec<Value> {
    value.as_array().unwrap()
}

/// Names and versions of the packages that a build of the programs compiles
/// on this target: test-only dependencies are left out, and so is what the lock
/// file holds for features that are off.
fn built() -> BTreeSet<(String, String)> {
    let tree = cargo(&["tree", "--locked", "-p", "dahliawick", "-e", "normal,build", "--prefix", "none", "--no-dedupe"]);
    let package = |line: &str| {
        let (name, rest) = line.split_once(" v")?;
        let version = rest.split_whitespace().next()?;
        Some((name.to_string(), version.to_string()))
    };
    tree.lines().filter_map(package).collect()
}

fn name_and_version(package: &Value) -> (String, String) {
    let text = |field: &str| package[field].as_str().unwrap().to_string();
    (text("name"), text("version"))
}

fn is_native(package: &Value) -> bool {
    let is_tool = |name: &Value| NATIVE_BUILD_TOOLS.iter().any(|tool| name == tool);
    let uses_tool = array(&package["dependencies"])
        .iter()
        .any(|dependency| dependency["kind"] == "build" && dependency["optional"] == false && is_tool(&dependency["name"]));
    !package["links"].is_null() || uses_tool || is_tool(&package["name"])
}

/// What `deploy/native-crates.txt` says: the packages of each crate.
fn listed() -> BTreeMap<String, BTreeSet<String>> {
    let text = read("deploy/native-crates.txt");
    let lines = text.lines().filter(|line| !line.starts_with('#'));
    let entry = |line: &str| {
        let parts: Vec<&str> = line.split('|').map(str::trim).collect();
        assert_eq!(parts.len(), 3, "'{line}' is not `crate | packages | what for`");
        (parts[0].to_string(), parts[1].split_whitespace().map(String::from).collect())
    };
    lines.map(entry).collect()
}

/// `packages` of the deploy file; a list there is written as in JSON.
fn deployed() -> BTreeSet<String> {
    let text = read("deploy/system.toml");
    let list = text.lines().find_map(|line| line.strip_prefix("packages = ")).expect("deploy/system.toml states packages");
    serde_json::from_str(list).unwrap()
}

#[test]
fn every_native_crate_is_listed_with_its_packages() {
    let built = built();
    assert!(built.len() > 50, "{built:?}");
    let packages = locked();
    let native = packages.iter().filter(|package| is_native(package)).map(name_and_version);
    let native: BTreeSet<String> = native.filter(|package| built.contains(package)).map(|(name, _)| name).collect();
    let listed: BTreeSet<String> = listed().into_keys().collect();
    let why = "a crate that compiles or links native code came or went: find what a clean build of it runs and reads, \
               then mend deploy/native-crates.txt, packages in deploy/system.toml and the README";
    assert_eq!(native, listed, "{why}");
}

#[test]
fn the_deploy_file_and_the_readme_name_just_these_packages() {
    let mut wanted: BTreeSet<String> = listed().into_values().flatten().collect();
    wanted.insert(FOR_CARGO.to_string());
    assert_eq!(deployed(), wanted);
    let readme = read("README.md");
    let command = "apt-get install --no-install-recommends ";
    let line = readme.lines().find_map(|line| line.trim().strip_prefix(command)).expect("the README installs packages");
    assert_eq!(line.split_whitespace().map(String::from).collect::<BTreeSet<_>>(), wanted);
}
