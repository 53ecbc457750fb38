//! Shared code of the tests that run several gateways: addresses, and a complete configuration.

use std::net::{SocketAddr, TcpListener};
use std::sync::atomic::{AtomicU32, Ordering};

/// A free address on a loopback host that no other test process uses.
pub fn free() -> SocketAddr {
    static NEXT_HOST: AtomicU32 = AtomicU32::new(1);
    let (next_host, process) = (NEXT_HOST.fetch_add(1, Ordering::SeqCst), std::process::id());
    let host = [127, 250 + (process / 250 % 2) as u8, (process % 250) as u8, next_host as u8];
    TcpListener::bind(SocketAddr::from((host, 0))).and_then(|listener| listener.local_addr()).expect("a port")
}

/// The configuration of one of three gateways that communicate, with `more` appended.
pub fn config(
    name: &str,
    listen: SocketAddr,
    mesh: SocketAddr,
    seed: SocketAddr,
    keys: &[&str],
    more: &str,
) -> String {
    format!(
        r#"
        [gateway]
        name = "{name}"
        listen = "{listen}"
        gateways = 3
        [discovery]
        address = "127.0.0.1:1"
        [mesh]
        listen = "{mesh}"
        seeds = ["{seed}"]
        keys = {keys:?}
        [[lane]]
        name = "read"
        repeat = "redoable"
        agreed = "400ms"
        hard-stop = "1s"
        [[plan]]
        name = "team"
        rate = 5
        burst = 10
        {more}
        "#
    )
}
