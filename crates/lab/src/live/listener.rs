//! A listener and the connections that came by it: it can be shut, which resets them, and opened again.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::future::Future;
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::pin::Pin;
use std::rc::Rc;

use async_executor::Task;
use async_io::Async;
use futures_lite::StreamExt;

use super::stream::Stream;
use super::World;

type Served = Pin<Box<dyn Future<Output = ()>>>;

/// Connections that may wait to be accepted.
const AWAITING: i32 = 1_024;

pub struct Listener {
    world: Rc<World>,
    address: SocketAddr,
    /// Connections at once; further ones are reset.
    most: usize,
    serve: Box<dyn Fn(Stream) -> Served>,
    accepts: RefCell<Option<Task<()>>>,
    inside: RefCell<HashMap<u64, (Stream, Task<()>)>>,
    next: Cell<u64>,
}

impl Listener {
    /// Opens at an address; port 0 takes a free one.
    pub fn open<F: Future<Output = ()> + 'static>(
        world: &Rc<World>,
        address: SocketAddr,
        most: usize,
        serve: impl Fn(Stream) -> F + 'static,
    ) -> io::Result<Rc<Listener>> {
        let listener = TcpListener::bind(address)?;
        let door = Rc::new(Listener {
            world: world.clone(),
            address: listener.local_addr()?,
            most,
            serve: Box::new(move |stream| Box::pin(serve(stream))),
            accepts: RefCell::default(),
            inside: RefCell::default(),
            next: Cell::new(0),
        });
        door.accept(listener)?;
        Ok(door)
    }

    pub fn address(&self) -> SocketAddr {
        self.address
    }

    pub fn is_open(&self) -> bool {
        self.accepts.borrow().is_some()
    }

    /// Connections open now.
    pub fn count(&self) -> usize {
        self.inside.borrow().len()
    }

    fn accept(self: &Rc<Self>, listener: TcpListener) -> io::Result<()> {
        let listener = Async::new(listener)?;
        rustix::net::listen(&listener, AWAITING)?;
        let door = Rc::downgrade(self);
        let accepts = self.world.executor.spawn(async move {
            let mut incoming = std::pin::pin!(listener.incoming());
            while let Some(stream) = incoming.next().await {
                let (Ok(stream), Some(door)) = (stream, door.upgrade()) else { continue };
                door.let_in(Stream::new(stream));
            }
        });
        self.accepts.replace(Some(accepts));
        Ok(())
    }

    fn let_in(self: &Rc<Self>, stream: Stream) {
        if self.count() >= self.most {
            return stream.reset();
        }
        let number = self.next.get();
        self.next.set(number + 1);
        let (served, door) = ((self.serve)(stream.other()), Rc::downgrade(self));
        let task = self.world.executor.spawn(async move {
            served.await;
            let own = door.upgrade().and_then(|door| door.inside.borrow_mut().remove(&number));
            if let Some((_, task)) = own {
                task.detach();
            }
        });
        self.inside.borrow_mut().insert(number, (stream, task));
    }

    /// Resets what is open.
    pub fn clear(&self) {
        for (stream, task) in self.inside.take().into_values() {
            stream.reset();
            drop(task);
        }
    }

    /// Refuses new connections, and resets those there are.
    pub fn shut(&self) {
        self.accepts.take();
        self.clear();
    }

    pub async fn reopen(self: &Rc<Self>) -> io::Result<()> {
        if self.is_open() {
            return Ok(());
        }
        // The old listener goes when its task has been dropped.
        for _ in 0..100 {
            match TcpListener::bind(self.address) {
                Ok(listener) => return self.accept(listener),
                Err(_) => super::sleep(5 * crate::MILLISECOND).await,
            }
        }
        Err(io::Error::other(format!("{} can't be listened on again", self.address)))
    }
}
