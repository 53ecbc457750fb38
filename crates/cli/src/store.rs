//! `fernscale store`: reads, changes, verifies and repairs a store while no gateway has it open.

use std::io::Write;
use std::path::{Path, PathBuf};
use std::time::{SystemTime, UNIX_EPOCH};

use clap::Subcommand;
use fernscale_store::files::DiskDirectory;
use fernscale_store::{Batch, Durability, OpenReport, Options, Store};
use serde_json::json;

/// An open store, and the report of its recovery.
type Opened = (Store<DiskDirectory>, OpenReport);
/// The result of a command. An error has one line for each problem.
type CommandResult = Result<(), Vec<String>>;

#[derive(Subcommand)]
pub enum Command {
    /// Write the value of a key; creates the store if it does not exist
    Put { folder: PathBuf, key: String, value: String },
    /// Print the value of a key
    Get { folder: PathBuf, key: String },
    /// Delete a key
    Delete { folder: PathBuf, key: String },
    /// Print all keys and values, one JSON object per line
    Dump {
        folder: PathBuf,
        /// Print only keys that begin with this prefix
        #[arg(long, default_value = "")]
        prefix: String,
    },
    /// Read the whole store and print its size; the only change is to cut a torn end
    Verify { folder: PathBuf },
    /// Free the disk space of obsolete entries
    Compact { folder: PathBuf },
    /// Copy the store to another folder, which must be empty
    Snapshot { folder: PathBuf, to: PathBuf },
    /// Copy the readable entries of a damaged store to another folder, which must be empty
    Salvage { folder: PathBuf, to: PathBuf },
}

/// Maximum number of keys that one scan returns.
const PAGE_KEYS: usize = 10_000;
/// Maximum number of bytes that one step of compaction examines.
const COMPACTION_SLICE_BYTES: usize = 4 * 1024 * 1024;

fn now_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis() as u64
}

/// Converts an error of the store into a problem that names its folder.
fn in_folder(folder: &Path) -> impl Fn(fernscale_store::Error) -> Vec<String> + '_ {
    move |error| vec![format!("'{}': {error}", folder.display())]
}

/// Opens a store. The store must exist unless `create` is set. Ranges that were cut or skipped are reported on standard
/// error.
fn open(folder: &Path, create: bool, salvage: bool) -> Result<Opened, Vec<String>> {
    if !create && !folder.is_dir() {
        return Err(vec![format!("'{}' is not a folder", folder.display())]);
    }
    let files =
        DiskDirectory::new(folder).map_err(|error| vec![format!("'{}': {error}", folder.display())])?;
    let options = Options { salvage, ..Options::default() };
    let (store, report) = Store::open(files, options, now_ms()).map_err(in_folder(folder))?;
    if let Some((segment, offset, length)) = report.truncated {
        eprintln!("fernscale: a torn end was cut: segment {segment:x}, byte {offset}, {length} bytes");
    }
    for (segment, offset, length) in &report.skipped {
        eprintln!(
            "fernscale: a damaged range was skipped: segment {segment:x}, byte {offset}, {length} bytes"
        );
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

/// Visits all keys with their values, in key order.
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
    let is_empty = std::fs::read_dir(to).map_or(true, |mut entries| entries.next().is_none());
    if !is_empty {
        return Err(vec![format!("'{}' is not empty", to.display())]);
    }
    let (mut target, _) = open(to, true, false)?;
    let mut first_error = None;
    for_each_entry(&store, folder, b"", |key, value| {
        let expires_at = store.expires_at(key).unwrap_or(0);
        let batch = Batch::new().put_until(key, value, expires_at);
        if let Err(error) = target.write(&batch, Durability::Deferred, now_ms()) {
            first_error.get_or_insert(error);
        }
        Ok(())
    })?;
    match first_error {
        Some(error) => Err(in_folder(to)(error)),
        None => target.sync().map_err(in_folder(to)),
    }?;
    println!("{}: {} keys", to.display(), target.len());
    Ok(())
}

/// Bytes as JSON: a string if they are UTF-8, else hex digits.
fn to_json(bytes: &[u8]) -> serde_json::Value {
    match std::str::from_utf8(bytes) {
        Ok(text) => json!(text),
        Err(_) => json!({ "hex": bytes.iter().map(|byte| format!("{byte:02x}")).collect::<String>() }),
    }
}

/// Prints bytes. If the reader has closed the pipe, the program exits without an error.
fn print_bytes(bytes: &[u8]) -> CommandResult {
    match std::io::stdout().write_all(bytes) {
        Err(error) if error.kind() != std::io::ErrorKind::BrokenPipe => Err(vec![error.to_string()]),
        Err(_) => std::process::exit(0),
        Ok(()) => Ok(()),
    }
}
