//! Generates the tonic code of `cuminlead-wire` from its protocol file and writes it to the file
//! that is committed. With `--check` it writes nothing, and fails if that file is out of date.
//!
//! The protocol file is compiled with protox, a protobuf compiler written in Rust, so no `protoc`
//! has to be installed.

use std::error::Error;
use std::fs;
use std::path::{Path, PathBuf};

const GENERATED_FILE: &str = "cuminlead.v1.rs";

fn main() -> Result<(), Box<dyn Error>> {
    let wire_package = Path::new(env!("CARGO_MANIFEST_DIR")).join("../wire");
    let is_check_only = std::env::args().any(|argument| argument == "--check");
    let committed_file = wire_package.join("src/generated").join(GENERATED_FILE);
    let scratch_directory =
        std::env::temp_dir().join(format!("cuminlead-codegen-{}", std::process::id()));
    let generated = generate(&wire_package.join("proto"), &scratch_directory)?;
    if !is_check_only {
        fs::write(&committed_file, generated)?;
        return Ok(());
    }
    if fs::read_to_string(&committed_file)? != generated {
        return Err(
            "generated code is out of date; run `cargo run -p cuminlead-codegen --example codegen`"
                .into(),
        );
    }
    println!("generated code is up to date");
    Ok(())
}

fn generate(proto_directory: &Path, scratch_directory: &PathBuf) -> Result<String, Box<dyn Error>> {
    fs::create_dir_all(scratch_directory)?;
    let descriptors = protox::compile(["cuminlead.proto"], [proto_directory])?;
    tonic_prost_build::configure()
        .out_dir(scratch_directory)
        .compile_fds(descriptors)?;
    let generated = fs::read_to_string(scratch_directory.join(GENERATED_FILE))?;
    fs::remove_dir_all(scratch_directory)?;
    Ok(generated)
}
