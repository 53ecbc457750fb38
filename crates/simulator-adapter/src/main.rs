//! Reads batches of events, hands each to its instance, writes the instances' actions.

mod host;
mod protocol;

use std::cell::RefCell;
use std::collections::HashMap;
use std::io::{self, BufRead, Write};
use std::panic::{catch_unwind, AssertUnwindSafe};
use std::process::ExitCode;
use std::rc::Rc;

use fernscale_policy::settings::{self, Fields};
use fernscale_policy::Engine;
use fernscale_policy::{Endpoint, EndpointState, Micros};

use host::{ActionQueue, ProtocolHost};
use protocol::{base64_decode, Line, Parsed};

struct Instance {
    engine: Engine<ProtocolHost>,
    queue: Rc<RefCell<ActionQueue>>,
    load_fields: Vec<String>,
}

#[derive(Default)]
struct Session {
    instances: HashMap<String, Instance>,
    /// The numbered lists as they stand at this point of the batch.
    lists: HashMap<u64, Vec<Endpoint>>,
    /// The list whose entries are being read, and how many are still to come.
    open_list: Option<(u64, u64)>,
    now: Micros,
    batch: String,
    reply: String,
}

impl Session {
    /// Takes one line; true when it closed the batch and the reply is complete.
    fn line(&mut self, text: &str) -> Parsed<bool> {
        let line = Line::parse(text)?;
        if let Some((list, left)) = self.open_list {
            if line.name != "row" {
                return Err(format!("'{}' where {left} more rows of a list belong", line.name));
            }
            self.lists.entry(list).or_default().push(parse_endpoint(&line)?);
            self.open_list = Some((list, left - 1)).filter(|(_, left)| *left > 0);
            return Ok(false);
        }
        match line.name {
            "" => {}
            "begin_batch" => {
                self.now = line.time("atTimeMs")?;
                self.batch = line.text("turn")?.to_string();
            }
            "your_turn" => {
                self.reply.push_str(&format!("done turn={}\n", self.batch));
                return Ok(true);
            }
            "directory" => {
                let (list, entries) = (line.whole("list")?, line.whole_or("membersList", 0)?);
                self.lists.insert(list, Vec::new());
                self.open_list = Some((list, entries)).filter(|(_, left)| *left > 0);
            }
            "born" => self.start_instance(&line)?,
            "stop" => {
                self.instances.remove(line.text("who")?);
            }
            _ => self.event(&line)?,
        }
        Ok(false)
    }

    fn start_instance(&mut self, line: &Line) -> Parsed<()> {
        let name = line.text("who")?.to_string();
        let settings = settings::policy_settings(line)?;
        let load_fields = line.names("telemetry.names");
        let queue = Rc::new(RefCell::new(ActionQueue { now: self.now, ..ActionQueue::default() }));
        let host = ProtocolHost { name: name.clone(), queue: Rc::clone(&queue) };
        match catch_unwind(AssertUnwindSafe(|| Engine::new(settings, host))) {
            Ok(engine) => {
                self.reply.push_str(&std::mem::take(&mut queue.borrow_mut().actions));
                self.instances.insert(name, Instance { engine, queue, load_fields });
            }
            Err(panic) => self.report_panic(&name, panic),
        }
        Ok(())
    }

    fn event(&mut self, line: &Line) -> Parsed<()> {
        let name = line.text("who")?;
        let Some(instance) = self.instances.get_mut(name) else {
            return Err(format!("no instance '{name}' here"));
        };
        instance.queue.borrow_mut().now = self.now;
        let lists = &self.lists;
        let done = catch_unwind(AssertUnwindSafe(|| deliver(instance, line, lists)));
        self.reply.push_str(&std::mem::take(&mut instance.queue.borrow_mut().actions));
        match done {
            Ok(parsed) => parsed,
            Err(panic) => {
                self.report_panic(name, panic);
                Ok(())
            }
        }
    }

    fn report_panic(&mut self, name: &str, panic: Box<dyn std::any::Any + Send>) {
        let text = match (panic.downcast_ref::<String>(), panic.downcast_ref::<&str>()) {
            (Some(text), _) => text,
            (_, Some(text)) => *text,
            _ => "panic",
        };
        self.reply.push_str(&format!("die who={name} message={}\n", text.replace('\n', " ")));
    }
}

fn deliver(instance: &mut Instance, line: &Line, lists: &HashMap<u64, Vec<Endpoint>>) -> Parsed<()> {
    let engine = &mut instance.engine;
    match line.name {
        "ask" => engine.request_received(line.request()?),
        "flowing" => engine.response_started(&line.id("tid")?, line.whole("go")? as usize),
        "returned" => engine.attempt_completed(line.attempt_completed(&instance.load_fields)?),
        "dropped" => engine.client_disconnected(&line.id("tid")?),
        "reminder" => engine.timer_fired(line.text("ctx")?),
        "probe_done" => {
            let load = line.load(&instance.load_fields)?;
            engine.health_check_completed(&line.id("server")?, line.outcome()?, load);
        }
        "mail" => engine.message_received(line.whole("sender")? as u32, &base64_decode(line.text("data")?)?),
        "tally_back" => engine.counter_replied(
            line.text("name")?,
            line.outcome()?,
            line.number_or("total", 0.0)?,
            line.time_or("delaySeenMs", 0)?,
        ),
        "membership" => {
            let form = line.text("form")?;
            if form == "X" {
                engine.endpoints_unavailable();
                return Ok(());
            }
            let list = line.whole("list")?;
            let entries = lists.get(&list).ok_or_else(|| format!("list {list} was never given"))?;
            match form {
                "D" => engine.endpoints_updated(false, entries),
                "F" | "C" => engine.endpoints_updated(true, entries),
                other => return Err(format!("'form={other}' is no form of a list")),
            }
        }
        other => return Err(format!("'{other}' is no event")),
    }
    Ok(())
}

fn parse_endpoint(line: &Line) -> Parsed<Endpoint> {
    let started = Some(line.time_or("launchedMs", 0)?).filter(|at| *at > 0);
    Ok(Endpoint {
        server: line.id("server")?,
        zone: line.whole_or("regionPart", 0)? as u32,
        hardware_type: line.whole_or("hw", 0)? as u32,
        cell: line.whole_or("cluster", 0)? as u32,
        state: match line.text("condition")? {
            "in_service" => EndpointState::Ready,
            "terminating" => EndpointState::Draining,
            "terminated" => EndpointState::Removed,
            other => return Err(format!("'condition={other}' is no condition")),
        },
        weight: line.number_or("rating", 1.0)?,
        started_at: started,
        listed_start: started,
    })
}

fn main() -> ExitCode {
    let mut input = io::stdin().lock();
    let mut output = io::stdout().lock();
    let mut session = Session::default();
    let mut text = String::new();
    for number in 1u64.. {
        text.clear();
        match input.read_line(&mut text) {
            Ok(0) => break,
            Ok(_) => {}
            Err(error) => {
                eprintln!("line {number} can't be read: {error}");
                return ExitCode::from(2);
            }
        }
        match session.line(text.trim_end_matches(['\n', '\r'])) {
            Ok(false) => {}
            Ok(true) => {
                let written = output.write_all(session.reply.as_bytes()).and_then(|()| output.flush());
                if written.is_err() {
                    return ExitCode::from(1);
                }
                session.reply.clear();
            }
            Err(why) => {
                eprintln!("line {number}: {why}: {}", text.trim_end());
                return ExitCode::from(2);
            }
        }
    }
    ExitCode::SUCCESS
}
