//! Looks into a store, and mends it, while no gateway has it.

use std::io::Write;
use std::path::{Path, PathBuf};
use std::time::{SystemTime, UNIX_EPOCH};

use clap::Subcommand;
use fernscale_store::files::DiskDirectory;
use fernscale_store::{Batch, Durability, OpenReport, Options, Store};
use serde_json::json;

type Opened = (Store<DiskDirectory>, OpenReport);
type Done = Result<(), Vec<String>>;

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

/// Keys that are taken from a store at a time, and bytes that are compacted at a time.
const PAGE: usize = 10_000;
const SLICE: usize = 4 * 1024 * 1024;

fn now() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis() as u64
}

fn told(folder: &Path) -> impl Fn(fernscale_store::Error) -> Vec<String> + '_ {
    move |why| vec![format!("'{}': {why}", folder.display())]
}

/// Opens a store that must be there, unless it is to be made.
fn open(folder: &Path, make: bool, salvage: bool) -> Result<Opened, Vec<String>> {
    if !make && !folder.is_dir() {
        return Err(vec![format!("'{}' is no folder", folder.display())]);
    }
    let files = DiskDirectory::new(folder).map_err(|why| vec![format!("'{}': {why}", folder.display())])?;
    let options = Options { salvage, ..Options::default() };
    let (store, report) = Store::open(files, options, now()).map_err(told(folder))?;
    if let Some((segment, at, length)) = report.truncated {
        eprintln!("fernscale: a torn end was cut: segment {segment:x}, byte {at}, {length} bytes");
    }
    for (segment, at, length) in &report.skipped {
        eprintln!("fernscale: damage was passed over: segment {segment:x}, byte {at}, {length} bytes");
    }
    Ok((store, report))
}

pub fn run(command: Command) -> Done {
    match command {
        Command::Put { folder, key, value } => {
            let (mut store, _) = open(&folder, true, false)?;
            let batch = Batch::new().put(key.as_bytes(), value.as_bytes());
            store.write(&batch, Durability::Immediate, now()).map(drop).map_err(told(&folder))
        }
        Command::Delete { folder, key } => {
            let (mut store, _) = open(&folder, false, false)?;
            let batch = Batch::new().delete(key.as_bytes());
            store.write(&batch, Durability::Immediate, now()).map(drop).map_err(told(&folder))
        }
        Command::Get { folder, key } => {
            let (store, _) = open(&folder, false, false)?;
            let value = store.get(key.as_bytes(), now()).map_err(told(&folder))?;
            let value = value.ok_or_else(|| vec![format!("'{}' has no key '{key}'", folder.display())])?;
            print(&value)?;
            print(b"\n")
        }
        Command::Dump { folder, prefix } => {
            let (store, _) = open(&folder, false, false)?;
            each(&store, &folder, prefix.as_bytes(), |key, value| {
                let mut line = json!({ "key": shown(key), "value": shown(value) }).to_string();
                line.push('\n');
                print(line.as_bytes())
            })
        }
        Command::Verify { folder } => {
            let (store, report) = open(&folder, false, false)?;
            let mut bytes = 0;
            each(&store, &folder, b"", |key, value| {
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
            while store.compact(SLICE, now()).map_err(told(&folder))? {}
            println!("{}: {before} bytes on disk before, {} now", folder.display(), store.disk_bytes());
            Ok(())
        }
        Command::Snapshot { folder, to } => copy(open(&folder, false, false)?, &folder, &to),
        Command::Salvage { folder, to } => copy(open(&folder, false, true)?, &folder, &to),
    }
}

/// Acts on each key and value in order.
fn each(
    store: &Store<DiskDirectory>,
    folder: &Path,
    prefix: &[u8],
    mut act: impl FnMut(&[u8], &[u8]) -> Done,
) -> Done {
    let mut behind: Option<Vec<u8>> = None;
    loop {
        let page = store.scan(prefix, behind.as_deref(), PAGE, now()).map_err(told(folder))?;
        let Some((last, _)) = page.last() else { return Ok(()) };
        behind = Some(last.clone());
        page.iter().try_for_each(|(key, value)| act(key, value))?;
    }
}

fn copy((store, _): Opened, folder: &Path, to: &Path) -> Done {
    let empty = std::fs::read_dir(to).map_or(true, |mut entries| entries.next().is_none());
    if !empty {
        return Err(vec![format!("'{}' is not empty", to.display())]);
    }
    let (mut other, _) = open(to, true, false)?;
    let mut failed = None;
    each(&store, folder, b"", |key, value| {
        let ends = store.expires_at(key).unwrap_or(0);
        let batch = Batch::new().put_until(key, value, ends);
        if let Err(why) = other.write(&batch, Durability::Deferred, now()) {
            failed.get_or_insert(why);
        }
        Ok(())
    })?;
    match failed {
        Some(why) => Err(told(to)(why)),
        None => other.sync().map_err(told(to)),
    }?;
    println!("{}: {} keys", to.display(), other.len());
    Ok(())
}

/// As text where it is text; else its bytes in hex.
fn shown(bytes: &[u8]) -> serde_json::Value {
    match std::str::from_utf8(bytes) {
        Ok(text) => json!(text),
        Err(_) => json!({ "hex": bytes.iter().map(|byte| format!("{byte:02x}")).collect::<String>() }),
    }
}

/// A reader that has seen enough is no failure.
fn print(bytes: &[u8]) -> Done {
    match std::io::stdout().write_all(bytes) {
        Err(why) if why.kind() != std::io::ErrorKind::BrokenPipe => Err(vec![why.to_string()]),
        Err(_) => std::process::exit(0),
        Ok(()) => Ok(()),
    }
}
