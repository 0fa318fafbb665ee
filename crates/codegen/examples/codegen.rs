//! Generates the tonic code of `cuminlead-wire`; with `--check`, fails when the committed code is
//! not current. Uses a protobuf compiler written in Rust, so no `protoc` is needed.

use std::error::Error;
use std::fs;
use std::path::{Path, PathBuf};

const GENERATED_FILE: &str = "cuminlead.v1.rs";

fn main() -> Result<(), Box<dyn Error>> {
    let wire = Path::new(env!("CARGO_MANIFEST_DIR")).join("../wire");
    let is_check = std::env::args().any(|argument| argument == "--check");
    let committed = wire.join("src/generated").join(GENERATED_FILE);
    let scratch = std::env::temp_dir().join(format!("cuminlead-codegen-{}", std::process::id()));
    let text = generate(&wire.join("proto"), &scratch)?;
    if !is_check {
        fs::write(&committed, text)?;
        return Ok(());
    }
    if fs::read_to_string(&committed)? != text {
        return Err("generated code is not current; run the codegen example".into());
    }
    println!("generated code is current");
    Ok(())
}

fn generate(proto: &Path, scratch: &PathBuf) -> Result<String, Box<dyn Error>> {
    fs::create_dir_all(scratch)?;
    let descriptors = protox::compile(["cuminlead.proto"], [proto])?;
    tonic_prost_build::configure()
        .out_dir(scratch)
        .compile_fds(descriptors)?;
    let text = fs::read_to_string(scratch.join(GENERATED_FILE))?;
    fs::remove_dir_all(scratch)?;
    Ok(text)
}
