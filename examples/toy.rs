//! A toy back end to try a gateway with: three servers, the list of them, and a counter, all in one process.
//!
//! It answers every call with the words it got, keeps nothing, and is no measure of any real server.

use std::collections::HashMap;
use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use fernscale_gateway::protocol::resp;

const SERVERS: [&str; 3] = ["127.0.0.1:7011", "127.0.0.1:7012", "127.0.0.1:7013"];
const DISCOVERY: &str = "127.0.0.1:7002";
const COUNTER: &str = "127.0.0.1:7003";
/// How long a call takes.
const WORK: Duration = Duration::from_millis(20);

/// Serves each connection to the address in a thread of its own.
fn serve(
    address: &str,
    each: impl Fn(TcpStream) -> io::Result<()> + Send + Sync + 'static,
) -> io::Result<()> {
    let listener = TcpListener::bind(address)?;
    let each = Arc::new(each);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let each = each.clone();
            thread::spawn(move || each(stream));
        }
    });
    Ok(())
}

/// Answers the commands of one connection, until it ends or can't be understood.
fn commands(mut stream: TcpStream, answer: impl Fn(&[&[u8]]) -> Vec<u8>) -> io::Result<()> {
    let (mut bytes, mut part) = (Vec::new(), [0; 4096]);
    loop {
        while let Some((words, length)) = resp::command(&bytes).map_err(io::Error::other)? {
            stream.write_all(&answer(&words))?;
            bytes.drain(..length);
        }
        match stream.read(&mut part)? {
            0 => return Ok(()),
            count => bytes.extend_from_slice(&part[..count]),
        }
    }
}

fn server(words: &[&[u8]]) -> Vec<u8> {
    if !words[0].starts_with(b"CALL.") {
        return b"+PONG\r\n".to_vec();
    }
    thread::sleep(WORK);
    let mut bytes = b"*3\r\n".to_vec();
    resp::write_bulk(&mut bytes, &words.join(&b' '));
    bytes.extend_from_slice(b"$-1\r\n$-1\r\n");
    bytes
}

fn count(words: &[&[u8]], totals: &Mutex<HashMap<Vec<u8>, f64>>) -> Vec<u8> {
    let amount = words.get(2).and_then(|amount| std::str::from_utf8(amount).ok()?.parse::<f64>().ok());
    let (Some(amount), true) = (amount, words[0] == b"ADDGET") else {
        return b"-ERR no such call\r\n".to_vec();
    };
    let mut totals = totals.lock().expect("no thread panics with it");
    let total = totals.entry(words[1].to_vec()).or_default();
    *total += amount;
    let mut bytes = Vec::new();
    resp::write_bulk(&mut bytes, total.to_string().as_bytes());
    bytes
}

/// Tells the whole list once; nothing ever changes, so that a watch waits out its time.
fn list(stream: TcpStream) -> io::Result<()> {
    let server = |(at, address): (usize, &&str)| {
        format!(
            r#"{{"name":"toy-{at}","address":"{address}","zone":"here","type":"toy","group":0,
                "status":"in_service","weight":1.0,"since_ms":0}}"#
        )
    };
    let servers: Vec<String> = SERVERS.iter().enumerate().map(server).collect();
    let mut lines = BufReader::new(&stream).lines();
    while let Some(first) = lines.next().transpose()? {
        for line in lines.by_ref() {
            if line?.is_empty() {
                break;
            }
        }
        let watch = first.contains("since=");
        if watch {
            thread::sleep(Duration::from_secs(20));
        }
        let servers = if watch { String::new() } else { servers.join(",") };
        let body = format!(r#"{{"index":1,"snapshot":{},"endpoints":[{servers}]}}"#, !watch);
        let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", body.len());
        (&stream).write_all((head + &body).as_bytes())?;
    }
    Ok(())
}

fn main() -> io::Result<()> {
    for address in SERVERS {
        serve(address, |stream| commands(stream, server))?;
    }
    serve(DISCOVERY, list)?;
    let totals = Mutex::default();
    serve(COUNTER, move |stream| commands(stream, |words| count(words, &totals)))?;
    println!("servers on {SERVERS:?}, the list on {DISCOVERY}, the counter on {COUNTER}; ends with Ctrl-C");
    loop {
        thread::park();
    }
}
