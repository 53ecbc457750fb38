//! `fernscale store`: reads, changes, verifies and repairs a store while no gateway has it open.

use std::io::Write;
use std::path::{Path, PathBuf};
use std::time::{SystemTime, UNIX_EPOCH};

use clap::Subcommand;
use fernscale_store::files::DiskDirectory;
use fernscale_store::{Batch, Durability, OpenReport, Options, Store};
use serde_json::json;

/// An open store, and what opening it has found.
type Opened = (Store<DiskDirectory>, OpenReport);
/// Fails with a line for each problem.
type CommandResult = Result<(), Vec<String>>;

#[derive(Subcommand)]
pub enum Command {
    /// Write a key's value; made where there is none
    Put { folder: PathBuf, key: String, value: String },
    /// Print a key's value
    Get { folder: PathBuf, key: String },
    /// Delete a key
    Delete { folder: PathBuf, key: String },
    /// Print all keys and values, one JSON object a line
    Dump {
        folder: PathBuf,
        /// Only keys that begin so
        #[arg(long, default_value = "")]
        prefix: String,
    },
    /// Read everything, change nothing but a torn end, and say what is there
    Verify { folder: PathBuf },
    /// Give back the room of what is of no use any more
    Compact { folder: PathBuf },
    /// Copy the store to another folder, which must be empty
    Snapshot { folder: PathBuf, to: PathBuf },
    /// Open a damaged store, and write what is left of it to another folder, which must be empty
    Salvage { folder: PathBuf, to: PathBuf },
}

/// Keys that one scan returns.
const PAGE_KEYS: usize = 10_000;
/// Bytes that one step of compaction examines.
const COMPACTION_SLICE_BYTES: usize = 4 * 1024 * 1024;

fn now_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis() as u64
}

/// An error of the store as a problem that names its folder.
fn in_folder(folder: &Path) -> impl Fn(fernscale_store::Error) -> Vec<String> + '_ {
    move |error| vec![format!("'{}': {error}", folder.display())]
}

/// Opens a store, which must exist unless it is to be created. Reports on standard error what was cut or skipped.
fn open(folder: &Path, create: bool, salvage: bool) -> Result<Opened, Vec<String>> {
    if !create && !folder.is_dir() {
        return Err(vec![format!("'{}' is no folder", folder.display())]);
    }
    let files =
        DiskDirectory::new(folder).map_err(|error| vec![format!("'{}': {error}", folder.display())])?;
    let options = Options { salvage, ..Options::default() };
    let (store, report) = Store::open(files, options, now_ms()).map_err(in_folder(folder))?;
    if let Some((segment, at, length)) = report.truncated {
        eprintln!("fernscale: a torn end was cut: segment {segment:x}, byte {at}, {length} bytes");
    }
    for (segment, at, length) in &report.skipped {
        eprintln!("fernscale: damage was passed over: segment {segment:x}, byte {at}, {length} bytes");
    }
    Ok((store, report))
}

pub fn run(command: Command) -> CommandResult {
    match command {
        Command::Put { folder, key, value } => {
            let (mut store, _) = open(&folder, true, false)?;
            let batch = Batch::new().put(key.as_bytes(), value.as_bytes());
            store.write(&batch, Durability::Immediate, now_ms()).map(drop).map_err(in_folder(&folder))
        }
        Command::Delete { folder, key } => {
            let (mut store, _) = open(&folder, false, false)?;
            let batch = Batch::new().delete(key.as_bytes());
            store.write(&batch, Durability::Immediate, now_ms()).map(drop).map_err(in_folder(&folder))
        }
        Command::Get { folder, key } => {
            let (store, _) = open(&folder, false, false)?;
            let value = store.get(key.as_bytes(), now_ms()).map_err(in_folder(&folder))?;
            let value = value.ok_or_else(|| vec![format!("'{}' has no key '{key}'", folder.display())])?;
            print_bytes(&value)?;
            print_bytes(b"\n")
        }
        Command::Dump { folder, prefix } => {
            let (store, _) = open(&folder, false, false)?;
            for_each_entry(&store, &folder, prefix.as_bytes(), |key, value| {
                let mut line = json!({ "key": to_json(key), "value": to_json(value) }).to_string();
                line.push('\n');
                print_bytes(line.as_bytes())
            })
        }
        Command::Verify { folder } => {
            let (store, report) = open(&folder, false, false)?;
            let mut bytes = 0;
            for_each_entry(&store, &folder, b"", |key, value| {
                bytes += key.len() + value.len();
                Ok(())
            })?;
            println!(
                "{}: good; {} batches, {} keys, {bytes} bytes of them, {} bytes on disk",
                folder.display(),
                report.batches,
                store.len(),
                store.disk_bytes()
            );
            Ok(())
        }
        Command::Compact { folder } => {
            let (mut store, _) = open(&folder, false, false)?;
            let before = store.disk_bytes();
            while store.compact(COMPACTION_SLICE_BYTES, now_ms()).map_err(in_folder(&folder))? {}
            println!("{}: {before} bytes on disk before, {} now", folder.display(), store.disk_bytes());
            Ok(())
        }
        Command::Snapshot { folder, to } => copy_store(open(&folder, false, false)?, &folder, &to),
        Command::Salvage { folder, to } => copy_store(open(&folder, false, true)?, &folder, &to),
    }
}

/// Visits each key and value in the order of the keys.
fn for_each_entry(
    store: &Store<DiskDirectory>,
    folder: &Path,
    prefix: &[u8],
    mut visit: impl FnMut(&[u8], &[u8]) -> CommandResult,
) -> CommandResult {
    let mut after: Option<Vec<u8>> = None;
    loop {
        let page = store.scan(prefix, after.as_deref(), PAGE_KEYS, now_ms()).map_err(in_folder(folder))?;
        let Some((last, _)) = page.last() else { return Ok(()) };
        after = Some(last.clone());
        page.iter().try_for_each(|(key, value)| visit(key, value))?;
    }
}

fn copy_store((store, _): Opened, folder: &Path, to: &Path) -> CommandResult {
    let empty = std::fs::read_dir(to).map_or(true, |mut entries| entries.next().is_none());
    if !empty {
        return Err(vec![format!("'{}' is not empty", to.display())]);
    }
    let (mut target, _) = open(to, true, false)?;
    let mut failed = None;
    for_each_entry(&store, folder, b"", |key, value| {
        let expires_at = store.expires_at(key).unwrap_or(0);
        let batch = Batch::new().put_until(key, value, expires_at);
        if let Err(error) = target.write(&batch, Durability::Deferred, now_ms()) {
            failed.get_or_insert(error);
        }
        Ok(())
    })?;
    match failed {
        Some(error) => Err(in_folder(to)(error)),
        None => target.sync().map_err(in_folder(to)),
    }?;
    println!("{}: {} keys", to.display(), target.len());
    Ok(())
}

/// Bytes as JSON: text where they are UTF-8, else hex digits.
fn to_json(bytes: &[u8]) -> serde_json::Value {
    match std::str::from_utf8(bytes) {
        Ok(text) => json!(text),
        Err(_) => json!({ "hex": bytes.iter().map(|byte| format!("{byte:02x}")).collect::<String>() }),
    }
}

/// Prints bytes. A reader that has closed the pipe ends the program without an error.
fn print_bytes(bytes: &[u8]) -> CommandResult {
    match std::io::stdout().write_all(bytes) {
        Err(error) if error.kind() != std::io::ErrorKind::BrokenPipe => Err(vec![error.to_string()]),
        Err(_) => std::process::exit(0),
        Ok(()) => Ok(()),
    }
}
